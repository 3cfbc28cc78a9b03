/* One pass over all machines and instances: deletes those that failed or are drained, and drains
 * those that are idle or in excess of the peak demand. */
#include <math.h>

#include "cloud/deletion_request.h"
#include "cloud/reclaim_evidence.h"
#include "cloud/scale_in.h"

/* Returns whether the previous leader must have applied the zone's grace period: otherwise it would
 * already have deleted a machine that has been without contact for `no_contact_s`. The new leader
 * applies the grace period too, as it cannot know of a partition that ended just before it took
 * over. */
static bool predecessor_applied_grace(const struct tmx_reclaim_evidence *evidence, int zone,
                                      double no_contact_s) {
  return evidence->leading_s < evidence->partition_grace_s[zone] &&
         no_contact_s > evidence->leading_s + TMX_INHERITED_CONTACT_LOSS_S;
}

/* Returns whether a machine is to be replaced for its errors. Jobs with a mistake may look like
 * faulty machines until they have failed elsewhere too, which takes a few seconds. If most machines
 * look faulty, that is the more likely explanation: they are kept until others have taken their
 * place. */
static bool is_confirmed_faulty(const struct tmx_reclaim_evidence *evidence,
                                const struct tmx_machine *machine) {
  return machine->condition != TMX_MACHINE_SOUND && !evidence->most_machines_suspect &&
         evidence->now - machine->suspect_since >= TMX_FAULTY_MACHINE_DELETION_S;
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
      .faulty = is_confirmed_faulty(evidence, machine)};
  /* The owner's suspicion counts only if the owner reaches its other machines. */
  result.suspected = machine->owner >= 0 && evidence->owner_healthy[machine->owner] &&
                     tmx_workers_find_suspicion(cloud->workers, machine, &result.suspicion);
  result.partition_grace =
      tmx_reclaim_zone_in_grace_period(cloud, machine->zone, evidence->now) ||
      (machine->zone >= 0 &&
       predecessor_applied_grace(evidence, machine->zone, result.suspicion.no_contact_s));
  return result;
}

static void reclaim_machines(struct tmx_cloud *cloud, struct tmx_reclaim_evidence *evidence,
                             struct tmx_deletion_request *request) {
  const struct tmx_machine_deadlines deadlines = tmx_machine_deadlines(cloud->settings);
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    if (!machine->registered || tmx_deletion_request_is_full(request)) continue;
    const struct tmx_machine_evidence machine_evidence =
        evidence_of_machine(cloud, evidence, machine);
    enum tmx_deletion_reason reason = tmx_machine_deletion_reason(&machine_evidence, &deadlines);
    if (reason == TMX_DELETE_NONE)
      tmx_cloud_drain_if_idle(cloud, evidence, machine);
    else
      tmx_deletion_request_add(request, machine->id, reason);
  }
}

/* Starts the time for which a running instance has sent no heartbeat. The time restarts while the
 * zone is in its grace period, as a partition may be holding the heartbeats back. */
static void update_no_heartbeat_since(const struct tmx_cloud *cloud, struct tmx_instance *instance,
                                      double now) {
  if (instance->state != TMX_INSTANCE_RUNNING) return;
  if (!instance->no_heartbeat_since || tmx_reclaim_zone_in_grace_period(cloud, instance->zone, now))
    instance->no_heartbeat_since = now;
}

static struct tmx_instance_evidence evidence_of_instance(
    const struct tmx_cloud *cloud, const struct tmx_reclaim_evidence *evidence,
    const struct tmx_instance *instance) {
  const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, instance->type);
  double now = evidence->now;
  return (struct tmx_instance_evidence){
      .state = instance->state,
      .age_s = tmx_instance_age(instance, now),
      .type_known = type,
      .boot_s = type ? type->boot_s : 0,
      .leader_settled = evidence->leader_settled,
      .no_heartbeat_s = now - instance->no_heartbeat_since,
      .no_heartbeat_max_s = TMX_FIRST_HEARTBEAT_TIMEOUT_S + 2 * cloud->settings->report_s};
}

static void reclaim_instances(struct tmx_cloud *cloud, const struct tmx_reclaim_evidence *evidence,
                              struct tmx_deletion_request *request) {
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, cloud->inventory.instances, instance, next_instance) {
    if (tmx_deletion_request_is_full(request) || instance->deleting || !instance->type[0]) continue;
    const struct tmx_machine *machine = tmx_machine_find(cloud->replica, instance->id);
    if (machine && machine->registered) {
      instance->no_heartbeat_since = 0;
      continue;
    }
    update_no_heartbeat_since(cloud, instance, evidence->now);
    const struct tmx_instance_evidence instance_evidence =
        evidence_of_instance(cloud, evidence, instance);
    enum tmx_deletion_reason reason = tmx_instance_deletion_reason(&instance_evidence);
    if (reason == TMX_DELETE_NONE) continue;
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
  /* The machines of a partitioned zone provide no capacity, so a partition counts as a shortage: no
   * other machine is drained. */
  tmx_cloud_drain_above_peak(cloud, evidence.has_backlog || evidence.any_zone_partitioned, now);
  tmx_cloud_drop_idle_timers(cloud);
  reclaim_instances(cloud, &evidence, request);
  tmx_deletion_request_send(request);
  tmx_reclaim_evidence_release(&evidence);
}
