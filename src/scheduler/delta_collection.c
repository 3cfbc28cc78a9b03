/* Tracks changed machines and jobs, and collects them into the delta for the planner together with
 * the other inputs of a round. */
#include "scheduler/delta_collection.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "scheduler/planner_records.h"
#include "scheduler/round_timing.h"

void tmx_scheduler_machine_changed(struct tmx_scheduler *scheduler, struct tmx_machine *machine) {
  if (machine->planner_update_due) return;
  machine->planner_update_due = true;
  scheduler->changed_machines =
      tmx_grow(scheduler->changed_machines, &scheduler->cap_changed_machines,
               scheduler->n_changed_machines + 1, sizeof *scheduler->changed_machines);
  scheduler->changed_machines[scheduler->n_changed_machines++] = machine;
}

void tmx_scheduler_job_changed(struct tmx_scheduler *scheduler, struct tmx_job *job) {
  if (job->planner_update_due) return;
  job->planner_update_due = true;
  scheduler->changed_jobs =
      tmx_grow(scheduler->changed_jobs, &scheduler->cap_changed_jobs, scheduler->n_changed_jobs + 1,
               sizeof *scheduler->changed_jobs);
  scheduler->changed_jobs[scheduler->n_changed_jobs++] = job;
}

void tmx_scheduler_machine_removed(struct tmx_scheduler *scheduler, struct tmx_machine *machine) {
  tmx_planner_delta_add_removed(&scheduler->delta, machine->planner_slot);
  for (size_t i = 0; machine->planner_update_due && i < scheduler->n_changed_machines; i++)
    if (scheduler->changed_machines[i] == machine) {
      scheduler->changed_machines[i] = scheduler->changed_machines[--scheduler->n_changed_machines];
      break;
    }
}

void tmx_scheduler_reset(struct tmx_scheduler *scheduler) {
  tmx_planner_delta_clear(&scheduler->delta);
  scheduler->delta.reset = true;
  scheduler->n_changed_machines = scheduler->n_changed_jobs = 0;
}

/* Returns the seconds for which only the member that plans a job may place it. Unless the write
 * load is low, each member waits for its commit slot, so the grace period includes one cycle of all
 * slots. */
static double planning_member_grace(const struct tmx_scheduler *scheduler) {
  if (tmx_store_is_write_load_low(scheduler->store)) return TMX_PLANNING_MEMBER_GRACE_S;
  return TMX_PLANNING_MEMBER_GRACE_S + tmx_commit_slot_length(scheduler->settings) *
                                           (double)(scheduler->replica->view.n_members + 1);
}

/* Limits how many machines and tasks a round visits, by the processor time that it may use. */
static size_t max_visits(const struct tmx_settings *settings) {
  double affordable = settings->core_share * TMX_ROUND_PLANNING_S / TMX_PLANNER_VISIT_CPU_S;
  return (size_t)fmax(fmin(affordable, TMX_ROUND_VISITS_MAX), TMX_ROUND_VISITS_MIN);
}

/* Estimates how many operations fit into a batch. Operations share lines, and so are shorter, once
 * dependencies are in use. */
static size_t max_operations(const struct tmx_scheduler *scheduler) {
  const struct tmx_settings *settings = scheduler->settings;
  double value_bytes = (double)tmx_value_json_length_max(settings) * (settings->txn_ops - 1);
  double typical_length = scheduler->replica->dependencies_in_use
                              ? TMX_PLACEMENT_ITEM_TYPICAL_BYTES
                              : TMX_PLACEMENT_LINE_TYPICAL_BYTES;
  return (size_t)(fmin(value_bytes, TMX_TRANSACTION_JSON_BYTES_MAX) / typical_length);
}

static void fill_input(const struct tmx_scheduler *scheduler, struct tmx_round_input *input) {
  const struct tmx_replica *replica = scheduler->replica;
  memset(input, 0, sizeof *input);
  input->now_steady = tmx_clock_steady();
  input->now_wall = tmx_clock_wall();
  input->self_member = tmx_authority_member_index(scheduler->authority);
  input->leading = tmx_store_is_leader(scheduler->store);
  input->n_zones = scheduler->settings->n_zones;
  input->planning_member_grace_s = planning_member_grace(scheduler);
  tmx_start_rotation_fill(&input->start_rotation, replica->backlog, scheduler->settings,
                          input->now_steady);
  input->n_teams = scheduler->settings->n_teams;
  memcpy(input->teams, scheduler->settings->teams, sizeof input->teams);
  memcpy(input->usage, replica->team_usage, sizeof input->usage);
  input->max_visits = max_visits(scheduler->settings);
  input->max_operations = max_operations(scheduler);
}

/* Counts the resources of ended attempts as free in this round: the batch lists the ends before the
 * placements. */
static void release_ended_attempts(struct tmx_scheduler *scheduler, struct tmx_round_input *input) {
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_find_task(scheduler->replica, &scheduler->completions[i]);
    task->completion_in_batch = true;
    tmx_scheduler_machine_changed(scheduler, task->machine);
    tmx_scheduler_job_changed(scheduler, task->job);
    if (task->machine->zone >= 0) task->job->placed_in_zone[task->machine->zone]--;
    if (task->job->team < 0) continue;
    input->usage[task->job->team].cpus -= task->job->spec.cpus;
    input->usage[task->job->team].gpus -= task->job->spec.gpus;
  }
}

/* Reverts the changes that release_ended_attempts() made to the replica. The batch may not be
 * committed, so the machines and jobs are marked as changed again and go into the next delta. */
static void restore_ended_attempts(struct tmx_scheduler *scheduler) {
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_find_task(scheduler->replica, &scheduler->completions[i]);
    task->completion_in_batch = false;
    if (task->machine->zone >= 0) task->job->placed_in_zone[task->machine->zone]++;
    tmx_scheduler_machine_changed(scheduler, task->machine);
    tmx_scheduler_job_changed(scheduler, task->job);
  }
}

void tmx_scheduler_collect_delta(struct tmx_scheduler *scheduler, struct tmx_round_input *input) {
  fill_input(scheduler, input);
  release_ended_attempts(scheduler, input);
  for (size_t i = 0; i < scheduler->n_changed_jobs; i++)
    tmx_planner_records_add_job(scheduler, scheduler->changed_jobs[i]);
  for (size_t i = 0; i < scheduler->n_changed_machines; i++)
    tmx_planner_records_add_machine(scheduler, scheduler->changed_machines[i]);
  scheduler->n_changed_jobs = scheduler->n_changed_machines = 0;
  restore_ended_attempts(scheduler);
}
