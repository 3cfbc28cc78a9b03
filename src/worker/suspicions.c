/* Suspicions: what the owner of a machine tells the other controllers is wrong with it, and what
 * they tell of theirs. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "worker/fencing.h"
#include "worker/machine_health.h"
#include "worker/worker_table.h"

/* s for which nothing has shown that the worker receives what this owner sends; 0: it does. */
static double unacknowledged_time(const struct tmx_worker *worker, double now) {
  const struct tmx_settings *settings = worker->workers->settings;
  const struct tmx_worker_ownership *ownership = &worker->ownership;
  double time = 0;
  if (!tmx_worker_is_acknowledged(worker))
    time = now - fmax(ownership->since, ownership->required_since);
  if (worker->probing.lost)
    time = fmax(time, now - fmax(worker->liveness.acknowledged_at, ownership->since));
  /* One that was cut off and gives signs again has not had the time yet to show more. */
  double since_recovery = now - worker->liveness.recovered_at;
  if (since_recovery < settings->lease_s * TMX_RECOVERY_GRACE_LEASES)
    time = fmin(time, since_recovery + 0.001);
  /* It answers and cannot report: direct commands renew no lease, so by now all that ran is over,
   * and would be again a lease later. When most machines are so, it is this controller that is not
   * reached (test_machine_failure: a_machine_that_cannot_report_is_replaced). */
  double heartbeat_age = tmx_worker_heartbeat_age(worker, now);
  if (heartbeat_age > settings->lease_s && !worker->workers->most_are_unreported)
    time = fmax(time, heartbeat_age);
  return time;
}

/* false: nothing is wrong with the machine. */
static bool suspect_own_machine(const struct tmx_worker *worker, double now,
                                struct tmx_suspicion *suspicion) {
  suspicion->silence_s = tmx_worker_silence(worker, now);
  suspicion->probes_lost = worker->probing.lost;
  suspicion->unacknowledged_s = unacknowledged_time(worker, now);
  suspicion->spot_notice = worker->report.spot_notice;
  memcpy(suspicion->id, worker->id, sizeof suspicion->id);
  return suspicion->probes_lost || suspicion->unacknowledged_s > 0 || suspicion->spot_notice ||
         suspicion->silence_s > tmx_worker_silence_limit(worker->workers->settings);
}

void tmx_workers_each_suspicion(struct tmx_workers *workers, tmx_suspicion_cb callback, void *arg) {
  double now = tmx_clock_steady();
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    struct tmx_suspicion suspicion;
    if (worker->ownership.is_owner && worker->machine && worker->machine->registered &&
        suspect_own_machine(worker, now, &suspicion))
      callback(arg, &suspicion);
  }
}

void tmx_workers_take_suspicion(struct tmx_workers *workers, const char *node, uint64_t term,
                                const struct tmx_suspicion *suspicion) {
  struct tmx_worker *worker = tmx_worker_find(workers, suspicion->id);
  if (!worker && !tmx_machine_find(workers->replica, suspicion->id)) return;
  if (!worker) worker = tmx_worker_create(workers, suspicion->id);
  if (!worker) return;
  struct tmx_worker_owner_suspicion *record = &worker->owner_suspicion;
  record->suspicion = *suspicion;
  record->received_at = tmx_clock_steady();
  record->term = term;
  snprintf(record->reporter, sizeof record->reporter, "%s", node);
}

/* Said in the owner's latest heartbeat, or not at all, and by the view that stands: a controller
 * that was cut off still tells of what it owned before, none of which it could reach
 * (test_machine_failure: suspicions_of_an_older_view_are_ignored). */
static bool owner_suspicion_stands(const struct tmx_workers *workers,
                                   const struct tmx_worker_owner_suspicion *record,
                                   const char *owner, double now) {
  double age = now - record->received_at;
  return record->received_at && record->term >= workers->replica->view.term &&
         !strcmp(record->reporter, owner) &&
         age <= tmx_peers_silence(workers->peers, owner) + TMX_HEARTBEAT_PERIOD_S / 2 &&
         age <= TMX_HEARTBEAT_EXPIRY_S;
}

bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out) {
  const struct tmx_worker *worker = machine->worker;
  double now = tmx_clock_steady();
  if (!worker || machine->owner < 0) return false;
  if (machine->owner == tmx_authority_member_index(workers->authority))
    return suspect_own_machine(worker, now, out);
  const struct tmx_worker_owner_suspicion *record = &worker->owner_suspicion;
  const char *owner = workers->replica->view.members[machine->owner].name;
  if (!owner_suspicion_stands(workers, record, owner, now)) return false;
  *out = record->suspicion;
  out->silence_s += now - record->received_at;
  return true;
}
