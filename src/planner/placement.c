#include "planner/placement.h"
#include "planner/candidates.h"
#include "planner/fit.h"
#include "planner/preemption.h"

#include <string.h>

/* What became of a job's next waiting task. */
enum placement_result {
  TASK_PLACED,       /* a placement was emitted */
  TASK_HOLDS_ROOM,   /* room is held for it, nothing was emitted */
  TASK_WITHOUT_ROOM, /* there is none, neither for it nor for the job's other tasks */
  TASK_LEFT_TO_OWNER /* the job's own planner is to place it, and counts it as unplaced */
};

/* A job that is being placed, and this controller's part in it. */
struct job_placement {
  struct round *round;
  struct planner_job *job;
  enum precedence precedence;
  bool own;      /* this controller plans the job */
  bool in_grace; /* the member that plans the job may still get to it */
};

static int best_machine(const struct job_placement *placement, enum candidate_pool pool,
                        enum image_requirement image) {
  return tmx_candidates_best(placement->round, placement->job, pool, image);
}

/* Holds room that the job's own planner is about to use. */
static enum placement_result hold_room(const struct job_placement *placement, int machine) {
  tmx_round_reserve(placement->round, placement->job, machine, RESERVATION_FOR_PLACEMENT);
  placement->job->next_waiting++;
  return TASK_HOLDS_ROOM;
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

static bool wait_for_releasing_room(const struct job_placement *placement,
                                    enum image_requirement image) {
  int machine = best_machine(placement, POOL_RELEASING, image);
  if (machine < 0) return false;
  tmx_round_reserve(placement->round, placement->job, machine, RESERVATION_UNTIL_RELEASE);
  return true;
}

/* Stops tasks of other jobs; the room is held until they are gone. */
static bool wait_for_preempted_room(const struct job_placement *placement,
                                    enum image_requirement image) {
  struct round *round = placement->round;
  if (placement->precedence == PRECEDENCE_ORDINARY) return false;
  int machine = best_machine(placement, POOL_PREEMPTIBLE, image);
  if (machine < 0 || !tmx_preempt(round, placement->job, round->planner->machines[machine]))
    return false;
  tmx_round_reserve(round, placement->job, machine, RESERVATION_UNTIL_RELEASE);
  return true;
}

/* Holds room that is not free yet for the next task, which the leader alone does. */
static bool wait_for_room(const struct job_placement *placement, enum image_requirement image) {
  if (!placement->round->input->leading) return false;
  if (!wait_for_releasing_room(placement, image) && !wait_for_preempted_room(placement, image))
    return false;
  placement->job->next_waiting++;
  placement->round->output->unplaced++;
  return true;
}

/* A member that does not lead holds room on paper for a job that another one plans and that stands
 * before its own arrays: else what the leader frees for that job would be filled again at once. */
static enum placement_result hold_room_for_other_member(const struct job_placement *placement) {
  static const struct {
    enum candidate_pool pool;
    enum image_requirement image;
  } preferences[] = {{POOL_OWN_SHARD, IMAGE_WARM},      {POOL_ANY_SHARD, IMAGE_WARM},
                     {POOL_RELEASING, IMAGE_WARM},      {POOL_OWN_SHARD, IMAGE_ANY_STATE},
                     {POOL_ANY_SHARD, IMAGE_ANY_STATE}, {POOL_RELEASING, IMAGE_ANY_STATE}};
  for (size_t i = 0; i < sizeof preferences / sizeof preferences[0]; i++) {
    int machine = best_machine(placement, preferences[i].pool, preferences[i].image);
    if (machine >= 0) return hold_room(placement, machine);
  }
  return TASK_LEFT_TO_OWNER;
}

/* Another member's job that it may still get to: room in its shard is held, since that member is
 * about to use it. Work of production precedence is left to it only where the image is warm. */
static int machine_for_own_planner(const struct job_placement *placement, int warm_machine) {
  if (warm_machine >= 0 || placement->precedence == PRECEDENCE_PRODUCTION) return warm_machine;
  return best_machine(placement, POOL_OWN_SHARD, IMAGE_ANY_STATE);
}

static enum placement_result place_next_task(const struct job_placement *placement) {
  bool leading = placement->round->input->leading;
  int machine = best_machine(placement, POOL_OWN_SHARD, IMAGE_WARM);
  if (!placement->own && placement->in_grace) {
    machine = machine_for_own_planner(placement, machine);
    if (machine >= 0) return hold_room(placement, machine);
  }
  /* Too large for its shard: the draft lets the leader look in every shard. */
  if (machine < 0 && leading) machine = best_machine(placement, POOL_ANY_SHARD, IMAGE_WARM);
  if (machine < 0 && placement->precedence == PRECEDENCE_PRODUCTION) {
    /* Free room is only where a fetch would make the start late: room that is to be free where the
     * image is warm comes first, and the leader has a while to make it. */
    if (wait_for_room(placement, IMAGE_WARM)) return TASK_HOLDS_ROOM;
    if (!leading && placement->in_grace) return TASK_WITHOUT_ROOM;
  }
  if (machine < 0) machine = best_machine(placement, POOL_OWN_SHARD, IMAGE_ANY_STATE);
  if (machine < 0 && leading) machine = best_machine(placement, POOL_ANY_SHARD, IMAGE_ANY_STATE);
  if (machine >= 0) return place_on(placement, machine);
  return wait_for_room(placement, IMAGE_ANY_STATE) ? TASK_HOLDS_ROOM : TASK_WITHOUT_ROOM;
}

static bool may_place_now(const struct round *round, const struct planner_job *job) {
  return job->next_waiting < job->record.n_waiting && job->record.team >= 0 &&
         job->record.retry_at <= round->input->now_steady;
}

static bool reached_bound(const struct round *round) {
  return round->output->n_operations >= round->input->max_operations ||
         round->visited > round->visit_limit;
}

/* Places tasks until `max` are placed, none is left or no more room is found. Returns whether the
 * tasks that are left count as unplaced. */
static bool place_tasks(const struct job_placement *placement, uint32_t max, uint32_t *placed) {
  struct round *round = placement->round;
  struct planner_job *job = placement->job;
  bool for_other_member = !placement->own && !round->input->leading;
  while (job->next_waiting < job->record.n_waiting && *placed < max) {
    if (reached_bound(round)) {
      round->output->truncated = true;
      return true;
    }
    /* It waits for its own team: more machines would not help. */
    if (!tmx_fit_within_quota(round, job)) return false;
    switch (for_other_member ? hold_room_for_other_member(placement) : place_next_task(placement)) {
      case TASK_PLACED:
        (*placed)++;
        break;
      case TASK_HOLDS_ROOM:
        break;
      case TASK_WITHOUT_ROOM:
        return true;
      case TASK_LEFT_TO_OWNER:
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
      .own = job->record.planning_member == input->self_member,
      .in_grace = input->now_steady - job->record.unplaced_since <= input->own_planner_grace_s};
  if (!may_place_now(round, job)) return 0;
  /* Another member's job concerns the leader, and others only if it stands before their arrays. */
  if (!placement.own && !input->leading && placement.precedence == PRECEDENCE_ORDINARY) return 0;
  uint32_t placed = 0;
  tmx_candidates_begin_job(round, job);
  if (place_tasks(&placement, max, &placed))
    round->output->unplaced += (uint32_t)(job->record.n_waiting - job->next_waiting);
  return placed;
}

/* Index of the job of this slot; 0 if it is not among them. */
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
