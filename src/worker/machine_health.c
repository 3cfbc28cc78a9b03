/* Health of machines: which of them are usable, how many of each zone are alive, and whether this
 * controller reaches those that it owns. */
#include "worker/machine_health.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "replica/machine_faults.h"
#include "worker/fencing.h"
#include "worker/probes.h"
#include "worker/traffic.h"
#include "worker/worker_connection.h"
#include "worker/worker_table.h"

double tmx_worker_heartbeat_age(const struct tmx_worker *worker, double now) {
  return now - fmax(worker->liveness.heartbeat_at, worker->ownership.since);
}

static double last_sign_of_life(const struct tmx_worker *worker) {
  return fmax(worker->liveness.heartbeat_at, worker->liveness.acknowledged_at);
}

double tmx_worker_time_since_contact(const struct tmx_worker *worker, double now) {
  return now - fmax(last_sign_of_life(worker), worker->ownership.since);
}

/* State of one pass over all machines. */
struct health_check {
  double now;
  double probe_rate; /* probes per second */
  bool is_member;    /* this controller is a member and may act */
  int self;          /* member index of this controller; -1: none */
  struct tmx_reachability reachability;
  /* Number of machines whose last two heartbeats are missing. They may reach no controller. */
  unsigned without_heartbeats;
};

static void count_zone_liveness(const struct tmx_worker *worker, double now) {
  if (worker->machine->zone < 0) return;
  struct tmx_zone_liveness *zone = &worker->workers->zone_liveness[worker->machine->zone];
  zone->machines++;
  zone->lost += worker->probing.consecutive_lost >= TMX_PROBES_LOST_MIN - 1;
  zone->alive += now - last_sign_of_life(worker) < TMX_LIVENESS_WINDOW_S;
}

/* Heartbeats are periodic and probes go round-robin, so only a share of the live machines can give
 * a sign of life within TMX_LIVENESS_WINDOW_S. The counts of live machines are divided by that
 * share. */
static void extrapolate_zone_liveness(struct tmx_workers *workers, double probe_rate) {
  const struct tmx_settings *settings = workers->settings;
  double lost = 0, not_lost = 0;
  for (size_t z = 0; z < settings->n_zones; z++) {
    lost += workers->zone_liveness[z].lost;
    not_lost += workers->zone_liveness[z].machines - workers->zone_liveness[z].lost;
  }
  if (lost > 0) probe_rate *= 1 - TMX_SUSPECT_PROBES_SHARE;
  double share =
      fmin(1, TMX_LIVENESS_WINDOW_S * (probe_rate / fmax(not_lost, 1) + 1 / settings->report_s));
  for (size_t z = 0; z < settings->n_zones; z++) {
    struct tmx_zone_liveness *zone = &workers->zone_liveness[z];
    zone->alive = (unsigned)fmin(zone->alive / share, zone->machines - zone->lost);
  }
}

/* Checks a machine that this controller owns and returns whether it is usable. A machine that
 * responds but sends no heartbeats is not usable (test_machine_failure:
 * a_responsive_machine_without_heartbeats_is_replaced). A machine that sends heartbeats but does
 * not respond is not usable either (test_machine_failure:
 * an_unresponsive_machine_that_sends_heartbeats_is_replaced).
 */
static bool check_own_machine(struct tmx_worker *worker, struct health_check *check) {
  const struct tmx_settings *settings = worker->workers->settings;
  struct tmx_reachability *reachability = &check->reachability;
  double limit = tmx_heartbeat_timeout(settings);
  tmx_worker_update_ownership(worker);
  count_zone_liveness(worker, check->now);
  reachability->owned++;
  double since_acknowledged =
      check->now - fmax(worker->liveness.acknowledged_at, worker->ownership.since);
  reachability->reached +=
      since_acknowledged < 3 * fmax(1, reachability->owned / check->probe_rate) + 2;
  bool sends_heartbeats = tmx_worker_heartbeat_age(worker, check->now) < limit + settings->report_s;
  check->without_heartbeats += !sends_heartbeats;
  return worker->report.session && tmx_worker_acknowledges_owner(worker) &&
         !worker->probing.consecutive_lost && !worker->report.spot_notice && sends_heartbeats &&
         tmx_worker_time_since_contact(worker, check->now) < limit;
}

static void set_usable(struct tmx_workers *workers, struct tmx_machine *machine, bool is_usable) {
  if (is_usable == machine->usable) return;
  machine->usable = is_usable;
  tmx_scheduler_machine_changed(workers->scheduler, machine);
  if (is_usable) tmx_scheduler_trigger(workers->scheduler);
}

static void check_machine(struct tmx_workers *workers, struct tmx_machine *machine,
                          struct health_check *check) {
  struct tmx_suspicion suspicion;
  if (!check->is_member || check->self < 0 || machine->owner != check->self) {
    set_usable(workers, machine, !tmx_workers_find_suspicion(workers, machine, &suspicion));
    return;
  }
  struct tmx_worker *worker = machine->worker;
  if (!worker) worker = tmx_worker_find_or_create(workers, machine->id);
  if (worker) set_usable(workers, machine, check_own_machine(worker, check));
}

void tmx_workers_tick(struct tmx_workers *workers) {
  double now = tmx_clock_steady(), elapsed = now - workers->health_checked_at;
  if (elapsed < TMX_RECLAIM_PERIOD_S) return;
  workers->health_checked_at = now;
  tmx_workers_log_traffic(workers, now);
  struct health_check check = {
      .now = now,
      .probe_rate = tmx_workers_probe_rate(workers->settings),
      .is_member = tmx_store_is_member(workers->store) && tmx_authority_may_act(workers->authority),
      .self = tmx_authority_member_index(workers->authority),
      .reachability.report_age_s =
          workers->last_heartbeat_at ? now - workers->last_heartbeat_at : 1e9,
  };
  tmx_workers_refill_probe_budget(workers, elapsed);
  memset(workers->zone_liveness, 0, sizeof workers->zone_liveness);
  struct tmx_machine *machine, *next;
  HASH_ITER(hh, workers->replica->machines, machine, next) {
    if (!machine->registered) continue;
    check_machine(workers, machine, &check);
    tmx_machine_faults_update(workers->replica, machine, now);
  }
  extrapolate_zone_liveness(workers, check.probe_rate);
  if (check.is_member)
    tmx_workers_probe_owned(workers, check.reachability.owned, now);
  else
    tmx_workers_probe_sample(workers, &check.reachability, now);
  workers->reachability = check.reachability;
  workers->most_send_no_heartbeats = check.without_heartbeats * 2 > check.reachability.owned;
  tmx_workers_close_idle_connections(workers);
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
