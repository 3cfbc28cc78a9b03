#include "replica/operation_check.h"

#include <string.h>

#include "replica/placement_caps.h"

/* Tolerance for rounding errors in sums of resources: a task fits if it exceeds the free capacity
 * by no more than this. */
#define RESOURCE_EPSILON 1e-6

/* Id of the latest check. All replicas of a process share this counter, so ids are unique. */
static uint64_t last_check_id;

void tmx_operation_check_begin(struct tmx_operation_check *check, struct tmx_replica *replica) {
  check->replica = replica;
  check->id = ++last_check_id;
  memcpy(check->team_usage, replica->team_usage, sizeof check->team_usage);
}

/* Sets the check totals of the job and the machine to the replica's totals, unless this check has
 * already done so. */
static void init_check_totals(const struct tmx_operation_check *check, struct tmx_job *job,
                              struct tmx_machine *machine) {
  if (job->check_id != check->id) {
    job->check_id = check->id;
    memcpy(job->check_placed_in_zone, job->placed_in_zone, sizeof job->check_placed_in_zone);
  }
  if (machine->check_id != check->id) {
    machine->check_id = check->id;
    machine->check_cpus = machine->booked_cpus;
    machine->check_gpus = machine->booked_gpus;
    machine->check_mem_gb = machine->booked_mem_gb;
  }
}

/* Adds a task on the machine to the check totals, or subtracts it if `sign` is -1. */
static void add_to_totals(struct tmx_operation_check *check, struct tmx_job *job,
                          struct tmx_machine *machine, int sign) {
  const struct tmx_job_spec *spec = &job->spec;
  machine->check_cpus += sign * spec->cpus;
  machine->check_gpus += sign * spec->gpus;
  machine->check_mem_gb += sign * spec->mem_gb;
  if (machine->zone >= 0) job->check_placed_in_zone[machine->zone] += (uint32_t)sign;
  if (job->team < 0) return;
  check->team_usage[job->team].cpus += sign * spec->cpus;
  check->team_usage[job->team].gpus += sign * spec->gpus;
}

static bool machine_is_permitted(const struct tmx_settings *settings,
                                 const struct tmx_job_spec *spec,
                                 const struct tmx_machine *machine) {
  if (!machine->registered || machine->draining || machine->zone < 0) return false;
  if (machine->spot && !spec->spot_allowed) return false;
  if (!tmx_type_allowed(spec, machine->type)) return false;
  return !spec->zone[0] || tmx_zone_index(settings, spec->zone) == machine->zone;
}

static bool machine_has_capacity(const struct tmx_job_spec *spec,
                                 const struct tmx_machine *machine) {
  return machine->check_cpus + spec->cpus <= machine->capacity_cpus + RESOURCE_EPSILON &&
         machine->check_gpus + spec->gpus <= machine->capacity_gpus + RESOURCE_EPSILON &&
         machine->check_mem_gb + spec->mem_gb <= machine->capacity_mem_gb + RESOURCE_EPSILON;
}

static bool exceeds_limit(double used, double limit) {
  return limit > 0 && used > limit + RESOURCE_EPSILON;
}

static bool team_is_within_limits(const struct tmx_operation_check *check,
                                  const struct tmx_job *job) {
  const struct tmx_team_settings *team = &check->replica->settings->teams[job->team];
  const struct tmx_usage *usage = &check->team_usage[job->team];
  return !exceeds_limit(usage->cpus + job->spec.cpus, team->cpus_max) &&
         !exceeds_limit(usage->gpus + job->spec.gpus, team->gpus_max);
}

static bool zone_is_permitted(const struct tmx_settings *settings, const struct tmx_job *job,
                              int zone) {
  if (job->check_placed_in_zone[zone] >= tmx_zone_cap(&job->spec, settings->n_zones)) return false;
  for (size_t i = 0; job->spec.same_zone && i < settings->n_zones; i++)
    if ((int)i != zone && job->check_placed_in_zone[i]) return false;
  return true;
}

/* Returns whether the machine already has `cap` tasks of the service. A cap of 0 is no limit.
 * Counts the tasks in the replica only, without those that the batch places. */
static bool service_is_at_cap(const struct tmx_job *job, const struct tmx_machine *machine,
                              uint32_t cap) {
  if (!job->spec.service || !cap) return false;
  uint32_t n = 0;
  for (const struct tmx_task *task = machine->tasks; task; task = task->next) n += task->job == job;
  return n >= cap;
}

static bool placement_is_allowed(const struct tmx_operation_check *check, const struct tmx_job *job,
                                 const struct tmx_machine *machine, uint32_t machine_cap) {
  const struct tmx_settings *settings = check->replica->settings;
  return job->team >= 0 && machine_is_permitted(settings, &job->spec, machine) &&
         machine_has_capacity(&job->spec, machine) && team_is_within_limits(check, job) &&
         zone_is_permitted(settings, job, machine->zone) &&
         !service_is_at_cap(job, machine, machine_cap);
}

static bool check_placement(struct tmx_operation_check *check, struct tmx_job *job,
                            const struct tmx_task *task, const struct tmx_operation *operation) {
  struct tmx_machine *machine = tmx_machine_find(check->replica, operation->machine);
  if (!machine || job->outcome || tmx_job_is_blocked(job) || task->state != TMX_TASK_WAITING ||
      operation->attempt != task->attempt + 1)
    return false;
  init_check_totals(check, job, machine);
  if (!placement_is_allowed(check, job, machine, operation->machine_cap)) return false;
  add_to_totals(check, job, machine, 1);
  return true;
}

bool tmx_operation_check_apply(struct tmx_operation_check *check,
                               const struct tmx_operation *operation) {
  struct tmx_job *job = tmx_job_find(check->replica, operation->job);
  if (!job || !job->tasks || operation->task >= job->spec.tasks) return false;
  const struct tmx_task *task = &job->tasks[operation->task];
  if (operation->kind == TMX_OPERATION_PLACE) return check_placement(check, job, task, operation);
  if (task->state != TMX_TASK_PLACED || task->attempt != operation->attempt) return false;
  if (operation->kind == TMX_OPERATION_STOP) return !task->stop_mode && !job->outcome;
  init_check_totals(check, job, task->machine);
  add_to_totals(check, job, task->machine, -1);
  return true;
}
