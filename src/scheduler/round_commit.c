/* The batch of a round: what was planned is checked line by line and sent as one transaction. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "scheduler/log_batch.h"
#include "base/clock.h"

static void on_batch(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_scheduler *scheduler = arg;
  scheduler->batch_in_flight = false;
  if (revision > scheduler->awaited_revision) scheduler->awaited_revision = revision;
  scheduler->awaited_revision_since = tmx_clock_steady();
  tmx_submission_queue_settle(scheduler, result);
  if (result == TMX_TRANSACTION_CONFLICT && ++scheduler->resends <= TMX_RESENDS_MAX) {
    /* what was planned is checked again on the state that won, and sent anew */
    tmx_scheduler_trigger_within(scheduler, 0.05);
    return;
  }
  if (result == TMX_TRANSACTION_COMMITTED) {
    size_t n = 0;
    for (size_t i = 0; i < scheduler->n_pending_lines; i++) /* those that came meanwhile stay */
      if (!scheduler->pending_lines[i].sent)
        scheduler->pending_lines[n++] = scheduler->pending_lines[i];
    scheduler->n_pending_lines = n;
  } else if (tmx_log_enabled(TMX_LOG_DEBUG)) {
    tmx_log(TMX_LOG_DEBUG, "round: not committed (%d)", result);
  }
  bool cut = scheduler->plan.truncated;
  tmx_scheduler_abandon_round(scheduler);
  tmx_scheduler_trigger_within(scheduler, result == TMX_TRANSACTION_COMMITTED
                                              ? (cut ? 0 : TMX_ROUND_SPACING_S)
                                              : TMX_STORE_RETRY_S);
}

static int compare_by_group(const void *a, const void *b) {
  const struct tmx_operation *left = a, *right = b;
  int order = strcmp(left->job, right->job);
  if (!order) order = (left->attempt > right->attempt) - (left->attempt < right->attempt);
  if (!order) order = left->reason - right->reason;
  return order ? order : (left->task > right->task) - (left->task < right->task);
}

/* Jobs whose last task's end is among those at hand. Their final states need a put each, and users
 * and the jobs after them wait for these. */
static int count_last_completions(const struct tmx_scheduler *scheduler) {
  const struct tmx_replica *replica = scheduler->replica;
  int n = 0;
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_task(replica, &scheduler->completions[i]);
    if (!task || scheduler->completions[i].reason != TMX_END_DONE || task->job->outcome) continue;
    if (task->job->n_done + ++task->job->n_completions_in_batch == task->job->spec.tasks) n++;
  }
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_task(replica, &scheduler->completions[i]);
    if (task) task->job->n_completions_in_batch = 0;
  }
  return n;
}

/* A batch while it is put together. */
struct batch_draft {
  struct tmx_log_batch batch;
  struct tmx_operation_check check;
  struct tmx_job *finished_jobs[TMX_FINISHED_MAX]; /* jobs whose last end is in it */
  size_t n_finished_jobs, placed;
  bool full;  /* something found no room */
  bool later; /* a job's last end waits for a put */
};

/* How many puts the batch may take, beside the one of head. */
static int spare_writes(struct tmx_scheduler *scheduler) {
  double budget = tmx_store_write_budget(scheduler->store);
  int most = scheduler->settings->txn_ops - 1, spare = most;
  if (budget < spare + 1) spare = (int)floor(budget) - 1;
  if (spare < 1) spare = 1; /* begin() saw to it that this much may be sent */
  int for_ends = (int)fmin(most - spare, count_last_completions(scheduler));
  return for_ends > 0 ? spare + tmx_store_reserve_unused_writes(scheduler->store, for_ends) : spare;
}

/* false: the batch is full. The last task's end and the job's final state are one transaction. A
 * job's last end needs a put more. When there is none for it the others go on without it, and the
 * next round waits for enough: or one such end would hold the whole log up for good. */
static bool add_completion(struct tmx_scheduler *scheduler, struct batch_draft *draft,
                           const struct tmx_operation *operation) {
  struct tmx_task *task = tmx_operation_task(scheduler->replica, operation);
  if (!task || task->state != TMX_TASK_PLACED || task->attempt != operation->attempt) return true;
  bool counts = operation->reason == TMX_END_DONE && !task->job->outcome;
  bool last =
      counts && task->job->n_done + task->job->n_completions_in_batch + 1 == task->job->spec.tasks;
  if (last && (draft->n_finished_jobs == TMX_FINISHED_MAX || draft->batch.writes_left < 2)) {
    scheduler->needed_writes = TMX_ROUND_WRITES + 1;
    draft->later = true;
    if (tmx_log_enabled(TMX_LOG_DEBUG))
      tmx_log(TMX_LOG_DEBUG, "job: %s is done, and waits for a put", operation->job);
    return true;
  }
  if (!tmx_log_batch_add_operation(&draft->batch, operation, last)) return false;
  tmx_operation_check_apply(&draft->check, operation);
  if (counts) task->job->n_completions_in_batch++;
  if (!last) return true;
  draft->finished_jobs[draft->n_finished_jobs++] = task->job;
  draft->batch.writes_left--;
  return true;
}

static void add_completions(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  if (draft->batch.grouped)
    qsort(scheduler->completions, scheduler->n_completions, sizeof *scheduler->completions,
          compare_by_group);
  for (size_t i = 0; i < scheduler->n_completions && !draft->full; i++)
    draft->full = !add_completion(scheduler, draft, &scheduler->completions[i]);
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_task(scheduler->replica, &scheduler->completions[i]);
    if (task) task->job->n_completions_in_batch = 0;
  }
}

static void add_pending_lines(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  for (size_t i = 0; i < scheduler->n_pending_lines; i++) {
    scheduler->pending_lines[i].sent =
        !draft->full && tmx_log_batch_add_line(&draft->batch, scheduler->pending_lines[i].text, 0);
    draft->full |= !scheduler->pending_lines[i].sent;
  }
}

static void add_registrations(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  struct tmx_machine_facts facts[TMX_REGISTER_MAX];
  char line[TMX_LINE_MAX];
  if (draft->full) return;
  size_t n =
      scheduler->source.collect_unregistered(scheduler->source.context, facts, TMX_REGISTER_MAX);
  for (size_t i = 0; i < n && !draft->full; i++) {
    snprintf(line, sizeof line, "m %.31s %.63s %.31s %.63s %d 0", facts[i].id, facts[i].addr,
             facts[i].type, facts[i].zone, facts[i].spot);
    draft->full = !tmx_log_batch_add_line(&draft->batch, line, 0);
  }
  if (n == TMX_REGISTER_MAX) draft->full = true;
}

/* Room whose end did not fit into the batch is not free in the log: the check sees that. */
static void add_planned(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  for (size_t i = 0; i < scheduler->plan.n_operations && !draft->full; i++) {
    const struct tmx_operation *operation = &scheduler->plan.operations[i];
    if (!tmx_operation_check_apply(&draft->check, operation)) continue;
    draft->full = !tmx_log_batch_add_operation(&draft->batch, operation, 0);
    draft->placed += !draft->full;
  }
}

static void put_outcome(struct tmx_scheduler *scheduler, struct tmx_log_batch *batch,
                        const struct tmx_job *job, int fin, double ended) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", job->id);
  tmx_transaction_require_version(&batch->transaction, key, job->version);
  batch->value_buffer.length = 0;
  tmx_job_encode_final(&batch->value_buffer, job, fin, ended, tmx_value_room(scheduler->settings));
  tmx_transaction_put(&batch->transaction, key, &batch->value_buffer, 0);
}

/* Jobs that were cancelled through others get a final state of their own while puts are to spare:
 * until then every copy, and every fold, keeps what they were derived from. */
static void add_derived_outcomes(struct tmx_scheduler *scheduler, struct tmx_log_batch *batch) {
  tmx_replica_prune_unstored(scheduler->replica);
  if (!tmx_store_is_leader(scheduler->store) ||
      !tmx_store_has_housekeeping_budget(scheduler->store))
    return;
  for (size_t i = 0; i < scheduler->replica->n_unstored_outcomes && batch->writes_left >= 1;
       i++, batch->writes_left--)
    put_outcome(scheduler, batch, scheduler->replica->unstored_outcomes[i], TMX_JOB_CANCELLED, 0);
}

static void add_outcomes(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  double ended = scheduler->replica->dependencies_in_use ? tmx_clock_wall() : 0;
  tmx_log_batch_end_value(&draft->batch);
  for (size_t i = 0; i < draft->n_finished_jobs; i++)
    put_outcome(scheduler, &draft->batch, draft->finished_jobs[i], TMX_JOB_DONE, ended);
  add_derived_outcomes(scheduler, &draft->batch);
}

static void free_draft(struct batch_draft *draft) {
  tmx_buffer_free(&draft->batch.operations);
  tmx_buffer_free(&draft->batch.jobs);
  tmx_buffer_free(&draft->batch.value_buffer);
}

static void nothing_to_send(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  bool cut = scheduler->plan.truncated;
  tmx_buffer_free(&draft->batch.transaction.conditions);
  tmx_buffer_free(&draft->batch.transaction.operations);
  tmx_scheduler_abandon_round(scheduler);
  if (cut) tmx_scheduler_trigger_within(scheduler, TMX_ROUND_EMPTY_S);
}

static void send_batch(struct tmx_scheduler *scheduler, struct batch_draft *draft) {
  tmx_transaction_advance_head(&draft->batch.transaction, scheduler->settings->node_name);
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "round: %zu ends, %zu of %zu planned, %zu looked at, %d keys, resent %d",
            scheduler->n_completions, draft->placed, scheduler->plan.n_operations,
            scheduler->plan.visits, draft->batch.transaction.n_operations, scheduler->resends);
  scheduler->sent_head_version = scheduler->replica->head_version;
  scheduler->batch_in_flight =
      tmx_store_commit(scheduler->store, &draft->batch.transaction, true, on_batch, scheduler);
  if (scheduler->batch_in_flight) return;
  tmx_submission_queue_settle(
      scheduler, TMX_TRANSACTION_CONFLICT); /* not sent: as if something else had won */
  tmx_scheduler_abandon_round(scheduler);
  tmx_scheduler_trigger_within(scheduler, TMX_STORE_RETRY_S);
}

/* The log's order in a batch: submissions, ends, machines, placements and stops. The version in
 * production does not read lines of several operations: see docs/design.md. */
void tmx_scheduler_commit(struct tmx_scheduler *scheduler) {
  struct batch_draft draft = {.batch = {.scheduler = scheduler,
                                        .value_json_max = tmx_value_room(scheduler->settings),
                                        .grouped = scheduler->replica->dependencies_in_use,
                                        .writes_left = spare_writes(scheduler)}};
  scheduler->needed_writes = TMX_ROUND_WRITES;
  tmx_transaction_require_version(&draft.batch.transaction, TMX_KEY_HEAD,
                                  scheduler->replica->head_version);
  tmx_operation_check_begin(&draft.check, scheduler->replica);
  tmx_submission_queue_add_to_batch(scheduler, &draft.batch);
  add_completions(scheduler, &draft);
  add_pending_lines(scheduler, &draft);
  add_registrations(scheduler, &draft);
  add_planned(scheduler, &draft);
  add_outcomes(scheduler, &draft);
  free_draft(&draft);
  scheduler->plan.truncated |= draft.full || draft.later;
  if (draft.batch.transaction.n_operations)
    send_batch(scheduler, &draft);
  else
    nothing_to_send(scheduler, &draft);
}
