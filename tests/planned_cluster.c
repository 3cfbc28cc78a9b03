#include "planned_cluster.h"

#include "test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct planned_cluster *make_cluster(size_t machines, size_t jobs, size_t zones) {
  struct planned_cluster *cluster = calloc(1, sizeof *cluster);
  assert_non_null(cluster);
  cluster->n_machines = machines;
  cluster->n_jobs = jobs;
  cluster->input = (struct tmx_round_input){.n_zones = zones,
                                            .leading = true,
                                            .max_operations = 400,
                                            .max_visits = 400000,
                                            .n_teams = 1,
                                            .now_steady = 100,
                                            .now_wall = 100};
  for (size_t i = 0; i < machines; i++) {
    struct tmx_plan_machine *machine = &cluster->machines[i];
    machine->slot = (int)i;
    snprintf(machine->id, sizeof machine->id, "n-%06zu", i);
    strcpy(machine->type, "big");
    machine->zone = (int)(i % zones);
    machine->usable = true;
    machine->cpus = 16;
    machine->mem_gb = 64;
    machine->tasks = calloc(64, sizeof *machine->tasks);
  }
  return cluster;
}

struct tmx_job_spec *add_job(struct planned_cluster *cluster, size_t index, bool service,
                             uint32_t tasks, double cpus) {
  struct tmx_plan_job *job = &cluster->jobs[index];
  struct tmx_job_spec *spec = calloc(1, sizeof *spec);
  snprintf(job->id, sizeof job->id, "wk-%06zu", index);
  spec->service = service;
  spec->tasks = tasks;
  spec->cpus = cpus;
  spec->mem_gb = 1;
  spec->fetch_tolerance_s = 10;
  spec->priority = service ? TMX_PRIORITY_PROD : TMX_PRIORITY_NORMAL;
  job->slot = (int)index;
  job->spec = spec;
  job->required_zone = -1;
  job->open = true;
  job->released_at = 95;
  job->unplaced_since = 95;
  job->completion_target_s = 600;
  job->expected_run_s = 50;
  job->waiting = calloc(tasks, sizeof *job->waiting);
  for (uint32_t i = 0; i < tasks; i++)
    job->waiting[job->n_waiting++] = (struct tmx_plan_waiting_task){i, 1};
  return spec;
}

void add_running_task(struct planned_cluster *cluster, size_t machine, size_t job, uint32_t task,
                      double since, bool stopping) {
  struct tmx_plan_machine *record = &cluster->machines[machine];
  record->tasks[record->n_tasks++] = (struct tmx_plan_task){(int)job, task, 1, since, stopping};
}

/* The delta holds copies, so the cluster keeps its own specifications and task lists. */
struct tmx_planner *new_planner_for_cluster(const struct planned_cluster *cluster) {
  struct tmx_planner *planner = tmx_planner_new();
  struct tmx_planner_delta delta = {0};
  for (size_t i = 0; i < cluster->n_jobs; i++) {
    struct tmx_plan_job *job = tmx_planner_delta_add_job(&delta);
    *job = cluster->jobs[i];
    job->spec = malloc(sizeof *job->spec);
    *job->spec = *cluster->jobs[i].spec;
    job->priority = job->spec->priority;
    job->waiting = calloc(job->n_waiting + 1, sizeof *job->waiting);
    memcpy(job->waiting, cluster->jobs[i].waiting, job->n_waiting * sizeof *job->waiting);
  }
  for (size_t i = 0; i < cluster->n_machines; i++) {
    struct tmx_plan_machine *machine = tmx_planner_delta_add_machine(&delta);
    *machine = cluster->machines[i];
    machine->tasks = calloc(machine->n_tasks + 1, sizeof *machine->tasks);
    memcpy(machine->tasks, cluster->machines[i].tasks, machine->n_tasks * sizeof *machine->tasks);
  }
  tmx_planner_apply(planner, &delta);
  return planner;
}

void run_round(const struct planned_cluster *cluster, struct tmx_round_output *output) {
  struct tmx_planner *planner = new_planner_for_cluster(cluster);
  tmx_planner_run_round(planner, &cluster->input, output);
  tmx_planner_free(planner);
}

void free_cluster(struct planned_cluster *cluster) {
  for (size_t i = 0; i < cluster->n_machines; i++) free(cluster->machines[i].tasks);
  for (size_t i = 0; i < cluster->n_jobs; i++) {
    free(cluster->jobs[i].spec);
    free(cluster->jobs[i].waiting);
  }
  free(cluster);
}
