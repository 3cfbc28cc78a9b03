/* Workers: reports, tokens, orders. Orders are derived anew each time from the log (what
 * should be on the machine) and the latest report (what is), so that an heir needs nothing but
 * the log. */
#include "worker/workers_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"
#include "base/memory.h"

static struct tmx_worker *find(struct tmx_workers *workers, const char *id) {
  struct tmx_worker *worker;
  HASH_FIND_STR(workers->all, id, worker);
  return worker;
}

static void worker_free(struct tmx_workers *workers, struct tmx_worker *worker);

/* Machines that a controller's memory allows for: far more than it is run for. */
static size_t max_workers(const struct tmx_workers *workers) {
  return (size_t)(workers->settings->ram_mb * TMX_BYTES_PER_MB * TMX_WORKERS_MEMORY_SHARE /
                  TMX_WORKER_BYTES);
}

/* The table is full: of machines that were heard once and never registered, the one that was silent
 * longest is forgotten. Over months there are many of those. */
static bool evict_one(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next, *oldest = NULL;
  HASH_ITER(hh, workers->all, worker, next) {
    if (worker->machine || worker->parked_request || worker->command_in_flight ||
        worker->probe_in_flight)
      continue;
    if (!oldest ||
        fmax(worker->heard_at, worker->suspicion_at) < fmax(oldest->heard_at, oldest->suspicion_at))
      oldest = worker;
  }
  if (oldest) worker_free(workers, oldest);
  return oldest != NULL;
}

struct tmx_worker *tmx_worker_create(struct tmx_workers *workers, const char *id) {
  struct tmx_worker *worker = find(workers, id);
  if (worker) return worker;
  if (HASH_COUNT(workers->all) >= max_workers(workers) && !evict_one(workers)) {
    tmx_log(TMX_LOG_ERROR, "worker: %s is refused: memory is kept for %zu machines", id,
            max_workers(workers));
    return NULL;
  }
  worker = tmx_allocate(1, sizeof *worker);
  snprintf(worker->id, sizeof worker->id, "%s", id);
  worker->workers = workers;
  worker->machine = tmx_machine_find(workers->replica, id);
  if (worker->machine) worker->machine->worker = worker;
  HASH_ADD_STR(workers->all, id, worker);
  return worker;
}

struct tmx_workers *tmx_workers_new(const struct tmx_workers_dependencies *dependencies) {
  struct tmx_workers *workers = tmx_allocate(1, sizeof *workers);
  workers->loop = dependencies->loop;
  workers->settings = dependencies->settings;
  workers->replica = dependencies->replica;
  workers->store = dependencies->store;
  workers->authority = dependencies->authority;
  workers->view_manager = dependencies->view_manager;
  workers->loop_monitor = dependencies->loop_monitor;
  workers->peers = dependencies->peers;
  workers->scheduler = dependencies->scheduler;
  return workers;
}

static void reply_redirect(struct tmx_http_request *request, const char *to) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, to ? 1 : 0);
  if (to) tmx_cbor_put_text_field(&buffer, W_REPORT_TO, to);
  tmx_http_reply(request, 421, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static struct tmx_http_request *answer_parked_request(struct tmx_worker *worker) {
  struct tmx_http_request *request = worker->parked_request;
  if (request) worker->workers->n_parked--;
  worker->parked_request = NULL;
  return request;
}

static void worker_free(struct tmx_workers *workers, struct tmx_worker *worker) {
  if (workers->next_probe == worker) workers->next_probe = worker->hh.next;
  if (workers->next_suspect_probe == worker) workers->next_suspect_probe = worker->hh.next;
  HASH_DEL(workers->all, worker);
  if (worker->parked_request) reply_redirect(answer_parked_request(worker), NULL);
  if (worker->client) {
    tmx_http_client_free(worker->client);
    workers->n_clients--;
  }
  for (size_t i = 0; worker->in_command_queue && i < workers->n_command_queue; i++)
    if (workers->command_queue[i] == worker) workers->command_queue[i] = NULL;
  for (size_t i = 0; worker->in_completion_queue && i < workers->n_completion_queue; i++)
    if (workers->completion_queue[i] == worker) workers->completion_queue[i] = NULL;
  if (worker->machine) worker->machine->worker = NULL;
  free(worker->tasks);
  free(worker);
}

void tmx_workers_free(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    worker->machine = NULL;
    worker_free(workers, worker);
  }
  free(workers->command_queue);
  free(workers->completion_queue);
  free(workers);
}

static void enqueue_command(struct tmx_worker *worker) {
  struct tmx_workers *workers = worker->workers;
  if (worker->in_command_queue) return;
  worker->in_command_queue = true;
  workers->command_queue = tmx_grow(workers->command_queue, &workers->cap_command_queue,
                                    workers->n_command_queue + 1, sizeof *workers->command_queue);
  workers->command_queue[workers->n_command_queue++] = worker;
}

static void enqueue_completion(struct tmx_worker *worker) {
  struct tmx_workers *workers = worker->workers;
  if (worker->in_completion_queue) return;
  worker->in_completion_queue = true;
  workers->completion_queue =
      tmx_grow(workers->completion_queue, &workers->cap_completion_queue,
               workers->n_completion_queue + 1, sizeof *workers->completion_queue);
  workers->completion_queue[workers->n_completion_queue++] = worker;
}

static bool update_ownership(struct tmx_workers *workers, const struct tmx_worker *worker) {
  if (!tmx_store_is_member(workers->store)) return false;
  if (worker->machine && worker->machine->registered)
    return worker->machine->owner >= 0 &&
           worker->machine->owner == tmx_authority_member_index(workers->authority);
  const char *o = tmx_machine_owner(workers->replica, worker->id);
  return o && !strcmp(o, workers->settings->node_name);
}

/* Called before anything is done as an owner. On becoming one, the old owner's commands may
 * still be under way: until the worker has seen a token of ours, absence proves nothing. That a
 * session is over proves nothing either to an heir: it does not know which one they were for. */
bool tmx_worker_is_owned(struct tmx_workers *workers, struct tmx_worker *worker) {
  bool now = update_ownership(workers, worker);
  uint64_t term = workers->replica->view.term;
  /* a view that was not seen may have given the machine to another and back */
  if (now && (!worker->owned || term > worker->owned_as_of_term + 1)) {
    /* By the same view as before (the copy was read anew): an answer with starts may be under way
     * with the very token that the worker has seen. */
    if (term == worker->owned_as_of_term && worker->token_sequence < TMX_TOKEN_SEQUENCE_MAX)
      worker->token_sequence++;
    worker->required_token =
        tmx_authority_fencing_token(workers->authority, worker->token_sequence);
    worker->inherited = true;
    worker->required_token_at = tmx_clock_steady();
    worker->required_token_session = UINT64_MAX;
    worker->starts_unconfirmed = false;
    worker->command_unanswered = false;
    worker->owned_since = tmx_clock_steady();
    worker->probes_lost = 0;
  }
  worker->owned = now;
  worker->owned_as_of_term = term;
  return now;
}

double tmx_worker_heartbeat_age(const struct tmx_worker *worker, double now) {
  return now - fmax(worker->heartbeat_at, worker->owned_since);
}

/* Does the worker hear this owner: only a token of ours in its reports shows it. */
bool tmx_worker_is_acknowledged(const struct tmx_worker *worker) {
  return worker->highest_token >= worker->required_token && !worker->command_unanswered;
}

/* May an attempt that the latest report lacks be taken to be gone for good. */
static bool absence_proves_end(const struct tmx_worker *worker) {
  return (worker->highest_token >= worker->required_token ||
          worker->session > worker->required_token_session) &&
         !worker->command_in_flight && !worker->command_unanswered && !worker->starts_unconfirmed;
}

static bool parse_reported_tasks(const cbor_item_t *tasks, struct tmx_reported_task **out,
                                 size_t *n) {
  size_t len = tmx_cbor_list_length(tasks);
  struct tmx_reported_task *v = tmx_allocate(len + 1, sizeof *v);
  *n = 0;
  for (size_t i = 0; i < len; i++) {
    const cbor_item_t *list = tmx_cbor_list_at(tasks, i);
    char task[TMX_ID_MAX + 16], state[16], why[16] = "";
    uint64_t attempt;
    struct tmx_reported_task *d = &v[*n];
    if (!tmx_cbor_get_text(list, W_TASK, task, sizeof task) ||
        !tmx_cbor_get_u64(list, W_ATTEMPT, &attempt) ||
        !tmx_cbor_get_text(list, W_STATE, state, sizeof state) ||
        !tmx_task_parse(task, d->job, sizeof d->job, &d->task) || attempt > UINT32_MAX) {
      free(v);
      return false;
    }
    d->attempt = (uint32_t)attempt;
    tmx_cbor_get_text(list, W_WHY, why, sizeof why);
    if (!strcmp(state, WV_EXITED)) {
      d->state = TMX_REPORTED_EXITED;
      d->end_reason = !strcmp(why, WV_DONE)      ? TMX_END_DONE
                      : !strcmp(why, WV_STOPPED) ? TMX_END_STOPPED
                      : !strcmp(why, WV_ERROR)   ? TMX_END_ERROR
                                                 : TMX_END_REFUSED;
    } else {
      d->state = !strcmp(state, WV_FETCHING) ? TMX_REPORTED_FETCHING
                 : !strcmp(state, WV_SAVING) ? TMX_REPORTED_SAVING
                                             : TMX_REPORTED_RUNNING;
    }
    (*n)++;
  }
  *out = v;
  return true;
}

/* May the end that the latest report names be believed. To an heir any copy looks new, also one of
 * an earlier session: the attempt may have been forgotten with that session, and started once more.
 * Only a result stays what it is, since the worker keeps it. */
static bool end_is_proven(const struct tmx_worker *worker, char how) {
  return how == TMX_END_DONE || !worker->inherited;
}

/* Compares the latest report with the log: each is marked with what the other says. */
static void reconcile_report(struct tmx_worker *worker) {
  const struct tmx_replica *replica = worker->workers->replica;
  if (!worker->machine || (worker->reconciled_report == worker->report_number &&
                           worker->reconciled_changes == worker->machine->change_count))
    return;
  worker->reconciled_report = worker->report_number;
  worker->reconciled_changes = worker->machine->change_count;
  for (size_t i = 0; i < worker->n_tasks; i++) {
    struct tmx_reported_task *reported = &worker->tasks[i];
    struct tmx_job *job = tmx_job_find(replica, reported->job);
    reported->in_log = false;
    if (!job || !job->tasks || reported->task >= job->spec.tasks) continue;
    struct tmx_task *task = &job->tasks[reported->task];
    if (task->state != TMX_TASK_PLACED || task->attempt != reported->attempt ||
        task->machine != worker->machine)
      continue;
    reported->in_log = true;
    task->reported_in = worker->report_number;
    task->reported_state = reported->state;
    task->reported_end = reported->end_reason;
  }
}
static bool reported(const struct tmx_worker *worker, const struct tmx_task *task) {
  return task->reported_in == worker->report_number;
}

/* What the report of a registered machine tells that is worth a round. */
static void note_report(struct tmx_workers *workers, struct tmx_worker *worker) {
  reconcile_report(worker);
  for (struct tmx_task *task = worker->machine->tasks; task; task = task->next) {
    bool listed = reported(worker, task), leaving = task->stop_mode || task->job->outcome;
    if (listed && task->reported_state == TMX_REPORTED_RUNNING && !task->running_since) {
      task->running_since = (float)tmx_clock_steady();
      if (tmx_log_enabled(TMX_LOG_DEBUG))
        tmx_log(TMX_LOG_DEBUG, "task: %s/%u %u runs on %s, image %s, placed %.2f s ago",
                task->job->id, tmx_task_index(task), task->attempt, worker->id,
                task->job->spec.image, tmx_clock_steady() - task->placed_at);
    }
    if (!(listed && task->reported_state == TMX_REPORTED_EXITED) && !leaving) continue;
    enqueue_completion(worker);
    if (listed && task->reported_state == TMX_REPORTED_EXITED && task->stop_mode)
      tmx_scheduler_trigger(workers->scheduler); /* somebody waits for this room */
    else
      tmx_scheduler_trigger_within(workers->scheduler, TMX_COMPLETIONS_DELAY_S);
  }
}

/* A token of this owner's own view that is above its own: its record of the machine was dropped and
 * made again. Nobody else gives tokens of this view for it, so it goes on from there; else it would
 * send the worker away for as long as the view stands. */
static void adopt_token_sequence(struct tmx_worker *worker) {
  uint64_t first = tmx_authority_fencing_token(worker->workers->authority, 0);
  if (!worker->owned ||
      worker->highest_token <=
          tmx_authority_fencing_token(worker->workers->authority, worker->token_sequence) ||
      worker->highest_token - first > TMX_TOKEN_SEQUENCE_MAX)
    return;
  worker->token_sequence = (uint32_t)(worker->highest_token - first);
  if (worker->token_sequence < TMX_TOKEN_SEQUENCE_MAX) worker->token_sequence++;
  worker->required_token =
      tmx_authority_fencing_token(worker->workers->authority, worker->token_sequence);
}

/* Takes a report in: from a request, or (hello false) from the answer to a command or a probe.
 * false: malformed. fresh: newer than all that is known. */
static bool take_report(struct tmx_workers *workers, const cbor_item_t *map, bool hello,
                        struct tmx_worker **out, bool *fresh, uint64_t *in_session) {
  struct tmx_machine_facts facts = {0};
  uint64_t session, seq, seen = 0;
  double notice = -1;
  const cbor_item_t *tasks = tmx_cbor_get(map, W_TASKS);
  *out = NULL;
  *fresh = false;
  if (!tmx_cbor_get_text(map, W_MACHINE, facts.id, sizeof facts.id) || !facts.id[0] ||
      strpbrk(facts.id, " \t\n") ||
      !tmx_cbor_get_text(map, W_ADDR, facts.addr, sizeof facts.addr) || !facts.addr[0] ||
      strpbrk(facts.addr, " \t\n") ||
      !tmx_cbor_get_text(map, W_TYPE, facts.type, sizeof facts.type) || !facts.type[0] ||
      strpbrk(facts.type, " \t\n") ||
      !tmx_cbor_get_text(map, W_ZONE, facts.zone, sizeof facts.zone) || !facts.zone[0] ||
      strpbrk(facts.zone, " \t\n") || !tmx_cbor_get_u64(map, W_SESSION, &session) ||
      !tmx_cbor_get_u64(map, W_SEQ, &seq) || (tasks && !cbor_isa_array(tasks)))
    return false;
  tmx_cbor_get_bool(map, W_SPOT, &facts.spot);
  tmx_cbor_get_u64(map, W_TOKEN, &seen);
  tmx_cbor_get_number(map, W_NOTICE, &notice);
  *in_session = session;
  if (tmx_machine_was_removed(workers->replica, facts.id)) return true; /* a late copy */
  struct tmx_worker *r = tmx_worker_create(workers, facts.id);
  if (!r) return false;
  /* late copies of older reports say nothing new */
  if (session < r->session || (session == r->session && seq <= r->report_sequence)) {
    *out = r;
    return true;
  }
  struct tmx_reported_task *loads;
  size_t n;
  if (!parse_reported_tasks(tasks, &loads, &n)) return false;
  *out = r;
  *fresh = true;
  double now = tmx_clock_steady();
  if (now - fmax(r->heard_at, r->acknowledged_at) >
      workers->settings->report_s * 1.25 + TMX_REPORT_LATE_S)
    r->recovered_at = now;
  r->session = session;
  r->report_sequence = seq;
  r->facts = facts;
  if (seen > r->highest_token) {
    r->highest_token = seen;
    if (r->owned && seen >= r->required_token) r->acknowledged_at = now;
    adopt_token_sequence(r);
  }
  if (r->owned && seen >= r->required_token) r->inherited = false;
  if (hello)
    r->heartbeat_at = now;
  else
    r->acknowledged_at = now;
  if (r->command_unanswered &&
      (r->highest_token >= r->required_token || r->session > r->required_token_session))
    r->command_unanswered = false;
  /* Only the next request tells that the answer to the one before was executed or dropped: a probe
   * may overtake an answer that is still on its way. */
  if (hello) r->starts_unconfirmed = false;
  if ((notice >= 0) != r->spot_notice) {
    r->spot_notice = notice >= 0;
    tmx_log(TMX_LOG_INFO, "worker: %s notice %s", r->id, r->spot_notice ? "given" : "withdrawn");
    tmx_scheduler_trigger(workers->scheduler);
  }
  free(r->tasks);
  r->tasks = loads;
  r->n_tasks = n;
  if (!++workers->report_counter) workers->report_counter = 1;
  r->report_number = workers->report_counter;
  if (!r->machine || !r->machine->registered) {
    workers->unregistered_seen_at = now;
    tmx_scheduler_trigger(workers->scheduler);
  } else
    note_report(workers, r);
  return true;
}

static void put_command(struct tmx_buffer *buffer, const char *op, const char *job, uint32_t task,
                        uint32_t attempt, double grace) {
  char name[TMX_ID_MAX + 16];
  snprintf(name, sizeof name, "%s/%u", job, task);
  tmx_cbor_put_map(buffer, grace >= 0 ? 4 : 3);
  tmx_cbor_put_text_field(buffer, W_OP, op);
  tmx_cbor_put_text_field(buffer, W_TASK, name);
  tmx_cbor_put_u64_field(buffer, W_ATTEMPT, attempt);
  if (grace >= 0) tmx_cbor_put_number_field(buffer, W_GRACE, grace);
}

/* Appends orders; returns their number. Stops alone may go at any time, and more than once. */
static size_t put_commands(struct tmx_worker *worker, struct tmx_buffer *buffer, bool stops_only,
                           bool *starts) {
  bool may_start = tmx_authority_may_start_tasks(worker->workers->authority);
  struct tmx_machine *machine = worker->machine;
  size_t n = 0;
  *starts = false;
  if (!machine || !machine->registered) return 0;
  reconcile_report(worker);
  /* stops first: they make the room that starts need */
  for (struct tmx_task *task = machine->tasks; task && n < TMX_COMMANDS_MAX; task = task->next) {
    if (!reported(worker, task) || task->reported_state == TMX_REPORTED_EXITED ||
        (!task->stop_mode && !task->job->outcome))
      continue;
    bool save = task->stop_mode == 2 && !task->job->outcome;
    if (save && task->reported_state == TMX_REPORTED_SAVING) continue;
    put_command(buffer, WV_STOP, task->job->id, tmx_task_index(task), task->attempt,
                save ? task->job->spec.checkpoint_save_s + 1.0 : 0.0);
    n++;
  }
  for (size_t i = 0; i < worker->n_tasks && n < TMX_COMMANDS_MAX; i++) {
    const struct tmx_reported_task *reported = &worker->tasks[i];
    if (reported->in_log || (stops_only && reported->state == TMX_REPORTED_EXITED)) continue;
    /* The log has settled this attempt: an exited one may be forgotten. One that still runs
     * must not. */
    put_command(buffer, reported->state == TMX_REPORTED_EXITED ? WV_FORGET : WV_STOP, reported->job,
                reported->task, reported->attempt,
                reported->state == TMX_REPORTED_EXITED ? -1 : 0.0);
    n++;
  }
  if (stops_only || !may_start) return n;
  for (struct tmx_task *task = machine->tasks; task && n < TMX_COMMANDS_MAX; task = task->next) {
    if (task->stop_mode || task->job->outcome || reported(worker, task)) continue;
    put_command(buffer, WV_START, task->job->id, tmx_task_index(task), task->attempt, -1);
    *starts = true;
    n++;
  }
  return n;
}

/* ------------------------------------------------------------ direct commands */

static void send_commands(struct tmx_workers *workers, struct tmx_worker *worker);

bool tmx_worker_take_status(struct tmx_worker *worker, const uint8_t *body, size_t len) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  struct tmx_worker *same = NULL;
  uint64_t session;
  bool fresh, ok = map && take_report(worker->workers, map, false, &same, &fresh, &session) &&
                   same == worker;
  tmx_cbor_free(map);
  if (ok) worker->acknowledged_at = tmx_clock_steady();
  return ok;
}

static void on_command(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_worker *worker = arg;
  struct tmx_workers *workers = worker->workers;
  worker->command_in_flight = false;
  bool told = (status == 200 || status == 409) && tmx_worker_take_status(worker, body, len);
  if (!told && status != 400 && status != -1) {
    /* No answer, or none that tells. It may still run, minutes later: a higher token goes out
     * first, and until the worker has seen it, or is known to have begun a later session than the
     * command was for, no absence is believed. The session is the latest one: an earlier command
     * may have been for an earlier session, and that one's end says nothing of this one. */
    if (tmx_worker_is_acknowledged(worker)) worker->required_token_at = tmx_clock_steady();
    worker->command_unanswered = true;
    if (worker->token_sequence < TMX_TOKEN_SEQUENCE_MAX) worker->token_sequence++;
    worker->required_token =
        tmx_authority_fencing_token(workers->authority, worker->token_sequence);
    if (!worker->inherited) worker->required_token_session = worker->session;
    return;
  }
  if (told && (status == 200 || worker->commands_due)) send_commands(workers, worker);
}

struct tmx_http_client *tmx_worker_client(struct tmx_worker *worker, const char *addr) {
  if (worker->client && strcmp(worker->client_address, addr)) {
    tmx_http_client_free(worker->client);
    worker->client = NULL;
    worker->workers->n_clients--;
    worker->command_in_flight = worker->probe_in_flight = false;
  }
  if (!worker->client) {
    snprintf(worker->client_address, sizeof worker->client_address, "%s", addr);
    worker->client = tmx_http_client_new(worker->workers->loop, addr, 2);
    if (worker->client) worker->workers->n_clients++;
  }
  return worker->client;
}

static void send_commands(struct tmx_workers *workers, struct tmx_worker *worker) {
  worker->commands_due = false;
  if (!worker->session || worker->command_in_flight || worker->command_unanswered ||
      worker->starts_unconfirmed) {
    worker->commands_due = worker->command_in_flight;
    return;
  }
  if (!tmx_worker_is_owned(workers, worker) || !tmx_authority_may_act(workers->authority)) return;
  uint64_t token = tmx_authority_fencing_token(workers->authority, worker->token_sequence);
  if (worker->highest_token > token) return;
  struct tmx_buffer commands = {0}, buffer = {0};
  bool starts;
  size_t n = put_commands(worker, &commands, false, &starts);
  if (n) {
    tmx_cbor_put_map(&buffer, 3);
    tmx_cbor_put_u64_field(&buffer, W_TOKEN, token);
    tmx_cbor_put_u64_field(&buffer, W_SESSION, worker->session);
    tmx_cbor_put_text(&buffer, W_COMMANDS);
    tmx_cbor_put_list(&buffer, n);
    tmx_buffer_append(&buffer, commands.data, commands.length);
    struct tmx_http_client *client = tmx_worker_client(worker, worker->facts.addr);
    if (client)
      worker->command_in_flight = tmx_http_client_call(client, "POST", WP_COMMANDS, &buffer,
                                                       TMX_COMMAND_TIMEOUT_S, on_command, worker);
  }
  tmx_buffer_free(&commands);
  tmx_buffer_free(&buffer);
}

void tmx_workers_machine_changed(struct tmx_workers *workers, struct tmx_machine *machine) {
  struct tmx_worker *worker = machine->worker;
  if (!worker) {
    worker = machine->worker = find(workers, machine->id);
    if (!worker) return;
    worker->machine = machine;
  }
  worker->commands_due = true;
  enqueue_completion(worker);
  enqueue_command(worker);
}

void tmx_workers_machine_removed(struct tmx_workers *workers, struct tmx_machine *machine) {
  struct tmx_worker *worker = machine->worker ? machine->worker : find(workers, machine->id);
  machine->worker = NULL;
  if (!worker) return;
  worker->machine = NULL;
  worker_free(workers, worker);
}

void tmx_workers_replica_cleared(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) worker->machine = NULL;
}

/* At every view, one by one: what is between two views that give a machine to this controller
 * tells whether it was another's in the meantime. */
void tmx_workers_view_changed(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) tmx_worker_is_owned(workers, worker);
}

static void reply_as_owner(struct tmx_workers *workers, struct tmx_worker *worker,
                           struct tmx_http_request *request, bool older);

/* Sends what the latest events made due; called after events were applied, not within. */
void tmx_workers_flush(struct tmx_workers *workers) {
  for (size_t i = 0; i < workers->n_command_queue; i++) {
    struct tmx_worker *worker = workers->command_queue[i];
    if (!worker) continue;
    worker->in_command_queue = false;
    if (worker->commands_due && !worker->command_in_flight) send_commands(workers, worker);
  }
  workers->n_command_queue = 0;
  if (!workers->n_parked) return;
  const char *take[TMX_FAILOVER_MACHINES_MAX];
  size_t n = 0;
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    if (!worker->parked_request) continue;
    if (!worker->parked_request->conn ||
        tmx_clock_steady() - worker->parked_at > TMX_FAILOVER_PARK_S)
      reply_redirect(answer_parked_request(worker), NULL);
    else if (tmx_authority_may_act(workers->authority) && tmx_worker_is_owned(workers, worker))
      reply_as_owner(workers, worker, answer_parked_request(worker), false);
    else if (n < TMX_FAILOVER_MACHINES_MAX)
      take[n++] = worker->id;
  }
  if (n) tmx_view_manager_take_over(workers->view_manager, take, n);
}

/* ------------------------------------------------------------ reports */

/* A worker that was sent to its owner and is back, or that its owner has lost, cannot reach it. */
static bool is_cut_off_from_owner(struct tmx_workers *workers, struct tmx_worker *worker,
                                  const char *owner, double now) {
  double back = now - worker->redirected_at;
  double silence = tmx_peers_silence(workers->peers, owner);
  if (worker->redirected_at && back >= TMX_FAILOVER_AFTER_S && back <= TMX_FAILOVER_WITHIN_S)
    return true;
  if (silence > TMX_HEARTBEAT_LOST_S) return worker->redirected_at && back < TMX_FAILOVER_WITHIN_S;
  struct tmx_suspicion suspicion;
  return worker->machine && tmx_workers_find_suspicion(workers, worker->machine, &suspicion) &&
         suspicion.silence_s > TMX_FAILOVER_SILENT_S && suspicion.probes_lost >= TMX_PROBES_LOST;
}

/* A command of the owner's that starts a task may still be under way, and the task's job is over by
 * now. Who keeps the lease for the owner raises no token, so the command is not ruled out, and the
 * task would go on until the lease ends: it must not be renewed beyond the time of the
 * cancellation. */
static bool starts_in_doubt(const struct tmx_worker *worker, double now) {
  const struct tmx_settings *settings = worker->workers->settings;
  for (const struct tmx_task *task = worker->machine ? worker->machine->tasks : NULL; task;
       task = task->next)
    if (task->job->outcome && !reported(worker, task) &&
        now - task->job->outcome_after > tmx_fresh_bound(settings))
      return true;
  return false;
}

/* While the state is out of reach no view can give the machine to anybody, and its owner does not
 * hear it: any member that is fresh keeps its lease, so that its work is not killed. It gives no
 * orders but one: a job that is over stays over, and its tasks must not outlast the time that a
 * cancellation has. Where a newer owner has been at it, that one sees to it. */
static bool may_renew_lease_for_owner(struct tmx_workers *workers, const struct tmx_worker *worker,
                                      const char *owner, double now) {
  if (!tmx_store_is_member(workers->store) ||
      now - tmx_store_fresh_as_of(workers->store) < TMX_STORE_LOST_S)
    return false;
  if (worker->highest_token >
          tmx_authority_fencing_token(workers->authority, TMX_TOKEN_SEQUENCE_MAX) ||
      starts_in_doubt(worker, now))
    return false;
  return tmx_peers_silence(workers->peers, owner) > TMX_HEARTBEAT_LOST_S ||
         (worker->redirected_at && now - worker->redirected_at >= TMX_FAILOVER_AFTER_S);
}

/* Answers a report with orders, which are freed. */
static void reply_commands(struct tmx_http_request *request, uint64_t token,
                           struct tmx_buffer *commands, size_t n) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 2);
  tmx_cbor_put_u64_field(&buffer, W_TOKEN, token);
  tmx_cbor_put_text(&buffer, W_COMMANDS);
  tmx_cbor_put_list(&buffer, n);
  tmx_buffer_append(&buffer, commands->data, commands->length);
  tmx_http_reply(request, 200, &buffer, 0);
  tmx_buffer_free(commands);
  tmx_buffer_free(&buffer);
}

static void reply_for_owner(struct tmx_workers *workers, struct tmx_worker *worker,
                            struct tmx_http_request *request) {
  struct tmx_buffer commands = {0};
  size_t n = 0;
  for (size_t i = 0; i < worker->n_tasks && n < TMX_COMMANDS_MAX; i++) {
    const struct tmx_reported_task *reported = &worker->tasks[i];
    const struct tmx_job *job = tmx_job_find(workers->replica, reported->job);
    if (reported->state == TMX_REPORTED_EXITED || !job || !job->outcome) continue;
    put_command(&commands, WV_STOP, reported->job, reported->task, reported->attempt, 0.0);
    n++;
  }
  reply_commands(request, worker->highest_token, &commands, n);
}

void tmx_workers_handle_heartbeat(struct tmx_workers *workers, struct tmx_http_request *request) {
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  struct tmx_worker *worker = NULL;
  bool latest;
  uint64_t session;
  if (!map || !take_report(workers, map, true, &worker, &latest, &session)) {
    tmx_cbor_free(map);
    tmx_http_reply(request, 400, NULL, 0);
    return;
  }
  tmx_cbor_free(map);
  if (!worker) {
    reply_redirect(request, NULL);
    return;
  }
  double now = tmx_clock_steady();
  if (latest) worker->heard_at = workers->last_report_at = now;
  /* A cut-off controller must not renew leases for longer than a cancellation allows. */
  if (!tmx_authority_may_act(workers->authority)) {
    tmx_http_reply(request, 503, NULL, 1);
    return;
  }
  if (tmx_peers_lost_store_alone(workers->peers)) {
    reply_redirect(request, NULL);
    return;
  }
  if (!tmx_worker_is_owned(workers, worker)) {
    const char *owner = tmx_machine_owner(workers->replica, worker->id);
    if (owner && !strcmp(owner, workers->settings->node_name))
      owner = NULL; /* this run is not in the view yet */
    if (owner && latest && may_renew_lease_for_owner(workers, worker, owner, now)) {
      reply_for_owner(workers, worker, request);
      return;
    }
    if (owner && latest && !worker->parked_request && tmx_store_is_member(workers->store) &&
        is_cut_off_from_owner(workers, worker, owner, now)) {
      worker->parked_request = request;
      worker->parked_at = now;
      workers->n_parked++;
      return;
    }
    if (owner && latest) worker->redirected_at = now;
    reply_redirect(request, owner);
    return;
  }
  if (session < worker->session) { /* a late copy: nobody waits for its answer */
    reply_redirect(request, NULL);
    return;
  }
  reply_as_owner(workers, worker, request, !latest);
}

/* older: a probe's answer has overtaken the report, which its worker still waits for (or it is a
 * late copy, and nobody does). Its lease counts from when it was sent, in either case. */
static void reply_as_owner(struct tmx_workers *workers, struct tmx_worker *worker,
                           struct tmx_http_request *request, bool older) {
  worker->redirected_at = 0;
  uint64_t token = tmx_authority_fencing_token(workers->authority, worker->token_sequence);
  if (worker->highest_token > token) { /* a newer owner has been at it */
    reply_redirect(request, NULL);
    return;
  }
  struct tmx_buffer commands = {0};
  bool starts = false;
  /* While a command is under way its effect is not known: nothing is started. An answer that renews
   * a lease always stops what is cancelled, though. */
  size_t n = put_commands(worker, &commands, older || worker->command_in_flight, &starts);
  if (starts) worker->starts_unconfirmed = true;
  reply_commands(request, token, &commands, n);
}

/* ------------------------------------------------------------ for the rounds */

size_t tmx_workers_collect_completions(struct tmx_workers *workers, struct tmx_operation *ops,
                                       size_t max) {
  size_t n = 0, left = 0;
  for (size_t i = 0; i < workers->n_completion_queue; i++) {
    struct tmx_worker *worker = workers->completion_queue[i];
    if (!worker) continue;
    if (n == max) {
      workers->completion_queue[left++] = worker;
      continue;
    }
    if (!worker->machine || !worker->machine->registered || !worker->machine->tasks ||
        !worker->session || !tmx_worker_is_owned(workers, worker)) {
      worker->in_completion_queue = false; /* set again by whatever changes this */
      continue;
    }
    reconcile_report(worker);
    bool later = false;
    for (struct tmx_task *task = worker->machine->tasks; task && n < max; task = task->next) {
      char how = 0;
      bool listed = reported(worker, task), leaving = task->stop_mode || task->job->outcome;
      later |= leaving;
      if (listed && task->reported_state == TMX_REPORTED_EXITED &&
          end_is_proven(worker, task->reported_end))
        how = task->reported_end;
      else if (!listed && leaving && absence_proves_end(worker))
        how = TMX_END_STOPPED;
      if (!how) continue;
      later = true;
      struct tmx_operation *operation = &ops[n++];
      memset(operation, 0, sizeof *operation);
      operation->kind = TMX_OPERATION_END;
      operation->task = tmx_task_index(task);
      operation->attempt = task->attempt;
      operation->reason = how;
      snprintf(operation->job, sizeof operation->job, "%s", task->job->id);
    }
    worker->in_completion_queue = later;
    if (later) workers->completion_queue[left++] = worker;
  }
  workers->n_completion_queue = left;
  return n;
}

/* Machines that are not in the log yet. One is registered only once it shows a token of ours: a
 * late copy of a report of a machine that was returned never does. */
size_t tmx_workers_collect_unregistered(struct tmx_workers *workers, struct tmx_machine_facts *out,
                                        size_t max) {
  size_t n = 0;
  double now = tmx_clock_steady();
  struct tmx_worker *worker, *next_worker;
  if (!workers->unregistered_seen_at ||
      now - workers->unregistered_seen_at > 2 * workers->settings->report_s)
    return 0;
  HASH_ITER(hh, workers->all, worker, next_worker) {
    if (n == max) break;
    if ((worker->machine && worker->machine->registered) || !worker->session || !worker->heard_at)
      continue;
    if (now - worker->heard_at > 2 * workers->settings->report_s ||
        !tmx_worker_is_owned(workers, worker))
      continue;
    if (!tmx_worker_is_acknowledged(worker)) continue;
    out[n++] = worker->facts;
  }
  return n;
}
