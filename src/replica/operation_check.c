#include "replica/operation_check.h"

#include <string.h>

#include "replica/placement_caps.h"

#define RESOURCE_EPSILON 1e-6

static uint64_t checks;

void tmx_operation_check_begin(struct tmx_operation_check *check, struct tmx_replica *replica) {
  check->replica = replica;
  check->id = ++checks;
  memcpy(check->usage, replica->team_usage, sizeof check->usage);
}

static void start_job_check(struct tmx_operation_check *check, struct tmx_job *job,
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

static void count_placement(struct tmx_operation_check *check, struct tmx_job *job,
                            struct tmx_machine *machine, int sign) {
  const struct tmx_job_spec *spec = &job->spec;
  machine->check_cpus += sign * spec->cpus;
  machine->check_gpus += sign * spec->gpus;
  machine->check_mem_gb += sign * spec->mem_gb;
  if (machine->zone >= 0) job->check_placed_in_zone[machine->zone] += (uint32_t)sign;
  if (job->team < 0) return;
  check->usage[job->team].cpus += sign * spec->cpus;
  check->usage[job->team].gpus += sign * spec->gpus;
}

static bool placement_is_allowed(const struct tmx_operation_check *check, const struct tmx_job *job,
                                 const struct tmx_machine *machine, uint32_t cap) {
  const struct tmx_job_spec *spec = &job->spec;
  const struct tmx_settings *settings = check->replica->settings;
  if (!machine->registered || machine->draining || machine->zone < 0 || job->team < 0 ||
      (machine->spot && !spec->spot_allowed))
    return false;
  if (!tmx_type_allowed(spec, machine->type)) return false;
  if (spec->zone[0] && tmx_zone_index(settings, spec->zone) != machine->zone) return false;
  if (machine->check_cpus + spec->cpus > machine->size_cpus + RESOURCE_EPSILON ||
      machine->check_gpus + spec->gpus > machine->size_gpus + RESOURCE_EPSILON ||
      machine->check_mem_gb + spec->mem_gb > machine->size_mem_gb + RESOURCE_EPSILON)
    return false;
  const struct tmx_team_settings *team = &settings->teams[job->team];
  const struct tmx_usage *usage = &check->usage[job->team];
  if (team->cpus_max > 0 && usage->cpus + spec->cpus > team->cpus_max + RESOURCE_EPSILON)
    return false;
  if (team->gpus_max > 0 && usage->gpus + spec->gpus > team->gpus_max + RESOURCE_EPSILON)
    return false;
  if (job->check_placed_in_zone[machine->zone] >= tmx_zone_cap(spec, settings->n_zones))
    return false;
  if (spec->same_zone)
    for (size_t z = 0; z < settings->n_zones; z++)
      if ((int)z != machine->zone && job->check_placed_in_zone[z]) return false;
  if (spec->service && cap) {
    uint32_t on = 0;
    for (const struct tmx_task *other_task = machine->tasks; other_task;
         other_task = other_task->next)
      on += other_task->job == job;
    if (on >= cap) return false;
  }
  return true;
}

bool tmx_operation_check_apply(struct tmx_operation_check *check,
                               const struct tmx_operation *operation) {
  struct tmx_job *job = tmx_job_find(check->replica, operation->job);
  if (!job || !job->tasks || operation->task >= job->spec.tasks) return false;
  const struct tmx_task *task = &job->tasks[operation->task];
  if (operation->kind == TMX_OPERATION_PLACE) {
    struct tmx_machine *machine = tmx_machine_find(check->replica, operation->machine);
    if (!machine || job->outcome || tmx_job_is_blocked(job) || task->state != TMX_TASK_WAITING ||
        operation->attempt != task->attempt + 1)
      return false;
    start_job_check(check, job, machine);
    if (!placement_is_allowed(check, job, machine, operation->machine_cap)) return false;
    count_placement(check, job, machine, 1);
    return true;
  }
  if (task->state != TMX_TASK_PLACED || task->attempt != operation->attempt) return false;
  if (operation->kind == TMX_OPERATION_STOP) return !task->stop_mode && !job->outcome;
  start_job_check(check, job, task->machine);
  count_placement(check, job, task->machine, -1);
  return true;
}
