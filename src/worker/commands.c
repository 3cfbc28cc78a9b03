#include "worker/commands.h"

#include <stdio.h>

#include "tmx/wire.h"
#include "worker/fencing.h"
#include "worker/reconciliation.h"
#include "worker/report_intake.h"
#include "worker/traffic.h"
#include "worker/worker_connection.h"

/* The grace period of a command that has none. */
static const double NO_GRACE = -1;

/* Identifies an attempt in a command. */
struct attempt_id {
  const char *job;
  uint32_t task;
  uint32_t attempt;
};

static struct attempt_id identify_task(const struct tmx_task *task) {
  return (struct attempt_id){task->job->id, tmx_task_index(task), task->attempt};
}

static struct attempt_id identify_reported_task(const struct tmx_reported_task *reported) {
  return (struct attempt_id){reported->job, reported->task, reported->attempt};
}

static void append_command(struct tmx_command_list *list, const char *operation,
                           struct attempt_id attempt, double grace_s) {
  struct tmx_buffer *buffer = &list->encoded;
  char task[TMX_ID_BYTES + 16];
  snprintf(task, sizeof task, "%s/%u", attempt.job, attempt.task);
  tmx_cbor_put_map(buffer, grace_s >= 0 ? 4 : 3);
  tmx_cbor_put_text_field(buffer, W_OPERATION, operation);
  tmx_cbor_put_text_field(buffer, W_TASK, task);
  tmx_cbor_put_u64_field(buffer, W_ATTEMPT, attempt.attempt);
  if (grace_s >= 0) tmx_cbor_put_double_field(buffer, W_GRACE, grace_s);
  list->count++;
}

/* Stops the reported attempts that the log places on the machine and that must end. */
static void append_stops(const struct tmx_worker *worker, struct tmx_command_list *list) {
  for (const struct tmx_task *task = worker->machine->tasks;
       task && list->count < TMX_MESSAGE_COMMANDS_MAX; task = task->next) {
    if (!tmx_worker_reports_task(worker, task) || task->reported_state == TMX_REPORTED_EXITED ||
        !tmx_task_must_end(task))
      continue;
    bool saves = task->stop_mode == TMX_STOP_AFTER_SAVING && !task->job->outcome;
    if (saves && task->reported_state == TMX_REPORTED_SAVING) continue;
    append_command(list, WV_STOP, identify_task(task),
                   saves ? task->job->spec.checkpoint_save_s + 1.0 : 0.0);
  }
}

/* Handles reported attempts that the log does not place on the machine. The log needs no report of
 * their ends. The worker may forget the attempts that have exited. It must not forget those that
 * still run, and it receives commands to stop them. */
static void append_commands_for_unplaced(const struct tmx_worker *worker,
                                         enum tmx_command_scope scope,
                                         struct tmx_command_list *list) {
  const struct tmx_worker_report *report = &worker->report;
  for (size_t i = 0; i < report->n_tasks && list->count < TMX_MESSAGE_COMMANDS_MAX; i++) {
    const struct tmx_reported_task *reported = &report->tasks[i];
    if (reported->in_log) continue;
    if (reported->state != TMX_REPORTED_EXITED) {
      append_command(list, WV_STOP, identify_reported_task(reported), 0.0);
    } else if (scope != TMX_COMMANDS_STOPS_ONLY) {
      append_command(list, WV_FORGET, identify_reported_task(reported), NO_GRACE);
      list->n_forgets++;
    }
  }
}

/* Starts the attempts that the log places on the machine and that are missing from the report. */
static void append_starts(const struct tmx_worker *worker, struct tmx_command_list *list) {
  for (const struct tmx_task *task = worker->machine->tasks;
       task && list->count < TMX_MESSAGE_COMMANDS_MAX; task = task->next) {
    if (tmx_task_must_end(task) || tmx_worker_reports_task(worker, task)) continue;
    append_command(list, WV_START, identify_task(task), NO_GRACE);
    list->n_starts++;
  }
}

/* Returns whether a message of this scope may start attempts. Nothing is started while the replica
 * is stale, as the job may have been cancelled in the meantime (test_cancellation:
 * nothing_starts_on_a_stale_replica). */
static bool may_start(const struct tmx_worker *worker, enum tmx_command_scope scope) {
  if (scope == TMX_COMMANDS_STOPS_ONLY) return false;
  if (scope == TMX_COMMANDS_DIRECT && !tmx_worker_may_start_directly(worker)) return false;
  return tmx_authority_may_start_tasks(worker->workers->authority);
}

void tmx_worker_derive_commands(struct tmx_worker *worker, enum tmx_command_scope scope,
                                struct tmx_command_list *list) {
  if (!worker->machine || !worker->machine->registered) return;
  tmx_worker_reconcile(worker);
  append_stops(worker, list); /* before starts, which may need the capacity that they free */
  append_commands_for_unplaced(worker, scope, list);
  /* before starts, which the message sends with the raised token */
  if (list->n_forgets) tmx_worker_fence_forgotten_attempts(worker);
  if (may_start(worker, scope)) append_starts(worker, list);
}

void tmx_worker_derive_stops_of_ended_jobs(const struct tmx_worker *worker,
                                           struct tmx_command_list *list) {
  const struct tmx_worker_report *report = &worker->report;
  for (size_t i = 0; i < report->n_tasks && list->count < TMX_MESSAGE_COMMANDS_MAX; i++) {
    const struct tmx_reported_task *reported = &report->tasks[i];
    const struct tmx_job *job = tmx_job_find(worker->workers->replica, reported->job);
    if (reported->state == TMX_REPORTED_EXITED || !job || !job->outcome) continue;
    append_command(list, WV_STOP, identify_reported_task(reported), 0.0);
  }
}

void tmx_command_list_free(struct tmx_command_list *list) { tmx_buffer_free(&list->encoded); }

void tmx_worker_post_commands(struct tmx_worker *worker, const struct tmx_command_list *list,
                              double timeout_s, tmx_http_response_cb callback) {
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 3);
  tmx_cbor_put_u64_field(&body, W_TOKEN, tmx_worker_token(worker));
  tmx_cbor_put_u64_field(&body, W_SESSION, worker->report.session);
  tmx_cbor_put_text(&body, W_COMMANDS);
  tmx_cbor_put_array(&body, list->count);
  if (list->count) tmx_buffer_append(&body, list->encoded.data, list->encoded.length);
  worker->commands.in_flight = tmx_http_client_call(worker->connection.client, "POST", WP_COMMANDS,
                                                    &body, timeout_s, callback, worker);
  tmx_buffer_free(&body);
  if (!worker->commands.in_flight) return;
  if (list->n_starts) tmx_worker_record_direct_starts(worker);
  worker->workers->traffic.direct_commands++;
  tmx_worker_log_commands(worker, list, "direct");
}

static void on_command_response(void *arg, int status, const uint8_t *body, size_t length);

static void send_commands(struct tmx_worker *worker) {
  struct tmx_worker_commands *commands = &worker->commands;
  const struct tmx_workers *workers = worker->workers;
  commands->are_due = false;
  if (!worker->report.session || commands->in_flight || commands->is_unanswered ||
      commands->starts_unconfirmed) {
    commands->are_due = commands->in_flight;
    return;
  }
  if (!tmx_worker_update_ownership(worker) || !tmx_authority_may_act(workers->authority)) return;
  if (tmx_worker_has_newer_owner(worker)) return;
  struct tmx_command_list list = {0};
  tmx_worker_derive_commands(worker, TMX_COMMANDS_DIRECT, &list);
  if (list.count && tmx_worker_connect(worker, worker->report.description.addr))
    tmx_worker_post_commands(worker, &list, TMX_COMMAND_TIMEOUT_S, on_command_response);
  tmx_command_list_free(&list);
}

/* With status 409 the worker rejects the token or the session, and responds with its report. */
static void on_command_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_worker *worker = arg;
  worker->commands.in_flight = false;
  bool has_report =
      (status == 200 || status == 409) && tmx_worker_ingest_response(worker, body, length);
  /* 400: rejected as malformed; -1: the connection was not accepted. */
  bool was_not_executed = status == 400 || status == -1;
  if (!has_report && !was_not_executed) {
    tmx_worker_fence_unanswered_command(worker);
    return;
  }
  if (has_report && (status == 200 || worker->commands.are_due)) send_commands(worker);
}

void tmx_workers_send_due_commands(struct tmx_workers *workers) {
  struct tmx_worker_queue *queue = &workers->command_queue;
  for (size_t i = 0; i < queue->length; i++) {
    struct tmx_worker *worker = queue->items[i];
    if (!worker) continue;
    worker->commands.is_queued = false;
    if (worker->commands.are_due && !worker->commands.in_flight) send_commands(worker);
  }
  queue->length = 0;
}
