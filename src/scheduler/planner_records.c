#include "scheduler/planner_records.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "scheduler/service_level_objectives.h"

static void copy_type(struct tmx_plan_machine *record, struct tmx_machine *machine,
                      const struct tmx_machine_type *type) {
  machine->capacity_cpus = record->cpus = type->cpus;
  machine->capacity_gpus = record->gpus = type->gpus;
  machine->capacity_mem_gb = record->mem_gb = type->mem_gb;
  record->fetch_gb_per_s = type->fetch_gb_per_s;
}

static void add_placed_task(struct tmx_plan_machine *record, const struct tmx_task *task) {
  const struct tmx_job_spec *spec = &task->job->spec;
  bool stopping = task->stop_mode || task->job->outcome;
  if (task->completion_in_batch) { /* the batch lists this end before the placements */
    record->booked_cpus -= spec->cpus;
    record->booked_gpus -= spec->gpus;
    record->booked_mem_gb -= spec->mem_gb;
    return;
  }
  if (stopping) {
    record->releasing_cpus += spec->cpus;
    record->releasing_gpus += spec->gpus;
    record->releasing_mem_gb += spec->mem_gb;
  }
  record->tasks[record->n_tasks++] = (struct tmx_plan_task){
      task->job->planner_slot, tmx_task_index(task), task->attempt, task->placed_at, stopping};
}

void tmx_planner_records_add_machine(struct tmx_scheduler *scheduler, struct tmx_machine *machine) {
  const struct tmx_machine_type *type = tmx_machine_catalog_find(scheduler->catalog, machine->type);
  machine->planner_update_due = false;
  if (!machine->registered) return;
  struct tmx_plan_machine *record = tmx_planner_delta_add_machine(&scheduler->delta);
  record->slot = machine->planner_slot;
  memcpy(record->id, machine->id, sizeof record->id);
  memcpy(record->type, machine->type, sizeof record->type);
  record->zone = machine->zone;
  record->spot = machine->spot;
  record->draining = machine->draining;
  record->owner = machine->owner;
  record->usable = type && machine->usable && machine->condition != TMX_MACHINE_FAULTY;
  record->on_probation = machine->condition == TMX_MACHINE_ON_PROBATION;
  if (type) copy_type(record, machine, type);
  record->booked_cpus = machine->booked_cpus;
  record->booked_gpus = machine->booked_gpus;
  record->booked_mem_gb = machine->booked_mem_gb;
  memcpy(record->images, machine->images, sizeof record->images);
  record->n_images = machine->n_images;
  record->tasks = tmx_allocate(machine->n_tasks + 1, sizeof *record->tasks);
  for (const struct tmx_task *task = machine->tasks; task; task = task->next)
    add_placed_task(record, task);
}

/* Sends the specification to the planner only once, since it never changes. */
static void add_specification(const struct tmx_settings *settings, struct tmx_plan_job *record,
                              struct tmx_job *job) {
  if (job->known_to_planner) return;
  record->spec = tmx_allocate(1, sizeof *record->spec);
  *record->spec = job->spec;
  record->spec->fetch_tolerance_s = tmx_objectives_start_tolerance(settings, &job->spec);
  job->known_to_planner = true;
}

static void add_identity(const struct tmx_scheduler *scheduler, struct tmx_plan_job *record,
                         const struct tmx_job *job) {
  record->slot = job->planner_slot;
  memcpy(record->id, job->id, sizeof record->id);
  record->required_zone =
      job->spec.zone[0] ? tmx_zone_index(scheduler->settings, job->spec.zone) : -1;
  record->team = job->team;
  record->account = job->account;
  record->planning_member = tmx_job_planner_index(scheduler->replica, job->id);
}

static void add_times(const struct tmx_scheduler *scheduler, struct tmx_plan_job *record,
                      const struct tmx_job *job) {
  double elapsed = tmx_clock_wall() - job->released_at;
  record->released_at = job->released_at;
  record->unplaced_since = job->unplaced_since;
  record->retry_at = job->retry_at;
  record->completion_target_s = tmx_objectives_final_completion_target(scheduler->settings, job);
  record->next_completion_target_s =
      tmx_objectives_next_completion_target(scheduler->settings, job, elapsed);
  record->expected_run_s =
      fmax(tmx_run_estimate_expected(scheduler->replica, &job->spec), job->longest_run_s);
}

static void add_progress(struct tmx_plan_job *record, const struct tmx_job *job) {
  record->priority = job->urgency.priority;
  record->n_done = job->n_done;
  record->n_placed = job->n_placed;
  memcpy(record->placed_in_zone, job->placed_in_zone, sizeof record->placed_in_zone);
  memcpy(record->failed_machines, job->failures.machines, sizeof record->failed_machines);
}

/* Adds the first waiting tasks, at most as many as a round can place. */
static void add_waiting_tasks(struct tmx_plan_job *record, struct tmx_job *job) {
  uint32_t max = job->spec.tasks - job->n_done - job->n_placed;
  if (max > TMX_ROUND_JOB_TASKS_MAX) max = TMX_ROUND_JOB_TASKS_MAX;
  record->waiting = tmx_allocate(max + 1, sizeof *record->waiting);
  for (uint32_t i = job->first_waiting; i < job->spec.tasks && record->n_waiting < max; i++) {
    const struct tmx_task *task = &job->tasks[i];
    if (task->state != TMX_TASK_WAITING) continue;
    if (!record->n_waiting) job->first_waiting = i;
    record->waiting[record->n_waiting++] = (struct tmx_plan_waiting_task){i, task->attempt + 1};
  }
}

void tmx_planner_records_add_job(struct tmx_scheduler *scheduler, struct tmx_job *job) {
  job->planner_update_due = false;
  bool open = !job->outcome && job->tasks && !tmx_job_is_blocked(job);
  if (!open && !job->n_placed && !job->known_to_planner) return;
  struct tmx_plan_job *record = tmx_planner_delta_add_job(&scheduler->delta);
  add_identity(scheduler, record, job);
  add_specification(scheduler->settings, record, job);
  add_times(scheduler, record, job);
  add_progress(record, job);
  record->open = open;
  if (!open) {
    if (!job->n_placed) job->known_to_planner = false;
    return;
  }
  add_waiting_tasks(record, job);
  double backoff = job->retry_at - tmx_clock_steady();
  if (record->n_waiting && backoff > 0) tmx_scheduler_trigger_within(scheduler, backoff + 0.05);
}
