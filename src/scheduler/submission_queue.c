/* Submissions on their way into the log, by themselves or with the next batch. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "scheduler/log_batch.h"
#include "base/clock.h"
#include "base/memory.h"

void tmx_pending_submission_free(struct tmx_pending_submission *pending) {
  tmx_buffer_free(&pending->value);
  tmx_job_ids_free(&pending->dependencies);
  free(pending);
}

static enum tmx_submission_outcome outcome_of(enum tmx_transaction_result result) {
  switch (result) {
    case TMX_TRANSACTION_COMMITTED:
      return TMX_SUBMISSION_COMMITTED;
    case TMX_TRANSACTION_CONFLICT:
      return TMX_SUBMISSION_KNOWN;
    case TMX_TRANSACTION_NOT_EXECUTED:
      return TMX_SUBMISSION_NOT_COMMITTED;
    case TMX_TRANSACTION_UNKNOWN:
      break;
  }
  return TMX_SUBMISSION_UNDECIDED;
}

static void settle_submission(struct tmx_scheduler *scheduler, size_t i,
                              enum tmx_submission_outcome outcome) {
  struct tmx_pending_submission *pending = scheduler->submissions[i];
  if (!pending->answered) pending->cb(pending->arg, outcome);
  pending->answered = true;
  if (pending->sent_alone) return; /* goes with the answer to its commit */
  if (pending->in_batch) tmx_admission_control_release(scheduler->admission, &pending->candidate);
  scheduler->submissions[i] = scheduler->submissions[--scheduler->n_submissions];
  tmx_pending_submission_free(pending);
}

/* Answers those that are decided or have waited too long; the rest may be sent. Where the answer to
 * a commit is slow, the log may tell sooner that the job is in it. */
static void sort_submissions(struct tmx_scheduler *scheduler) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < scheduler->n_submissions;) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    bool busy = pending->sent_alone || pending->in_batch;
    size_t n = scheduler->n_submissions;
    if (!pending->answered && (!busy || now - pending->sent_at > TMX_STORE_SLOW_S) &&
        tmx_job_find(scheduler->replica, pending->id))
      settle_submission(scheduler, i, TMX_SUBMISSION_KNOWN);
    else if (!busy && now > pending->deadline)
      settle_submission(scheduler, i, TMX_SUBMISSION_NOT_COMMITTED);
    i += scheduler->n_submissions == n;
  }
}

/* Submissions go out with a batch or each by itself. Either is on the condition that head is what
 * the replica saw, which rules out the batches it does not know, and that the job has no key, which
 * rules out the single ones: a name is taken once. */
static void require_unknown(struct tmx_transaction *transaction, const char *id) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
  tmx_transaction_require_version(transaction, key, 0);
}

/* A submission goes into one transaction or into none: no reader takes a part for the whole. One
 * that needs several values comes first in its batch, which is made as large as it needs. */
static bool has_room(struct tmx_log_batch *batch, const struct tmx_pending_submission *pending) {
  if (pending->n_values == 1) return tmx_log_batch_fits(batch, pending->record_json_length, 0);
  if (batch->n_lines || batch->n_jobs || batch->transaction.n_operations) return false;
  if (batch->writes_left < pending->n_values) batch->writes_left = pending->n_values;
  return tmx_log_batch_fits(batch, pending->record_json_length, 0);
}

static void add_submission(struct tmx_log_batch *batch,
                           const struct tmx_pending_submission *pending) {
  char line[TMX_LINE_MAX];
  tmx_buffer_append(&batch->jobs, pending->value.data, pending->value.length);
  batch->value_json_length += pending->record_json_length;
  batch->n_jobs++;
  for (uint32_t at = pending->ids_in_record; at < pending->dependencies.count;) {
    tmx_dependency_line_print(line, sizeof line, pending->id, &pending->dependencies, &at);
    tmx_log_batch_add_line(batch, line, 0);
  }
}

/* The judgement that counts: on the replica whose head is the commit's condition. */
static bool admitted(const struct tmx_scheduler *scheduler,
                     struct tmx_pending_submission *pending) {
  return tmx_admission_control_judge(scheduler->admission, &pending->candidate,
                                     &pending->dependencies)
             .verdict == TMX_ADMITTED;
}

static void refuse_overload(struct tmx_scheduler *scheduler) {
  for (size_t i = 0; i < scheduler->n_submissions;) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    size_t n = scheduler->n_submissions;
    if (!pending->sent_alone && !pending->in_batch && !pending->answered &&
        !admitted(scheduler, pending))
      settle_submission(scheduler, i, TMX_SUBMISSION_OVERLOAD);
    i += scheduler->n_submissions == n;
  }
}

/* In a value they come before the lines, so they are the first to go in. Those for which admission
 * has no room beside the others wait for the next batch, which judges them anew. */
void tmx_submission_queue_add_to_batch(struct tmx_scheduler *scheduler,
                                       struct tmx_log_batch *batch) {
  bool full = false;
  int conds = scheduler->settings->txn_ops *
              3; /* PROTOCOL allows four times as many; finished jobs need some */
  sort_submissions(scheduler);
  refuse_overload(scheduler);
  for (size_t i = 0; i < scheduler->n_submissions; i++) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    if (pending->sent_alone || pending->answered) continue;
    full = full || batch->transaction.n_conditions >= conds || !has_room(batch, pending);
    pending->in_batch = !full && admitted(scheduler, pending);
    pending->sent_at = tmx_clock_steady();
    if (!pending->in_batch) continue;
    tmx_admission_control_hold(scheduler->admission, &pending->candidate);
    require_unknown(&batch->transaction, pending->id);
    add_submission(batch, pending);
  }
}

void tmx_submission_queue_settle(struct tmx_scheduler *scheduler,
                                 enum tmx_transaction_result result) {
  for (size_t i = 0; i < scheduler->n_submissions;) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    bool sent = pending->in_batch;
    pending->in_batch = false;
    if (sent) tmx_admission_control_release(scheduler->admission, &pending->candidate);
    if (sent && result != TMX_TRANSACTION_CONFLICT)
      settle_submission(scheduler, i, outcome_of(result));
    else
      i++;
  }
}

static void on_single_commit(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_pending_submission *pending = arg;
  struct tmx_scheduler *scheduler = pending->scheduler;
  pending->sent_alone = false;
  tmx_admission_control_release(scheduler->admission, &pending->candidate);
  if (result == TMX_TRANSACTION_CONFLICT &&
      !pending->answered) { /* again once the replica has what won */
    pending->tries++;
    if (revision > scheduler->awaited_revision) scheduler->awaited_revision = revision;
    scheduler->awaited_revision_since = tmx_clock_steady();
    return;
  }
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    if (scheduler->submissions[i] == pending) {
      settle_submission(scheduler, i, outcome_of(result));
      return;
    }
}

/* Keys that a submission takes: its record, and lines for the ids that have no room there. */
static int n_values_of(const struct tmx_settings *settings,
                       const struct tmx_pending_submission *pending) {
  size_t room = tmx_value_room(settings), used = room; /* lines begin in a value of their own */
  int values = 1;
  char line[TMX_LINE_MAX];
  for (uint32_t at = pending->ids_in_record; at < pending->dependencies.count;) {
    tmx_dependency_line_print(line, sizeof line, pending->id, &pending->dependencies, &at);
    size_t len = tmx_json_text_length(line, strlen(line)) + 1;
    values += used + len > room;
    used = used + len > room ? len : used + len;
  }
  return values;
}

static bool too_large(const struct tmx_settings *settings,
                      const struct tmx_pending_submission *pending) {
  size_t room = tmx_value_room(settings);
  return pending->record_json_length > room || pending->n_values > settings->txn_ops - 1 ||
         (size_t)pending->n_values * (room + TMX_JSON_FRAME) > TMX_TRANSACTION_BYTES;
}

static struct tmx_pending_submission *new_pending_submission(
    struct tmx_scheduler *scheduler, const struct tmx_submission *submission) {
  struct tmx_pending_submission *pending = tmx_allocate(1, sizeof *pending);
  memcpy(pending->id, submission->id, sizeof pending->id);
  pending->ids_in_record = tmx_job_encode_open(&pending->value, submission->id, &submission->spec,
                                               submission->submitted_at, &submission->dependencies,
                                               tmx_value_room(scheduler->settings));
  pending->record_json_length = tmx_json_length(&pending->value);
  pending->dependencies.count = submission->dependencies.count;
  pending->dependencies.ids =
      calloc(submission->dependencies.count + 1, sizeof *pending->dependencies.ids);
  if (!pending->dependencies.ids) abort();
  if (submission->dependencies.count)
    memcpy(pending->dependencies.ids, submission->dependencies.ids,
           submission->dependencies.count * sizeof *submission->dependencies.ids);
  pending->n_values = n_values_of(scheduler->settings, pending);
  pending->candidate =
      tmx_admission_control_candidate(scheduler->admission, &submission->spec,
                                      tmx_team_index(scheduler->settings, submission->spec.team));
  pending->scheduler = scheduler;
  return pending;
}

enum tmx_submit_result tmx_scheduler_submit(struct tmx_scheduler *scheduler,
                                            const struct tmx_submission *submission, double within,
                                            tmx_submission_cb cb, void *arg) {
  if (scheduler->n_submissions == TMX_PENDING_SUBMISSIONS_MAX) return TMX_SUBMIT_QUEUE_FULL;
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    if (!strcmp(scheduler->submissions[i]->id, submission->id))
      return TMX_SUBMIT_QUEUE_FULL; /* it is on its way already */
  struct tmx_pending_submission *pending = new_pending_submission(scheduler, submission);
  if (too_large(scheduler->settings, pending)) {
    tmx_log(TMX_LOG_INFO,
            "job: %s refused: %zu bytes and %u awaited jobs take more than a transaction",
            submission->id, pending->record_json_length, submission->dependencies.count);
    tmx_pending_submission_free(pending);
    return TMX_SUBMIT_TOO_LARGE;
  }
  pending->deadline = tmx_clock_steady() + within;
  pending->cb = cb;
  pending->arg = arg;
  scheduler->submissions[scheduler->n_submissions++] = pending;
  return TMX_SUBMIT_QUEUED;
}

static void send_alone(struct tmx_scheduler *scheduler, struct tmx_pending_submission *pending) {
  struct tmx_transaction transaction = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", pending->id);
  tmx_transaction_require_version(&transaction, TMX_KEY_HEAD, scheduler->replica->head_version);
  require_unknown(&transaction, pending->id);
  tmx_transaction_put(&transaction, key, &pending->value, 0);
  pending->sent_at = tmx_clock_steady();
  pending->sent_alone =
      tmx_store_commit(scheduler->store, &transaction, true, on_single_commit, pending);
  if (pending->sent_alone) tmx_admission_control_hold(scheduler->admission, &pending->candidate);
}

static bool may_go_alone(const struct tmx_scheduler *scheduler,
                         struct tmx_pending_submission *pending) {
  if (pending->sent_alone || pending->in_batch || pending->n_values > 1 ||
      pending->tries >= TMX_SINGLE_SUBMISSION_TRIES)
    return false;
  if (!tmx_admission_control_may_commit_alone(scheduler->admission, &pending->candidate,
                                              &pending->dependencies))
    return false;
  return tmx_store_reserve_submission_write(scheduler->store);
}

/* A few submissions go out at once, each as a put; when there are many, or puts are short, they
 * wait for the next batch, which holds dozens in one. */
void tmx_scheduler_flush(struct tmx_scheduler *scheduler) {
  size_t idle = 0;
  if (!scheduler->n_submissions) return;
  sort_submissions(scheduler);
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    idle += !scheduler->submissions[i]->sent_alone && !scheduler->submissions[i]->in_batch;
  if (!idle) return;
  /* a batch under way is decided once head has moved, whenever its answer comes */
  bool decided = !scheduler->batch_in_flight ||
                 scheduler->replica->head_version != scheduler->sent_head_version;
  if (idle <= TMX_SINGLE_SUBMISSIONS_MAX && scheduler->replica->loaded && decided &&
      tmx_scheduler_caught_up(scheduler)) {
    for (size_t i = 0; i < scheduler->n_submissions; i++) {
      struct tmx_pending_submission *pending = scheduler->submissions[i];
      if (!may_go_alone(scheduler, pending)) continue;
      send_alone(scheduler, pending);
      idle -= pending->sent_alone;
    }
  }
  if (idle) tmx_scheduler_trigger_within(scheduler, 0.02);
}
