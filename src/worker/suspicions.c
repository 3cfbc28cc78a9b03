/* Suspicions of machine faults. This controller reports suspicions of its own machines to the other
 * controllers, and records the suspicions that they report of theirs. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "worker/fencing.h"
#include "worker/machine_health.h"
#include "worker/worker_table.h"

/* Seconds without proof that the worker receives what this owner sends; 0: there is proof. */
static double unacknowledged_seconds(const struct tmx_worker *worker, double now) {
  const struct tmx_settings *settings = worker->workers->settings;
  const struct tmx_worker_ownership *ownership = &worker->ownership;
  double unacknowledged_s = 0;
  if (!tmx_worker_acknowledges_owner(worker))
    unacknowledged_s = now - fmax(ownership->since, ownership->required_since);
  if (worker->probing.consecutive_lost)
    unacknowledged_s =
        fmax(unacknowledged_s, now - fmax(worker->liveness.acknowledged_at, ownership->since));
  /* A worker that was cut off and has just recovered needs time to acknowledge this owner, so at
   * most the time since the recovery counts. */
  double since_recovery = now - worker->liveness.recovered_at;
  if (since_recovery < settings->lease_s * TMX_RECOVERY_GRACE_LEASES)
    unacknowledged_s = fmin(unacknowledged_s, since_recovery + 0.001);
  /* The worker may respond and yet be unable to send heartbeats. Direct commands do not renew its
   * lease, so its tasks have been killed by now, and new ones would be killed a lease later. If
   * most machines send no heartbeats, it is this controller that is unreachable
   * (test_machine_failure: a_responsive_machine_without_heartbeats_is_replaced). */
  double heartbeat_age = tmx_worker_heartbeat_age(worker, now);
  if (heartbeat_age > settings->lease_s && !worker->workers->most_send_no_heartbeats)
    unacknowledged_s = fmax(unacknowledged_s, heartbeat_age);
  return unacknowledged_s;
}

/* Fills in the suspicion. Returns false if there is no sign of a fault. */
static bool get_own_suspicion(const struct tmx_worker *worker, double now,
                              struct tmx_suspicion *suspicion) {
  suspicion->no_contact_s = tmx_worker_time_since_contact(worker, now);
  suspicion->consecutive_probes_lost = worker->probing.consecutive_lost;
  suspicion->unacknowledged_s = unacknowledged_seconds(worker, now);
  suspicion->spot_notice = worker->report.spot_notice;
  memcpy(suspicion->id, worker->id, sizeof suspicion->id);
  return suspicion->consecutive_probes_lost || suspicion->unacknowledged_s > 0 ||
         suspicion->spot_notice ||
         suspicion->no_contact_s > tmx_heartbeat_timeout(worker->workers->settings);
}

void tmx_workers_for_each_suspicion(struct tmx_workers *workers, tmx_suspicion_cb callback,
                                    void *arg) {
  double now = tmx_clock_steady();
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    struct tmx_suspicion suspicion;
    if (worker->ownership.is_owner && worker->machine && worker->machine->registered &&
        get_own_suspicion(worker, now, &suspicion))
      callback(arg, &suspicion);
  }
}

void tmx_workers_record_suspicion(struct tmx_workers *workers, const char *node, uint64_t term,
                                  const struct tmx_suspicion *suspicion) {
  struct tmx_worker *worker = tmx_worker_find(workers, suspicion->id);
  if (!worker && !tmx_machine_find(workers->replica, suspicion->id)) return;
  if (!worker) worker = tmx_worker_find_or_create(workers, suspicion->id);
  if (!worker) return;
  struct tmx_worker_owner_suspicion *record = &worker->owner_suspicion;
  record->suspicion = *suspicion;
  record->received_at = tmx_clock_steady();
  record->term = term;
  snprintf(record->reporter, sizeof record->reporter, "%s", node);
}

/* Returns whether the suspicion arrived in the owner's latest heartbeat and belongs to the current
 * view. A controller that was partitioned still reports the machines of its former view, none of
 * which it could reach (test_machine_failure: suspicions_of_an_older_view_are_ignored). */
static bool owner_suspicion_is_current(const struct tmx_workers *workers,
                                       const struct tmx_worker_owner_suspicion *record,
                                       const char *owner, double now) {
  double age = now - record->received_at;
  return record->received_at && record->term >= workers->replica->view.term &&
         !strcmp(record->reporter, owner) &&
         age <= tmx_peers_heartbeat_age(workers->peers, owner) + TMX_HEARTBEAT_PERIOD_S / 2 &&
         age <= TMX_HEARTBEAT_EXPIRY_S;
}

bool tmx_workers_find_suspicion(const struct tmx_workers *workers,
                                const struct tmx_machine *machine, struct tmx_suspicion *out) {
  const struct tmx_worker *worker = machine->worker;
  double now = tmx_clock_steady();
  if (!worker || machine->owner < 0) return false;
  if (machine->owner == tmx_authority_member_index(workers->authority))
    return get_own_suspicion(worker, now, out);
  const struct tmx_worker_owner_suspicion *record = &worker->owner_suspicion;
  const char *owner = workers->replica->view.members[machine->owner].name;
  if (!owner_suspicion_is_current(workers, record, owner, now)) return false;
  *out = record->suspicion;
  out->no_contact_s += now - record->received_at;
  return true;
}
