#include "planner/ageing.h"
#include "base/memory.h"
#include "planner/fit.h"
#include "planner/job_order.h"
#include "planner/placement.h"
#include "tmx/constants.h"

#include <stdlib.h>

static bool zone_is_allowed(const struct round *round, const struct planner_job *job, int zone) {
  return (job->record.required_zone < 0 || zone == job->record.required_zone) &&
         tmx_fit_zone_allows(round, job, (size_t)zone);
}

static bool is_reservable(const struct round *round, const struct planner_job *job,
                          const struct planner_machine *machine) {
  return machine->record.usable && !machine->record.draining &&
         machine->record.owner == round->input->self_member &&
         zone_is_allowed(round, job, machine->record.zone);
}

/* Returns the resources of the machine that replicas of services hold. They do not end. */
static struct tmx_resources held_by_services(const struct round *round,
                                             const struct planner_machine *machine) {
  struct tmx_resources held = {0};
  for (size_t i = 0; i < machine->record.n_tasks; i++) {
    const struct tmx_plan_task *task = &machine->record.tasks[i];
    const struct planner_job *job = task->job >= 0 ? round->planner->jobs[task->job] : NULL;
    if (job && job->record.spec->service && !task->stopping)
      held = tmx_resources_add(held, tmx_resources_of_task(job->record.spec));
  }
  return held;
}

/* Returns whether a task of the job fits once the tasks of arrays on the machine have ended. */
static bool fits_beside_services(struct round *round, const struct planner_job *job,
                                 const struct planner_machine *machine) {
  round->visited += machine->record.n_tasks;
  struct tmx_resources held = held_by_services(round, machine);
  return tmx_resources_fit(tmx_resources_add(held, tmx_resources_of_task(job->record.spec)),
                           tmx_resources_of_machine(&machine->record));
}

static double free_cpus(const struct planner_machine *machine) {
  return machine->record.cpus - machine->record.booked_cpus;
}

/* Returns the machine with the most free CPUs among those of this controller's shard that can run a
 * task of the job once the tasks of arrays on it have ended; NULL: there is none. */
static struct planner_machine *find_machine_with_most_free_cpus(struct round *round,
                                                                const struct planner_job *job) {
  struct planner_machine *best = NULL;
  for (size_t i = 0; i < round->planner->n_groups; i++) {
    const struct machine_group *group = &round->planner->groups[i];
    round->visited += group->n_machines;
    if (!tmx_fit_group_is_eligible(group, job->record.spec)) continue;
    for (size_t k = 0; k < group->n_machines; k++) {
      struct planner_machine *machine = round->planner->machines[group->slots[k]];
      if (!is_reservable(round, job, machine)) continue;
      if (best && free_cpus(machine) <= free_cpus(best)) continue;
      if (fits_beside_services(round, job, machine)) best = machine;
    }
  }
  return best;
}

/* Reserves a machine for a job without a candidate: the round places no more tasks on it, so that
 * its capacity accumulates as tasks end. Otherwise smaller tasks would take up freed capacity at
 * once, and a task larger than those that end would never fit.
 *
 * Only the leader reserves machines, and only in its own shard. A member other than the leader
 * places tasks in its own shard only, so no other member places tasks on a reserved machine. */
static void reserve_machine(struct round *round, const struct planner_job *job) {
  if (!round->input->leading || round->n_reserved_machines == TMX_RESERVED_MACHINES_MAX ||
      job->record.retry_at > round->input->now_steady ||
      job->next_waiting >= job->record.n_waiting || !tmx_fit_within_quota(round, job))
    return;
  struct planner_machine *machine = find_machine_with_most_free_cpus(round, job);
  if (!machine) return;
  machine->record.usable = false;
  round->reserved_machines[round->n_reserved_machines++] = machine;
}

static bool has_job_of_account(struct planner_job *const *jobs, size_t count,
                               const struct planner_job *job) {
  for (size_t i = 0; i < count; i++)
    if (jobs[i]->record.team == job->record.team && jobs[i]->record.account == job->record.account)
      return true;
  return false;
}

uint32_t tmx_ageing_place_by_rotation(struct round *round, struct planner_job **by_release,
                                      size_t count) {
  bool served[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{false}};
  /* For each account, its oldest job that could not be placed. */
  struct planner_job *unplaced_jobs[TMX_RESERVED_MACHINES_MAX];
  size_t n_unplaced_jobs = 0;
  uint32_t placed = 0;
  if (round->input->start_rotation.start_s <= 0) return 0;
  for (size_t i = 0; i < count && round->visited <= round->visit_limit; i++) {
    struct planner_job *job = by_release[i];
    if (job->record.team < 0 || tmx_job_precedence(job) == PRECEDENCE_PRODUCTION) continue;
    size_t team = (size_t)job->record.team, account = (size_t)job->record.account;
    if (served[team][account] ||
        !tmx_start_rotation_is_due(&round->input->start_rotation, team, account,
                                   tmx_job_waited_s(round->input, job)))
      continue;
    uint32_t placed_now = tmx_place_job(round, job, 1);
    served[team][account] = placed_now > 0;
    placed += placed_now;
    if (!placed_now && n_unplaced_jobs < TMX_RESERVED_MACHINES_MAX &&
        !has_job_of_account(unplaced_jobs, n_unplaced_jobs, job))
      unplaced_jobs[n_unplaced_jobs++] = job;
  }
  for (size_t i = 0; i < n_unplaced_jobs; i++) {
    const struct tmx_plan_job *record = &unplaced_jobs[i]->record;
    if (!served[record->team][record->account]) reserve_machine(round, unplaced_jobs[i]);
  }
  return placed;
}

static bool has_aged(const struct round *round, const struct planner_job *job) {
  return tmx_job_waited_s(round->input, job) >= TMX_AGED_JOB_WAIT_S &&
         tmx_job_precedence(job) != PRECEDENCE_PRODUCTION;
}

void tmx_ageing_place_first_tasks(struct round *round, struct planner_job **by_release,
                                  size_t count) {
  struct planner_job **not_started = tmx_allocate(count, sizeof *not_started);
  size_t n_not_started = 0;
  for (size_t i = 0; i < count; i++) {
    struct planner_job *job = by_release[i];
    if (has_aged(round, job) && !job->record.n_done && !job->record.n_placed)
      not_started[n_not_started++] = job;
  }
  tmx_job_order_sort_by_rotation(round, not_started, n_not_started);
  tmx_place_jobs(round, not_started, n_not_started, 1, &round->planner->resume_not_started);
  free(not_started);
}

uint32_t tmx_ageing_place_oldest(struct round *round, struct planner_job **by_release,
                                 size_t count) {
  struct tmx_planner *planner = round->planner;
  uint32_t placed = 0;
  for (size_t i = 0;
       i < count && planner->aged_job_credit >= 1 && round->visited <= round->visit_limit; i++) {
    if (!has_aged(round, by_release[i])) continue;
    uint32_t placed_now = tmx_place_job(round, by_release[i], (uint32_t)planner->aged_job_credit);
    planner->aged_job_credit -= placed_now;
    placed += placed_now;
  }
  return placed;
}
