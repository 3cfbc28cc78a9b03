#include "planner/planner_tables.h"

#include <stdlib.h>
#include <string.h>

void *tmx_grow(void *v, size_t *cap, size_t need, size_t size) {
  if (need <= *cap) return v;
  size_t n = *cap ? *cap : 16;
  while (n < need) n *= 2;
  v = realloc(v, n * size);
  if (!v) abort();
  memset((char *)v + *cap * size, 0, (n - *cap) * size);
  *cap = n;
  return v;
}

/* ------------------------------------------------------------ the feed */

struct tmx_plan_machine *tmx_planner_delta_machine(struct tmx_planner_delta *delta) {
  delta->machines = tmx_grow(delta->machines, &delta->cap_machines, delta->n_machines + 1,
                             sizeof *delta->machines);
  struct tmx_plan_machine *machine = &delta->machines[delta->n_machines++];
  memset(machine, 0, sizeof *machine);
  return machine;
}
struct tmx_plan_job *tmx_planner_delta_job(struct tmx_planner_delta *delta) {
  delta->jobs = tmx_grow(delta->jobs, &delta->cap_jobs, delta->n_jobs + 1, sizeof *delta->jobs);
  struct tmx_plan_job *job = &delta->jobs[delta->n_jobs++];
  memset(job, 0, sizeof *job);
  return job;
}
void tmx_planner_delta_removed(struct tmx_planner_delta *delta, int slot) {
  delta->removed =
      tmx_grow(delta->removed, &delta->cap_removed, delta->n_removed + 1, sizeof *delta->removed);
  delta->removed[delta->n_removed++] = slot;
}
void tmx_planner_delta_clear(struct tmx_planner_delta *delta) {
  for (size_t i = 0; i < delta->n_machines; i++) free(delta->machines[i].tasks);
  for (size_t i = 0; i < delta->n_jobs; i++) {
    free(delta->jobs[i].spec);
    free(delta->jobs[i].waiting);
  }
  free(delta->removed);
  free(delta->machines);
  free(delta->jobs);
  memset(delta, 0, sizeof *delta);
}

/* ------------------------------------------------------------ machines */

static struct machine_group *group_of(struct tmx_planner *planner,
                                      const struct tmx_plan_machine *machine, int *index) {
  for (size_t i = 0; i < planner->n_groups; i++) {
    struct machine_group *group = &planner->groups[i];
    if (group->zone == machine->zone && group->spot == machine->spot &&
        !strcmp(group->type, machine->type)) {
      *index = (int)i;
      return group;
    }
  }
  planner->groups = tmx_grow(planner->groups, &planner->cap_groups, planner->n_groups + 1,
                             sizeof *planner->groups);
  struct machine_group *group = &planner->groups[planner->n_groups];
  memset(group, 0, sizeof *group);
  memcpy(group->type, machine->type, sizeof group->type);
  group->zone = machine->zone;
  group->spot = machine->spot;
  *index = (int)planner->n_groups++;
  return group;
}

static bool is_placeable(const struct tmx_plan_machine *machine) {
  return machine->usable && !machine->draining;
}

static void leave_group(struct tmx_planner *planner, struct planner_machine *machine) {
  if (machine->group < 0) return;
  struct machine_group *group = &planner->groups[machine->group];
  if (is_placeable(&machine->record)) group->n_usable--;
  group->slots[machine->index_in_group] = group->slots[--group->n];
  if (machine->index_in_group < group->n)
    planner->machines[group->slots[machine->index_in_group]]->index_in_group =
        machine->index_in_group;
  machine->group = -1;
}

static void join_group(struct tmx_planner *planner, struct planner_machine *machine) {
  machine->group = -1;
  if (machine->record.zone < 0 || machine->record.cpus <= 0) return;
  struct machine_group *group = group_of(planner, &machine->record, &machine->group);
  group->cpus = machine->record.cpus;
  group->gpus = machine->record.gpus;
  group->mem_gb = machine->record.mem_gb;
  group->slots = tmx_grow(group->slots, &group->cap, group->n + 1, sizeof *group->slots);
  machine->index_in_group = group->n;
  group->slots[group->n++] = machine->record.slot;
  if (is_placeable(&machine->record)) group->n_usable++;
}

static void drop_machine(struct tmx_planner *planner, int slot) {
  struct planner_machine *machine =
      (size_t)slot < planner->cap_machines ? planner->machines[slot] : NULL;
  if (!machine) return;
  leave_group(planner, machine);
  free(machine->record.tasks);
  free(machine);
  planner->machines[slot] = NULL;
}

static void take_machine(struct tmx_planner *planner, struct tmx_plan_machine *m) {
  planner->machines = tmx_grow(planner->machines, &planner->cap_machines, (size_t)m->slot + 1,
                               sizeof *planner->machines);
  struct planner_machine *p = planner->machines[m->slot];
  if (!p) {
    p = planner->machines[m->slot] = calloc(1, sizeof *p);
    if (!p) abort();
    p->group = -1;
  }
  leave_group(planner, p);
  free(p->record.tasks);
  p->record = *m;
  p->cap_tasks = m->n_tasks;
  m->tasks = NULL;
  join_group(planner, p);
}

/* ------------------------------------------------------------ jobs */

static void drop_job(struct tmx_planner *planner, int slot) {
  struct planner_job *job = (size_t)slot < planner->cap_jobs ? planner->jobs[slot] : NULL;
  if (!job) return;
  for (size_t i = 0; job->in_open_jobs && i < planner->n_open_jobs; i++)
    if (planner->open_jobs[i] == job) {
      planner->open_jobs[i] = planner->open_jobs[--planner->n_open_jobs];
      break;
    }
  free(job->record.spec);
  free(job->record.waiting);
  free(job);
  planner->jobs[slot] = NULL;
}

static void take_job(struct tmx_planner *planner, struct tmx_plan_job *j) {
  planner->jobs =
      tmx_grow(planner->jobs, &planner->cap_jobs, (size_t)j->slot + 1, sizeof *planner->jobs);
  struct planner_job *p = planner->jobs[j->slot];
  if (!j->open && !j->n_placed) { /* over, and nothing of it is left anywhere */
    drop_job(planner, j->slot);
    return;
  }
  if (!p) {
    if (!j->spec) return;
    p = planner->jobs[j->slot] = calloc(1, sizeof *p);
    if (!p) abort();
  }
  if (j->spec)
    free(p->record.spec);
  else
    j->spec = p->record.spec;
  free(p->record.waiting);
  p->record = *j;
  j->spec = NULL;
  j->waiting = NULL;
  if (!p->in_open_jobs && j->open) {
    planner->open_jobs = tmx_grow(planner->open_jobs, &planner->cap_open_jobs,
                                  planner->n_open_jobs + 1, sizeof *planner->open_jobs);
    planner->open_jobs[planner->n_open_jobs++] = p;
    p->in_open_jobs = true;
  } else if (p->in_open_jobs && !j->open) {
    for (size_t i = 0; i < planner->n_open_jobs; i++)
      if (planner->open_jobs[i] == p) {
        planner->open_jobs[i] = planner->open_jobs[--planner->n_open_jobs];
        break;
      }
    p->in_open_jobs = false;
  }
}

static void forget(struct tmx_planner *planner) {
  for (size_t i = 0; i < planner->cap_machines; i++) drop_machine(planner, (int)i);
  for (size_t i = 0; i < planner->cap_jobs; i++) drop_job(planner, (int)i);
}

struct tmx_planner *tmx_planner_new(void) {
  struct tmx_planner *planner = calloc(1, sizeof *planner);
  if (!planner) abort();
  planner->resume_services = planner->resume_oldest = planner->resume_arrays = -1;
  return planner;
}

void tmx_planner_free(struct tmx_planner *planner) {
  forget(planner);
  for (size_t i = 0; i < planner->n_groups; i++) free(planner->groups[i].slots);
  free(planner->groups);
  free(planner->open_jobs);
  free(planner->machines);
  free(planner->jobs);
  free(planner);
}

void tmx_planner_apply(struct tmx_planner *planner, struct tmx_planner_delta *delta) {
  if (delta->reset) forget(planner);
  for (size_t i = 0; i < delta->n_removed; i++) drop_machine(planner, delta->removed[i]);
  for (size_t i = 0; i < delta->n_jobs; i++) take_job(planner, &delta->jobs[i]);
  for (size_t i = 0; i < delta->n_machines; i++) take_machine(planner, &delta->machines[i]);
  tmx_planner_delta_clear(delta);
}
