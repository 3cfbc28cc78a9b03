/* Drains the most expensive machines that the peak of the demand would not have needed, a few at a
 * time. Their job arrays run to their end; their replicas move, so room for them must be free in
 * the same zone. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/memory.h"
#include "cloud/cloud_internal.h"

/* What the pass through the machines found, and what has been chosen since; CPUs. */
struct fleet {
  size_t machines;
  double cpus;                             /* of machines that are not draining */
  double draining_cpus;                    /* of machines that wait for replicas to leave them */
  double free_cpus_in_zone[TMX_ZONES_MAX]; /* of machines that are neither draining nor spot */
};

/* What must stay. */
struct reserve {
  double peak_cpus;
  double margin;    /* share of the peak that is kept above it */
  double move_room; /* share of a zone's part of the peak that stays free for replicas that move */
};

struct drain_candidate {
  const struct tmx_machine *machine;
  const struct tmx_machine_type *type;
  double cost;
};

void tmx_cloud_set_draining(struct tmx_cloud *cloud, const struct tmx_machine *machine,
                            bool draining) {
  char line[TMX_LINE_MAX];
  snprintf(line, sizeof line, "%c %s %d", TMX_LINE_MACHINE_DRAINING, machine->id, draining);
  tmx_log(TMX_LOG_INFO, "cloud: %s is %s needed", machine->id, draining ? "no longer" : "again");
  tmx_scheduler_append_line(cloud->scheduler, line);
}

/* While work waits, a machine with tasks that is about to be returned is nearer than any that must
 * boot. A faulty one stays draining. */
static bool is_needed_again(const struct tmx_machine *machine, bool busy) {
  return busy && machine->tasks &&
         !(machine->consecutive_errors >= TMX_FAULTY_MACHINE_ERRORS &&
           machine->errors_of_several_jobs);
}

static struct fleet survey_fleet(struct tmx_cloud *cloud, bool busy) {
  struct fleet fleet = {.machines = 0};
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type) continue;
    fleet.machines++;
    if (machine->draining) {
      if (is_needed_again(machine, busy))
        tmx_cloud_set_draining(cloud, machine, false);
      else if (machine->service_cpus > 0) /* arrays that run to their end hold up nothing else */
        fleet.draining_cpus += type->cpus;
      continue;
    }
    fleet.cpus += type->cpus;
    if (machine->zone >= 0 && !machine->spot)
      fleet.free_cpus_in_zone[machine->zone] += type->cpus - machine->booked_cpus;
  }
  return fleet;
}

/* The more machines there are, the less a chance arrival matters beside the rest. */
static struct reserve reserve_for(const struct tmx_cloud *cloud, const struct fleet *fleet) {
  double margin = fmin(TMX_PEAK_MARGIN, 1 / sqrt(fmax(fleet->machines, 1)));
  return (struct reserve){.peak_cpus = tmx_demand_history_peak(&cloud->demand),
                          .margin = margin,
                          .move_room = fmin(TMX_MOVE_ROOM_SHARE, 2 * margin)};
}

/* The replicas of the machine must find room on the others of its zone. */
static bool replicas_can_move(const struct tmx_cloud *cloud, const struct fleet *fleet,
                              const struct reserve *reserve, const struct tmx_machine *machine,
                              const struct tmx_machine_type *type) {
  if (machine->service_cpus <= 0) return true;
  double others_free =
      fleet->free_cpus_in_zone[machine->zone] - (type->cpus - machine->booked_cpus);
  double needed = TMX_MOVE_ROOM_FACTOR * machine->service_cpus +
                  reserve->move_room * reserve->peak_cpus / (double)cloud->settings->n_zones;
  return others_free >= needed;
}

/* The price of a CPU, less for work that is under way and for replicas that must move. */
static double cost_of(const struct tmx_machine *machine, const struct tmx_machine_type *type) {
  double price = machine->spot ? type->spot_price : type->price;
  return price / type->cpus * (1.2 - machine->booked_cpus / type->cpus) *
         (1 - 0.8 * machine->service_cpus / type->cpus);
}

static int compare_most_expensive_first(const void *left, const void *right) {
  const struct drain_candidate *a = left, *b = right;
  if (a->cost == b->cost) return strcmp(a->machine->id, b->machine->id);
  return a->cost > b->cost ? -1 : 1;
}

static size_t collect_candidates(const struct tmx_cloud *cloud, const struct fleet *fleet,
                                 const struct reserve *reserve,
                                 struct drain_candidate *candidates) {
  size_t count = 0;
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type || machine->draining || machine->zone < 0) continue;
    if (!replicas_can_move(cloud, fleet, reserve, machine, type)) continue;
    candidates[count++] = (struct drain_candidate){machine, type, cost_of(machine, type)};
  }
  qsort(candidates, count, sizeof *candidates, compare_most_expensive_first);
  return count;
}

/* Machines with replicas go a few at a time: each of them means a restart for somebody. */
static void drain_candidates(struct tmx_cloud *cloud, struct fleet *fleet,
                             const struct reserve *reserve,
                             const struct drain_candidate *candidates, size_t count) {
  const double step = TMX_DRAIN_SHARE * fleet->cpus;
  double chosen_cpus = 0;
  for (size_t i = 0; i < count && chosen_cpus < step; i++) {
    double cpus = candidates[i].type->cpus;
    bool has_services = candidates[i].machine->service_cpus > 0;
    if (fleet->cpus - cpus < reserve->peak_cpus * (1 + reserve->margin)) continue;
    if (has_services && fleet->draining_cpus > 0 &&
        fleet->draining_cpus + cpus > TMX_DRAINING_SHARE_MAX * fleet->cpus)
      continue;
    if (has_services) fleet->draining_cpus += cpus;
    fleet->cpus -= cpus;
    chosen_cpus += cpus;
    tmx_cloud_set_draining(cloud, candidates[i].machine, true);
  }
}

/* A controller that has just started, or just become leader, does not know the peak yet. */
static bool knows_peak(const struct tmx_cloud *cloud, double now) {
  return now - cloud->leading_since >= TMX_LEADER_SETTLE_S &&
         now - cloud->demand.since >= TMX_PEAK_DEMAND_S;
}

void tmx_cloud_drain_to_peak(struct tmx_cloud *cloud, bool busy, double now) {
  if (now - cloud->drain_chosen_at < TMX_DRAIN_SPACING_S) return;
  cloud->drain_chosen_at = now;
  struct fleet fleet = survey_fleet(cloud, busy);
  if (busy || !knows_peak(cloud, now)) return;
  const struct reserve reserve = reserve_for(cloud, &fleet);
  struct drain_candidate *candidates = tmx_allocate(fleet.machines + 1, sizeof *candidates);
  size_t count = collect_candidates(cloud, &fleet, &reserve, candidates);
  drain_candidates(cloud, &fleet, &reserve, candidates, count);
  free(candidates);
}
