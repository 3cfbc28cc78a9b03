/* Scale-in: drains machines that have been idle for long, and the most expensive machines in excess
 * of the peak demand, a few at a time. On a draining machine tasks of job arrays run to completion.
 * Replicas of services move to other machines, so the zone must have free capacity for them. */
#include "cloud/scale_in.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/memory.h"
#include "cloud/scale_in_policy.h"

static void set_draining(struct tmx_cloud *cloud, const char *id, bool draining) {
  char line[TMX_LOG_LINE_BYTES];
  snprintf(line, sizeof line, "%c %s %d", TMX_LINE_MACHINE_DRAINING, id, draining);
  tmx_log(TMX_LOG_INFO, "cloud: machine %s is %s needed, draining updated", id,
          draining ? "no longer" : "again");
  tmx_scheduler_queue_log_line(cloud->scheduler, line);
}

void tmx_cloud_drain_if_idle(struct tmx_cloud *cloud, struct tmx_reclaim_evidence *evidence,
                             const struct tmx_machine *machine) {
  const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
  struct tmx_idle_timer *timer = tmx_cloud_idle_timer(cloud, machine->id, evidence->now);
  if (machine->tasks || evidence->any_zone_partitioned ||
      (type && tmx_reclaim_machine_is_wanted(evidence, machine, type)))
    timer->since = evidence->now;
  const struct tmx_idle_evidence idle_evidence = {
      .type_known = type,
      .draining = machine->draining,
      .has_tasks = machine->tasks,
      .idle_s = evidence->now - timer->since,
      .idle_max_s = cloud->settings->operators.idle_return_s,
      .cpus = type ? type->cpus : 0,
      .free_cpus = evidence->free_cpus,
      .service_cpus = evidence->service_cpus,
      .headroom = cloud->settings->operators.headroom};
  if (tmx_idle_drain_decision(&idle_evidence) != TMX_DRAIN) return;
  evidence->free_cpus -= type->cpus;
  set_draining(cloud, machine->id, true);
  timer->since = evidence->now;
}

/* Returns whether the draining of the machine is cancelled. If capacity is short, a draining
 * machine that still holds tasks is available sooner than a machine that has yet to boot. A faulty
 * machine keeps draining. */
static bool must_cancel_draining(const struct tmx_machine *machine, bool capacity_short) {
  return capacity_short && machine->tasks && machine->condition == TMX_MACHINE_SOUND;
}

/* Sums the fleet, and cancels the draining of machines that are needed again. */
static struct tmx_fleet sum_fleet_and_cancel_draining(struct tmx_cloud *cloud,
                                                      bool capacity_short) {
  struct tmx_fleet fleet = {.machines = 0};
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type) continue;
    fleet.machines++;
    if (machine->draining) {
      if (must_cancel_draining(machine, capacity_short))
        set_draining(cloud, machine->id, false);
      else if (machine->service_cpus > 0) /* job arrays do not move, so they do not count */
        fleet.draining_cpus += type->cpus;
      continue;
    }
    if (!tmx_machine_is_capacity(machine)) continue;
    fleet.cpus += type->cpus;
    if (machine->zone >= 0 && !machine->spot)
      fleet.free_cpus_in_zone[machine->zone] += type->cpus - machine->booked_cpus;
  }
  return fleet;
}

static size_t collect_candidates(const struct tmx_cloud *cloud, const struct tmx_fleet *fleet,
                                 const struct tmx_reserve *reserve,
                                 struct tmx_drain_candidate *candidates) {
  size_t count = 0;
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type || machine->draining || machine->zone < 0) continue;
    const struct tmx_drain_candidate candidate = {.id = machine->id,
                                                  .type = type,
                                                  .zone = machine->zone,
                                                  .spot = machine->spot,
                                                  .out_of_use = !tmx_machine_is_capacity(machine),
                                                  .booked_cpus = machine->booked_cpus,
                                                  .service_cpus = machine->service_cpus};
    if (tmx_replicas_can_move(fleet, reserve, &candidate, cloud->settings->n_zones))
      candidates[count++] = candidate;
  }
  qsort(candidates, count, sizeof *candidates, tmx_drain_candidate_compare);
  return count;
}

/* Drains candidates in their order until TMX_DRAIN_CPUS_SHARE of the fleet's CPUs is reached. */
static void drain_candidates(struct tmx_cloud *cloud, struct tmx_fleet *fleet,
                             const struct tmx_reserve *reserve,
                             const struct tmx_drain_candidate *candidates, size_t count) {
  const double step_cpus = TMX_DRAIN_CPUS_SHARE * fleet->cpus;
  double drained_cpus = 0;
  for (size_t i = 0; i < count && drained_cpus < step_cpus; i++) {
    if (tmx_peak_drain_decision(fleet, reserve, &candidates[i]) != TMX_DRAIN) continue;
    tmx_fleet_drain(fleet, &candidates[i]);
    drained_cpus += candidates[i].type->cpus;
    set_draining(cloud, candidates[i].id, true);
  }
}

/* A controller that has just started or has just become the leader does not know the peak yet. */
static bool peak_is_known(const struct tmx_cloud *cloud, double now) {
  return now - cloud->leading_since >= TMX_LEADER_SETTLE_S &&
         now - cloud->demand.since >= TMX_PEAK_DEMAND_WINDOW_S;
}

void tmx_cloud_drain_above_peak(struct tmx_cloud *cloud, bool capacity_short, double now) {
  if (now - cloud->drain_above_peak_at < TMX_DRAIN_PERIOD_S) return;
  cloud->drain_above_peak_at = now;
  struct tmx_fleet fleet = sum_fleet_and_cancel_draining(cloud, capacity_short);
  if (capacity_short || !peak_is_known(cloud, now)) return;
  const struct tmx_reserve reserve =
      tmx_reserve_for(tmx_demand_history_peak(&cloud->demand), fleet.machines);
  struct tmx_drain_candidate *candidates = tmx_allocate(fleet.machines + 1, sizeof *candidates);
  size_t count = collect_candidates(cloud, &fleet, &reserve, candidates);
  drain_candidates(cloud, &fleet, &reserve, candidates, count);
  free(candidates);
}
