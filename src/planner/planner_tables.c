#include "planner/planner_tables.h"
#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

/* Returns the index of the machine's group. Adds the group if it does not exist. */
static int find_or_add_group(struct tmx_planner *planner, const struct tmx_plan_machine *machine) {
  for (size_t i = 0; i < planner->n_groups; i++) {
    const struct machine_group *group = &planner->groups[i];
    if (group->zone == machine->zone && group->spot == machine->spot &&
        !strcmp(group->type, machine->type))
      return (int)i;
  }
  planner->groups = tmx_grow(planner->groups, &planner->cap_groups, planner->n_groups + 1,
                             sizeof *planner->groups);
  struct machine_group *group = &planner->groups[planner->n_groups];
  memset(group, 0, sizeof *group);
  memcpy(group->type, machine->type, sizeof group->type);
  group->zone = machine->zone;
  group->spot = machine->spot;
  return (int)planner->n_groups++;
}

static bool is_schedulable(const struct tmx_plan_machine *machine) {
  return machine->usable && !machine->draining;
}

static void leave_group(struct tmx_planner *planner, struct planner_machine *machine) {
  if (machine->group < 0) return;
  struct machine_group *group = &planner->groups[machine->group];
  if (is_schedulable(&machine->record)) group->n_schedulable--;
  /* Fills the gap with the last slot of the group, unless the machine had the last slot. */
  group->slots[machine->index_in_group] = group->slots[--group->n_machines];
  if (machine->index_in_group < group->n_machines)
    planner->machines[group->slots[machine->index_in_group]]->index_in_group =
        machine->index_in_group;
  machine->group = -1;
}

static void join_group(struct tmx_planner *planner, struct planner_machine *machine) {
  machine->group = -1;
  if (machine->record.zone < 0 || machine->record.cpus <= 0) return;
  machine->group = find_or_add_group(planner, &machine->record);
  struct machine_group *group = &planner->groups[machine->group];
  group->size = tmx_resources_of_machine(&machine->record);
  group->slots =
      tmx_grow(group->slots, &group->cap_machines, group->n_machines + 1, sizeof *group->slots);
  machine->index_in_group = group->n_machines;
  group->slots[group->n_machines++] = machine->record.slot;
  if (is_schedulable(&machine->record)) group->n_schedulable++;
}

static void remove_machine(struct tmx_planner *planner, int slot) {
  struct planner_machine *machine =
      (size_t)slot < planner->cap_machines ? planner->machines[slot] : NULL;
  if (!machine) return;
  leave_group(planner, machine);
  free(machine->record.tasks);
  free(machine);
  planner->machines[slot] = NULL;
}

/* Replaces the machine's state. Takes over the record's task array. */
static void update_machine(struct tmx_planner *planner, struct tmx_plan_machine *record) {
  planner->machines = tmx_grow(planner->machines, &planner->cap_machines, (size_t)record->slot + 1,
                               sizeof *planner->machines);
  struct planner_machine *machine = planner->machines[record->slot];
  if (!machine) {
    machine = planner->machines[record->slot] = tmx_allocate(1, sizeof *machine);
    machine->group = -1;
  }
  leave_group(planner, machine);
  free(machine->record.tasks);
  machine->record = *record;
  machine->cap_tasks = record->n_tasks;
  record->tasks = NULL;
  join_group(planner, machine);
}

static void add_open_job(struct tmx_planner *planner, struct planner_job *job) {
  if (job->in_open_jobs) return;
  planner->open_jobs = tmx_grow(planner->open_jobs, &planner->cap_open_jobs,
                                planner->n_open_jobs + 1, sizeof *planner->open_jobs);
  planner->open_jobs[planner->n_open_jobs++] = job;
  job->in_open_jobs = true;
}

static void remove_open_job(struct tmx_planner *planner, struct planner_job *job) {
  if (!job->in_open_jobs) return;
  for (size_t i = 0; i < planner->n_open_jobs; i++)
    if (planner->open_jobs[i] == job) {
      planner->open_jobs[i] = planner->open_jobs[--planner->n_open_jobs];
      break;
    }
  job->in_open_jobs = false;
}

static void remove_job(struct tmx_planner *planner, int slot) {
  struct planner_job *job = (size_t)slot < planner->cap_jobs ? planner->jobs[slot] : NULL;
  if (!job) return;
  remove_open_job(planner, job);
  free(job->record.spec);
  free(job->record.waiting);
  free(job);
  planner->jobs[slot] = NULL;
}

/* Replaces the job's state. Takes over the record's waiting tasks, and its spec if it has one. */
static void update_job(struct tmx_planner *planner, struct tmx_plan_job *record) {
  planner->jobs =
      tmx_grow(planner->jobs, &planner->cap_jobs, (size_t)record->slot + 1, sizeof *planner->jobs);
  struct planner_job *job = planner->jobs[record->slot];
  if (!record->open && !record->n_placed) { /* not open, and no task is on a machine */
    remove_job(planner, record->slot);
    return;
  }
  if (!job) {
    if (!record->spec) return;
    job = planner->jobs[record->slot] = tmx_allocate(1, sizeof *job);
  }
  if (record->spec)
    free(job->record.spec);
  else
    record->spec = job->record.spec;
  free(job->record.waiting);
  job->record = *record;
  record->spec = NULL;
  record->waiting = NULL;
  if (record->open)
    add_open_job(planner, job);
  else
    remove_open_job(planner, job);
}

static void remove_all(struct tmx_planner *planner) {
  for (size_t i = 0; i < planner->cap_machines; i++) remove_machine(planner, (int)i);
  for (size_t i = 0; i < planner->cap_jobs; i++) remove_job(planner, (int)i);
}

struct tmx_planner *tmx_planner_new(void) {
  struct tmx_planner *planner = tmx_allocate(1, sizeof *planner);
  planner->resume_production = planner->resume_not_started = planner->resume_others = -1;
  return planner;
}

void tmx_planner_free(struct tmx_planner *planner) {
  remove_all(planner);
  for (size_t i = 0; i < planner->n_groups; i++) free(planner->groups[i].slots);
  free(planner->groups);
  free(planner->open_jobs);
  free(planner->machines);
  free(planner->jobs);
  free(planner);
}

void tmx_planner_apply(struct tmx_planner *planner, struct tmx_planner_delta *delta) {
  if (delta->reset) remove_all(planner);
  for (size_t i = 0; i < delta->n_removed; i++) remove_machine(planner, delta->removed[i]);
  for (size_t i = 0; i < delta->n_jobs; i++) update_job(planner, &delta->jobs[i]);
  for (size_t i = 0; i < delta->n_machines; i++) update_machine(planner, &delta->machines[i]);
  tmx_planner_delta_clear(delta);
}
