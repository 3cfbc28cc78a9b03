#include "planner/service_migration.h"
#include "planner/candidates.h"
#include "tmx/constants.h"

/* Returns the job of the task if it is a service; otherwise NULL. */
static struct planner_job *service_of_task(const struct tmx_planner *planner,
                                           const struct tmx_plan_task *task) {
  struct planner_job *job = task->job >= 0 ? planner->jobs[task->job] : NULL;
  return job && job->record.spec->service ? job : NULL;
}

/* Returns the limit on the replicas that migrate at a time. Sets `migrating` to the number that
 * migrate already: those that are stopping on draining machines. */
static size_t migration_limit(const struct tmx_planner *planner, size_t *migrating) {
  size_t replicas = 0;
  *migrating = 0;
  for (size_t i = 0; i < planner->cap_machines; i++) {
    const struct planner_machine *machine = planner->machines[i];
    for (size_t k = 0; machine && k < machine->record.n_tasks; k++) {
      const struct tmx_plan_task *task = &machine->record.tasks[k];
      if (!service_of_task(planner, task)) continue;
      replicas++;
      *migrating += machine->record.draining && task->stopping;
    }
  }
  return TMX_SERVICE_MOVES_BASE + (size_t)(TMX_SERVICE_MOVES_SHARE * (double)replicas);
}

/* Returns the slot of a machine with free capacity and a warm image for the replica; -1: none. The
 * replica to be stopped does not count for the zone cap and zone balance. */
static int find_new_machine(struct round *round, struct planner_job *job, int zone) {
  tmx_candidates_begin_job(round, job);
  tmx_round_snapshot_job(round, job);
  job->record.placed_in_zone[zone]--;
  int machine = tmx_candidates_best(round, job, POOL_ANY_SHARD, IMAGE_WARM);
  job->record.placed_in_zone[zone]++;
  return machine;
}

/* Stops the replica if there is a machine for its next attempt. Returns whether it was stopped. */
static bool migrate(struct round *round, struct planner_job *job,
                    const struct planner_machine *machine, size_t task_index) {
  int new_machine = find_new_machine(round, job, machine->record.zone);
  if (new_machine < 0) return false;
  tmx_round_reserve(round, job, new_machine, RESERVATION_UNTIL_RELEASE);
  const struct tmx_plan_task *task = &machine->record.tasks[task_index];
  tmx_round_emit(round, TMX_OPERATION_STOP, job, task->task, task->attempt)->reason =
      tmx_operation_stop_reason(TMX_STOP_AT_ONCE);
  return true;
}

void tmx_migrate_services(struct round *round) {
  const struct tmx_planner *planner = round->planner;
  size_t migrating, max_migrating = migration_limit(planner, &migrating);
  for (size_t i = 0; i < planner->cap_machines; i++) {
    const struct planner_machine *machine = planner->machines[i];
    if (!machine || !machine->record.draining || machine->record.zone < 0) continue;
    size_t n_tasks = machine->record.n_tasks;
    for (size_t k = 0; k < n_tasks; k++) {
      const struct tmx_plan_task *task = &machine->record.tasks[k];
      struct planner_job *job = service_of_task(planner, task);
      if (!job || task->stopping || !job->record.open) continue;
      if (migrating >= max_migrating) return;
      migrating += migrate(round, job, machine, k);
    }
  }
}
