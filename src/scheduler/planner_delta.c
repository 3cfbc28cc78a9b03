/* What the planner is told: jobs and machines that changed, and what else a round depends on. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "scheduler/scheduler_internal.h"
#include "base/clock.h"
#include "base/memory.h"

/* s from the job's release to its deadline, or to that of a job which needs it; <0: none */
static double aim_due_in(const struct tmx_job *job) {
  return isfinite(job->urgency.due_at) ? fmax(job->urgency.due_at - job->released_at, 0) : -1;
}

static bool is_finish_aim(const struct tmx_objective *objective, const struct tmx_job_spec *spec) {
  return !strcmp(objective->class_name, spec->class) && !strcmp(objective->kind, "finished");
}

/* When a job should be done, at the latest: its class's last aim, or its deadline. */
static double last_aim(const struct tmx_settings *settings, const struct tmx_job *job) {
  double last = 0;
  for (size_t i = 0; i < settings->n_objectives; i++)
    if (is_finish_aim(&settings->objectives[i], &job->spec))
      last = fmax(last, settings->objectives[i].within_s);
  last = fmax(last, aim_due_in(job));
  return last > 0 ? last : TMX_NO_OBJECTIVE_S;
}

/* The first of those that is still ahead, s after the release. */
static double next_aim(const struct tmx_settings *settings, const struct tmx_job *job,
                       double waited) {
  double next = last_aim(settings, job), due = aim_due_in(job);
  for (size_t i = 0; i < settings->n_objectives; i++) {
    double within = settings->objectives[i].within_s;
    if (is_finish_aim(&settings->objectives[i], &job->spec) && within > waited)
      next = fmin(next, within);
  }
  return due > waited ? fmin(next, due) : next;
}

/* How long a start may take: the class's own aim, or a plain wait. */
static double patience_of(const struct tmx_settings *settings, const struct tmx_job_spec *spec) {
  for (size_t i = 0; i < settings->n_objectives; i++)
    if (!strcmp(settings->objectives[i].class_name, spec->class) &&
        !strcmp(settings->objectives[i].kind, "wait") && settings->objectives[i].within_s > 0)
      return settings->objectives[i].within_s;
  return TMX_FETCH_TOLERANCE_S;
}

static void describe_machine(struct tmx_scheduler *scheduler, struct tmx_machine *machine) {
  const struct tmx_machine_type *type = tmx_machine_catalog_find(scheduler->catalog, machine->type);
  machine->planner_update_due = false;
  if (!machine->registered) return;
  struct tmx_plan_machine *record = tmx_planner_delta_machine(&scheduler->delta);
  record->slot = machine->planner_slot;
  memcpy(record->id, machine->id, sizeof record->id);
  memcpy(record->type, machine->type, sizeof record->type);
  record->zone = machine->zone;
  record->spot = machine->spot;
  record->draining = machine->draining;
  record->owner = machine->owner;
  record->usable = type && machine->usable &&
                   !(machine->consecutive_errors >= TMX_FAULTY_MACHINE_ERRORS &&
                     machine->errors_of_several_jobs);
  if (type) {
    machine->size_cpus = record->cpus = type->cpus;
    machine->size_gpus = record->gpus = type->gpus;
    machine->size_mem_gb = record->mem_gb = type->mem_gb;
    record->fetch_gb_per_s = type->fetch_gb_per_s;
  }
  record->booked_cpus = machine->booked_cpus;
  record->booked_gpus = machine->booked_gpus;
  record->booked_mem_gb = machine->booked_mem_gb;
  memcpy(record->images, machine->images, sizeof record->images);
  record->n_images = machine->n_images;
  record->tasks = tmx_allocate(machine->n_tasks + 1, sizeof *record->tasks);
  for (struct tmx_task *task = machine->tasks; task; task = task->next) {
    const struct tmx_job_spec *spec = &task->job->spec;
    bool stopping = task->stop_mode || task->job->outcome;
    if (task->completion_in_batch) { /* its end is in the batch before anything that is placed */
      record->booked_cpus -= spec->cpus;
      record->booked_gpus -= spec->gpus;
      record->booked_mem_gb -= spec->mem_gb;
      continue;
    }
    if (stopping) {
      record->releasing_cpus += spec->cpus;
      record->releasing_gpus += spec->gpus;
      record->releasing_mem_gb += spec->mem_gb;
    }
    record->tasks[record->n_tasks++] = (struct tmx_plan_task){
        task->job->planner_slot, tmx_task_index(task), task->attempt, task->placed_at, stopping};
  }
}

static void describe_job(struct tmx_scheduler *scheduler, struct tmx_job *job) {
  job->planner_update_due = false;
  bool open = !job->outcome && job->tasks && !tmx_job_is_blocked(job);
  if (!open && !job->n_placed && !job->known_to_planner) return;
  struct tmx_plan_job *record = tmx_planner_delta_job(&scheduler->delta);
  record->slot = job->planner_slot;
  memcpy(record->id, job->id, sizeof record->id);
  if (!job->known_to_planner) {
    record->spec = malloc(sizeof *record->spec);
    if (!record->spec) abort();
    *record->spec = job->spec;
    record->spec->fetch_tolerance_s = patience_of(scheduler->settings, &job->spec);
    job->known_to_planner = true;
  }
  record->zone = job->spec.zone[0] ? tmx_zone_index(scheduler->settings, job->spec.zone) : -1;
  record->team = job->team;
  record->account = job->account;
  record->planner = tmx_job_planner_index(scheduler->replica, job->id);
  record->priority = job->urgency.priority;
  record->released_at = job->released_at;
  record->unplaced_since = job->unplaced_since;
  record->retry_at = job->retry_at;
  record->target_s = last_aim(scheduler->settings, job);
  record->next_target_s = next_aim(scheduler->settings, job, tmx_clock_wall() - job->released_at);
  record->run_s =
      fmax(tmx_run_estimate_expected(scheduler->replica, &job->spec), job->longest_run_s);
  record->n_done = job->n_done;
  record->n_placed = job->n_placed;
  record->open = open;
  memcpy(record->placed_in_zone, job->placed_in_zone, sizeof record->placed_in_zone);
  memcpy(record->failed_machines, job->failed_machines, sizeof record->failed_machines);
  if (!open) {
    if (!job->n_placed) job->known_to_planner = false;
    return;
  }
  uint32_t cap = job->spec.tasks - job->n_done - job->n_placed;
  if (cap > TMX_PLAN_TASKS) cap = TMX_PLAN_TASKS;
  record->waiting = tmx_allocate(cap + 1, sizeof *record->waiting);
  for (uint32_t k = job->first_waiting; k < job->spec.tasks && record->n_waiting < cap; k++) {
    const struct tmx_task *task = &job->tasks[k];
    if (task->state != TMX_TASK_WAITING) continue;
    if (!record->n_waiting) job->first_waiting = k;
    record->waiting[record->n_waiting++] = (struct tmx_plan_waiting_task){k, task->attempt + 1};
  }
  double wait = job->retry_at - tmx_clock_steady();
  if (record->n_waiting && wait > 0) tmx_scheduler_trigger_within(scheduler, wait + 0.05);
}

/* Fills the feed and the round from what is dirty. The ends that reports prove count as room: they
 * stand in the batch before whatever is placed into it, so their machines stay dirty. */
void tmx_scheduler_collect_delta(struct tmx_scheduler *scheduler, struct tmx_round_input *input) {
  struct tmx_replica *replica = scheduler->replica;
  memset(input, 0, sizeof *input);
  input->now_steady = tmx_clock_steady();
  input->now_wall = tmx_clock_wall();
  input->self_member = tmx_authority_member_index(scheduler->authority);
  input->leading = tmx_store_is_leader(scheduler->store);
  input->n_zones = scheduler->settings->n_zones;
  input->own_planner_grace_s = TMX_OWN_PLANNER_GRACE_S;
  if (!tmx_store_is_write_load_low(scheduler->store))
    input->own_planner_grace_s +=
        tmx_commit_slot_length(scheduler->settings) * (double)(replica->view.n_members + 1);
  tmx_turns_fill(&input->turns, replica->backlog, scheduler->settings, input->now_steady);
  input->n_teams = scheduler->settings->n_teams;
  memcpy(input->teams, scheduler->settings->teams, sizeof input->teams);
  memcpy(input->usage, replica->team_usage, sizeof input->usage);
  double room = (double)tmx_value_room(scheduler->settings) * (scheduler->settings->txn_ops - 1);
  input->max_visits =
      (size_t)fmax(fmin(scheduler->settings->core_share * TMX_PLAN_BUSY_S / TMX_PLAN_VISIT_S,
                        TMX_PLAN_VISITS_MAX),
                   TMX_PLAN_VISITS_MIN);
  input->max_operations =
      (size_t)(fmin(room, TMX_TRANSACTION_BYTES) /
               (replica->dependencies_in_use ? TMX_ITEM_TYPICAL : TMX_LINE_TYPICAL));
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_task(replica, &scheduler->completions[i]);
    task->completion_in_batch = true;
    tmx_scheduler_machine_changed(scheduler, task->machine);
    tmx_scheduler_job_changed(scheduler, task->job);
    if (task->machine->zone >= 0) task->job->placed_in_zone[task->machine->zone]--;
    if (task->job->team < 0) continue;
    input->usage[task->job->team].cpus -= task->job->spec.cpus;
    input->usage[task->job->team].gpus -= task->job->spec.gpus;
  }
  for (size_t i = 0; i < scheduler->n_changed_jobs; i++)
    describe_job(scheduler, scheduler->changed_jobs[i]);
  for (size_t i = 0; i < scheduler->n_changed_machines; i++)
    describe_machine(scheduler, scheduler->changed_machines[i]);
  scheduler->n_changed_jobs = scheduler->n_changed_machines = 0;
  for (size_t i = 0; i < scheduler->n_completions; i++) {
    struct tmx_task *task = tmx_operation_task(replica, &scheduler->completions[i]);
    task->completion_in_batch = false;
    if (task->machine->zone >= 0) task->job->placed_in_zone[task->machine->zone]++;
    tmx_scheduler_machine_changed(scheduler, task->machine);
    tmx_scheduler_job_changed(scheduler, task->job);
  }
}
