/* Commits submissions immediately, each in a separate transaction, while few are queued. When many
 * are queued, or the write budget is short, submissions wait for the next batch, which holds dozens
 * in one put. */
#include <stdio.h>

#include "base/clock.h"
#include "scheduler/round_timing.h"
#include "scheduler/submission_queue.h"

/* After a conflict the submission stays queued, and is sent again once the replica has reached the
 * newer state. */
static void on_single_result(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_pending_submission *pending = arg;
  struct tmx_scheduler *scheduler = pending->scheduler;
  pending->state = TMX_PENDING_SUBMISSION_QUEUED;
  tmx_admission_control_release(scheduler->admission, &pending->admission_request);
  if (result == TMX_TRANSACTION_CONFLICT && !pending->answered) {
    pending->n_single_conflicts++;
    tmx_scheduler_await_revision(scheduler, revision);
    return;
  }
  tmx_submission_queue_handle_single_result(scheduler, pending, result);
}

static bool send_single(struct tmx_scheduler *scheduler, struct tmx_pending_submission *pending) {
  struct tmx_transaction transaction = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", pending->id);
  tmx_transaction_require_version(&transaction, TMX_KEY_HEAD, scheduler->replica->head_version);
  tmx_pending_submission_require_absent(pending, &transaction);
  tmx_transaction_put(&transaction, key, &pending->record, 0);
  pending->sent_at = tmx_clock_steady();
  if (!tmx_store_commit(scheduler->store, &transaction, true, on_single_result, pending))
    return false;
  pending->state = TMX_PENDING_SUBMISSION_SENT_SINGLY;
  tmx_admission_control_reserve(scheduler->admission, &pending->admission_request);
  return true;
}

/* Must check the write budget last, since that check reserves a put. */
static bool may_send_singly(const struct tmx_scheduler *scheduler,
                            struct tmx_pending_submission *pending) {
  return pending->state == TMX_PENDING_SUBMISSION_QUEUED && pending->n_values == 1 &&
         pending->n_single_conflicts < TMX_SINGLE_SUBMISSION_CONFLICTS_MAX &&
         tmx_admission_control_may_commit_alone(scheduler->admission, &pending->admission_request,
                                                &pending->prerequisite_ids) &&
         tmx_store_reserve_submission_write(scheduler->store);
}

static size_t count_queued(const struct tmx_scheduler *scheduler) {
  size_t n = 0;
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    n += scheduler->submissions[i]->state == TMX_PENDING_SUBMISSION_QUEUED;
  return n;
}

/* Returns whether the head version in the replica is up to date. A batch in flight has been
 * committed or rejected once the head version differs from the one that it requires, even if its
 * response has not arrived. */
static bool is_head_current(const struct tmx_scheduler *scheduler) {
  bool decided = !scheduler->batch_in_flight ||
                 scheduler->replica->head_version != scheduler->sent_head_version;
  return scheduler->replica->loaded && decided && tmx_scheduler_has_caught_up(scheduler);
}

void tmx_scheduler_process_submissions(struct tmx_scheduler *scheduler) {
  if (!scheduler->n_submissions) return;
  tmx_submission_queue_answer_resolved(scheduler);
  size_t n_queued = count_queued(scheduler);
  if (!n_queued) return;
  if (n_queued <= TMX_SINGLE_SUBMISSIONS_MAX && is_head_current(scheduler))
    for (size_t i = 0; i < scheduler->n_submissions; i++) {
      struct tmx_pending_submission *pending = scheduler->submissions[i];
      if (may_send_singly(scheduler, pending) && send_single(scheduler, pending)) n_queued--;
    }
  if (n_queued) tmx_scheduler_trigger_within(scheduler, 0.02);
}
