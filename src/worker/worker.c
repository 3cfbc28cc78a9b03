/* Workers: reports, tokens, orders. Orders are derived anew each time from the log (what
 * should be on the machine) and the latest report (what is), so that an heir needs nothing but
 * the log. */
#include "worker/worker.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "tmx/wire.h"

static struct worker *find(struct tmx_workers *w, const char *id) {
  struct worker *r;
  HASH_FIND_STR(w->all, id, r);
  return r;
}

static void worker_free(struct tmx_workers *w, struct worker *r);

/* Machines that a controller's memory allows for: far more than it is run for. */
static size_t workers_max(const struct tmx_workers *w) {
  return (size_t)(w->c->set.ram_mb * TMX_BYTES_PER_MB * TMX_WORKERS_SHARE / TMX_WORKER_BYTES);
}

/* The table is full: of machines that were heard once and never registered, the one that was silent
 * longest is forgotten. Over months there are many of those. */
static bool forget_one(struct tmx_workers *w) {
  struct worker *r, *t, *oldest = NULL;
  HASH_ITER(hh, w->all, r, t) {
    if (r->m || r->held || r->in_flight || r->probe_busy) continue;
    if (!oldest || fmax(r->heard_at, r->said_at) < fmax(oldest->heard_at, oldest->said_at))
      oldest = r;
  }
  if (oldest) worker_free(w, oldest);
  return oldest != NULL;
}

struct worker *tmx_worker_make(struct tmx_workers *w, const char *id) {
  struct worker *r = find(w, id);
  if (r) return r;
  if (HASH_COUNT(w->all) >= workers_max(w) && !forget_one(w)) {
    tmx_log(TMX_LOG_ERROR, "worker: %s is refused: memory is kept for %zu machines", id,
            workers_max(w));
    return NULL;
  }
  r = calloc(1, sizeof *r);
  if (!r) abort();
  snprintf(r->id, sizeof r->id, "%s", id);
  r->w = w;
  r->m = tmx_machine_find(&w->c->rep, id);
  if (r->m) r->m->worker = r;
  HASH_ADD_STR(w->all, id, r);
  return r;
}

struct tmx_workers *tmx_workers_new(struct tmx_ctl *c) {
  struct tmx_workers *w = calloc(1, sizeof *w);
  if (!w) abort();
  w->c = c;
  return w;
}

static void answer_move(struct tmx_http_request *request, const char *to) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, to ? 1 : 0);
  if (to) tmx_cbor_put_text_field(&buffer, W_REPORT_TO, to);
  tmx_http_reply(request, 421, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static struct tmx_http_request *release_held(struct worker *r) {
  struct tmx_http_request *request = r->held;
  if (request) r->w->n_held--;
  r->held = NULL;
  return request;
}

static void worker_free(struct tmx_workers *w, struct worker *r) {
  if (w->probe_from == r) w->probe_from = r->hh.next;
  if (w->doubt_from == r) w->doubt_from = r->hh.next;
  HASH_DEL(w->all, r);
  if (r->held) answer_move(release_held(r), NULL);
  if (r->client) {
    tmx_http_client_free(r->client);
    w->n_clients--;
  }
  for (size_t i = 0; r->queued && i < w->n_queue; i++)
    if (w->queue[i] == r) w->queue[i] = NULL;
  for (size_t i = 0; r->may_end && i < w->n_ending; i++)
    if (w->ending[i] == r) w->ending[i] = NULL;
  if (r->m) r->m->worker = NULL;
  free(r->loads);
  free(r);
}

void tmx_workers_free(struct tmx_workers *w) {
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) {
    r->m = NULL;
    worker_free(w, r);
  }
  free(w->queue);
  free(w->ending);
  free(w);
}

static void queue(struct worker *r) {
  struct tmx_workers *w = r->w;
  if (r->queued) return;
  r->queued = true;
  w->queue = tmx_grow(w->queue, &w->cap_queue, w->n_queue + 1, sizeof *w->queue);
  w->queue[w->n_queue++] = r;
}

static void may_end(struct worker *r) {
  struct tmx_workers *w = r->w;
  if (r->may_end) return;
  r->may_end = true;
  w->ending = tmx_grow(w->ending, &w->cap_ending, w->n_ending + 1, sizeof *w->ending);
  w->ending[w->n_ending++] = r;
}

static bool own(struct tmx_workers *w, const struct worker *r) {
  if (!tmx_store_is_member(w->c->link)) return false;
  if (r->m && r->m->registered) return r->m->owner >= 0 && r->m->owner == tmx_ctl_self(w->c);
  const char *o = tmx_machine_owner(&w->c->rep, r->id);
  return o && !strcmp(o, w->c->set.node);
}

/* Called before anything is done as an owner. On becoming one, the old owner's commands may
 * still be under way: until the worker has seen a token of ours, absence proves nothing. That a
 * session is over proves nothing either to an heir: it does not know which one they were for. */
bool tmx_worker_own(struct tmx_workers *w, struct worker *r) {
  bool now = own(w, r);
  uint64_t term = w->c->rep.view.term;
  /* a view that was not seen may have given the machine to another and back */
  if (now && (!r->owned || term > r->term + 1)) {
    /* By the same view as before (the copy was read anew): an answer with starts may be under way
     * with the very token that the worker has seen. */
    if (term == r->term && r->bump < TMX_BUMP_MAX) r->bump++;
    r->fence = tmx_ctl_token(w->c, r->bump);
    r->heir = true;
    r->fence_at = tmx_clock_steady();
    r->fence_session = UINT64_MAX;
    r->starts_out = false;
    r->unanswered = false;
    r->owned_at = tmx_clock_steady();
    r->probes_lost = 0;
  }
  r->owned = now;
  r->term = term;
  return now;
}

double tmx_worker_unreported(const struct worker *r, double now) {
  return now - fmax(r->hello_at, r->owned_at);
}

/* Does the worker hear this owner: only a token of ours in its reports shows it. */
bool tmx_worker_hears(const struct worker *r) { return r->seen >= r->fence && !r->unanswered; }

/* May an attempt that the latest report lacks be taken to be gone for good. */
static bool absence_counts(const struct worker *r) {
  return (r->seen >= r->fence || r->session > r->fence_session) && !r->in_flight &&
         !r->unanswered && !r->starts_out;
}

static bool parse_loads(const cbor_item_t *tasks, struct load **out, size_t *n) {
  size_t len = tmx_cbor_list_length(tasks);
  struct load *v = calloc(len + 1, sizeof *v);
  if (!v) abort();
  *n = 0;
  for (size_t i = 0; i < len; i++) {
    const cbor_item_t *list = tmx_cbor_list_at(tasks, i);
    char task[TMX_ID_MAX + 16], state[16], why[16] = "";
    uint64_t attempt;
    struct load *d = &v[*n];
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
      d->state = LD_EXITED;
      d->how = !strcmp(why, WV_DONE)      ? TMX_END_DONE
               : !strcmp(why, WV_STOPPED) ? TMX_END_STOPPED
               : !strcmp(why, WV_ERROR)   ? TMX_END_ERROR
                                          : TMX_END_REFUSED;
    } else {
      d->state = !strcmp(state, WV_FETCHING) ? LD_FETCHING
                 : !strcmp(state, WV_SAVING) ? LD_SAVING
                                             : LD_RUNNING;
    }
    (*n)++;
  }
  *out = v;
  return true;
}

/* May the end that the latest report names be believed. To an heir any copy looks new, also one of
 * an earlier session: the attempt may have been forgotten with that session, and started once more.
 * Only a result stays what it is, since the worker keeps it. */
static bool end_counts(const struct worker *r, char how) { return how == TMX_END_DONE || !r->heir; }

/* Compares the latest report with the log: each is marked with what the other says. */
static void resolve(struct worker *r) {
  const struct tmx_replica *replica = &r->w->c->rep;
  if (!r->m || (r->resolved_report == r->report && r->resolved_changes == r->m->change_count))
    return;
  r->resolved_report = r->report;
  r->resolved_changes = r->m->change_count;
  for (size_t i = 0; i < r->n_loads; i++) {
    struct load *l = &r->loads[i];
    struct tmx_job *job = tmx_job_find(replica, l->job);
    l->current = false;
    if (!job || !job->tasks || l->task >= job->spec.tasks) continue;
    struct tmx_task *task = &job->tasks[l->task];
    if (task->state != TMX_TASK_PLACED || task->attempt != l->attempt || task->machine != r->m)
      continue;
    l->current = true;
    task->reported_in = r->report;
    task->reported_state = l->state;
    task->reported_end = l->how;
  }
}
static bool reported(const struct worker *r, const struct tmx_task *task) {
  return task->reported_in == r->report;
}

/* What the report of a registered machine tells that is worth a round. */
static void note_report(struct tmx_workers *w, struct worker *r) {
  resolve(r);
  for (struct tmx_task *task = r->m->tasks; task; task = task->next) {
    bool listed = reported(r, task), leaving = task->stop_mode || task->job->outcome;
    if (listed && task->reported_state == LD_RUNNING && !task->running_since) {
      task->running_since = (float)tmx_clock_steady();
      if (tmx_log_enabled(TMX_LOG_DEBUG))
        tmx_log(TMX_LOG_DEBUG, "task: %s/%u %u runs on %s, image %s, placed %.2f s ago",
                task->job->id, tmx_task_index(task), task->attempt, r->id, task->job->spec.image,
                tmx_clock_steady() - task->placed_at);
    }
    if (!(listed && task->reported_state == LD_EXITED) && !leaving) continue;
    may_end(r);
    if (listed && task->reported_state == LD_EXITED && task->stop_mode)
      tmx_rounds_kick(w->c); /* somebody waits for this room */
    else
      tmx_rounds_kick_in(w->c, TMX_ENDS_DELAY_S);
  }
}

/* A token of this owner's own view that is above its own: its record of the machine was dropped and
 * made again. Nobody else gives tokens of this view for it, so it goes on from there; else it would
 * send the worker away for as long as the view stands. */
static void adopt_bump(struct worker *r) {
  uint64_t first = tmx_ctl_token(r->w->c, 0);
  if (!r->owned || r->seen <= tmx_ctl_token(r->w->c, r->bump) || r->seen - first > TMX_BUMP_MAX)
    return;
  r->bump = (uint32_t)(r->seen - first);
  if (r->bump < TMX_BUMP_MAX) r->bump++;
  r->fence = tmx_ctl_token(r->w->c, r->bump);
}

/* Takes a report in: from a request, or (hello false) from the answer to a command or a probe.
 * false: malformed. fresh: newer than all that is known. */
static bool take_report(struct tmx_workers *w, const cbor_item_t *map, bool hello,
                        struct worker **out, bool *fresh, uint64_t *in_session) {
  struct tmx_worker_facts f = {0};
  uint64_t session, seq, seen = 0;
  double notice = -1;
  const cbor_item_t *tasks = tmx_cbor_get(map, W_TASKS);
  *out = NULL;
  *fresh = false;
  if (!tmx_cbor_get_text(map, W_MACHINE, f.id, sizeof f.id) || !f.id[0] || strpbrk(f.id, " \t\n") ||
      !tmx_cbor_get_text(map, W_ADDR, f.addr, sizeof f.addr) || !f.addr[0] ||
      strpbrk(f.addr, " \t\n") || !tmx_cbor_get_text(map, W_TYPE, f.type, sizeof f.type) ||
      !f.type[0] || strpbrk(f.type, " \t\n") ||
      !tmx_cbor_get_text(map, W_ZONE, f.zone, sizeof f.zone) || !f.zone[0] ||
      strpbrk(f.zone, " \t\n") || !tmx_cbor_get_u64(map, W_SESSION, &session) ||
      !tmx_cbor_get_u64(map, W_SEQ, &seq) || (tasks && !cbor_isa_array(tasks)))
    return false;
  tmx_cbor_get_bool(map, W_SPOT, &f.spot);
  tmx_cbor_get_u64(map, W_TOKEN, &seen);
  tmx_cbor_get_number(map, W_NOTICE, &notice);
  *in_session = session;
  if (tmx_machine_was_removed(&w->c->rep, f.id)) return true; /* a late copy */
  struct worker *r = tmx_worker_make(w, f.id);
  if (!r) return false;
  /* late copies of older reports say nothing new */
  if (session < r->session || (session == r->session && seq <= r->seq)) {
    *out = r;
    return true;
  }
  struct load *loads;
  size_t n;
  if (!parse_loads(tasks, &loads, &n)) return false;
  *out = r;
  *fresh = true;
  double now = tmx_clock_steady();
  if (now - fmax(r->heard_at, r->reached_at) > w->c->set.report_s * 1.25 + TMX_REPORT_LATE_S)
    r->back_at = now;
  r->session = session;
  r->seq = seq;
  r->facts = f;
  if (seen > r->seen) {
    r->seen = seen;
    if (r->owned && seen >= r->fence) r->reached_at = now;
    adopt_bump(r);
  }
  if (r->owned && seen >= r->fence) r->heir = false;
  if (hello)
    r->hello_at = now;
  else
    r->reached_at = now;
  if (r->unanswered && (r->seen >= r->fence || r->session > r->fence_session))
    r->unanswered = false;
  /* Only the next request tells that the answer to the one before was executed or dropped: a probe
   * may overtake an answer that is still on its way. */
  if (hello) r->starts_out = false;
  if ((notice >= 0) != r->notice) {
    r->notice = notice >= 0;
    tmx_log(TMX_LOG_INFO, "worker: %s notice %s", r->id, r->notice ? "given" : "withdrawn");
    tmx_rounds_kick(w->c);
  }
  free(r->loads);
  r->loads = loads;
  r->n_loads = n;
  if (!++w->reports) w->reports = 1;
  r->report = w->reports;
  if (!r->m || !r->m->registered) {
    w->unknown_at = now;
    tmx_rounds_kick(w->c);
  } else
    note_report(w, r);
  return true;
}

static void w_order(struct tmx_buffer *buffer, const char *op, const char *job, uint32_t task,
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
static size_t orders(struct worker *r, struct tmx_buffer *buffer, bool stops_only, bool *starts) {
  bool may_start = tmx_ctl_may_start(r->w->c);
  struct tmx_machine *machine = r->m;
  size_t n = 0;
  *starts = false;
  if (!machine || !machine->registered) return 0;
  resolve(r);
  /* stops first: they make the room that starts need */
  for (struct tmx_task *task = machine->tasks; task && n < TMX_ORDERS_MAX; task = task->next) {
    if (!reported(r, task) || task->reported_state == LD_EXITED ||
        (!task->stop_mode && !task->job->outcome))
      continue;
    bool save = task->stop_mode == 2 && !task->job->outcome;
    if (save && task->reported_state == LD_SAVING) continue;
    w_order(buffer, WV_STOP, task->job->id, tmx_task_index(task), task->attempt,
            save ? task->job->spec.checkpoint_save_s + 1.0 : 0.0);
    n++;
  }
  for (size_t i = 0; i < r->n_loads && n < TMX_ORDERS_MAX; i++) {
    const struct load *l = &r->loads[i];
    if (l->current || (stops_only && l->state == LD_EXITED)) continue;
    /* The log has settled this attempt: an exited one may be forgotten. One that still runs
     * must not. */
    w_order(buffer, l->state == LD_EXITED ? WV_FORGET : WV_STOP, l->job, l->task, l->attempt,
            l->state == LD_EXITED ? -1 : 0.0);
    n++;
  }
  if (stops_only || !may_start) return n;
  for (struct tmx_task *task = machine->tasks; task && n < TMX_ORDERS_MAX; task = task->next) {
    if (task->stop_mode || task->job->outcome || reported(r, task)) continue;
    w_order(buffer, WV_START, task->job->id, tmx_task_index(task), task->attempt, -1);
    *starts = true;
    n++;
  }
  return n;
}

/* ------------------------------------------------------------ direct commands */

static void send_direct(struct tmx_workers *w, struct worker *r);

bool tmx_worker_answer(struct worker *r, const uint8_t *body, size_t len) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  struct worker *same = NULL;
  uint64_t session;
  bool fresh, ok = map && take_report(r->w, map, false, &same, &fresh, &session) && same == r;
  tmx_cbor_free(map);
  if (ok) r->reached_at = tmx_clock_steady();
  return ok;
}

static void on_command(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *r = arg;
  struct tmx_workers *w = r->w;
  r->in_flight = false;
  bool told = (status == 200 || status == 409) && tmx_worker_answer(r, body, len);
  if (!told && status != 400 && status != -1) {
    /* No answer, or none that tells. It may still run, minutes later: a higher token goes out
     * first, and until the worker has seen it, or is known to have begun a later session than the
     * command was for, no absence is believed. The session is the latest one: an earlier command
     * may have been for an earlier session, and that one's end says nothing of this one. */
    if (tmx_worker_hears(r)) r->fence_at = tmx_clock_steady();
    r->unanswered = true;
    if (r->bump < TMX_BUMP_MAX) r->bump++;
    r->fence = tmx_ctl_token(w->c, r->bump);
    if (!r->heir) r->fence_session = r->session;
    return;
  }
  if (told && (status == 200 || r->dirty)) send_direct(w, r);
}

struct tmx_http_client *tmx_worker_client(struct worker *r, const char *addr) {
  if (r->client && strcmp(r->client_addr, addr)) {
    tmx_http_client_free(r->client);
    r->client = NULL;
    r->w->n_clients--;
    r->in_flight = r->probe_busy = false;
  }
  if (!r->client) {
    snprintf(r->client_addr, sizeof r->client_addr, "%s", addr);
    r->client = tmx_http_client_new(r->w->c->loop, addr, 2);
    if (r->client) r->w->n_clients++;
  }
  return r->client;
}

static void send_direct(struct tmx_workers *w, struct worker *r) {
  r->dirty = false;
  if (!r->session || r->in_flight || r->unanswered || r->starts_out) {
    r->dirty = r->in_flight;
    return;
  }
  if (!tmx_worker_own(w, r) || !tmx_ctl_fresh(w->c)) return;
  uint64_t token = tmx_ctl_token(w->c, r->bump);
  if (r->seen > token) return;
  struct tmx_buffer commands = {0}, buffer = {0};
  bool starts;
  size_t n = orders(r, &commands, false, &starts);
  if (n) {
    tmx_cbor_put_map(&buffer, 3);
    tmx_cbor_put_u64_field(&buffer, W_TOKEN, token);
    tmx_cbor_put_u64_field(&buffer, W_SESSION, r->session);
    tmx_cbor_put_text(&buffer, W_COMMANDS);
    tmx_cbor_put_list(&buffer, n);
    tmx_buffer_append(&buffer, commands.data, commands.length);
    struct tmx_http_client *client = tmx_worker_client(r, r->facts.addr);
    if (client)
      r->in_flight = tmx_http_client_call(client, "POST", WP_COMMANDS, &buffer,
                                          TMX_COMMAND_TIMEOUT_S, on_command, r);
  }
  tmx_buffer_free(&commands);
  tmx_buffer_free(&buffer);
}

void tmx_workers_changed(struct tmx_workers *w, struct tmx_machine *machine) {
  struct worker *r = machine->worker;
  if (!r) {
    r = machine->worker = find(w, machine->id);
    if (!r) return;
    r->m = machine;
  }
  r->dirty = true;
  may_end(r);
  queue(r);
}

void tmx_workers_gone(struct tmx_workers *w, struct tmx_machine *machine) {
  struct worker *r = machine->worker ? machine->worker : find(w, machine->id);
  machine->worker = NULL;
  if (!r) return;
  r->m = NULL;
  worker_free(w, r);
}

void tmx_workers_clear(struct tmx_workers *w) {
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) r->m = NULL;
}

/* At every view, one by one: what is between two views that give a machine to this controller
 * tells whether it was another's in the meantime. */
void tmx_workers_viewed(struct tmx_workers *w) {
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) tmx_worker_own(w, r);
}

static void answer_owned(struct tmx_workers *w, struct worker *r, struct tmx_http_request *request,
                         bool older);

/* Sends what the latest events made due; called after events were applied, not within. */
void tmx_workers_flush(struct tmx_workers *w) {
  for (size_t i = 0; i < w->n_queue; i++) {
    struct worker *r = w->queue[i];
    if (!r) continue;
    r->queued = false;
    if (r->dirty && !r->in_flight) send_direct(w, r);
  }
  w->n_queue = 0;
  if (!w->n_held) return;
  const char *take[TMX_TAKE_MAX];
  size_t n = 0;
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) {
    if (!r->held) continue;
    if (!r->held->conn || tmx_clock_steady() - r->held_at > TMX_TAKE_HOLD_S)
      answer_move(release_held(r), NULL);
    else if (tmx_ctl_fresh(w->c) && tmx_worker_own(w, r))
      answer_owned(w, r, release_held(r), false);
    else if (n < TMX_TAKE_MAX)
      take[n++] = r->id;
  }
  if (n) tmx_ctl_take(w->c, take, n);
}

/* ------------------------------------------------------------ reports */

/* A worker that was sent to its owner and is back, or that its owner has lost, cannot reach it. */
static bool cut_from_owner(struct tmx_workers *w, struct worker *r, const char *owner, double now) {
  double back = now - r->bounced_at;
  double silence = tmx_peers_silence(w->c->peers, owner);
  if (r->bounced_at && back >= TMX_TAKE_AFTER_S && back <= TMX_TAKE_WITHIN_S) return true;
  if (silence > TMX_BEAT_LOST_S) return r->bounced_at && back < TMX_TAKE_WITHIN_S;
  struct tmx_suspect s;
  return r->m && tmx_workers_suspect(w, r->m, &s) && s.silence > TMX_TAKE_SILENT_S &&
         s.lost >= TMX_PROBES_LOST;
}

/* A command of the owner's that starts a task may still be under way, and the task's job is over by
 * now. Who keeps the lease for the owner raises no token, so the command is not ruled out, and the
 * task would go on until the lease ends: it must not be renewed beyond the time of the
 * cancellation. */
static bool starts_in_doubt(const struct worker *r, double now) {
  const struct tmx_settings *s = &r->w->c->set;
  for (const struct tmx_task *task = r->m ? r->m->tasks : NULL; task; task = task->next)
    if (task->job->outcome && !reported(r, task) &&
        now - task->job->outcome_after > tmx_fresh_bound(s))
      return true;
  return false;
}

/* While the state is out of reach no view can give the machine to anybody, and its owner does not
 * hear it: any member that is fresh keeps its lease, so that its work is not killed. It gives no
 * orders but one: a job that is over stays over, and its tasks must not outlast the time that a
 * cancellation has. Where a newer owner has been at it, that one sees to it. */
static bool keeps_for_owner(struct tmx_workers *w, const struct worker *r, const char *owner,
                            double now) {
  const struct tmx_ctl *c = w->c;
  if (!tmx_store_is_member(c->link) || now - tmx_store_fresh_as_of(c->link) < TMX_STATE_LOST_S)
    return false;
  if (r->seen > tmx_ctl_token(c, TMX_BUMP_MAX) || starts_in_doubt(r, now)) return false;
  return tmx_peers_silence(c->peers, owner) > TMX_BEAT_LOST_S ||
         (r->bounced_at && now - r->bounced_at >= TMX_TAKE_AFTER_S);
}

/* Answers a report with orders, which are freed. */
static void answer_orders(struct tmx_http_request *request, uint64_t token,
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

static void answer_for_owner(struct tmx_workers *w, struct worker *r,
                             struct tmx_http_request *request) {
  struct tmx_buffer commands = {0};
  size_t n = 0;
  for (size_t i = 0; i < r->n_loads && n < TMX_ORDERS_MAX; i++) {
    const struct load *l = &r->loads[i];
    const struct tmx_job *job = tmx_job_find(&w->c->rep, l->job);
    if (l->state == LD_EXITED || !job || !job->outcome) continue;
    w_order(&commands, WV_STOP, l->job, l->task, l->attempt, 0.0);
    n++;
  }
  answer_orders(request, r->seen, &commands, n);
}

void tmx_workers_report(struct tmx_workers *w, struct tmx_http_request *request) {
  struct tmx_ctl *c = w->c;
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  struct worker *r = NULL;
  bool latest;
  uint64_t session;
  if (!map || !take_report(w, map, true, &r, &latest, &session)) {
    tmx_cbor_free(map);
    tmx_http_reply(request, 400, NULL, 0);
    return;
  }
  tmx_cbor_free(map);
  if (!r) {
    answer_move(request, NULL);
    return;
  }
  double now = tmx_clock_steady();
  if (latest) r->heard_at = w->report_at = now;
  /* A cut-off controller must not renew leases for longer than a cancellation allows. */
  if (!tmx_ctl_fresh(c)) {
    tmx_http_reply(request, 503, NULL, 1);
    return;
  }
  if (tmx_ctl_cut_off(c)) {
    answer_move(request, NULL);
    return;
  }
  if (!tmx_worker_own(w, r)) {
    const char *owner = tmx_machine_owner(&c->rep, r->id);
    if (owner && !strcmp(owner, c->set.node)) owner = NULL; /* this run is not in the view yet */
    if (owner && latest && keeps_for_owner(w, r, owner, now)) {
      answer_for_owner(w, r, request);
      return;
    }
    if (owner && latest && !r->held && tmx_store_is_member(c->link) &&
        cut_from_owner(w, r, owner, now)) {
      r->held = request;
      r->held_at = now;
      w->n_held++;
      return;
    }
    if (owner && latest) r->bounced_at = now;
    answer_move(request, owner);
    return;
  }
  if (session < r->session) { /* a late copy: nobody waits for its answer */
    answer_move(request, NULL);
    return;
  }
  answer_owned(w, r, request, !latest);
}

/* older: a probe's answer has overtaken the report, which its worker still waits for (or it is a
 * late copy, and nobody does). Its lease counts from when it was sent, in either case. */
static void answer_owned(struct tmx_workers *w, struct worker *r, struct tmx_http_request *request,
                         bool older) {
  r->bounced_at = 0;
  uint64_t token = tmx_ctl_token(w->c, r->bump);
  if (r->seen > token) { /* a newer owner has been at it */
    answer_move(request, NULL);
    return;
  }
  struct tmx_buffer commands = {0};
  bool starts = false;
  /* While a command is under way its effect is not known: nothing is started. An answer that renews
   * a lease always stops what is cancelled, though. */
  size_t n = orders(r, &commands, older || r->in_flight, &starts);
  if (starts) r->starts_out = true;
  answer_orders(request, token, &commands, n);
}

/* ------------------------------------------------------------ for the rounds */

size_t tmx_workers_ends(struct tmx_workers *w, struct tmx_operation *ops, size_t max) {
  size_t n = 0, left = 0;
  for (size_t i = 0; i < w->n_ending; i++) {
    struct worker *r = w->ending[i];
    if (!r) continue;
    if (n == max) {
      w->ending[left++] = r;
      continue;
    }
    if (!r->m || !r->m->registered || !r->m->tasks || !r->session || !tmx_worker_own(w, r)) {
      r->may_end = false; /* set again by whatever changes this */
      continue;
    }
    resolve(r);
    bool later = false;
    for (struct tmx_task *task = r->m->tasks; task && n < max; task = task->next) {
      char how = 0;
      bool listed = reported(r, task), leaving = task->stop_mode || task->job->outcome;
      later |= leaving;
      if (listed && task->reported_state == LD_EXITED && end_counts(r, task->reported_end))
        how = task->reported_end;
      else if (!listed && leaving && absence_counts(r))
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
    r->may_end = later;
    if (later) w->ending[left++] = r;
  }
  w->n_ending = left;
  return n;
}

/* Machines that are not in the log yet. One is registered only once it shows a token of ours: a
 * late copy of a report of a machine that was returned never does. */
size_t tmx_workers_unregistered(struct tmx_workers *w, struct tmx_worker_facts *out, size_t max) {
  size_t n = 0;
  double now = tmx_clock_steady();
  struct worker *r, *tmp;
  if (!w->unknown_at || now - w->unknown_at > 2 * w->c->set.report_s) return 0;
  HASH_ITER(hh, w->all, r, tmp) {
    if (n == max) break;
    if ((r->m && r->m->registered) || !r->session || !r->heard_at) continue;
    if (now - r->heard_at > 2 * w->c->set.report_s || !tmx_worker_own(w, r)) continue;
    if (!tmx_worker_hears(r)) continue;
    out[n++] = r->facts;
  }
  return n;
}
