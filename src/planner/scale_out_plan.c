#include "planner/scale_out_plan.h"
#include "base/memory.h"
#include "planner/resources.h"
#include "tmx/constants.h"

#include <math.h>
#include <stdlib.h>

/* Tolerance, in tasks, of the count of tasks that fit. Rounding errors may put a quotient just
 * below a whole number. */
#define COUNT_EPSILON 1e-9
/* Limit on the tasks that count as fitting on one machine, for tasks that request no resources. */
#define TASKS_PER_MACHINE_MAX 1e6
/* Lower limit on the expected run time of a task, s. */
#define RUN_S_MIN 5
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
  }
  return "";
}

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
};

/* Returns whether a task of the demand may run on such a machine, if the machine is empty. */
static bool is_suitable(const struct tmx_demand *demand, const struct tmx_machine_type *type,
                        int zone, bool spot) {
  const struct tmx_job_spec *spec = demand->spec;
  return (!spot || spec->spot_allowed) && tmx_type_allowed(spec, type->name) &&
         spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb &&
         (demand->zone < 0 || zone == demand->zone);
}

static struct tmx_resources size_of_type(const struct tmx_machine_type *type) {
  return (struct tmx_resources){type->cpus, type->gpus, type->mem_gb};
}

/* Returns the number of tasks that fit into the available resources. */
static uint32_t count_fitting(const struct tmx_job_spec *spec, struct tmx_resources available) {
  double count = TASKS_PER_MACHINE_MAX;
  if (spec->cpus > 0) count = fmin(count, available.cpus / spec->cpus + COUNT_EPSILON);
  if (spec->gpus > 0) count = fmin(count, available.gpus / spec->gpus + COUNT_EPSILON);
  if (spec->mem_gb > 0) count = fmin(count, available.mem_gb / spec->mem_gb + COUNT_EPSILON);
  return count < 0 ? 0 : (uint32_t)count;
}

/* Packs as many of the tasks as fit into the bin. Returns their number. */
static uint32_t fill_bin(struct bin *bin, const struct tmx_job_spec *spec, uint32_t tasks) {
  uint32_t count = count_fitting(spec, bin->free);
  if (count > tasks) count = tasks;
  bin->free =
      tmx_resources_subtract(bin->free, tmx_resources_multiply(tmx_resources_of_task(spec), count));
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
    if (!is_suitable(demand, offer->type, offer->zone, offer->spot) ||
        reached_offer_limit(plan, (int)i))
      continue;
    uint32_t fitting = count_fitting(demand->spec, size_of_type(offer->type));
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
  *bin = (struct bin){size_of_type(offer->type), offer->type, offer->zone, offer->spot};
  return bin;
}

/* Packs tasks of the demand into the bins, and rents machines for the rest. */
static enum tmx_demand_decision pack_demand(struct scale_out_plan *plan,
                                            const struct tmx_demand *demand, uint32_t tasks) {
  enum tmx_demand_decision decision = TMX_DEMAND_FITS;
  for (size_t i = 0; i < plan->n_bins && tasks; i++) {
    struct bin *bin = &plan->bins[i];
    if (is_suitable(demand, bin->type, bin->zone, bin->spot))
      tasks -= fill_bin(bin, demand->spec, tasks);
  }
  while (tasks && plan->n_bins < plan->cap_bins) {
    int offer = best_offer(plan, demand, tasks);
    if (offer < 0) return TMX_DEMAND_NO_OFFER;
    tasks -= fill_bin(add_bin(plan, &plan->offers[offer]), demand->spec, tasks);
    if (!count_rental(plan, offer)) return TMX_DEMAND_NO_OFFER;
    decision = TMX_DEMAND_RENTED;
  }
  return tasks ? TMX_DEMAND_NO_OFFER : decision;
}

/* Returns the expected work of the waiting tasks of job arrays, CPU seconds. */
static double array_backlog(const struct tmx_demand *demands, size_t n_demands) {
  double backlog = 0;
  for (size_t i = 0; i < n_demands; i++)
    if (!demands[i].spec->service)
      backlog += demands[i].tasks * demands[i].spec->cpus * fmax(demands[i].run_s, RUN_S_MIN);
  return backlog;
}

/* Returns the number of tasks for which to provide capacity at once. A service gets capacity for
 * all of its replicas. A job array gets so much capacity that all of its tasks, run in succession
 * on that capacity, finish in about FULL_DEMAND_RUN_S. If one task runs at least that long, the
 * array gets capacity for all tasks. */
static uint32_t tasks_to_provision(const struct tmx_demand *demand) {
  if (demand->spec->service) return demand->tasks;
  return (uint32_t)ceil(demand->tasks *
                        fmin(1.0, fmax(demand->run_s, RUN_S_MIN) / FULL_DEMAND_RUN_S));
}

/* Adds the provisioned machines as the first bins of the plan. */
static void add_provisioned_bins(struct scale_out_plan *plan,
                                 const struct tmx_scale_out_input *input) {
  for (size_t i = 0; i < input->n_provisioned; i++) {
    const struct tmx_provisioned_machine *machine = &input->provisioned[i];
    plan->bins[plan->n_bins++] = (struct bin){{machine->cpus, machine->gpus, machine->mem_gb},
                                              machine->type,
                                              machine->zone,
                                              machine->spot};
  }
}

size_t tmx_plan_scale_out(const struct tmx_scale_out_input *input, struct tmx_scale_out *out,
                          size_t max) {
  struct scale_out_plan plan = {.offers = input->offers,
                                .n_offers = input->n_offers,
                                .cap_bins = input->n_provisioned + TMX_SCALE_OUT_MACHINES_MAX,
                                .rentals = out,
                                .max_rentals = max};
  plan.bins = tmx_allocate(plan.cap_bins, sizeof *plan.bins);
  add_provisioned_bins(&plan, input);
  /* If the provisioned machines clear the backlog of job arrays within TMX_BACKLOG_CLEAR_S, about
   * the boot time of a machine, job arrays need no new machines. */
  double backlog = array_backlog(input->demands, input->n_demands);
  bool cleared_soon =
      input->provisioned_cpus > 0 && backlog / input->provisioned_cpus < TMX_BACKLOG_CLEAR_S;
  for (size_t i = 0; i < input->n_demands; i++) {
    struct tmx_demand *demand = &input->demands[i];
    demand->decision = !demand->spec->service && cleared_soon
                           ? TMX_DEMAND_CLEARED_SOON
                           : pack_demand(&plan, demand, tasks_to_provision(demand));
  }
  free(plan.bins);
  return plan.n_rentals;
}
