/* Workers: reports, tokens, orders. Orders are derived anew each time from the log (what
 * should be on the machine) and the latest report (what is), so that an heir needs nothing but
 * the log. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller.h"
#include "net/log.h"
#include "tmx/wire.h"

struct load {
  char job[TMX_ID_MAX];
  uint32_t task, attempt;
  uint8_t state; /* LD_* */
  char how;      /* TMX_END_*, when exited */
};
enum { LD_FETCHING, LD_RUNNING, LD_SAVING, LD_EXITED };

struct worker {
  char id[TMX_ID_MAX];
  struct tmx_worker_facts facts;
  struct tmx_workers *w;
  uint64_t session, seq, seen; /* seen: the highest token the worker has seen */
  double heard_at;             /* last report that came here; 0: never */
  double bounced_at;
  /* a report that waits, for a moment, until this controller is the owner */
  struct tmx_req *held;
  double held_at;
  bool notice;
  struct load *loads;
  size_t n_loads;
  /* as its owner */
  bool owned;
  uint64_t term; /* of the view that `owned` was last compared with */
  uint32_t bump;
  uint64_t fence;  /* absence proves nothing while seen < fence */
  bool starts_out; /* a response with starts was sent; the next report tells */
  bool in_flight, unanswered;
  bool dirty;
  /* the leader's own question to a silent machine */
  bool probe_busy;
  int probes_lost; /* in a row */
  double probe_at, shown_at;
  struct tmx_client *probe;
  struct tmx_client *client;
  char client_addr[TMX_NAME_MAX];
  UT_hash_handle hh;
};

struct tmx_workers {
  struct tmx_ctl *c;
  struct worker *all;
  bool scan_queued;
};

#define WORKERS_MAX 8192
#define ORDERS_MAX 400

static struct worker *find(struct tmx_workers *w, const char *id) {
  struct worker *r;
  HASH_FIND_STR(w->all, id, r);
  return r;
}

static struct worker *make(struct tmx_workers *w, const char *id) {
  struct worker *r = find(w, id);
  if (r || HASH_COUNT(w->all) >= WORKERS_MAX) return r;
  r = calloc(1, sizeof *r);
  if (!r) abort();
  snprintf(r->id, sizeof r->id, "%s", id);
  r->w = w;
  HASH_ADD_STR(w->all, id, r);
  return r;
}

struct tmx_workers *tmx_workers_new(struct tmx_ctl *c) {
  struct tmx_workers *w = calloc(1, sizeof *w);
  if (!w) abort();
  w->c = c;
  return w;
}

static void answer_move(struct tmx_req *q, const char *to) {
  struct tmx_buf b = {0};
  tmx_w_map(&b, to ? 1 : 0);
  if (to) tmx_w_kstr(&b, W_REPORT_TO, to);
  tmx_req_reply(q, 421, &b, 0);
  tmx_buf_free(&b);
}

static void worker_free(struct tmx_workers *w, struct worker *r) {
  HASH_DEL(w->all, r);
  if (r->held) answer_move(r->held, NULL);
  if (r->client) tmx_client_free(r->client);
  if (r->probe) tmx_client_free(r->probe);
  free(r->loads);
  free(r);
}

void tmx_workers_free(struct tmx_workers *w) {
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) worker_free(w, r);
  free(w);
}

static bool own(struct tmx_workers *w, const char *id) {
  const char *o = tmx_owner_of(&w->c->rep, id);
  return o && !strcmp(o, w->c->set.node) && tmx_link_member(w->c->link);
}

/* Called before anything is done as an owner. On becoming one, the old owner's commands may
 * still be under way: until the worker has seen a token of ours, absence proves nothing. */
static bool refresh_owner(struct tmx_workers *w, struct worker *r) {
  bool now = own(w, r->id);
  uint64_t term = w->c->rep.view.term;
  /* a view that was not seen may have given the machine to another and back */
  if (now && (!r->owned || term > r->term + 1)) {
    r->fence = tmx_ctl_token(w->c, r->bump);
    r->starts_out = false;
    r->unanswered = false;
  }
  r->owned = now;
  r->term = term;
  return now;
}

static bool parse_loads(const cbor_item_t *ls, struct load **out, size_t *n) {
  size_t len = tmx_r_len(ls);
  struct load *v = calloc(len + 1, sizeof *v);
  if (!v) abort();
  *n = 0;
  for (size_t i = 0; i < len; i++) {
    const cbor_item_t *l = tmx_r_at(ls, i);
    char task[TMX_ID_MAX + 16], state[16], why[16] = "";
    uint64_t attempt;
    struct load *d = &v[*n];
    if (!tmx_r_kstr(l, W_TASK, task, sizeof task) || !tmx_r_ku64(l, W_ATTEMPT, &attempt) ||
        !tmx_r_kstr(l, W_STATE, state, sizeof state) ||
        !tmx_task_parse(task, d->job, sizeof d->job, &d->task) || attempt > UINT32_MAX) {
      free(v);
      return false;
    }
    d->attempt = (uint32_t)attempt;
    tmx_r_kstr(l, W_WHY, why, sizeof why);
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

/* Takes a report in: from a request, or (hello false) from the answer to a command or a probe.
 * false: malformed. */
static bool take_report(struct tmx_workers *w, const cbor_item_t *m, bool hello,
                        struct worker **out) {
  struct tmx_worker_facts f = {0};
  uint64_t session, seq, seen = 0;
  double notice = -1;
  const cbor_item_t *ls = tmx_r_get(m, W_TASKS);
  *out = NULL;
  if (!tmx_r_kstr(m, W_MACHINE, f.id, sizeof f.id) || !f.id[0] ||
      !tmx_r_kstr(m, W_ADDR, f.addr, sizeof f.addr) ||
      !tmx_r_kstr(m, W_TYPE, f.type, sizeof f.type) ||
      !tmx_r_kstr(m, W_ZONE, f.zone, sizeof f.zone) || !tmx_r_ku64(m, W_SESSION, &session) ||
      !tmx_r_ku64(m, W_SEQ, &seq) || (ls && !cbor_isa_array(ls)))
    return false;
  tmx_r_kbool(m, W_SPOT, &f.spot);
  tmx_r_ku64(m, W_TOKEN, &seen);
  tmx_r_knum(m, W_NOTICE, &notice);
  struct load *loads;
  size_t n;
  if (!parse_loads(ls, &loads, &n)) return false;
  struct worker *r = make(w, f.id);
  if (!r) {
    free(loads);
    return false;
  }
  *out = r;
  /* late copies of older reports say nothing new */
  if (session < r->session || (session == r->session && seq <= r->seq)) {
    free(loads);
    return true;
  }
  r->session = session;
  r->seq = seq;
  r->facts = f;
  if (seen > r->seen) r->seen = seen;
  if (r->unanswered && r->seen >= r->fence) r->unanswered = false;
  /* Only the next request tells that the answer to the one before was executed or dropped: a probe
   * may overtake an answer that is still on its way. */
  if (hello) r->starts_out = false;
  if ((notice >= 0) != r->notice) {
    r->notice = notice >= 0;
    tmx_log(TMX_INFO, "worker: %s notice %s", r->id, r->notice ? "given" : "withdrawn");
    tmx_ctl_kick(w->c);
  }
  free(r->loads);
  r->loads = loads;
  r->n_loads = n;
  struct tmx_machine *mm = tmx_machine_find(&w->c->rep, r->id);
  if (!mm || !mm->known) {
    tmx_ctl_kick(w->c);
    return true;
  }
  struct tmx_task *t;
  for (t = mm->tasks; t; t = t->next) {
    for (size_t i = 0; i < n; i++) {
      const struct load *l = &loads[i];
      if (l->attempt != t->attempt || l->task != tmx_task_index(t) || strcmp(l->job, t->job->id))
        continue;
      if (l->state == LD_RUNNING && !t->seen_at) {
        t->seen_at = (float)tmx_now();
        if (tmx_log_on(TMX_DEBUG))
          tmx_log(TMX_DEBUG, "task: %s/%u %u runs on %s, image %s", l->job, l->task, l->attempt,
                  r->id, t->job->spec.image);
      }
      if (l->state == LD_EXITED) {
        if (t->stop)
          tmx_ctl_kick(w->c); /* somebody waits for this room */
        else
          tmx_ctl_kick_in(w->c, TMX_ENDS_DELAY_S);
      }
    }
    if (t->stop || t->job->fin) tmx_ctl_kick_in(w->c, TMX_ENDS_DELAY_S);
  }
  return true;
}

static const struct load *load_of(const struct worker *r, const struct tmx_task *t) {
  for (size_t i = 0; i < r->n_loads; i++)
    if (r->loads[i].attempt == t->attempt && r->loads[i].task == tmx_task_index(t) &&
        !strcmp(r->loads[i].job, t->job->id))
      return &r->loads[i];
  return NULL;
}

static void w_order(struct tmx_buf *b, const char *op, const char *job, uint32_t task,
                    uint32_t attempt, double grace) {
  char name[TMX_ID_MAX + 16];
  snprintf(name, sizeof name, "%s/%u", job, task);
  tmx_w_map(b, grace >= 0 ? 4 : 3);
  tmx_w_kstr(b, W_OP, op);
  tmx_w_kstr(b, W_TASK, name);
  tmx_w_ku64(b, W_ATTEMPT, attempt);
  if (grace >= 0) tmx_w_knum(b, W_GRACE, grace);
}

static bool current(const struct tmx_replica *rep, const struct worker *r, const struct load *l) {
  struct tmx_job *j = tmx_job_find(rep, l->job);
  if (!j || !j->tasks || l->task >= j->spec.tasks) return false;
  const struct tmx_task *t = &j->tasks[l->task];
  return t->state == TMX_PLACED && t->attempt == l->attempt && t->machine &&
         !strcmp(t->machine->id, r->id);
}

/* Appends orders; returns their number. */
static size_t orders(struct tmx_workers *w, struct worker *r, struct tmx_buf *b, bool *starts) {
  struct tmx_replica *rep = &w->c->rep;
  struct tmx_machine *m = tmx_machine_find(rep, r->id);
  size_t n = 0;
  *starts = false;
  if (!m || !m->known) return 0;
  /* stops first: they make the room that starts need */
  for (struct tmx_task *t = m->tasks; t && n < ORDERS_MAX; t = t->next) {
    const struct load *l = load_of(r, t);
    if (!l || l->state == LD_EXITED || (!t->stop && !t->job->fin)) continue;
    bool save = t->stop == 2 && !t->job->fin;
    if (save && l->state == LD_SAVING) continue;
    w_order(b, WV_STOP, t->job->id, tmx_task_index(t), t->attempt,
            save ? t->job->spec.save_s + 1.0 : 0.0);
    n++;
  }
  for (size_t i = 0; i < r->n_loads && n < ORDERS_MAX; i++) {
    const struct load *l = &r->loads[i];
    if (current(rep, r, l)) continue;
    /* The log has settled this attempt: an exited one may be forgotten. One that still runs
     * must not. */
    w_order(b, l->state == LD_EXITED ? WV_FORGET : WV_STOP, l->job, l->task, l->attempt,
            l->state == LD_EXITED ? -1 : 0.0);
    n++;
  }
  for (struct tmx_task *t = m->tasks; t && n < ORDERS_MAX; t = t->next) {
    if (t->stop || t->job->fin || load_of(r, t)) continue;
    w_order(b, WV_START, t->job->id, tmx_task_index(t), t->attempt, -1);
    *starts = true;
    n++;
  }
  return n;
}

/* ------------------------------------------------------------ direct commands */

static void send_direct(struct tmx_workers *w, struct worker *r);

static void on_command(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *r = arg;
  struct tmx_workers *w = r->w;
  r->in_flight = false;
  if (status != 200 && status != 409 && status != 400 && status != -1) {
    /* No answer, or none that tells. It may still run, minutes later: a higher token goes out
     * first, and until the worker has seen it no absence is believed. */
    r->unanswered = true;
    if (r->bump < TMX_BUMP_MAX) r->bump++;
    r->fence = tmx_ctl_token(w->c, r->bump);
    return;
  }
  if (status != 200 && status != 409) return;
  cbor_item_t *m = tmx_cbor_parse(body, len);
  struct worker *same = NULL;
  if (m && take_report(w, m, false, &same) && same == r && (status == 200 || r->dirty))
    send_direct(w, r);
  tmx_cbor_free(m);
}

static void send_direct(struct tmx_workers *w, struct worker *r) {
  r->dirty = false;
  if (!r->session || r->in_flight || r->unanswered || r->starts_out) {
    r->dirty = r->in_flight;
    return;
  }
  if (!refresh_owner(w, r) || !tmx_ctl_fresh(w->c)) return;
  uint64_t token = tmx_ctl_token(w->c, r->bump);
  if (r->seen > token) return;
  struct tmx_buf o = {0}, b = {0};
  bool starts;
  size_t n = orders(w, r, &o, &starts);
  if (n) {
    tmx_w_map(&b, 3);
    tmx_w_ku64(&b, W_TOKEN, token);
    tmx_w_ku64(&b, W_SESSION, r->session);
    tmx_w_str(&b, W_COMMANDS);
    tmx_w_list(&b, n);
    tmx_buf_add(&b, o.p, o.n);
    if (r->client && strcmp(r->client_addr, r->facts.addr)) {
      tmx_client_free(r->client);
      r->client = NULL;
    }
    if (!r->client) {
      snprintf(r->client_addr, sizeof r->client_addr, "%s", r->facts.addr);
      r->client = tmx_client_new(w->c->loop, r->facts.addr, 1);
    }
    if (r->client)
      r->in_flight =
          tmx_client_call(r->client, "POST", WP_COMMANDS, &b, TMX_COMMAND_TIMEOUT_S, on_command, r);
  }
  tmx_buf_free(&o);
  tmx_buf_free(&b);
}

void tmx_workers_changed(struct tmx_workers *w, const char *machine) {
  struct worker *r = find(w, machine);
  if (!r) return;
  r->dirty = true;
  refresh_owner(w, r); /* at every view, one by one */
}

void tmx_workers_gone(struct tmx_workers *w, const char *machine) {
  struct worker *r = find(w, machine);
  if (r) worker_free(w, r);
}

static void answer_owned(struct tmx_workers *w, struct worker *r, struct tmx_req *q);

/* Sends what the latest events made due; called after events were applied, not within. */
void tmx_workers_tick(struct tmx_workers *w) {
  struct worker *r, *t;
  const char *take[TMX_TAKE_MAX];
  size_t n = 0;
  HASH_ITER(hh, w->all, r, t) {
    if (r->held) {
      struct tmx_req *q = r->held;
      if (!q->conn || tmx_now() - r->held_at > TMX_TAKE_HOLD_S) {
        r->held = NULL;
        answer_move(q, NULL);
      } else if (tmx_ctl_fresh(w->c) && refresh_owner(w, r)) {
        r->held = NULL;
        answer_owned(w, r, q);
      } else if (n < TMX_TAKE_MAX) {
        take[n++] = r->id;
      }
    }
    if (r->dirty && !r->in_flight) send_direct(w, r);
  }
  if (n) tmx_ctl_take(w->c, take, n);
}

/* ------------------------------------------------------------ reports */

/* A worker that was sent to its owner and is back, or that its owner has lost, cannot reach it. */
static bool cut_from_owner(struct tmx_workers *w, struct worker *r, const char *owner, double now) {
  double back = now - r->bounced_at;
  double silence = tmx_peers_silence(w->c->peers, owner);
  if (r->bounced_at && back >= TMX_TAKE_AFTER_S - 1.5 && back <= TMX_TAKE_WITHIN_S) return true;
  if (silence > TMX_BEAT_LOST_S) return r->bounced_at && back < TMX_TAKE_WITHIN_S;
  double heard = tmx_peers_heard(w->c->peers, r->id, owner, NULL);
  return heard < 1e8 && heard > 4.5 && heard < 60;
}

void tmx_workers_report(struct tmx_workers *w, struct tmx_req *q) {
  struct tmx_ctl *c = w->c;
  cbor_item_t *m = tmx_cbor_parse(q->body, q->body_len);
  struct worker *r = NULL;
  if (!m || !take_report(w, m, true, &r) || !r) {
    tmx_cbor_free(m);
    tmx_req_reply(q, 400, NULL, 0);
    return;
  }
  uint64_t session = 0, seq = 0;
  tmx_r_ku64(m, W_SESSION, &session);
  tmx_r_ku64(m, W_SEQ, &seq);
  tmx_cbor_free(m);
  double now = tmx_now();
  bool latest = session == r->session && seq == r->seq;
  if (latest) r->heard_at = now;
  /* A cut-off controller must not renew leases for longer than a cancellation allows. */
  if (!tmx_ctl_fresh(c)) {
    tmx_req_reply(q, 503, NULL, 1);
    return;
  }
  if (tmx_ctl_cut_off(c)) {
    answer_move(q, NULL);
    return;
  }
  if (!refresh_owner(w, r)) {
    const char *owner = tmx_owner_of(&c->rep, r->id);
    if (owner && !strcmp(owner, c->set.node)) owner = NULL; /* this run is not in the view yet */
    if (owner && latest && !r->held && tmx_link_member(c->link) &&
        cut_from_owner(w, r, owner, now)) {
      r->held = q;
      r->held_at = now;
      return;
    }
    if (owner && latest) r->bounced_at = now;
    answer_move(q, owner);
    return;
  }
  if (!latest) { /* a late copy: nobody waits for its answer */
    answer_move(q, NULL);
    return;
  }
  answer_owned(w, r, q);
}

static void answer_owned(struct tmx_workers *w, struct worker *r, struct tmx_req *q) {
  r->bounced_at = 0;
  uint64_t token = tmx_ctl_token(w->c, r->bump);
  if (r->seen > token) { /* a newer owner has been at it */
    answer_move(q, NULL);
    return;
  }
  struct tmx_buf o = {0}, b = {0};
  bool starts = false;
  /* While a command is under way its effect is not known: the lease is renewed, no more. */
  size_t n = r->in_flight ? 0 : orders(w, r, &o, &starts);
  if (starts) r->starts_out = true;
  tmx_w_map(&b, 2);
  tmx_w_ku64(&b, W_TOKEN, token);
  tmx_w_str(&b, W_COMMANDS);
  tmx_w_list(&b, n);
  tmx_buf_add(&b, o.p, o.n);
  tmx_req_reply(q, 200, &b, 0);
  tmx_buf_free(&o);
  tmx_buf_free(&b);
}

/* ------------------------------------------------------------ for the rounds */

size_t tmx_workers_ends(struct tmx_workers *w, struct tmx_op *ops, size_t max) {
  size_t n = 0;
  struct worker *r, *tmp;
  HASH_ITER(hh, w->all, r, tmp) {
    struct tmx_machine *m = tmx_machine_find(&w->c->rep, r->id);
    if (!m || !m->known || !m->tasks || !r->session || !refresh_owner(w, r)) continue;
    for (struct tmx_task *t = m->tasks; t && n < max; t = t->next) {
      const struct load *l = load_of(r, t);
      char how = 0;
      if (l && l->state == LD_EXITED)
        how = l->how;
      else if (!l && (t->stop || t->job->fin) && r->seen >= r->fence && !r->in_flight &&
               !r->unanswered && !r->starts_out)
        how = TMX_END_STOPPED;
      if (!how) continue;
      struct tmx_op *o = &ops[n++];
      memset(o, 0, sizeof *o);
      o->op = TMX_OP_END;
      o->task = tmx_task_index(t);
      o->attempt = t->attempt;
      o->how = how;
      snprintf(o->job, sizeof o->job, "%s", t->job->id);
    }
  }
  return n;
}

size_t tmx_workers_unregistered(struct tmx_workers *w, struct tmx_worker_facts *out, size_t max) {
  size_t n = 0;
  double now = tmx_now();
  struct worker *r, *tmp;
  HASH_ITER(hh, w->all, r, tmp) {
    if (n == max) break;
    if (!r->session || !r->heard_at || now - r->heard_at > TMX_HEARD_S) continue;
    struct tmx_machine *m = tmx_machine_find(&w->c->rep, r->id);
    if ((m && m->known) || !refresh_owner(w, r)) continue;
    out[n++] = r->facts;
  }
  return n;
}

/* ------------------------------------------------------------ probes */

static void on_shown(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *r = arg;
  struct worker *same = NULL;
  r->probe_busy = false;
  cbor_item_t *m = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  if (m && take_report(r->w, m, false, &same) && same == r) {
    r->probes_lost = 0;
    r->shown_at = tmx_now();
  } else {
    r->probes_lost++;
  }
  tmx_cbor_free(m);
}

/* Silence alone may be the controllers' trouble: before a machine is given up it is asked. */
int tmx_workers_probe(struct tmx_workers *w, const struct tmx_machine *m) {
  struct worker *r = make(w, m->id);
  double now = tmx_now();
  if (!r) return 0;
  if (now - r->probe_at > 3 * TMX_PROBE_S) r->probes_lost = 0; /* of an earlier silence */
  if (r->probe_busy || now - r->probe_at < TMX_PROBE_S) return r->probes_lost;
  if (!r->probe) r->probe = tmx_client_new(w->c->loop, m->addr, 2);
  r->probe_at = now;
  if (r->probe)
    r->probe_busy = tmx_client_call(r->probe, "GET", WP_STATUS, NULL, TMX_PROBE_S, on_shown, r);
  return r->probes_lost;
}

struct tmx_health tmx_workers_health(struct tmx_workers *w, const char *machine) {
  struct worker *r = find(w, machine);
  struct tmx_health h = {.age = 1e9, .alive_age = 1e9, .own_age = 1e9};
  if (r && r->heard_at) {
    h.age = tmx_now() - r->heard_at;
    h.notice = r->notice;
  }
  if (r && r->shown_at) h.alive_age = tmx_now() - r->shown_at;
  h.own_age = fmin(h.age, h.alive_age);
  bool notice = false;
  double other = tmx_peers_heard(w->c->peers, machine, NULL, &notice);
  if (other < h.age) {
    h.age = other;
    h.notice = notice;
  }
  if (h.age < h.alive_age) h.alive_age = h.age;
  return h;
}

void tmx_workers_each(struct tmx_workers *w, tmx_each_heard f, void *arg) {
  struct worker *r, *t;
  double now = tmx_now();
  HASH_ITER(hh, w->all, r, t) {
    if (r->heard_at) f(arg, r->id, now - r->heard_at, r->notice);
  }
}
