#include "planner/candidates.h"
#include "planner/failed_fits.h"
#include "planner/fit.h"
#include "planner/placement_cost.h"
#include "planner/preemption.h"

/* Seconds of lost work that cost as much as one booked share in POOL_PREEMPTIBLE. The value is so
 * large that stopping all tasks of a machine still costs less than COLD_IMAGE_COST. */
#define PREEMPTION_COST_SCALE_S 1e6

/* Booked shares: added to a zone's cost for each replica of the service that is placed in the zone.
 * It spreads the replicas evenly over the zones before the booked share (at most 1) and the fetch
 * (at most 3) count. COLD_IMAGE_COST and FAILED_MACHINE_COST weigh more than one replica. */
#define ZONE_BALANCE_COST 4.0

/* Returns whether one more task fits into the machine's free capacity. In POOL_RELEASING, capacity
 * that stopping tasks hold counts as free. */
static bool has_free_capacity(const struct planner_machine *machine,
                              const struct tmx_job_spec *spec, enum candidate_pool pool) {
  const struct tmx_plan_machine *record = &machine->record;
  struct tmx_resources used = tmx_resources_booked(record);
  if (pool == POOL_RELEASING) used = tmx_resources_subtract(used, tmx_resources_releasing(record));
  return tmx_resources_fit(tmx_resources_add(used, tmx_resources_of_task(spec)),
                           tmx_resources_of_machine(record));
}

static uint32_t tasks_placed_on(const struct planner_job *job,
                                const struct planner_machine *machine) {
  uint32_t count = 0;
  for (size_t i = 0; i < machine->record.n_tasks; i++)
    count += machine->record.tasks[i].job == job->record.slot;
  return count;
}

/* Computes the cost in POOL_PREEMPTIBLE. Machines with a warm image come first, and then machines
 * with less lost work. Returns false if the machine is not a candidate. */
static bool evaluate_preemption(struct round *round, const struct planner_job *job,
                                struct planner_machine *machine, double placement_cost,
                                double *cost) {
  if (placement_cost >= FAILED_MACHINE_COST) {
    round->job_specific_rejection = true;
    return false;
  }
  double lost_s = tmx_preemption_cost(round, job, machine);
  if (lost_s < 0) return false;
  *cost =
      lost_s / PREEMPTION_COST_SCALE_S + (placement_cost >= COLD_IMAGE_COST ? COLD_IMAGE_COST : 0);
  return true;
}

/* Returns whether the job's next task may be placed on the machine, and computes the cost. Checks
 * neither the zone nor the group of the machine. */
static bool evaluate_machine(struct round *round, const struct planner_job *job,
                             struct planner_machine *machine, enum candidate_pool pool,
                             double *cost) {
  if (!machine->record.usable || machine->record.draining) return false;
  if (pool == POOL_OWN_SHARD && machine->record.owner != job->record.planning_member) return false;
  if (pool != POOL_PREEMPTIBLE && !has_free_capacity(machine, job->record.spec, pool)) return false;
  if (job->record.spec->service && tasks_placed_on(job, machine) >= round->machine_cap) {
    round->job_specific_rejection = true;
    return false;
  }
  *cost = tmx_placement_cost(round, job, machine);
  return pool != POOL_PREEMPTIBLE || evaluate_preemption(round, job, machine, *cost, cost);
}

/* Adds the machine if the job's next task may be placed on it. Returns the number of added
 * machines. */
static size_t add_candidate(struct round *round, const struct planner_job *job,
                            struct planner_machine *machine, enum candidate_pool pool) {
  double cost;
  if (!evaluate_machine(round, job, machine, pool, &cost)) return 0;
  struct candidate_set *set = &round->candidate_sets[pool];
  tmx_candidate_heap_append(&set->zone_heaps[machine->record.zone], cost, machine->record.slot);
  return 1;
}

static bool zone_is_allowed(const struct planner_job *job, int zone) {
  return job->record.required_zone < 0 || zone == job->record.required_zone;
}

static size_t add_machines_of_eligible_groups(struct round *round, const struct planner_job *job,
                                              enum candidate_pool pool) {
  const struct tmx_planner *planner = round->planner;
  size_t added = 0;
  for (size_t i = 0; i < planner->n_groups; i++) {
    const struct machine_group *group = &planner->groups[i];
    if (!group->n_schedulable || !tmx_fit_group_is_eligible(group, job->record.spec) ||
        !zone_is_allowed(job, group->zone))
      continue;
    round->visited += group->n_machines;
    for (size_t k = 0; k < group->n_machines; k++)
      added += add_candidate(round, job, planner->machines[group->slots[k]], pool);
  }
  return added;
}

static size_t add_releasing_machines(struct round *round, const struct planner_job *job) {
  const struct tmx_planner *planner = round->planner;
  size_t added = 0;
  for (size_t i = 0; i < round->n_releasing_machines; i++) {
    struct planner_machine *machine = planner->machines[round->releasing_machines[i]];
    round->visited++;
    if (machine->group < 0 ||
        !tmx_fit_group_is_eligible(&planner->groups[machine->group], job->record.spec) ||
        !zone_is_allowed(job, machine->record.zone))
      continue;
    added += add_candidate(round, job, machine, POOL_RELEASING);
  }
  return added;
}

static void build_candidates(struct round *round, const struct planner_job *job,
                             enum candidate_pool pool) {
  struct candidate_set *set = &round->candidate_sets[pool];
  set->built = true;
  for (size_t zone = 0; zone < TMX_ZONES_MAX; zone++) set->zone_heaps[zone].count = 0;
  set->empty = tmx_failed_fits_rule_out(round, job, pool);
  if (set->empty) return;
  round->job_specific_rejection = false;
  size_t added = pool == POOL_RELEASING ? add_releasing_machines(round, job)
                                        : add_machines_of_eligible_groups(round, job, pool);
  for (size_t zone = 0; zone < round->input->n_zones; zone++)
    tmx_candidate_heap_build(&set->zone_heaps[zone]);
  set->empty = !added;
  if (!added && !round->job_specific_rejection) tmx_failed_fits_add(round, job, pool);
}

/* Updates the heap until its first candidate has a current cost. Placements since the heap was
 * built may have filled the machine or raised its cost. A candidate whose cost fell keeps its
 * position. */
static void refresh_first(struct round *round, const struct planner_job *job,
                          enum candidate_pool pool, struct candidate_heap *heap) {
  while (heap->count) {
    struct planner_machine *machine = round->planner->machines[heap->candidates[0].machine];
    double cost;
    round->visited++;
    if (!evaluate_machine(round, job, machine, pool, &cost))
      tmx_candidate_heap_remove_first(heap);
    else if (cost > heap->candidates[0].cost + RESOURCE_EPSILON)
      tmx_candidate_heap_raise_first(heap, cost);
    else
      return;
  }
}

int tmx_candidates_best(struct round *round, const struct planner_job *job,
                        enum candidate_pool pool, enum image_requirement image) {
  struct candidate_set *set = &round->candidate_sets[pool];
  if (!set->built) build_candidates(round, job, pool);
  if (set->empty) return -1;
  int best = -1;
  double best_cost = 0;
  for (size_t zone = 0; zone < round->input->n_zones; zone++) {
    struct candidate_heap *heap = &set->zone_heaps[zone];
    if (!heap->count || !tmx_fit_zone_allows(round, job, zone)) continue;
    refresh_first(round, job, pool, heap);
    if (!heap->count) continue;
    const struct candidate *first = &heap->candidates[0];
    if (image == IMAGE_WARM && first->cost >= COLD_IMAGE_COST) continue;
    double balance =
        job->record.spec->service ? ZONE_BALANCE_COST * job->record.placed_in_zone[zone] : 0;
    if (best >= 0 && first->cost + balance >= best_cost) continue;
    best = first->machine;
    best_cost = first->cost + balance;
  }
  return best;
}

void tmx_candidates_begin_job(struct round *round, const struct planner_job *job) {
  for (size_t pool = 0; pool < POOL_COUNT; pool++)
    round->candidate_sets[pool].built = round->candidate_sets[pool].empty = false;
  uint32_t eligible = tmx_fit_count_eligible_machines(round->planner, job->record.spec);
  round->machine_cap = tmx_machine_cap(job->record.spec, eligible);
}
