/* One pass through all machines and instances: deletes those that failed or are no longer needed,
 * and drains those that are idle or above the peak. */
#include <math.h>

#include "cloud/deletion_request.h"
#include "cloud/reclaim_evidence.h"
#include "cloud/scale_in.h"

/* The leader before this one would have deleted what was silent for so long, unless it spared it: a
 * new leader spares it as well, as it cannot know of a partition that has just ended. */
static bool spared_by_predecessor(const struct tmx_reclaim_evidence *evidence, int zone,
                                  double silence_s) {
  return evidence->leading_s < evidence->spare_s[zone] &&
         silence_s > evidence->leading_s + TMX_INHERITED_SILENCE_S;
}

static struct tmx_machine_evidence evidence_of_machine(const struct tmx_cloud *cloud,
                                                       const struct tmx_reclaim_evidence *evidence,
                                                       const struct tmx_machine *machine) {
  const struct tmx_instance *instance = tmx_inventory_find(&cloud->inventory, machine->id);
  struct tmx_machine_evidence result = {
      .listed_as_failed = instance && instance->state == TMX_INSTANCE_FAILED,
      .leader_settled = evidence->leader_settled,
      .has_tasks = machine->tasks,
      .has_services = machine->service_cpus > 0,
      .draining = machine->draining,
      .faulty = tmx_cloud_machine_is_faulty(machine)};
  /* The word of its owner counts if the owner reaches its other machines. */
  result.suspected = machine->owner >= 0 && evidence->owner_heard[machine->owner] &&
                     tmx_workers_find_suspicion(cloud->workers, machine, &result.suspicion);
  result.silence_excused =
      tmx_reclaim_zone_is_spared(cloud, machine->zone, evidence->now) ||
      (machine->zone >= 0 &&
       spared_by_predecessor(evidence, machine->zone, result.suspicion.silence_s));
  return result;
}

static void reclaim_machines(struct tmx_cloud *cloud, struct tmx_reclaim_evidence *evidence,
                             struct tmx_deletion_request *request) {
  const struct tmx_machine_deadlines deadlines = tmx_machine_deadlines(cloud->settings);
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    if (!machine->registered || tmx_deletion_request_is_full(request)) continue;
    const struct tmx_machine_evidence known = evidence_of_machine(cloud, evidence, machine);
    enum tmx_deletion_reason reason = tmx_machine_deletion_reason(&known, &deadlines);
    if (reason == TMX_DELETE_NOT)
      tmx_cloud_drain_if_idle(cloud, evidence, machine);
    else
      tmx_deletion_request_add(request, machine->id, reason);
  }
}

/* Starts the time for which a running instance is unheard. It starts anew while its zone is spared:
 * the instance may well be up. */
static void note_unheard(const struct tmx_cloud *cloud, struct tmx_instance *instance, double now) {
  if (instance->state != TMX_INSTANCE_RUNNING) return;
  if (!instance->unheard_since || tmx_reclaim_zone_is_spared(cloud, instance->zone, now))
    instance->unheard_since = now;
}

static struct tmx_instance_evidence evidence_of_instance(
    const struct tmx_cloud *cloud, const struct tmx_reclaim_evidence *evidence,
    const struct tmx_instance *instance) {
  const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, instance->type);
  double now = evidence->now;
  return (struct tmx_instance_evidence){
      .state = instance->state,
      .age_s = fmax(instance->age_s + (now - instance->age_as_of),
                    instance->rented_at ? now - instance->rented_at : 0),
      .type_known = type,
      .boot_s = type ? type->boot_s : 0,
      .leader_settled = evidence->leader_settled,
      .unheard_s = now - instance->unheard_since,
      .unheard_max_s = TMX_NEVER_HEARD_S + 2 * cloud->settings->report_s};
}

static void reclaim_instances(struct tmx_cloud *cloud, const struct tmx_reclaim_evidence *evidence,
                              struct tmx_deletion_request *request) {
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, cloud->inventory.instances, instance, next_instance) {
    if (tmx_deletion_request_is_full(request) || instance->deleting || !instance->type[0]) continue;
    const struct tmx_machine *machine = tmx_machine_find(cloud->replica, instance->id);
    if (machine && machine->registered) {
      instance->unheard_since = 0;
      continue;
    }
    note_unheard(cloud, instance, evidence->now);
    const struct tmx_instance_evidence known = evidence_of_instance(cloud, evidence, instance);
    enum tmx_deletion_reason reason = tmx_instance_deletion_reason(&known);
    if (reason == TMX_DELETE_NOT) continue;
    instance->deleting = true;
    tmx_deletion_request_add(request, instance->id, reason);
  }
}

void tmx_cloud_reclaim(struct tmx_cloud *cloud, double now) {
  if (cloud->deletion_in_flight) return;
  struct tmx_reclaim_evidence evidence;
  struct tmx_deletion_request *request = tmx_deletion_request_new(cloud);
  tmx_reclaim_evidence_gather(&evidence, cloud, now);
  reclaim_machines(cloud, &evidence, request);
  /* Machines that are out of reach are no room, so nothing else is returned in their place. */
  tmx_cloud_drain_to_peak(cloud, evidence.work_waits || evidence.any_zone_partitioned, now);
  tmx_cloud_drop_idle_timers(cloud);
  reclaim_instances(cloud, &evidence, request);
  tmx_deletion_request_send(request);
}
