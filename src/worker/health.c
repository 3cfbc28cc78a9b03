/* The health of workers: each owner asks its own machines in turn, those in doubt first, within a
 * budget, and tells the others what is wrong. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "tmx/wire.h"
#include "worker/worker.h"

/* An answer may lie in a buffer while this controller stands still or is behind with its own work:
 * then a probe that timed out says nothing of the machine. */
static void probe_lost(struct worker *r) {
  if (r->w->c->late_at < r->probe_at &&
      tmx_clock_steady() - r->w->c->tick_at < TMX_TICK_S + TMX_LATE_S)
    r->probes_lost++;
}

static void on_shown(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *r = arg;
  r->probe_busy = false;
  if (status == 200 && tmx_worker_answer(r, body, len))
    r->probes_lost = 0;
  else
    probe_lost(r);
}

static double sign_age(const struct worker *r, double now) {
  return now - fmax(fmax(r->heard_at, r->reached_at), r->owned_at);
}

/* How many probes a second this controller may send: a share of its processor. */
double tmx_workers_probe_rate(const struct tmx_ctl *c) {
  return fmax(c->set.core_share * TMX_PROBE_SHARE / TMX_PROBE_COST_S, 4);
}

static void on_introduced(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *r = arg;
  r->in_flight = false;
  if ((status == 200 || status == 409) && tmx_worker_answer(r, body, len))
    r->probes_lost = 0;
  else
    probe_lost(r);
}

/* A command without orders: its answer shows our token, which a report would show only later. That
 * it may be executed late does no harm. */
static bool introduce(struct worker *r) {
  struct tmx_buffer buffer = {0};
  uint64_t token = tmx_ctl_token(r->w->c, r->bump);
  if (r->seen > token) return false;
  tmx_cbor_put_map(&buffer, 3);
  tmx_cbor_put_u64_field(&buffer, W_TOKEN, token);
  tmx_cbor_put_u64_field(&buffer, W_SESSION, r->session);
  tmx_cbor_put_text(&buffer, W_COMMANDS);
  tmx_cbor_put_list(&buffer, 0);
  r->in_flight =
      tmx_http_client_call(r->client, "POST", WP_COMMANDS, &buffer, TMX_PROBE_S, on_introduced, r);
  tmx_buffer_free(&buffer);
  return r->in_flight;
}

static bool probe(struct tmx_workers *w, struct worker *r, const char *addr, double now) {
  if (r->probe_busy || r->in_flight || w->probe_tokens < 1) return false;
  if (!tmx_worker_client(r, addr)) return false;
  w->probe_tokens -= 1;
  r->probe_at = now;
  /* in turns with a plain question: a machine that answers only that is up, and not reached */
  if (r->owned && r->session && !tmx_worker_hears(r) && !(r->probes_lost & 1) && introduce(r))
    return true;
  r->probe_busy = tmx_http_client_call(r->client, "GET", WP_STATUS, NULL, TMX_PROBE_S, on_shown, r);
  return true;
}

/* Connections to workers are kept while there are sockets for them. */
static void close_some(struct tmx_workers *w) {
  int max = tmx_sockets_out(&w->c->set);
  if (w->n_clients <= max) return;
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) {
    if (w->n_clients * 10 <= max * 8) return;
    if (!r->client || r->in_flight || r->probe_busy) continue;
    tmx_http_client_free(r->client);
    r->client = NULL;
    w->n_clients--;
  }
}

/* Is the machine in doubt, and due to be asked again. One that stays lost is asked ever less often:
 * a whole zone of them must not use up what the others need. */
static bool doubt_due(const struct worker *r, double now) {
  if (!r->probes_lost && tmx_worker_hears(r)) return false;
  int over = r->probes_lost - TMX_PROBES_LOST;
  int doublings = over < 0 ? 0 : over > TMX_PROBE_DOUBLINGS ? TMX_PROBE_DOUBLINGS : over;
  return now - r->probe_at >= TMX_PROBE_S * (1 << doublings);
}

/* Asks in turn, from where the last turn ended, while there are probes to spend. */
static struct worker *ask_in_turn(struct tmx_workers *w, struct worker *from, bool member,
                                  bool doubtful, double period, double keep, double now) {
  size_t turns = HASH_COUNT(w->all);
  struct worker *r = from ? from : w->all;
  for (; r && turns-- && w->probe_tokens >= 1 + keep; r = r->hh.next ? r->hh.next : w->all) {
    if (!r->m || !r->m->registered || (member && !r->owned)) continue;
    bool due = doubtful ? doubt_due(r, now)
                        : !r->probes_lost && now - fmax(r->reached_at, r->probe_at) >= period;
    if (due) probe(w, r, r->m->addr, now);
  }
  return r;
}

/* A controller that was left out asks a few, to learn when it reaches them again. */
static void ask_a_few(struct tmx_workers *w, struct tmx_reach *reach, double now) {
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) {
    if (!r->m || !r->m->registered) continue;
    if (reach->owned >= TMX_REACH_LEAST) return;
    reach->owned++;
    reach->reached += now - r->reached_at < 3;
    if (now - fmax(r->reached_at, r->probe_at) >= 1) probe(w, r, r->m->addr, now);
  }
}

static void count_sign(struct tmx_workers *w, const struct worker *r, double now) {
  if (r->m->zone < 0) return;
  struct tmx_zone_signs *z = &w->zones[r->m->zone];
  z->machines++;
  z->lost += r->probes_lost >= TMX_PROBES_LOST - 1;
  z->alive += now - fmax(r->heard_at, r->reached_at) < TMX_ALIVE_S;
}

/* In TMX_ALIVE_S only some of those that live can give a sign, as they are asked in turn: what was
 * heard stands for so many. */
static void extrapolate(struct tmx_workers *w, double rate) {
  const struct tmx_settings *s = &w->c->set;
  double lost = 0, others = 0;
  for (size_t z = 0; z < s->n_zones; z++) {
    lost += w->zones[z].lost;
    others += w->zones[z].machines - w->zones[z].lost;
  }
  if (lost > 0) rate *= 1 - TMX_SUSPECTS_SHARE;
  double heard = fmin(1, TMX_ALIVE_S * (rate / fmax(others, 1) + 1 / s->report_s));
  for (size_t z = 0; z < s->n_zones; z++) {
    struct tmx_zone_signs *g = &w->zones[z];
    g->alive = (unsigned)fmin(g->alive / heard, g->machines - g->lost);
  }
}

void tmx_workers_tick(struct tmx_workers *w) {
  struct tmx_ctl *c = w->c;
  double now = tmx_clock_steady(), rate = tmx_workers_probe_rate(c);
  if (now - w->sweep_at < TMX_SWEEP_S) return;
  w->probe_tokens = fmin(w->probe_tokens + rate * (now - w->sweep_at), rate * 2 * TMX_SWEEP_S);
  w->sweep_at = now;
  int self = tmx_ctl_self(c);
  bool member = tmx_store_is_member(c->link) && tmx_ctl_fresh(c);
  double heard_s = c->set.report_s * 1.25 + TMX_REPORT_LATE_S;
  struct tmx_reach reach = {.report_age = w->report_at ? now - w->report_at : 1e9};
  unsigned unreported = 0; /* two reports are missing: it may reach no controller */
  struct tmx_machine *machine, *t;
  memset(w->zones, 0, sizeof w->zones);
  HASH_ITER(hh, c->rep.machines, machine, t) {
    if (!machine->registered) continue;
    bool mine = member && machine->owner == self && self >= 0, usable;
    struct worker *r = machine->worker;
    if (mine && !r) {
      r = tmx_worker_make(w, machine->id);
      if (!r) continue;
    }
    if (mine) {
      tmx_worker_own(w, r);
      count_sign(w, r, now);
      reach.owned++;
      reach.reached += now - fmax(r->reached_at, r->owned_at) < 3 * fmax(1, reach.owned / rate) + 2;
      bool reports = tmx_worker_unreported(r, now) < heard_s + c->set.report_s;
      unreported += !reports;
      usable = r->session && tmx_worker_hears(r) && !r->probes_lost && !r->notice && reports &&
               sign_age(r, now) < heard_s;
    } else {
      struct tmx_suspect s;
      usable = !tmx_workers_suspect(w, machine, &s);
    }
    if (usable != machine->usable) {
      machine->usable = usable;
      tmx_rounds_machine(c->rounds, machine);
      if (usable) tmx_rounds_kick(c);
    }
  }
  extrapolate(w, rate);
  if (member) {
    double keep = w->probe_tokens * (1 - TMX_SUSPECTS_SHARE);
    double period = fmax(TMX_PROBE_AFTER_S, reach.owned / rate);
    w->doubt_from = ask_in_turn(w, w->doubt_from, true, true, period, keep, now);
    w->probe_from = ask_in_turn(w, w->probe_from, true, false, period, 0, now);
  } else {
    ask_a_few(w, &reach, now);
  }
  w->reach = reach;
  w->many_unreported = unreported * 2 > reach.owned;
  close_some(w);
}

const struct tmx_zone_signs *tmx_workers_zones(const struct tmx_workers *w) { return w->zones; }

struct tmx_reach tmx_workers_reach(const struct tmx_workers *w) {
  return w->reach;
}

/* ------------------------------------------------------------ told to and by the others */

static bool suspect(const struct worker *r, double now, double heard_s, struct tmx_suspect *s) {
  double back = now - r->back_at;
  s->silence = sign_age(r, now);
  s->lost = r->probes_lost;
  s->unreached = tmx_worker_hears(r) ? 0 : now - fmax(r->owned_at, r->fence_at);
  if (r->probes_lost) s->unreached = fmax(s->unreached, now - fmax(r->reached_at, r->owned_at));
  /* one that was cut off and is heard again has not had the time yet to show that it hears us */
  if (back < r->w->c->set.lease_s * TMX_BACK_LEASES)
    s->unreached = fmin(s->unreached, back + 0.001);
  /* It answers and cannot report: direct commands renew no lease, so by now all that ran is over,
   * and would be again a lease later. */
  double unreported = tmx_worker_unreported(r, now);
  if (unreported > r->w->c->set.lease_s && !r->w->many_unreported)
    s->unreached = fmax(s->unreached, unreported);
  s->notice = r->notice;
  memcpy(s->id, r->id, sizeof s->id);
  return s->lost || s->unreached > 0 || s->notice || s->silence > heard_s;
}

void tmx_workers_suspects(struct tmx_workers *w, tmx_each_suspect f, void *arg) {
  double now = tmx_clock_steady(), heard_s = w->c->set.report_s * 1.25 + TMX_REPORT_LATE_S;
  struct worker *r, *t;
  HASH_ITER(hh, w->all, r, t) {
    struct tmx_suspect s;
    if (r->owned && r->m && r->m->registered && suspect(r, now, heard_s, &s)) f(arg, &s);
  }
}

void tmx_workers_peer_says(struct tmx_workers *w, const char *node, uint64_t term,
                           const struct tmx_suspect *s) {
  struct worker *r;
  HASH_FIND_STR(w->all, s->id, r);
  if (!r) {
    if (!tmx_machine_find(&w->c->rep, s->id)) return;
    r = tmx_worker_make(w, s->id);
    if (!r) return;
  }
  r->said = *s;
  r->said_at = tmx_clock_steady();
  r->said_term = term;
  snprintf(r->said_by, sizeof r->said_by, "%s", node);
}

bool tmx_workers_suspect(const struct tmx_workers *w, const struct tmx_machine *machine,
                         struct tmx_suspect *out) {
  const struct worker *r = machine->worker;
  double now = tmx_clock_steady();
  if (!r || machine->owner < 0) return false;
  if (machine->owner == tmx_ctl_self(w->c))
    return suspect(r, now, w->c->set.report_s * 1.25 + TMX_REPORT_LATE_S, out);
  const char *owner = w->c->rep.view.members[machine->owner].name;
  /* In its latest heartbeat, or not at all, and by the view that stands: a controller that was cut
   * off still tells of what it owned before, none of which it could reach. */
  if (!r->said_at || r->said_term < w->c->rep.view.term || strcmp(r->said_by, owner) ||
      now - r->said_at > tmx_peers_silence(w->c->peers, owner) + TMX_BEAT_S / 2 ||
      now - r->said_at > TMX_BEAT_LOST_S)
    return false;
  *out = r->said;
  out->silence += now - r->said_at;
  return true;
}
