/* Scale-out: plans which machines to rent for pending tasks, given the free capacity. */
#include <stdlib.h>

#include "base/log.h"
#include "base/memory.h"
#include "cloud/cloud_internal.h"
#include "cloud/scale_out_demand.h"
#include "planner/scale_out_plan.h"

enum { SCALE_OUTS_MAX = 32 };

struct offer_list {
  struct tmx_offer offers[TMX_OFFERS_MAX];
  size_t count;
};

/* Machines that count as capacity: those that are up and instances that are expected to come up. */
struct capacity {
  struct tmx_provisioned_machine *machines;
  size_t count;
};

static void add_machines(const struct tmx_cloud *cloud, struct capacity *capacity, double now) {
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!type || !tmx_machine_is_capacity(machine)) continue;
    const struct tmx_resources size = tmx_resources_of_type(type);
    const struct tmx_resources booked = {machine->booked_cpus, machine->booked_gpus,
                                         machine->booked_mem_gb};
    const struct tmx_resources services = {machine->service_cpus, machine->service_gpus,
                                           machine->service_mem_gb};
    struct tmx_provisioned_machine *added = &capacity->machines[capacity->count++];
    *added = (struct tmx_provisioned_machine){.type = type,
                                              .zone = machine->zone,
                                              .spot = machine->spot,
                                              .for_arrays = tmx_resources_subtract(size, services)};
    if (machine->usable || tmx_machine_is_joining(machine, now))
      added->free = tmx_resources_subtract(size, booked);
  }
}

/* Returns whether the instance should have come up and registered by now. It may still do so, or
 * never. */
static bool is_late(const struct tmx_instance *instance, const struct tmx_machine_type *type,
                    double now) {
  return tmx_instance_age(instance, now) >
         TMX_BOOT_EXPECTED_FACTOR * type->boot_s + TMX_MACHINE_JOIN_S;
}

static void add_pending_instances(const struct tmx_cloud *cloud, struct capacity *capacity,
                                  double now) {
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, cloud->inventory.instances, instance, next_instance) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, instance->type);
    const struct tmx_machine *machine = tmx_machine_find(cloud->replica, instance->id);
    if (!type || instance->state == TMX_INSTANCE_FAILED || instance->deleting ||
        (machine && machine->registered) || is_late(instance, type, now))
      continue;
    capacity->machines[capacity->count++] =
        (struct tmx_provisioned_machine){.type = type,
                                         .zone = instance->zone,
                                         .spot = instance->spot,
                                         .free = tmx_resources_of_type(type),
                                         .for_arrays = tmx_resources_of_type(type)};
  }
}

static struct capacity collect_capacity(const struct tmx_cloud *cloud, double now) {
  size_t max_machines =
      HASH_COUNT(cloud->replica->machines) + HASH_COUNT(cloud->inventory.instances) + 1;
  struct capacity capacity = {.machines = tmx_allocate(max_machines, sizeof *capacity.machines)};
  add_machines(cloud, &capacity, now);
  add_pending_instances(cloud, &capacity, now);
  return capacity;
}

/* Collects the offers that may be requested now. Partitioned zones are left out, as the heartbeats
 * of new machines would not arrive from there. */
static void collect_offers(struct tmx_cloud *cloud, double now, struct offer_list *list) {
  list->count = 0;
  for (size_t i = 0; i < cloud->catalog->n_types; i++) {
    const struct tmx_machine_type *type = &cloud->catalog->types[i];
    for (size_t z = 0; z < cloud->settings->n_zones; z++) {
      if (!type->zones[z] || cloud->zone_partitions.partitioned_until[z] > now) continue;
      for (int spot = 0; spot < 2; spot++) {
        if (tmx_offer_is_backed_off(&cloud->offer_backoffs, type->name, (int)z, spot, now))
          continue;
        list->offers[list->count++] =
            (struct tmx_offer){type, (int)z, spot, spot ? type->spot_price : type->price};
      }
    }
  }
}

/* Sorts by CPUs per machine, largest first: the rate limit allows few requests, and large machines
 * add the most capacity per request. The sort is stable, so the same plan always leads to the same
 * requests. */
static void sort_largest_first(struct tmx_scale_out *scale_outs, size_t count,
                               const struct tmx_offer *offers) {
  for (size_t i = 1; i < count; i++)
    for (size_t j = i;
         j && offers[scale_outs[j].offer].type->cpus > offers[scale_outs[j - 1].offer].type->cpus;
         j--) {
      struct tmx_scale_out larger = scale_outs[j];
      scale_outs[j] = scale_outs[j - 1];
      scale_outs[j - 1] = larger;
    }
}

struct tmx_demand_source tmx_cloud_demand_source(const struct tmx_cloud *cloud, double now) {
  return (struct tmx_demand_source){.settings = cloud->settings,
                                    .replica = cloud->replica,
                                    .catalog = cloud->catalog,
                                    .leading_since = cloud->leading_since,
                                    .now = now};
}

static void log_demand(const struct tmx_settings *settings, const struct tmx_demand *demand) {
  tmx_log(TMX_LOG_DEBUG,
          "cloud: scale-out for %u pending tasks of %.1f CPUs, %.1f GPUs and %.1f GB, %.0f s each, "
          "in %s%s: %s",
          demand->tasks, demand->spec->cpus, demand->spec->gpus, demand->spec->mem_gb,
          demand->run_s, demand->zone < 0 ? "any zone" : "zone ",
          demand->zone < 0 ? "" : settings->zones[demand->zone],
          tmx_demand_decision_text(demand->decision));
}

static void log_plan(const struct tmx_settings *settings, const struct tmx_demand_list *demand,
                     const struct capacity *capacity, size_t n_scale_outs) {
  if (!tmx_log_enabled(TMX_LOG_DEBUG)) return;
  uint32_t tasks = 0;
  double free_cpus = 0;
  for (size_t i = 0; i < demand->count; i++) tasks += demand->demands[i].tasks;
  for (size_t i = 0; i < capacity->count; i++) free_cpus += capacity->machines[i].free.cpus;
  tmx_log(
      TMX_LOG_DEBUG,
      "cloud: scale-out for %u pending tasks: %.0f free CPUs on %zu machines, %zu offers chosen",
      tasks, free_cpus, capacity->count, n_scale_outs);
  for (size_t i = 0; i < demand->count; i++) log_demand(settings, &demand->demands[i]);
}

static void plan_and_rent(struct tmx_cloud *cloud, struct tmx_demand_list *demand, double now) {
  struct offer_list list;
  struct tmx_scale_out scale_outs[SCALE_OUTS_MAX];
  struct tmx_usage quota_left[TMX_TEAMS_MAX];
  struct capacity capacity = collect_capacity(cloud, now);
  tmx_quota_left(cloud->settings, cloud->replica, quota_left);
  collect_offers(cloud, now, &list);
  struct tmx_scale_out_input input = {.demands = demand->demands,
                                      .n_demands = demand->count,
                                      .offers = list.offers,
                                      .n_offers = list.count,
                                      .provisioned = capacity.machines,
                                      .n_provisioned = capacity.count,
                                      .quota_left = quota_left,
                                      .n_teams = cloud->settings->n_teams};
  size_t count = tmx_plan_scale_out(&input, scale_outs, SCALE_OUTS_MAX);
  log_plan(cloud->settings, demand, &capacity, count);
  sort_largest_first(scale_outs, count, list.offers);
  for (size_t i = 0; i < count; i++) {
    const struct tmx_offer *offer = &list.offers[scale_outs[i].offer];
    tmx_cloud_rent(cloud, offer->type, offer->zone, offer->spot, scale_outs[i].count);
  }
  free(capacity.machines);
}

void tmx_cloud_scale_out(struct tmx_cloud *cloud, double now) {
  struct tmx_demand_list demand = {0};
  const struct tmx_demand_source source = tmx_cloud_demand_source(cloud, now);
  tmx_demand_list_collect(&demand, &source);
  if (demand.count) plan_and_rent(cloud, &demand, now);
  free(demand.demands);
}
