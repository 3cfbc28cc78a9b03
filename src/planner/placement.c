#include "planner/placement.h"
#include "planner/candidates.h"
#include "planner/fit.h"
#include "planner/preemption.h"

#include <string.h>

/* Result of planning a job's next waiting task. */
enum placement_result {
  TASK_PLACED,                 /* a placement was emitted */
  TASK_CAPACITY_RESERVED,      /* capacity is reserved for it; no placement was emitted */
  TASK_NO_CAPACITY,            /* no capacity for this task or the job's other tasks */
  TASK_LEFT_TO_PLANNING_MEMBER /* the planning member places it, or counts it as unplaced */
};

/* A job that is being placed, and this controller's role in it. */
struct job_placement {
  struct round *round;
  struct planner_job *job;
  enum precedence precedence;
  bool planned_here; /* this controller is the member that plans the job */
  bool in_grace;     /* unplaced_since is at most planning_member_grace_s ago */
};

static int best_machine(const struct job_placement *placement, enum candidate_pool pool,
                        enum image_requirement image) {
  return tmx_candidates_best(placement->round, placement->job, pool, image);
}

/* Reserves capacity that the member that plans the job is about to use. */
static enum placement_result reserve_for_planning_member(const struct job_placement *placement,
                                                         int machine) {
  tmx_round_reserve(placement->round, placement->job, machine, RESERVATION_FOR_PLACEMENT);
  placement->job->next_waiting++;
  return TASK_CAPACITY_RESERVED;
}

static enum placement_result place_on(const struct job_placement *placement, int machine) {
  struct round *round = placement->round;
  struct planner_job *job = placement->job;
  const struct tmx_plan_waiting_task *waiting = &job->record.waiting[job->next_waiting++];
  struct tmx_operation *operation =
      tmx_round_emit(round, TMX_OPERATION_PLACE, job, waiting->task, waiting->attempt);
  memcpy(operation->machine, round->planner->machines[machine]->record.id,
         sizeof operation->machine);
  operation->machine_cap = round->machine_cap;
  tmx_round_reserve(round, job, machine, RESERVATION_FOR_PLACEMENT);
  return TASK_PLACED;
}

/* Reserves capacity that stopping tasks hold. */
static bool reserve_releasing_capacity(const struct job_placement *placement,
                                       enum image_requirement image) {
  int machine = best_machine(placement, POOL_RELEASING, image);
  if (machine < 0) return false;
  tmx_round_reserve(placement->round, placement->job, machine, RESERVATION_UNTIL_RELEASE);
  return true;
}

/* Stops tasks of other jobs and reserves the capacity that they hold. */
static bool reserve_preempted_capacity(const struct job_placement *placement,
                                       enum image_requirement image) {
  struct round *round = placement->round;
  if (placement->precedence == PRECEDENCE_ORDINARY) return false;
  int machine = best_machine(placement, POOL_PREEMPTIBLE, image);
  if (machine < 0 || !tmx_preempt(round, placement->job, round->planner->machines[machine]))
    return false;
  tmx_round_reserve(round, placement->job, machine, RESERVATION_UNTIL_RELEASE);
  return true;
}

/* Reserves capacity that is not free yet for the next task. The capacity is held by stopping tasks
 * or by tasks that this round preempts. Only the leader reserves such capacity. */
static bool reserve_future_capacity(const struct job_placement *placement,
                                    enum image_requirement image) {
  if (!placement->round->input->leading) return false;
  if (!reserve_releasing_capacity(placement, image) &&
      !reserve_preempted_capacity(placement, image))
    return false;
  placement->job->next_waiting++;
  placement->round->output->unplaced++;
  return true;
}

/* Reserves capacity, in this round only, for a job above ordinary precedence that another member
 * plans. Only members that do not lead call this function. Without the reservation, such a member
 * would immediately place its own job arrays in the capacity that the leader frees for that job. */
static enum placement_result reserve_for_other_member(const struct job_placement *placement) {
  static const struct {
    enum candidate_pool pool;
    enum image_requirement image;
  } preferences[] = {{POOL_OWN_SHARD, IMAGE_WARM},      {POOL_ANY_SHARD, IMAGE_WARM},
                     {POOL_RELEASING, IMAGE_WARM},      {POOL_OWN_SHARD, IMAGE_ANY_STATE},
                     {POOL_ANY_SHARD, IMAGE_ANY_STATE}, {POOL_RELEASING, IMAGE_ANY_STATE}};
  for (size_t i = 0; i < sizeof preferences / sizeof preferences[0]; i++) {
    int machine = best_machine(placement, preferences[i].pool, preferences[i].image);
    if (machine >= 0) return reserve_for_planning_member(placement, machine);
  }
  return TASK_LEFT_TO_PLANNING_MEMBER;
}

/* Returns the machine on which to reserve capacity for a job during the grace period of the other
 * member that plans it; -1: none. The machine is in the shard of that member, which is about to use
 * the machine. A job of production precedence is left to that member only if the image is warm on
 * the machine. */
static int machine_for_planning_member(const struct job_placement *placement, int warm_machine) {
  if (warm_machine >= 0 || placement->precedence == PRECEDENCE_PRODUCTION) return warm_machine;
  return best_machine(placement, POOL_OWN_SHARD, IMAGE_ANY_STATE);
}

static enum placement_result place_next_task(const struct job_placement *placement) {
  bool leading = placement->round->input->leading;
  int machine = best_machine(placement, POOL_OWN_SHARD, IMAGE_WARM);
  if (!placement->planned_here && placement->in_grace) {
    machine = machine_for_planning_member(placement, machine);
    if (machine >= 0) return reserve_for_planning_member(placement, machine);
  }
  /* A task may be too large for its shard. As in the draft, the leader then searches all shards. */
  if (machine < 0 && leading) machine = best_machine(placement, POOL_ANY_SHARD, IMAGE_WARM);
  if (machine < 0 && placement->precedence == PRECEDENCE_PRODUCTION) {
    /* No examined machine with enough free capacity has a warm image, so that a fetch would make
     * the start late. Machines with a warm image whose capacity can be freed are preferred. During
     * the grace period the planning member leaves the leader time to free such capacity. */
    if (reserve_future_capacity(placement, IMAGE_WARM)) return TASK_CAPACITY_RESERVED;
    if (!leading && placement->in_grace) return TASK_NO_CAPACITY;
  }
  if (machine < 0) machine = best_machine(placement, POOL_OWN_SHARD, IMAGE_ANY_STATE);
  if (machine < 0 && leading) machine = best_machine(placement, POOL_ANY_SHARD, IMAGE_ANY_STATE);
  if (machine >= 0) return place_on(placement, machine);
  return reserve_future_capacity(placement, IMAGE_ANY_STATE) ? TASK_CAPACITY_RESERVED
                                                             : TASK_NO_CAPACITY;
}

static bool may_place_now(const struct round *round, const struct planner_job *job) {
  return job->next_waiting < job->record.n_waiting && job->record.team >= 0 &&
         job->record.retry_at <= round->input->now_steady;
}

static bool reached_limit(const struct round *round) {
  return round->output->n_operations >= round->input->max_operations ||
         round->visited > round->visit_limit;
}

/* Places tasks until `max` are placed, none waits, no machine has capacity or a limit is reached.
 * Returns whether the remaining tasks count as unplaced. */
static bool place_tasks(const struct job_placement *placement, uint32_t max, uint32_t *placed) {
  struct round *round = placement->round;
  struct planner_job *job = placement->job;
  bool for_other_member = !placement->planned_here && !round->input->leading;
  while (job->next_waiting < job->record.n_waiting && *placed < max) {
    if (reached_limit(round)) {
      round->output->truncated = true;
      return true;
    }
    /* The job waits for its team's quota. More machines would not help, so its tasks do not count
     * as unplaced. */
    if (!tmx_fit_within_quota(round, job)) return false;
    switch (for_other_member ? reserve_for_other_member(placement) : place_next_task(placement)) {
      case TASK_PLACED:
        (*placed)++;
        break;
      case TASK_CAPACITY_RESERVED:
        break;
      case TASK_NO_CAPACITY:
        return true;
      case TASK_LEFT_TO_PLANNING_MEMBER:
        return false;
    }
  }
  return *placed < max;
}

uint32_t tmx_place_job(struct round *round, struct planner_job *job, uint32_t max) {
  const struct tmx_round_input *input = round->input;
  const struct job_placement placement = {
      .round = round,
      .job = job,
      .precedence = tmx_job_precedence(job),
      .planned_here = job->record.planning_member == input->self_member,
      .in_grace = input->now_steady - job->record.unplaced_since <= input->planning_member_grace_s};
  if (!may_place_now(round, job)) return 0;
  /* The leader handles all jobs. The other members handle jobs that they do not plan only if the
   * precedence is above ordinary, see reserve_for_other_member(). */
  if (!placement.planned_here && !input->leading && placement.precedence == PRECEDENCE_ORDINARY)
    return 0;
  uint32_t placed = 0;
  tmx_candidates_begin_job(round, job);
  if (place_tasks(&placement, max, &placed))
    round->output->unplaced += (uint32_t)(job->record.n_waiting - job->next_waiting);
  return placed;
}

/* Returns the index of the job with this slot; 0 if there is none. */
static size_t index_of_slot(struct planner_job *const *jobs, size_t count, int slot) {
  for (size_t i = 0; i < count && slot >= 0; i++)
    if (jobs[i]->record.slot == slot) return i;
  return 0;
}

uint32_t tmx_place_jobs(struct round *round, struct planner_job **jobs, size_t count, uint32_t max,
                        int *resume_slot) {
  size_t first = index_of_slot(jobs, count, *resume_slot);
  uint32_t placed = 0;
  *resume_slot = -1;
  for (size_t i = 0; i < count; i++) {
    placed += tmx_place_job(round, jobs[(first + i) % count], max);
    if (round->visited <= round->visit_limit || i + 1 == count) continue;
    round->output->truncated = true;
    *resume_slot = jobs[(first + i + 1) % count]->record.slot;
    break;
  }
  return placed;
}
