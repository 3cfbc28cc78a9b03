#include "planner/preemption.h"
#include "base/memory.h"
#include "planner/fit.h"

#include <stdlib.h>

/* Seconds of lost work: surcharge for each victim, so that few victims are preferred to many. */
#define VICTIM_COST_S 1
/* Seconds of lost work: surcharge for each level of the victim's priority. */
#define VICTIM_PRIORITY_COST_S 20.0

enum preemption_mode { PREEMPTION_ESTIMATE, PREEMPTION_EXECUTE };

/* A task that may be preempted. */
struct victim {
  size_t task;                   /* index among the machine's tasks */
  const struct planner_job *job; /* job of the task; NULL: no task was found */
  double lost_s;                 /* s: work that is lost if the task is stopped */
};

/* Returns the job of the task; NULL: unknown. */
static const struct planner_job *job_of_task(const struct round *round,
                                             const struct tmx_plan_task *task) {
  if (task->job < 0 || (size_t)task->job >= round->planner->cap_jobs) return NULL;
  return round->planner->jobs[task->job];
}

/* Returns whether the job's team still uses its guaranteed quota after one task of the job is
 * stopped. */
static bool keeps_guarantee_without(const struct round *round, const struct planner_job *job) {
  const struct tmx_job_spec *spec = job->record.spec;
  const struct tmx_team_settings *team = &round->input->teams[job->record.team];
  const struct tmx_usage *usage = &round->usage[job->record.team];
  return usage->cpus - spec->cpus >= team->cpus - RESOURCE_EPSILON &&
         usage->gpus - spec->gpus >= team->gpus - RESOURCE_EPSILON;
}

/* Returns whether the job may preempt the task. Only tasks of lower precedence are stopped: a task
 * of the same or a higher precedence would be placed again in the freed capacity and stopped again.
 * Jobs of ordinary precedence wait for free capacity; preempting other tasks for them would cost
 * more than it gains. */
static bool may_preempt(const struct round *round, const struct planner_job *job,
                        const struct tmx_plan_task *task) {
  const struct planner_job *other = job_of_task(round, task);
  if (!other || task->stopping || tmx_job_precedence(job) <= tmx_job_precedence(other))
    return false;
  if (other->record.priority < job->record.priority) return true;
  if (!job->guaranteed || other->record.team == job->record.team || other->record.team < 0 ||
      other->record.spec->service)
    return false;
  return keeps_guarantee_without(round, other);
}

/* Returns the work that is lost if the task is stopped, s. The estimate does not consider that a
 * task which is stopped for a service saves no checkpoint, see stop_victim(). */
static double lost_work_s(const struct round *round, const struct planner_job *job,
                          const struct tmx_plan_task *task) {
  const struct tmx_job_spec *spec = job->record.spec;
  if (spec->checkpoint_s > 0)
    return spec->checkpoint_save_s + 1; /* the task saves a checkpoint before it stops */
  return round->input->now_steady - task->placed_at;
}

/* Orders victims by lower priority, then by less lost work. Among equals, the one that was found
 * first is kept. */
static bool is_better_victim(const struct victim *left, const struct victim *right) {
  if (left->job->record.priority != right->job->record.priority)
    return left->job->record.priority < right->job->record.priority;
  return left->lost_s < right->lost_s;
}

/* Returns the best victim among the machine's tasks that are not chosen yet; its job is NULL if
 * there is none. `chosen` has one entry for each task; NULL: no task is chosen. */
static struct victim find_victim(const struct round *round, const struct planner_job *job,
                                 const struct planner_machine *machine, const bool *chosen) {
  struct victim best = {0};
  for (size_t i = 0; i < machine->record.n_tasks; i++) {
    const struct tmx_plan_task *task = &machine->record.tasks[i];
    if ((chosen && chosen[i]) || !may_preempt(round, job, task)) continue;
    struct victim victim = {.task = i, .job = job_of_task(round, task)};
    victim.lost_s = lost_work_s(round, victim.job, task);
    if (!best.job || is_better_victim(&victim, &best)) best = victim;
  }
  return best;
}

/* Emits the stop of the victim and counts its resources as being released. */
static void stop_victim(struct round *round, const struct planner_job *job,
                        struct planner_machine *machine, const struct victim *victim) {
  struct tmx_plan_machine *record = &machine->record;
  const struct tmx_plan_task *task = &record->tasks[victim->task];
  const struct tmx_job_spec *spec = victim->job->record.spec;
  /* A service does not wait until the victim has saved a checkpoint. */
  bool may_save = spec->checkpoint_s > 0 && !job->record.spec->service;
  tmx_round_emit(round, TMX_OPERATION_STOP, victim->job, task->task, task->attempt)->reason =
      tmx_operation_stop_reason(may_save ? TMX_STOP_AFTER_SAVING : TMX_STOP_AT_ONCE);
  tmx_round_snapshot_machine(round, machine);
  tmx_round_mark_preempted(round, machine, victim->task);
  tmx_resources_set_releasing(
      record, tmx_resources_add(tmx_resources_releasing(record), tmx_resources_of_task(spec)));
}

/* Chooses victims until a task of the job fits, and stops them if the mode is PREEMPTION_EXECUTE.
 * Returns their cost; negative as for tmx_preemption_cost(). */
static double choose_victims(struct round *round, const struct planner_job *job,
                             struct planner_machine *machine, enum preemption_mode mode) {
  const struct tmx_plan_machine *record = &machine->record;
  const struct tmx_resources requested = tmx_resources_of_task(job->record.spec);
  struct tmx_resources available = tmx_resources_add(
      tmx_resources_subtract(tmx_resources_of_machine(record), tmx_resources_booked(record)),
      tmx_resources_releasing(record));
  bool *chosen = NULL;
  double cost = 0;
  round->visited += record->n_tasks;
  while (!tmx_resources_fit(requested, available)) {
    struct victim victim = find_victim(round, job, machine, chosen);
    if (!victim.job) {
      free(chosen);
      return -1;
    }
    if (!chosen) chosen = tmx_allocate(record->n_tasks, sizeof *chosen);
    chosen[victim.task] = true;
    available = tmx_resources_add(available, tmx_resources_of_task(victim.job->record.spec));
    cost += victim.lost_s + VICTIM_COST_S + VICTIM_PRIORITY_COST_S * victim.job->record.priority;
    if (mode == PREEMPTION_EXECUTE) stop_victim(round, job, machine, &victim);
  }
  if (!chosen) return -1;
  free(chosen);
  return cost;
}

double tmx_preemption_cost(struct round *round, const struct planner_job *job,
                           struct planner_machine *machine) {
  return choose_victims(round, job, machine, PREEMPTION_ESTIMATE);
}

bool tmx_preempt(struct round *round, const struct planner_job *job,
                 struct planner_machine *machine) {
  return choose_victims(round, job, machine, PREEMPTION_EXECUTE) >= 0;
}
