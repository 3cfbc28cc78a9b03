#include "planner/scale_out_plan.h"
#include "base/memory.h"
#include "planner/resources.h"
#include "tmx/constants.h"

#include <math.h>
#include <stdlib.h>

/* tasks: slack when counting how many fit, for quotients that miss a whole number by rounding */
#define COUNT_EPSILON 1e-9
/* tasks that fit on one machine, at most: bounds the count of tasks that ask for nothing */
#define TASKS_PER_MACHINE_MAX 1e6
/* s: a task counts as running this long at least */
#define RUN_S_MIN 5
/* s: demands of tasks that run at least this long get room for all of them at once */
#define FULL_ROOM_RUN_S 45.0
/* s: a boot time that counts as much as the price itself */
#define BOOT_COST_S 200.0

/* A machine with room that is being filled. */
struct bin {
  struct tmx_resources room;
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
};

/* A plan in the making. */
struct scale_out_plan {
  const struct tmx_offer *offers;
  size_t n_offers;
  struct bin *bins; /* machines that are coming, then those to be rented */
  size_t n_bins, cap_bins;
  struct tmx_scale_out *rentals;
  size_t n_rentals, max_rentals;
};

static bool suits(const struct tmx_demand *demand, const struct tmx_machine_type *type, int zone,
                  bool spot) {
  const struct tmx_job_spec *spec = demand->spec;
  return (!spot || spec->spot_allowed) && tmx_type_allowed(spec, type->name) &&
         spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb &&
         (demand->zone < 0 || zone == demand->zone);
}

static struct tmx_resources size_of(const struct tmx_machine_type *type) {
  return (struct tmx_resources){type->cpus, type->gpus, type->mem_gb};
}

/* How many tasks fit into the room. */
static uint32_t count_fitting(const struct tmx_job_spec *spec, struct tmx_resources room) {
  double count = TASKS_PER_MACHINE_MAX;
  if (spec->cpus > 0) count = fmin(count, room.cpus / spec->cpus + COUNT_EPSILON);
  if (spec->gpus > 0) count = fmin(count, room.gpus / spec->gpus + COUNT_EPSILON);
  if (spec->mem_gb > 0) count = fmin(count, room.mem_gb / spec->mem_gb + COUNT_EPSILON);
  return count < 0 ? 0 : (uint32_t)count;
}

/* Puts as many of the tasks into the bin as fit; returns how many. */
static uint32_t fill_bin(struct bin *bin, const struct tmx_job_spec *spec, uint32_t tasks) {
  uint32_t count = count_fitting(spec, bin->room);
  if (count > tasks) count = tasks;
  bin->room =
      tmx_resources_subtract(bin->room, tmx_resources_multiply(tmx_resources_of_task(spec), count));
  return count;
}

/* Index of the rental of this offer; n_rentals: there is none yet. */
static size_t rental_of(const struct scale_out_plan *plan, int offer) {
  size_t i = 0;
  while (i < plan->n_rentals && plan->rentals[i].offer != offer) i++;
  return i;
}

/* How many there are of an offer is not published: a large demand asks several offers at once,
 * rather than all of it of the cheapest, round after round, until that one is exhausted. */
static bool is_asked_in_full(const struct scale_out_plan *plan, int offer) {
  size_t rental = rental_of(plan, offer);
  return rental < plan->n_rentals &&
         plan->rentals[rental].count >= TMX_SCALE_OUT_OFFER_MACHINES_MAX;
}

/* Index of the offer with the lowest price for a task's room; -1: none suits. */
static int best_offer(const struct scale_out_plan *plan, const struct tmx_demand *demand,
                      uint32_t tasks) {
  int best = -1;
  double best_cost = 0;
  for (size_t i = 0; i < plan->n_offers; i++) {
    const struct tmx_offer *offer = &plan->offers[i];
    if (!suits(demand, offer->type, offer->zone, offer->spot) || is_asked_in_full(plan, (int)i))
      continue;
    uint32_t fitting = count_fitting(demand->spec, size_of(offer->type));
    if (!fitting) continue;
    /* room that is not wanted now counts by half */
    double wanted = fitting < tasks ? fitting : (tasks + fitting) / 2.0;
    double cost = offer->price / wanted * (1 + offer->type->boot_s / BOOT_COST_S);
    if (best >= 0 && cost >= best_cost) continue;
    best = (int)i;
    best_cost = cost;
  }
  return best;
}

/* Counts one more machine of the offer; false: there is no room for another entry. */
static bool count_rental(struct scale_out_plan *plan, int offer) {
  size_t rental = rental_of(plan, offer);
  if (rental == plan->n_rentals) {
    if (plan->n_rentals == plan->max_rentals) return false;
    plan->rentals[plan->n_rentals++] = (struct tmx_scale_out){offer, 0};
  }
  plan->rentals[rental].count++;
  return true;
}

/* Adds an empty machine of the offer to the bins, which must have room for it. */
static struct bin *add_bin(struct scale_out_plan *plan, const struct tmx_offer *offer) {
  struct bin *bin = &plan->bins[plan->n_bins++];
  *bin = (struct bin){size_of(offer->type), offer->type, offer->zone, offer->spot};
  return bin;
}

/* Puts tasks of the demand into the bins, and rents machines for the rest. */
static void pack_demand(struct scale_out_plan *plan, const struct tmx_demand *demand,
                        uint32_t tasks) {
  for (size_t i = 0; i < plan->n_bins && tasks; i++) {
    struct bin *bin = &plan->bins[i];
    if (suits(demand, bin->type, bin->zone, bin->spot)) tasks -= fill_bin(bin, demand->spec, tasks);
  }
  while (tasks && plan->n_bins < plan->cap_bins) {
    int offer = best_offer(plan, demand, tasks);
    if (offer < 0) return;
    tasks -= fill_bin(add_bin(plan, &plan->offers[offer]), demand->spec, tasks);
    if (!count_rental(plan, offer)) return;
  }
}

/* CPU seconds of the waiting arrays. */
static double backlog_of(const struct tmx_demand *demands, size_t n_demands) {
  double backlog = 0;
  for (size_t i = 0; i < n_demands; i++)
    if (!demands[i].spec->service)
      backlog += demands[i].tasks * demands[i].spec->cpus * fmax(demands[i].run_s, RUN_S_MIN);
  return backlog;
}

/* Tasks for which room is wanted: all replicas of a service; of an array as many as are needed to
 * be done in one more run time, rather than a machine for every task. */
static uint32_t tasks_wanted(const struct tmx_demand *demand) {
  if (demand->spec->service) return demand->tasks;
  return (uint32_t)ceil(demand->tasks *
                        fmin(1.0, fmax(demand->run_s, RUN_S_MIN) / FULL_ROOM_RUN_S));
}

/* The room that is there already, as the first bins of the plan. */
static void add_coming_bins(struct scale_out_plan *plan,
                            const struct tmx_scale_out_situation *situation) {
  for (size_t i = 0; i < situation->n_coming; i++) {
    const struct tmx_coming *coming = &situation->coming[i];
    plan->bins[plan->n_bins++] = (struct bin){
        {coming->cpus, coming->gpus, coming->mem}, coming->type, coming->zone, coming->spot};
  }
}

size_t tmx_plan_scale_out(const struct tmx_scale_out_situation *situation,
                          struct tmx_scale_out *out, size_t max) {
  struct scale_out_plan plan = {.offers = situation->offers,
                                .n_offers = situation->n_offers,
                                .cap_bins = situation->n_coming + TMX_SCALE_OUT_MACHINES_MAX,
                                .rentals = out,
                                .max_rentals = max};
  plan.bins = tmx_allocate(plan.cap_bins, sizeof *plan.bins);
  add_coming_bins(&plan, situation);
  /* Arrays that the machines at hand clear within about the boot time need no new ones. */
  double backlog = backlog_of(situation->demands, situation->n_demands);
  bool cleared_soon =
      situation->have_cpus > 0 && backlog / situation->have_cpus < TMX_BACKLOG_CLEAR_S;
  for (size_t i = 0; i < situation->n_demands; i++) {
    const struct tmx_demand *demand = &situation->demands[i];
    if (demand->spec->service || !cleared_soon) pack_demand(&plan, demand, tasks_wanted(demand));
  }
  free(plan.bins);
  return plan.n_rentals;
}
