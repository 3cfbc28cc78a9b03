#include "scheduler/submission_queue.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

enum tmx_submit_result tmx_scheduler_submit(struct tmx_scheduler *scheduler,
                                            const struct tmx_submission *submission,
                                            double within_s, tmx_submission_cb callback,
                                            void *arg) {
  if (scheduler->n_submissions == TMX_PENDING_SUBMISSIONS_MAX) return TMX_SUBMIT_QUEUE_FULL;
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    if (!strcmp(scheduler->submissions[i]->id, submission->id))
      return TMX_SUBMIT_QUEUE_FULL; /* already queued or in flight */
  struct tmx_pending_submission *pending = tmx_pending_submission_new(scheduler, submission);
  if (tmx_pending_submission_is_too_large(pending)) {
    tmx_log(TMX_LOG_INFO,
            "job: %s rejected: a record of %zu bytes and %u dependencies exceed the limits of a "
            "transaction",
            submission->id, pending->record_json_length, submission->prerequisite_ids.count);
    tmx_pending_submission_free(pending);
    return TMX_SUBMIT_TOO_LARGE;
  }
  pending->deadline = tmx_clock_steady() + within_s;
  pending->callback = callback;
  pending->callback_arg = arg;
  scheduler->submissions[scheduler->n_submissions++] = pending;
  return TMX_SUBMIT_QUEUED;
}

static enum tmx_submission_outcome outcome_of(enum tmx_transaction_result result) {
  switch (result) {
    case TMX_TRANSACTION_COMMITTED:
      return TMX_SUBMISSION_COMMITTED;
    case TMX_TRANSACTION_CONFLICT:
      return TMX_SUBMISSION_ALREADY_COMMITTED;
    case TMX_TRANSACTION_NOT_EXECUTED:
      return TMX_SUBMISSION_NOT_COMMITTED;
    case TMX_TRANSACTION_UNKNOWN:
      break;
  }
  return TMX_SUBMISSION_OUTCOME_UNKNOWN;
}

/* Answers the submission at this index, unless that was done before, and removes it from the queue.
 * Returns false if the submission stays queued because its single transaction is in flight; the
 * result of that transaction then removes it. */
static bool answer_and_remove(struct tmx_scheduler *scheduler, size_t index,
                              enum tmx_submission_outcome outcome) {
  struct tmx_pending_submission *pending = scheduler->submissions[index];
  if (!pending->answered) pending->callback(pending->callback_arg, outcome);
  pending->answered = true;
  if (pending->state == TMX_PENDING_SUBMISSION_SENT_SINGLY) return false;
  if (pending->state == TMX_PENDING_SUBMISSION_IN_BATCH)
    tmx_admission_control_release(scheduler->admission, &pending->admission_request);
  scheduler->submissions[index] = scheduler->submissions[--scheduler->n_submissions];
  tmx_pending_submission_free(pending);
  return true;
}

/* Returns whether the replica contains the job of an unanswered submission. Ignores a submission
 * in flight unless its response is slow: only if the response is slow may the replica show the
 * commit before the response arrives. */
static bool is_already_committed(const struct tmx_scheduler *scheduler,
                                 const struct tmx_pending_submission *pending, double now) {
  bool in_flight = pending->state != TMX_PENDING_SUBMISSION_QUEUED;
  if (pending->answered || (in_flight && now - pending->sent_at <= TMX_STORE_SLOW_RESPONSE_S))
    return false;
  return tmx_job_find(scheduler->replica, pending->id);
}

void tmx_submission_queue_answer_resolved(struct tmx_scheduler *scheduler) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < scheduler->n_submissions;) {
    const struct tmx_pending_submission *pending = scheduler->submissions[i];
    bool removed = false;
    if (is_already_committed(scheduler, pending, now))
      removed = answer_and_remove(scheduler, i, TMX_SUBMISSION_ALREADY_COMMITTED);
    else if (pending->state == TMX_PENDING_SUBMISSION_QUEUED && now > pending->deadline)
      removed = answer_and_remove(scheduler, i, TMX_SUBMISSION_NOT_COMMITTED);
    if (!removed) i++;
  }
}

void tmx_submission_queue_handle_batch_result(struct tmx_scheduler *scheduler,
                                              enum tmx_transaction_result result) {
  for (size_t i = 0; i < scheduler->n_submissions;) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    bool sent = pending->state == TMX_PENDING_SUBMISSION_IN_BATCH, removed = false;
    if (sent) {
      pending->state = TMX_PENDING_SUBMISSION_QUEUED;
      tmx_admission_control_release(scheduler->admission, &pending->admission_request);
    }
    if (sent && result != TMX_TRANSACTION_CONFLICT)
      removed = answer_and_remove(scheduler, i, outcome_of(result));
    if (!removed) i++;
  }
}

void tmx_submission_queue_handle_single_result(struct tmx_scheduler *scheduler,
                                               const struct tmx_pending_submission *pending,
                                               enum tmx_transaction_result result) {
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    if (scheduler->submissions[i] == pending) {
      answer_and_remove(scheduler, i, outcome_of(result));
      return;
    }
}

/* Makes the authoritative admission decision: the replica that it uses has the head version that
 * the commit requires. */
static bool is_admitted(const struct tmx_scheduler *scheduler,
                        struct tmx_pending_submission *pending) {
  return tmx_admission_control_decide(scheduler->admission, &pending->admission_request,
                                      &pending->prerequisite_ids)
             .result == TMX_ADMITTED;
}

static void reject_not_admitted(struct tmx_scheduler *scheduler) {
  for (size_t i = 0; i < scheduler->n_submissions;) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    bool waits = pending->state == TMX_PENDING_SUBMISSION_QUEUED && !pending->answered;
    bool removed = waits && !is_admitted(scheduler, pending) &&
                   answer_and_remove(scheduler, i, TMX_SUBMISSION_NOT_ADMITTED);
    if (!removed) i++;
  }
}

/* Returns whether the submission fits into the batch. A submission is always committed in a single
 * transaction, so that no reader sees only a part of it. A submission that needs several values
 * must be the first in its batch, and raises the put limit of the batch to what it needs. */
static bool has_free_capacity(struct tmx_log_batch *batch,
                              const struct tmx_pending_submission *pending) {
  if (pending->n_values > 1) {
    if (batch->n_lines || batch->n_job_records || batch->transaction.n_operations) return false;
    if (batch->writes_left < pending->n_values) batch->writes_left = pending->n_values;
  }
  return tmx_log_batch_fits(batch, pending->record_json_length, 0);
}

static void add_submission(struct tmx_log_batch *batch,
                           const struct tmx_pending_submission *pending) {
  char line[TMX_LOG_LINE_BYTES];
  uint32_t position = pending->n_prerequisites_in_record;
  tmx_pending_submission_require_absent(pending, &batch->transaction);
  tmx_log_batch_add_job(batch, &pending->record, pending->record_json_length);
  while (tmx_pending_submission_next_line(pending, &position, line, sizeof line))
    tmx_log_batch_add_line(batch, line, 0);
}

/* A submission that is not admitted in addition to those already in the batch waits for the next
 * batch, for which admission control decides again. The protocol allows four conditions per put;
 * submissions use at most three of them, since the final states of jobs need conditions as well. */
void tmx_submission_queue_add_to_batch(struct tmx_scheduler *scheduler,
                                       struct tmx_log_batch *batch) {
  bool full = false;
  int max_conditions = scheduler->settings->txn_ops * 3;
  tmx_submission_queue_answer_resolved(scheduler);
  reject_not_admitted(scheduler);
  for (size_t i = 0; i < scheduler->n_submissions; i++) {
    struct tmx_pending_submission *pending = scheduler->submissions[i];
    if (pending->state == TMX_PENDING_SUBMISSION_SENT_SINGLY || pending->answered) continue;
    full = full || batch->transaction.n_conditions >= max_conditions ||
           !has_free_capacity(batch, pending);
    bool sent = !full && is_admitted(scheduler, pending);
    pending->state = sent ? TMX_PENDING_SUBMISSION_IN_BATCH : TMX_PENDING_SUBMISSION_QUEUED;
    pending->sent_at = tmx_clock_steady();
    if (!sent) continue;
    tmx_admission_control_reserve(scheduler->admission, &pending->admission_request);
    add_submission(batch, pending);
  }
}
