#include "scheduler/round_batch.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "scheduler/pending_lines.h"
#include "scheduler/submission_queue.h"

static int compare_by_group(const void *a, const void *b) {
  const struct tmx_operation *left = a, *right = b;
  int order = strcmp(left->job, right->job);
  if (!order) order = (left->attempt > right->attempt) - (left->attempt < right->attempt);
  if (!order) order = left->reason - right->reason;
  return order ? order : (left->task > right->task) - (left->task < right->task);
}

static struct tmx_task *completed_task(const struct tmx_scheduler *scheduler, size_t index) {
  return tmx_operation_find_task(scheduler->replica, &scheduler->completions[index]);
}

static void clear_completion_counts(struct tmx_scheduler *scheduler) {
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = completed_task(scheduler, i);
    if (task) task->job->n_completions_in_batch = 0;
  }
}

/* Counts the jobs whose last completion is among the collected ones. The final state of each needs
 * a put, for which users and dependent jobs wait. */
static int count_last_completions(struct tmx_scheduler *scheduler) {
  int n = 0;
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = completed_task(scheduler, i);
    if (!task || scheduler->completions[i].reason != TMX_END_DONE || task->job->outcome) continue;
    if (task->job->n_done + ++task->job->n_completions_in_batch == task->job->spec.tasks) n++;
  }
  clear_completion_counts(scheduler);
  return n;
}

/* Returns how many puts the batch may contain besides that of the head key. */
static int max_writes(struct tmx_scheduler *scheduler) {
  double budget = tmx_store_write_budget(scheduler->store);
  int limit = scheduler->settings->txn_ops - 1, writes = limit;
  if (budget < writes + 1) writes = (int)floor(budget) - 1;
  if (writes < 1)
    writes = 1; /* a round begins with the budget for one put, or once per second without it */
  int n_final_states = (int)fmin(limit - writes, count_last_completions(scheduler));
  if (n_final_states > 0)
    writes += tmx_store_reserve_unused_writes(scheduler->store, n_final_states);
  return writes;
}

/* Leaves a job's last completion for a later round. The last completion and the final state of the
 * job must be in one transaction, so it needs an additional put. If this batch allows no further
 * put or final state, the other completions are committed without it, and the next round waits
 * until the write budget allows the additional put. Otherwise such a completion could block the log
 * permanently. */
static void defer_last_completion(struct tmx_scheduler *scheduler, struct tmx_round_batch *batch,
                                  const char *job_id) {
  scheduler->min_batch_writes = TMX_BATCH_WRITES_MIN + 1;
  batch->completion_deferred = true;
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG,
            "job: %s: last completion deferred, this batch cannot hold the final state", job_id);
}

/* Adds a completion unless it is outdated or deferred. Returns false if the batch is full. */
static bool add_completion(struct tmx_scheduler *scheduler, struct tmx_round_batch *batch,
                           const struct tmx_operation *operation) {
  const struct tmx_task *task = tmx_operation_find_task(scheduler->replica, operation);
  if (!task || task->state != TMX_TASK_PLACED || task->attempt != operation->attempt) return true;
  struct tmx_job *job = task->job;
  bool counts_as_done = operation->reason == TMX_END_DONE && !job->outcome;
  bool is_last = counts_as_done && job->n_done + job->n_completions_in_batch + 1 == job->spec.tasks;
  if (is_last &&
      (batch->n_finished_jobs == TMX_BATCH_FINISHED_JOBS_MAX || batch->log_batch.writes_left < 2)) {
    defer_last_completion(scheduler, batch, operation->job);
    return true;
  }
  if (!tmx_log_batch_add_operation(&batch->log_batch, operation, is_last)) return false;
  tmx_operation_check_apply(&batch->check, operation);
  if (counts_as_done) job->n_completions_in_batch++;
  if (!is_last) return true;
  batch->finished_jobs[batch->n_finished_jobs++] = job;
  batch->log_batch.writes_left--;
  return true;
}

static void add_completions(struct tmx_scheduler *scheduler, struct tmx_round_batch *batch) {
  if (batch->log_batch.grouping_enabled)
    qsort(scheduler->completions, scheduler->n_completions, sizeof *scheduler->completions,
          compare_by_group);
  for (size_t i = 0; i < scheduler->n_completions && !batch->full; i++)
    batch->full = !add_completion(scheduler, batch, &scheduler->completions[i]);
  clear_completion_counts(scheduler);
}

static void add_registrations(struct tmx_scheduler *scheduler, struct tmx_round_batch *batch) {
  struct tmx_machine_description machines[TMX_BATCH_REGISTRATIONS_MAX];
  char line[TMX_LOG_LINE_BYTES];
  if (batch->full) return;
  size_t n = scheduler->source.collect_unregistered(scheduler->source.context, machines,
                                                    TMX_BATCH_REGISTRATIONS_MAX);
  for (size_t i = 0; i < n && !batch->full; i++) {
    snprintf(line, sizeof line, "m %.31s %.63s %.31s %.63s %d 0", machines[i].id, machines[i].addr,
             machines[i].type, machines[i].zone, machines[i].spot);
    batch->full = !tmx_log_batch_add_line(&batch->log_batch, line, 0);
  }
  if (n == TMX_BATCH_REGISTRATIONS_MAX) batch->full = true;
}

/* The check rejects planned operations that are no longer valid. This includes placements that need
 * the resources of a task whose completion did not fit into the batch. */
static void add_planned_operations(const struct tmx_scheduler *scheduler,
                                   struct tmx_round_batch *batch) {
  for (size_t i = 0; i < scheduler->plan.n_operations && !batch->full; i++) {
    const struct tmx_operation *operation = &scheduler->plan.operations[i];
    if (!tmx_operation_check_apply(&batch->check, operation)) continue;
    batch->full = !tmx_log_batch_add_operation(&batch->log_batch, operation, 0);
    batch->n_planned_operations += !batch->full;
  }
}

static void add_final_states(const struct tmx_scheduler *scheduler, struct tmx_round_batch *batch) {
  double ended_at = scheduler->replica->dependencies_in_use ? tmx_clock_wall() : 0;
  for (size_t i = 0; i < batch->n_finished_jobs; i++)
    tmx_log_batch_put_outcome(&batch->log_batch, batch->finished_jobs[i], TMX_JOB_DONE, ended_at);
}

/* Stores the final state of jobs that were cancelled because a prerequisite was cancelled. Until it
 * is stored, every replica and every compaction must keep the records from which the cancellation
 * is derived. This is housekeeping: only the leader does it, and only with spare write budget. */
static void add_derived_final_states(struct tmx_scheduler *scheduler,
                                     struct tmx_log_batch *log_batch) {
  struct tmx_replica *replica = scheduler->replica;
  tmx_replica_prune_unstored_outcomes(replica);
  if (!tmx_store_is_leader(scheduler->store) ||
      !tmx_store_has_housekeeping_budget(scheduler->store))
    return;
  for (size_t i = 0; i < replica->n_unstored_outcomes && log_batch->writes_left >= 1; i++) {
    tmx_log_batch_put_outcome(log_batch, replica->unstored_outcomes[i], TMX_JOB_CANCELLED, 0);
    log_batch->writes_left--;
  }
}

void tmx_round_batch_build(struct tmx_round_batch *batch, struct tmx_scheduler *scheduler) {
  memset(batch, 0, sizeof *batch);
  tmx_log_batch_begin(&batch->log_batch, scheduler, max_writes(scheduler));
  scheduler->min_batch_writes = TMX_BATCH_WRITES_MIN;
  tmx_operation_check_begin(&batch->check, scheduler->replica);
  tmx_submission_queue_add_to_batch(scheduler, &batch->log_batch);
  add_completions(scheduler, batch);
  tmx_pending_lines_add_to_batch(scheduler, &batch->log_batch, &batch->full);
  add_registrations(scheduler, batch);
  add_planned_operations(scheduler, batch);
  tmx_log_batch_end_value(&batch->log_batch);
  add_final_states(scheduler, batch);
  add_derived_final_states(scheduler, &batch->log_batch);
  tmx_log_batch_free_buffers(&batch->log_batch);
}
