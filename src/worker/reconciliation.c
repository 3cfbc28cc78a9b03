#include "worker/reconciliation.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "worker/fencing.h"
#include "worker/worker_table.h"

/* The task in the log whose current attempt on this machine is the reported one; NULL if there is
 * none. */
static struct tmx_task *find_in_log(const struct tmx_worker *worker,
                                    const struct tmx_reported_task *reported) {
  const struct tmx_job *job = tmx_job_find(worker->workers->replica, reported->job);
  if (!job || !job->tasks || reported->task >= job->spec.tasks) return NULL;
  struct tmx_task *task = &job->tasks[reported->task];
  bool is_same = task->state == TMX_TASK_PLACED && task->attempt == reported->attempt &&
                 task->machine == worker->machine;
  return is_same ? task : NULL;
}

void tmx_worker_reconcile(struct tmx_worker *worker) {
  struct tmx_worker_reconciliation *last = &worker->reconciliation;
  const struct tmx_worker_report *report = &worker->report;
  if (!worker->machine || (last->report_number == report->number &&
                           last->machine_change_count == worker->machine->change_count))
    return;
  last->report_number = report->number;
  last->machine_change_count = worker->machine->change_count;
  for (size_t i = 0; i < report->n_tasks; i++) {
    struct tmx_reported_task *reported = &report->tasks[i];
    struct tmx_task *task = find_in_log(worker, reported);
    reported->in_log = task != NULL;
    if (!task) continue;
    task->last_report_number = report->number;
    task->reported_state = reported->state;
    task->reported_end = reported->end_reason;
  }
}

bool tmx_worker_reports_task(const struct tmx_worker *worker, const struct tmx_task *task) {
  return task->last_report_number == worker->report.number;
}

bool tmx_task_must_end(const struct tmx_task *task) {
  return task->stop_mode || task->job->outcome;
}

static void record_running(const struct tmx_worker *worker, struct tmx_task *task) {
  if (task->running_since) return;
  task->running_since = (float)tmx_clock_steady();
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "task: %s/%u attempt %u is running on %s, image %s, placed %.2f s ago",
            task->job->id, tmx_task_index(task), task->attempt, worker->id, task->job->spec.image,
            tmx_clock_steady() - task->placed_at);
}

void tmx_worker_process_report(struct tmx_worker *worker) {
  struct tmx_scheduler *scheduler = worker->workers->scheduler;
  tmx_worker_reconcile(worker);
  for (struct tmx_task *task = worker->machine->tasks; task; task = task->next) {
    bool is_reported = tmx_worker_reports_task(worker, task);
    bool has_exited = is_reported && task->reported_state == TMX_REPORTED_EXITED;
    if (is_reported && task->reported_state == TMX_REPORTED_RUNNING) record_running(worker, task);
    if (!has_exited && !tmx_task_must_end(task)) continue;
    tmx_worker_enqueue_for_completions(worker);
    if (has_exited && task->stop_mode) /* stopped for other work, which awaits the capacity */
      tmx_scheduler_trigger(scheduler);
    else
      tmx_scheduler_trigger_within(scheduler, TMX_COMPLETIONS_DELAY_S);
  }
}

/* The end (TMX_END_*) of the attempt that the report proves; 0 if it proves none. */
static char proven_end(const struct tmx_worker *worker, const struct tmx_task *task) {
  if (!tmx_worker_reports_task(worker, task))
    return tmx_task_must_end(task) && tmx_worker_absence_proves_end(worker) ? TMX_END_STOPPED : 0;
  if (task->reported_state != TMX_REPORTED_EXITED ||
      !tmx_worker_end_is_proven(worker, task->reported_end))
    return 0;
  return task->reported_end;
}

static void write_end_operation(struct tmx_operation *operation, const struct tmx_task *task,
                                char end_reason) {
  memset(operation, 0, sizeof *operation);
  operation->kind = TMX_OPERATION_END;
  operation->task = tmx_task_index(task);
  operation->attempt = task->attempt;
  operation->reason = end_reason;
  snprintf(operation->job, sizeof operation->job, "%s", task->job->id);
}

/* Returns the number of operations written. Sets *is_pending if the worker must be checked again:
 * an end was found and is not committed yet, or an end is still expected. */
static size_t collect_from_worker(struct tmx_worker *worker, struct tmx_operation *operations,
                                  size_t max, bool *is_pending) {
  size_t count = 0;
  *is_pending = false;
  if (!worker->machine || !worker->machine->registered || !worker->machine->tasks ||
      !worker->report.session || !tmx_worker_update_ownership(worker))
    return 0; /* the worker is queued again when one of these conditions changes */
  tmx_worker_reconcile(worker);
  for (const struct tmx_task *task = worker->machine->tasks; task && count < max;
       task = task->next) {
    char end_reason = proven_end(worker, task);
    if (end_reason) write_end_operation(&operations[count++], task, end_reason);
    if (end_reason || tmx_task_must_end(task)) *is_pending = true;
  }
  return count;
}

size_t tmx_workers_collect_completions(struct tmx_workers *workers,
                                       struct tmx_operation *operations, size_t max) {
  struct tmx_worker_queue *queue = &workers->completion_queue;
  size_t count = 0, kept = 0;
  for (size_t i = 0; i < queue->length; i++) {
    struct tmx_worker *worker = queue->items[i];
    if (!worker) continue;
    bool is_pending = true;
    if (count < max)
      count += collect_from_worker(worker, operations + count, max - count, &is_pending);
    worker->reconciliation.is_queued = is_pending;
    if (is_pending) queue->items[kept++] = worker;
  }
  queue->length = kept;
  return count;
}

/* A machine is registered only after its worker has shown a token of this controller. A late copy
 * of a report from a machine that was returned to the cloud provider never shows one. */
static bool may_be_registered(struct tmx_worker *worker, double since) {
  if ((worker->machine && worker->machine->registered) || !worker->report.session) return false;
  if (!worker->liveness.heartbeat_at || worker->liveness.heartbeat_at < since) return false;
  return tmx_worker_update_ownership(worker) && tmx_worker_acknowledges_owner(worker);
}

size_t tmx_workers_collect_unregistered(struct tmx_workers *workers,
                                        struct tmx_machine_description *descriptions, size_t max) {
  size_t count = 0;
  double since = tmx_clock_steady() - 2 * workers->settings->report_s;
  struct tmx_worker *worker, *next;
  if (!workers->unregistered_seen_at || workers->unregistered_seen_at < since) return 0;
  HASH_ITER(hh, workers->all, worker, next) {
    if (count == max) break;
    if (may_be_registered(worker, since)) descriptions[count++] = worker->report.description;
  }
  return count;
}
