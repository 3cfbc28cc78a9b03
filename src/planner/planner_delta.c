#include "planner/planner_delta.h"
#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

struct tmx_plan_machine *tmx_planner_delta_add_machine(struct tmx_planner_delta *delta) {
  delta->machines = tmx_grow(delta->machines, &delta->cap_machines, delta->n_machines + 1,
                             sizeof *delta->machines);
  struct tmx_plan_machine *machine = &delta->machines[delta->n_machines++];
  memset(machine, 0, sizeof *machine);
  return machine;
}

struct tmx_plan_job *tmx_planner_delta_add_job(struct tmx_planner_delta *delta) {
  delta->jobs = tmx_grow(delta->jobs, &delta->cap_jobs, delta->n_jobs + 1, sizeof *delta->jobs);
  struct tmx_plan_job *job = &delta->jobs[delta->n_jobs++];
  memset(job, 0, sizeof *job);
  return job;
}

void tmx_planner_delta_add_removed(struct tmx_planner_delta *delta, int slot) {
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
