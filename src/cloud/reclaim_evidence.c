#include "cloud/reclaim_evidence.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "planner/demand_fit.h"

/* Determines which owners are healthy, and sums the liveness of their machines by zone. */
static void collect_owner_reports(struct tmx_reclaim_evidence *evidence,
                                  const struct tmx_cloud *cloud, struct tmx_zone_liveness zones[]) {
  const struct tmx_replica *replica = cloud->replica;
  for (size_t i = 0; i < replica->view.n_members; i++) {
    const char *name = replica->view.members[i].name;
    bool self = !strcmp(name, cloud->settings->node_name);
    bool healthy = self ? !tmx_workers_are_unreachable(cloud->workers)
                        : tmx_peers_heartbeat_age(cloud->peers, name) < TMX_HEARTBEAT_DEAD_S &&
                              !tmx_peers_reports_no_workers(cloud->peers, name);
    evidence->owner_healthy[i] = healthy;
    evidence->healthy_owners += healthy;
    const struct tmx_zone_liveness *reported = self ? tmx_workers_zone_liveness(cloud->workers)
                                                    : tmx_peers_zone_liveness(cloud->peers, name);
    for (size_t z = 0; healthy && reported && z < cloud->settings->n_zones; z++) {
      zones[z].machines += reported[z].machines;
      zones[z].lost += reported[z].lost;
      zones[z].alive += reported[z].alive;
    }
  }
}

static void sum_capacity(struct tmx_reclaim_evidence *evidence, const struct tmx_cloud *cloud) {
  const struct tmx_replica *replica = cloud->replica;
  struct tmx_machine *machine, *next_machine;
  size_t registered = 0, suspect = 0;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    if (!machine->registered) continue;
    registered++;
    suspect += machine->condition != TMX_MACHINE_SOUND;
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (type && tmx_machine_is_capacity(machine))
      evidence->free_cpus += type->cpus - machine->booked_cpus;
    evidence->service_cpus += machine->service_cpus;
  }
  evidence->most_machines_suspect = suspect * 2 > registered;
  /* With thousands of tasks, a few are always pending for a short time; they do not count as a
   * backlog. */
  evidence->has_backlog =
      replica->waiting_cpus > TMX_WAITING_CPUS_SHARE * (evidence->free_cpus + replica->booked_cpus);
}

/* Returns the length of a zone's grace period, s. When a partition ends, the machines are probed
 * one after the other, so the last machines are reached late: after the longest interval between
 * probes plus the time that the probes of all machines take. */
static double grace_period(const struct tmx_reclaim_evidence *evidence,
                           const struct tmx_settings *settings, unsigned machines) {
  return TMX_RECLAIM_PARTITION_HOLD_S +
         TMX_PROBE_TIMEOUT_S * (1 << TMX_PROBE_PERIOD_DOUBLINGS_MAX) +
         machines / (TMX_SUSPECT_PROBES_SHARE * fmax(1, evidence->healthy_owners) *
                     tmx_workers_probe_rate(settings));
}

/* Starts or extends the grace period of each partitioned zone. If contact with a whole zone is
 * lost, a network partition separates it from the owners of its machines, and its tasks may still
 * be running. The cloud's list soon shows machines that died as failed. The other machines
 * reconnect with their tasks still running, and machines elsewhere are unlikely to have enough
 * capacity for these tasks. Therefore no machine of the zone is deleted for loss of contact until
 * all its tasks must have ended, plus the length of a lease: see leases_expired_s in
 * tmx_machine_deadlines(). */
static void detect_partitions(struct tmx_reclaim_evidence *evidence, struct tmx_cloud *cloud,
                              const struct tmx_zone_liveness zones[]) {
  struct tmx_zone_partitions *partitions = &cloud->zone_partitions;
  double now = evidence->now;
  for (size_t z = 0; z < cloud->settings->n_zones; z++) {
    evidence->partition_grace_s[z] = grace_period(evidence, cloud->settings, zones[z].machines);
    if (tmx_zone_is_partitioned(&zones[z])) {
      partitions->partitioned_until[z] = now + TMX_RECLAIM_PARTITION_HOLD_S;
      partitions->grace_until[z] = now + evidence->partition_grace_s[z];
    }
    if (partitions->partitioned_until[z] > now) evidence->any_zone_partitioned = true;
  }
}

void tmx_reclaim_evidence_gather(struct tmx_reclaim_evidence *evidence, struct tmx_cloud *cloud,
                                 double now) {
  struct tmx_zone_liveness zones[TMX_ZONES_MAX] = {{0}};
  memset(evidence, 0, sizeof *evidence);
  evidence->now = now;
  evidence->leading_s = now - cloud->leading_since;
  evidence->leader_settled = evidence->leading_s > TMX_LEADER_SETTLE_S;
  collect_owner_reports(evidence, cloud, zones);
  sum_capacity(evidence, cloud);
  detect_partitions(evidence, cloud, zones);
  evidence->demand_source = tmx_cloud_demand_source(cloud, now);
}

void tmx_reclaim_evidence_release(struct tmx_reclaim_evidence *evidence) {
  free(evidence->waiting.demands);
  evidence->waiting = (struct tmx_demand_list){0};
}

bool tmx_reclaim_machine_is_wanted(struct tmx_reclaim_evidence *evidence,
                                   const struct tmx_machine *machine,
                                   const struct tmx_machine_type *type) {
  if (!evidence->has_backlog) return false;
  if (!evidence->waiting_is_collected)
    tmx_demand_list_collect(&evidence->waiting, &evidence->demand_source);
  evidence->waiting_is_collected = true;
  for (size_t i = 0; i < evidence->waiting.count; i++)
    if (tmx_demand_allows(&evidence->waiting.demands[i], type, machine->zone, machine->spot))
      return true;
  return false;
}

bool tmx_reclaim_zone_in_grace_period(const struct tmx_cloud *cloud, int zone, double now) {
  return zone >= 0 && now < cloud->zone_partitions.grace_until[zone];
}
