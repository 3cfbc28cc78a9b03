#include "cloud/reclaim_evidence.h"

#include <math.h>
#include <string.h>

/* Adds up what the owners that are heard say of their machines, by zone. */
static void hear_owners(struct tmx_reclaim_evidence *evidence, const struct tmx_cloud *cloud,
                        struct tmx_zone_liveness zones[]) {
  const struct tmx_replica *replica = cloud->replica;
  for (size_t i = 0; i < replica->view.n_members; i++) {
    const char *name = replica->view.members[i].name;
    bool self = !strcmp(name, cloud->settings->node_name);
    bool heard = self ? !tmx_workers_are_unreachable(cloud->workers)
                      : tmx_peers_silence(cloud->peers, name) < TMX_HEARTBEAT_DEAD_S &&
                            !tmx_peers_reports_no_workers(cloud->peers, name);
    evidence->owner_heard[i] = heard;
    evidence->owners_heard += heard;
    const struct tmx_zone_liveness *reported = self ? tmx_workers_zone_liveness(cloud->workers)
                                                    : tmx_peers_zone_liveness(cloud->peers, name);
    for (size_t z = 0; heard && reported && z < cloud->settings->n_zones; z++) {
      zones[z].machines += reported[z].machines;
      zones[z].lost += reported[z].lost;
      zones[z].alive += reported[z].alive;
    }
  }
}

static void weigh_capacity(struct tmx_reclaim_evidence *evidence, const struct tmx_cloud *cloud) {
  const struct tmx_replica *replica = cloud->replica;
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    if (!machine->registered) continue;
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (type && !machine->draining) evidence->free_cpus += type->cpus - machine->booked_cpus;
    evidence->service_cpus += machine->service_cpus;
  }
  /* Among thousands of tasks some always wait for a moment. */
  evidence->work_waits =
      replica->waiting_cpus > TMX_WAITING_CPUS_SHARE * (evidence->free_cpus + replica->booked_cpus);
}

/* How long the machines of a zone are spared after a partition. When it is over they are probed one
 * after the other again, the last ones late. */
static double spare_time(const struct tmx_reclaim_evidence *evidence,
                         const struct tmx_settings *settings, unsigned machines) {
  return TMX_RECLAIM_PARTITION_HOLD_S +
         TMX_PROBE_TIMEOUT_S * (1 << TMX_PROBE_PERIOD_DOUBLINGS_MAX) +
         machines / (TMX_SUSPECT_PROBES_SHARE * fmax(1, evidence->owners_heard) *
                     tmx_workers_probe_rate(settings));
}

/* A zone that is silent as a whole is cut off from us, or we from it, and its work may go on.
 * Machines that died show as failed in the cloud's list soon; the others come back with what they
 * have, and what they hold could hardly run elsewhere. So none of them is deleted for silence
 * before all its work must have ended, and a lease more. */
static void detect_partitions(struct tmx_reclaim_evidence *evidence, struct tmx_cloud *cloud,
                              const struct tmx_zone_liveness zones[]) {
  struct tmx_zone_partitions *partitions = &cloud->zone_partitions;
  double now = evidence->now;
  for (size_t z = 0; z < cloud->settings->n_zones; z++) {
    evidence->spare_s[z] = spare_time(evidence, cloud->settings, zones[z].machines);
    if (tmx_zone_is_partitioned(&zones[z])) {
      partitions->partitioned_until[z] = now + TMX_RECLAIM_PARTITION_HOLD_S;
      partitions->spared_until[z] = now + evidence->spare_s[z];
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
  hear_owners(evidence, cloud, zones);
  weigh_capacity(evidence, cloud);
  detect_partitions(evidence, cloud, zones);
}

bool tmx_reclaim_zone_is_spared(const struct tmx_cloud *cloud, int zone, double now) {
  return zone >= 0 && now < cloud->zone_partitions.spared_until[zone];
}
