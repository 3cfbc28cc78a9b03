#include "planner/scale_out_plan.h"
#include "base/memory.h"
#include "planner/clearance.h"
#include "planner/demand_fit.h"
#include "tmx/constants.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Seconds; a job array whose tasks run at least this long gets capacity for all tasks at once. */
#define FULL_DEMAND_RUN_S 45.0
/* Seconds; a boot time of this length doubles the cost of an offer. */
#define BOOT_PRICE_SCALE_S 200.0

const char *tmx_demand_decision_text(enum tmx_demand_decision decision) {
  switch (decision) {
    case TMX_DEMAND_CLEARED_SOON:
      return "the present machines complete it soon";
    case TMX_DEMAND_FITS:
      return "fits into free capacity";
    case TMX_DEMAND_RENTED:
      return "machines are rented";
    case TMX_DEMAND_NO_OFFER:
      return "no offer is left";
    case TMX_DEMAND_AT_QUOTA:
      return "the team is at its quota";
  }
  return "";
}

/* Tolerance, in tasks, of the count of tasks that a quota allows. */
#define QUOTA_EPSILON 1e-9

/* A machine that tasks are packed into. */
struct bin {
  struct tmx_resources free; /* resources that are not used yet */
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
};

/* The state of the planning. */
struct scale_out_plan {
  const struct tmx_offer *offers;
  size_t n_offers;
  struct bin *bins; /* the provisioned machines, then those to rent */
  size_t n_bins, cap_bins;
  struct tmx_scale_out *rentals; /* the result: one entry for each offer of which to rent */
  size_t n_rentals, max_rentals;
  struct tmx_usage *quota_left;   /* by team: what its quota leaves to the demands not taken yet */
  struct tmx_clearance clearance; /* the work of the arrays that were taken */
};

/* Packs as many of the tasks as fit into the bin. Returns their number. */
static uint32_t fill_bin(struct bin *bin, const struct tmx_demand *demand, uint32_t tasks) {
  uint32_t count = tmx_demand_count_fitting(demand, bin->free);
  if (count > tasks) count = tasks;
  bin->free = tmx_resources_subtract(
      bin->free, tmx_resources_multiply(tmx_resources_of_task(demand->spec), count));
  return count;
}

/* Returns the index of the rental of this offer; n_rentals: there is none yet. */
static size_t find_rental(const struct scale_out_plan *plan, int offer) {
  size_t i = 0;
  while (i < plan->n_rentals && plan->rentals[i].offer != offer) i++;
  return i;
}

/* Returns whether the plan already rents TMX_SCALE_OUT_OFFER_MACHINES_MAX machines of the offer.
 * The cloud does not publish how many machines of an offer are available. With the limit, one plan
 * spreads a large demand over several offers. Without the limit, each plan would request only the
 * cheapest offer until that offer is exhausted. */
static bool reached_offer_limit(const struct scale_out_plan *plan, int offer) {
  size_t rental = find_rental(plan, offer);
  return rental < plan->n_rentals &&
         plan->rentals[rental].count >= TMX_SCALE_OUT_OFFER_MACHINES_MAX;
}

/* Returns the index of the suitable offer with the lowest price per task, weighted by the boot
 * time; -1: none. */
static int best_offer(const struct scale_out_plan *plan, const struct tmx_demand *demand,
                      uint32_t tasks) {
  int best = -1;
  double best_cost = 0;
  for (size_t i = 0; i < plan->n_offers; i++) {
    const struct tmx_offer *offer = &plan->offers[i];
    if (!tmx_demand_allows(demand, offer->type, offer->zone, offer->spot) ||
        reached_offer_limit(plan, (int)i))
      continue;
    uint32_t fitting = tmx_demand_count_fitting(demand, tmx_resources_of_type(offer->type));
    if (!fitting) continue;
    /* Capacity for more tasks than wait counts by half. */
    double effective_tasks = fitting < tasks ? fitting : (tasks + fitting) / 2.0;
    double cost = offer->price / effective_tasks * (1 + offer->type->boot_s / BOOT_PRICE_SCALE_S);
    if (best >= 0 && cost >= best_cost) continue;
    best = (int)i;
    best_cost = cost;
  }
  return best;
}

/* Counts one more machine of the offer. Returns false if that needs another rental and max_rentals
 * are in use. */
static bool count_rental(struct scale_out_plan *plan, int offer) {
  size_t rental = find_rental(plan, offer);
  if (rental == plan->n_rentals) {
    if (plan->n_rentals == plan->max_rentals) return false;
    plan->rentals[plan->n_rentals++] = (struct tmx_scale_out){offer, 0};
  }
  plan->rentals[rental].count++;
  return true;
}

/* Adds an empty machine of the offer to the bins. n_bins must be below cap_bins. */
static struct bin *add_bin(struct scale_out_plan *plan, const struct tmx_offer *offer) {
  struct bin *bin = &plan->bins[plan->n_bins++];
  *bin = (struct bin){tmx_resources_of_type(offer->type), offer->type, offer->zone, offer->spot};
  return bin;
}

/* Packs tasks of the demand into the bins, and rents machines for the rest. Returns the number of
 * tasks that were packed, and sets the demand's decision. */
static uint32_t pack_demand(struct scale_out_plan *plan, struct tmx_demand *demand,
                            uint32_t tasks) {
  uint32_t packed = 0;
  for (size_t i = 0; i < plan->n_bins && packed < tasks; i++) {
    struct bin *bin = &plan->bins[i];
    if (tmx_demand_allows(demand, bin->type, bin->zone, bin->spot))
      packed += fill_bin(bin, demand, tasks - packed);
  }
  demand->decision = packed < tasks ? TMX_DEMAND_NO_OFFER : TMX_DEMAND_FITS;
  while (packed < tasks && plan->n_bins < plan->cap_bins) {
    int offer = best_offer(plan, demand, tasks - packed);
    if (offer < 0 || !count_rental(plan, offer)) return packed;
    packed += fill_bin(add_bin(plan, &plan->offers[offer]), demand, tasks - packed);
    if (packed == tasks) demand->decision = TMX_DEMAND_RENTED;
  }
  return packed;
}

/* Returns the number of tasks for which to provide capacity at once. A service gets capacity for
 * all of its replicas. A job array gets so much capacity that all of its tasks, run in succession
 * on that capacity, finish in about FULL_DEMAND_RUN_S. If one task runs at least that long, the
 * array gets capacity for all tasks. */
static uint32_t tasks_to_provision(const struct tmx_demand *demand, uint32_t tasks) {
  if (demand->spec->service) return tasks;
  return (uint32_t)ceil(tasks * fmin(1.0, tmx_demand_run_s(demand) / FULL_DEMAND_RUN_S));
}

/* Adds the provisioned machines with free capacity as the first bins of the plan. */
static void add_provisioned_bins(struct scale_out_plan *plan,
                                 const struct tmx_scale_out_input *input) {
  for (size_t i = 0; i < input->n_provisioned; i++) {
    const struct tmx_provisioned_machine *machine = &input->provisioned[i];
    if (machine->free.cpus > 0 && machine->free.mem_gb > 0)
      plan->bins[plan->n_bins++] =
          (struct bin){machine->free, machine->type, machine->zone, machine->spot};
  }
}

/* Subtracts the tasks from what the quota of their team leaves, or adds them if `sign` is -1. */
static void use_quota(struct tmx_usage *left, const struct tmx_demand *demand, uint32_t tasks,
                      int sign) {
  left[demand->team].cpus -= sign * (tasks * demand->spec->cpus);
  left[demand->team].gpus -= sign * (tasks * demand->spec->gpus);
}

/* Returns the number of tasks of the demand, at most `tasks`, that the quota still allows. */
static uint32_t tasks_within_quota(const struct tmx_usage *left, const struct tmx_demand *demand,
                                   uint32_t tasks) {
  const struct tmx_usage *usage = &left[demand->team];
  double count = tasks;
  if (demand->spec->cpus > 0) count = fmin(count, usage->cpus / demand->spec->cpus);
  if (demand->spec->gpus > 0) count = fmin(count, usage->gpus / demand->spec->gpus);
  return count < 0 ? 0 : (uint32_t)(count + QUOTA_EPSILON);
}

/* Plans for `added` tasks of the demand, after `before` tasks of it. Tasks that get no capacity
 * return their part of the quota. */
static void plan_demand(struct scale_out_plan *plan, struct tmx_demand *demand, uint32_t before,
                        uint32_t added) {
  demand->decision = TMX_DEMAND_CLEARED_SOON;
  if (!demand->spec->service && !demand->overdue &&
      tmx_clearance_is_soon(&plan->clearance, demand, before + added))
    return;
  uint32_t packed = pack_demand(plan, demand, tasks_to_provision(demand, added));
  if (demand->decision == TMX_DEMAND_NO_OFFER)
    use_quota(plan->quota_left, demand, added - packed, -1);
}

/* Takes as many of the demand's remaining tasks into the plan as the quota allows. Returns their
 * number. */
static uint32_t take_tasks(struct scale_out_plan *plan, const struct tmx_demand *demand,
                           uint32_t before) {
  uint32_t tasks = tasks_within_quota(plan->quota_left, demand, demand->tasks - before);
  use_quota(plan->quota_left, demand, tasks, 1);
  if (!demand->spec->service) tmx_clearance_add(&plan->clearance, demand, tasks);
  return tasks;
}

static void plan_demands(struct scale_out_plan *plan, struct tmx_demand *demands, size_t count) {
  uint32_t *taken = tmx_allocate(count + 1, sizeof *taken);
  for (size_t i = 0; i < count; i++) taken[i] = take_tasks(plan, &demands[i], 0);
  for (size_t i = 0; i < count; i++) {
    demands[i].decision = TMX_DEMAND_AT_QUOTA;
    if (taken[i]) plan_demand(plan, &demands[i], 0, taken[i]);
  }
  /* The quota that the demands without an offer have returned goes to the others. */
  for (size_t i = 0; i < count; i++) {
    if (taken[i] == demands[i].tasks || demands[i].decision == TMX_DEMAND_NO_OFFER) continue;
    uint32_t added = take_tasks(plan, &demands[i], taken[i]);
    if (added) plan_demand(plan, &demands[i], taken[i], added);
  }
  free(taken);
}

size_t tmx_plan_scale_out(const struct tmx_scale_out_input *input, struct tmx_scale_out *out,
                          size_t max) {
  struct scale_out_plan plan = {.offers = input->offers,
                                .n_offers = input->n_offers,
                                .cap_bins = input->n_provisioned + TMX_SCALE_OUT_MACHINES_MAX,
                                .rentals = out,
                                .max_rentals = max};
  plan.bins = tmx_allocate(plan.cap_bins, sizeof *plan.bins);
  plan.quota_left = tmx_allocate(input->n_teams + 1, sizeof *plan.quota_left);
  memcpy(plan.quota_left, input->quota_left, input->n_teams * sizeof *plan.quota_left);
  add_provisioned_bins(&plan, input);
  tmx_clearance_add_machines(&plan.clearance, input->provisioned, input->n_provisioned);
  plan_demands(&plan, input->demands, input->n_demands);
  tmx_clearance_release(&plan.clearance);
  free(plan.quota_left);
  free(plan.bins);
  return plan.n_rentals;
}
