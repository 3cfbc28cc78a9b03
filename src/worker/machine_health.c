/* The health of workers: each owner asks its own machines in turn, those in doubt first, within a
 * budget, and tells the others what is wrong. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"
#include "worker/workers_internal.h"
#include "base/clock.h"

/* An answer may lie in a buffer while this controller stands still or is behind with its own work:
 * then a probe that timed out says nothing of the machine. */
static void probe_lost(struct tmx_worker *worker) {
  if (tmx_loop_monitor_on_time_since(worker->workers->loop_monitor, worker->probed_at,
                                     tmx_clock_steady()))
    worker->probes_lost++;
}

static void on_probe_response(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_worker *worker = arg;
  worker->probe_in_flight = false;
  if (status == 200 && tmx_worker_take_status(worker, body, len))
    worker->probes_lost = 0;
  else
    probe_lost(worker);
}

static double life_sign_age(const struct tmx_worker *worker, double now) {
  return now - fmax(fmax(worker->heard_at, worker->acknowledged_at), worker->owned_since);
}

/* How many probes a second this controller may send: a share of its processor. */
double tmx_workers_probe_rate(const struct tmx_settings *settings) {
  return fmax(settings->core_share * TMX_PROBE_SHARE / TMX_PROBE_COST_S, 4);
}

static void on_introduction_response(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_worker *worker = arg;
  worker->command_in_flight = false;
  if ((status == 200 || status == 409) && tmx_worker_take_status(worker, body, len))
    worker->probes_lost = 0;
  else
    probe_lost(worker);
}

/* A command without orders: its answer shows our token, which a report would show only later. That
 * it may be executed late does no harm. */
static bool introduce(struct tmx_worker *worker) {
  struct tmx_buffer buffer = {0};
  uint64_t token = tmx_authority_fencing_token(worker->workers->authority, worker->token_sequence);
  if (worker->highest_token > token) return false;
  tmx_cbor_put_map(&buffer, 3);
  tmx_cbor_put_u64_field(&buffer, W_TOKEN, token);
  tmx_cbor_put_u64_field(&buffer, W_SESSION, worker->session);
  tmx_cbor_put_text(&buffer, W_COMMANDS);
  tmx_cbor_put_list(&buffer, 0);
  worker->command_in_flight =
      tmx_http_client_call(worker->client, "POST", WP_COMMANDS, &buffer, TMX_PROBE_TIMEOUT_S,
                           on_introduction_response, worker);
  tmx_buffer_free(&buffer);
  return worker->command_in_flight;
}

static bool probe(struct tmx_workers *workers, struct tmx_worker *worker, const char *addr,
                  double now) {
  if (worker->probe_in_flight || worker->command_in_flight || workers->probe_tokens < 1)
    return false;
  if (!tmx_worker_client(worker, addr)) return false;
  workers->probe_tokens -= 1;
  worker->probed_at = now;
  /* in turns with a plain question: a machine that answers only that is up, and not reached */
  if (worker->owned && worker->session && !tmx_worker_is_acknowledged(worker) &&
      !(worker->probes_lost & 1) && introduce(worker))
    return true;
  worker->probe_in_flight = tmx_http_client_call(worker->client, "GET", WP_STATUS, NULL,
                                                 TMX_PROBE_TIMEOUT_S, on_probe_response, worker);
  return true;
}

/* Connections to workers are kept while there are sockets for them. */
static void close_idle_clients(struct tmx_workers *workers) {
  int max = tmx_sockets_out(workers->settings);
  if (workers->n_clients <= max) return;
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    if (workers->n_clients * 10 <= max * 8) return;
    if (!worker->client || worker->command_in_flight || worker->probe_in_flight) continue;
    tmx_http_client_free(worker->client);
    worker->client = NULL;
    workers->n_clients--;
  }
}

/* Is the machine in doubt, and due to be asked again. One that stays lost is asked ever less often:
 * a whole zone of them must not use up what the others need. */
static bool suspect_probe_is_due(const struct tmx_worker *worker, double now) {
  if (!worker->probes_lost && tmx_worker_is_acknowledged(worker)) return false;
  int over = worker->probes_lost - TMX_PROBES_LOST;
  int doublings = over < 0 ? 0 : over > TMX_PROBE_DOUBLINGS ? TMX_PROBE_DOUBLINGS : over;
  return now - worker->probed_at >= TMX_PROBE_TIMEOUT_S * (1 << doublings);
}

/* Asks in turn, from where the last turn ended, while there are probes to spend. */
static struct tmx_worker *probe_in_turn(struct tmx_workers *workers, struct tmx_worker *from,
                                        bool member, bool doubtful, double period, double keep,
                                        double now) {
  size_t turns = HASH_COUNT(workers->all);
  struct tmx_worker *worker = from ? from : workers->all;
  for (; worker && turns-- && workers->probe_tokens >= 1 + keep;
       worker = worker->hh.next ? worker->hh.next : workers->all) {
    if (!worker->machine || !worker->machine->registered || (member && !worker->owned)) continue;
    bool due = doubtful ? suspect_probe_is_due(worker, now)
                        : !worker->probes_lost &&
                              now - fmax(worker->acknowledged_at, worker->probed_at) >= period;
    if (due) probe(workers, worker, worker->machine->addr, now);
  }
  return worker;
}

/* A controller that was left out asks a few, to learn when it reaches them again. */
static void probe_a_few(struct tmx_workers *workers, struct tmx_reachability *reach, double now) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    if (!worker->machine || !worker->machine->registered) continue;
    if (reach->owned >= TMX_REACHABILITY_MACHINES_MIN) return;
    reach->owned++;
    reach->reached += now - worker->acknowledged_at < 3;
    if (now - fmax(worker->acknowledged_at, worker->probed_at) >= 1)
      probe(workers, worker, worker->machine->addr, now);
  }
}

static void count_zone_liveness(struct tmx_workers *workers, const struct tmx_worker *worker,
                                double now) {
  if (worker->machine->zone < 0) return;
  struct tmx_zone_liveness *zone = &workers->zone_liveness[worker->machine->zone];
  zone->machines++;
  zone->lost += worker->probes_lost >= TMX_PROBES_LOST - 1;
  zone->alive += now - fmax(worker->heard_at, worker->acknowledged_at) < TMX_ALIVE_S;
}

/* In TMX_ALIVE_S only some of those that live can give a sign, as they are asked in turn: what was
 * heard stands for so many. */
static void extrapolate(struct tmx_workers *workers, double rate) {
  const struct tmx_settings *settings = workers->settings;
  double lost = 0, others = 0;
  for (size_t z = 0; z < settings->n_zones; z++) {
    lost += workers->zone_liveness[z].lost;
    others += workers->zone_liveness[z].machines - workers->zone_liveness[z].lost;
  }
  if (lost > 0) rate *= 1 - TMX_SUSPECT_PROBES_SHARE;
  double heard = fmin(1, TMX_ALIVE_S * (rate / fmax(others, 1) + 1 / settings->report_s));
  for (size_t z = 0; z < settings->n_zones; z++) {
    struct tmx_zone_liveness *zone = &workers->zone_liveness[z];
    zone->alive = (unsigned)fmin(zone->alive / heard, zone->machines - zone->lost);
  }
}

void tmx_workers_tick(struct tmx_workers *workers) {
  double now = tmx_clock_steady(), rate = tmx_workers_probe_rate(workers->settings);
  if (now - workers->swept_at < TMX_RECLAIM_PERIOD_S) return;
  workers->probe_tokens = fmin(workers->probe_tokens + rate * (now - workers->swept_at),
                               rate * 2 * TMX_RECLAIM_PERIOD_S);
  workers->swept_at = now;
  int self = tmx_authority_member_index(workers->authority);
  bool member = tmx_store_is_member(workers->store) && tmx_authority_may_act(workers->authority);
  double heard_s = workers->settings->report_s * 1.25 + TMX_REPORT_LATE_S;
  struct tmx_reachability reach = {
      .report_age_s = workers->last_report_at ? now - workers->last_report_at : 1e9};
  unsigned unreported = 0; /* two reports are missing: it may reach no controller */
  struct tmx_machine *machine, *t;
  memset(workers->zone_liveness, 0, sizeof workers->zone_liveness);
  HASH_ITER(hh, workers->replica->machines, machine, t) {
    if (!machine->registered) continue;
    bool mine = member && machine->owner == self && self >= 0, usable;
    struct tmx_worker *worker = machine->worker;
    if (mine && !worker) {
      worker = tmx_worker_create(workers, machine->id);
      if (!worker) continue;
    }
    if (mine) {
      tmx_worker_is_owned(workers, worker);
      count_zone_liveness(workers, worker, now);
      reach.owned++;
      reach.reached += now - fmax(worker->acknowledged_at, worker->owned_since) <
                       3 * fmax(1, reach.owned / rate) + 2;
      bool reports = tmx_worker_heartbeat_age(worker, now) < heard_s + workers->settings->report_s;
      unreported += !reports;
      usable = worker->session && tmx_worker_is_acknowledged(worker) && !worker->probes_lost &&
               !worker->spot_notice && reports && life_sign_age(worker, now) < heard_s;
    } else {
      struct tmx_suspicion suspicion;
      usable = !tmx_workers_find_suspicion(workers, machine, &suspicion);
    }
    if (usable != machine->usable) {
      machine->usable = usable;
      tmx_scheduler_machine_changed(workers->scheduler, machine);
      if (usable) tmx_scheduler_trigger(workers->scheduler);
    }
  }
  extrapolate(workers, rate);
  if (member) {
    double keep = workers->probe_tokens * (1 - TMX_SUSPECT_PROBES_SHARE);
    double period = fmax(TMX_PROBE_AFTER_S, reach.owned / rate);
    workers->next_suspect_probe =
        probe_in_turn(workers, workers->next_suspect_probe, true, true, period, keep, now);
    workers->next_probe = probe_in_turn(workers, workers->next_probe, true, false, period, 0, now);
  } else {
    probe_a_few(workers, &reach, now);
  }
  workers->reachability = reach;
  workers->most_are_unreported = unreported * 2 > reach.owned;
  close_idle_clients(workers);
}

const struct tmx_zone_liveness *tmx_workers_zone_liveness(const struct tmx_workers *workers) {
  return workers->zone_liveness;
}

struct tmx_reachability tmx_workers_reachability(const struct tmx_workers *workers) {
  return workers->reachability;
}

bool tmx_workers_are_unreachable(const struct tmx_workers *workers) {
  const struct tmx_reachability *reachability = &workers->reachability;
  return reachability->owned >= TMX_REACHABILITY_MACHINES_MIN &&
         reachability->reached * 4 < reachability->owned;
}

/* ------------------------------------------------------------ told to and by the others */

static bool suspicion_of(const struct tmx_worker *worker, double now, double heard_s,
                         struct tmx_suspicion *suspicion) {
  double back = now - worker->recovered_at;
  suspicion->silence_s = life_sign_age(worker, now);
  suspicion->probes_lost = worker->probes_lost;
  suspicion->unacknowledged_s = tmx_worker_is_acknowledged(worker)
                                    ? 0
                                    : now - fmax(worker->owned_since, worker->required_token_at);
  if (worker->probes_lost)
    suspicion->unacknowledged_s =
        fmax(suspicion->unacknowledged_s, now - fmax(worker->acknowledged_at, worker->owned_since));
  /* one that was cut off and is heard again has not had the time yet to show that it hears us */
  if (back < worker->workers->settings->lease_s * TMX_RECOVERY_LEASES)
    suspicion->unacknowledged_s = fmin(suspicion->unacknowledged_s, back + 0.001);
  /* It answers and cannot report: direct commands renew no lease, so by now all that ran is over,
   * and would be again a lease later. */
  double unreported = tmx_worker_heartbeat_age(worker, now);
  if (unreported > worker->workers->settings->lease_s && !worker->workers->most_are_unreported)
    suspicion->unacknowledged_s = fmax(suspicion->unacknowledged_s, unreported);
  suspicion->spot_notice = worker->spot_notice;
  memcpy(suspicion->id, worker->id, sizeof suspicion->id);
  return suspicion->probes_lost || suspicion->unacknowledged_s > 0 || suspicion->spot_notice ||
         suspicion->silence_s > heard_s;
}

void tmx_workers_each_suspicion(struct tmx_workers *workers, tmx_suspicion_cb callback, void *arg) {
  double now = tmx_clock_steady(), heard_s = workers->settings->report_s * 1.25 + TMX_REPORT_LATE_S;
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    struct tmx_suspicion suspicion;
    if (worker->owned && worker->machine && worker->machine->registered &&
        suspicion_of(worker, now, heard_s, &suspicion))
      callback(arg, &suspicion);
  }
}

void tmx_workers_take_suspicion(struct tmx_workers *workers, const char *node, uint64_t term,
                                const struct tmx_suspicion *suspicion) {
  struct tmx_worker *worker;
  HASH_FIND_STR(workers->all, suspicion->id, worker);
  if (!worker) {
    if (!tmx_machine_find(workers->replica, suspicion->id)) return;
    worker = tmx_worker_create(workers, suspicion->id);
    if (!worker) return;
  }
  worker->owner_suspicion = *suspicion;
  worker->suspicion_at = tmx_clock_steady();
  worker->suspicion_term = term;
  snprintf(worker->suspicion_reporter, sizeof worker->suspicion_reporter, "%s", node);
}

bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out) {
  const struct tmx_worker *worker = machine->worker;
  double now = tmx_clock_steady();
  if (!worker || machine->owner < 0) return false;
  if (machine->owner == tmx_authority_member_index(workers->authority))
    return suspicion_of(worker, now, workers->settings->report_s * 1.25 + TMX_REPORT_LATE_S, out);
  const char *owner = workers->replica->view.members[machine->owner].name;
  /* In its latest heartbeat, or not at all, and by the view that stands: a controller that was cut
   * off still tells of what it owned before, none of which it could reach. */
  if (!worker->suspicion_at || worker->suspicion_term < workers->replica->view.term ||
      strcmp(worker->suspicion_reporter, owner) ||
      now - worker->suspicion_at >
          tmx_peers_silence(workers->peers, owner) + TMX_HEARTBEAT_PERIOD_S / 2 ||
      now - worker->suspicion_at > TMX_HEARTBEAT_LOST_S)
    return false;
  *out = worker->owner_suspicion;
  out->silence_s += now - worker->suspicion_at;
  return true;
}
