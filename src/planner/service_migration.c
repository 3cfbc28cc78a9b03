#include "planner/service_migration.h"
#include "planner/candidates.h"
#include "tmx/constants.h"

/* The job of a service's replica; NULL: the task is none. */
static struct planner_job *service_of_task(const struct tmx_planner *planner,
                                           const struct tmx_plan_task *task) {
  struct planner_job *job = task->job >= 0 ? planner->jobs[task->job] : NULL;
  return job && job->record.spec->service ? job : NULL;
}

/* Replicas that may be on the move at a time, and in `moving` those that are already. */
static size_t count_moves(const struct tmx_planner *planner, size_t *moving) {
  size_t replicas = 0;
  *moving = 0;
  for (size_t i = 0; i < planner->cap_machines; i++) {
    const struct planner_machine *machine = planner->machines[i];
    for (size_t k = 0; machine && k < machine->record.n_tasks; k++) {
      const struct tmx_plan_task *task = &machine->record.tasks[k];
      if (!service_of_task(planner, task)) continue;
      replicas++;
      *moving += machine->record.draining && task->stopping;
    }
  }
  return TMX_SERVICE_MOVES_BASE + (size_t)(TMX_SERVICE_MOVES_SHARE * (double)replicas);
}

/* Finds warm room for the replica elsewhere, as if it were gone from its zone; -1: there is none.
 */
static int find_new_machine(struct round *round, struct planner_job *job, int zone) {
  tmx_candidates_begin_job(round, job);
  tmx_round_snapshot_job(round, job);
  job->record.placed_in_zone[zone]--;
  int machine = tmx_candidates_best(round, job, POOL_ANY_SHARD, IMAGE_WARM);
  job->record.placed_in_zone[zone]++;
  return machine;
}

/* Returns whether the replica was stopped. */
static bool migrate(struct round *round, struct planner_job *job,
                    const struct planner_machine *machine, size_t task_index) {
  int new_machine = find_new_machine(round, job, machine->record.zone);
  if (new_machine < 0) return false;
  tmx_round_reserve(round, job, new_machine, RESERVATION_UNTIL_RELEASE);
  const struct tmx_plan_task *task = &machine->record.tasks[task_index];
  tmx_round_emit(round, TMX_OPERATION_STOP, job, task->task, task->attempt)->reason = STOP_AT_ONCE;
  return true;
}

void tmx_migrate_services(struct round *round) {
  const struct tmx_planner *planner = round->planner;
  size_t moving, max_moving = count_moves(planner, &moving);
  for (size_t i = 0; i < planner->cap_machines; i++) {
    const struct planner_machine *machine = planner->machines[i];
    if (!machine || !machine->record.draining || machine->record.zone < 0) continue;
    size_t n_tasks = machine->record.n_tasks;
    for (size_t k = 0; k < n_tasks; k++) {
      const struct tmx_plan_task *task = &machine->record.tasks[k];
      struct planner_job *job = service_of_task(planner, task);
      if (!job || task->stopping || !job->record.open) continue;
      if (moving >= max_moving) return;
      moving += migrate(round, job, machine, k);
    }
  }
}
