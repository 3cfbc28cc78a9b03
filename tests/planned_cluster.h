/** @file
 *  A cluster for tests of the planner: machines and jobs in the form of the planner's input. Each
 *  round is planned by a new planner, so planning does not change the cluster. */
#ifndef TMX_PLANNED_CLUSTER_H
#define TMX_PLANNED_CLUSTER_H
#include "planner/planner.h"

struct planned_cluster {
  struct tmx_round_input input; /**< of the leader, at 100 s, with one team without quota */
  struct tmx_plan_machine machines[64];
  size_t n_machines;
  struct tmx_plan_job jobs[16];
  size_t n_jobs;
};

/** Creates a cluster of empty machines with 16 CPUs and 64 GB each. Machines are assigned to the
 *  zones round-robin. The caller fills in each job with add_job, and frees the cluster with
 *  free_cluster. */
struct planned_cluster *make_cluster(size_t machines, size_t jobs, size_t zones);
/** Frees a cluster with its jobs and machines. */
void free_cluster(struct planned_cluster *cluster);
/** Fills in job `index`, whose tasks are all waiting. The caller may change the returned
 *  specification. */
struct tmx_job_spec *add_job(struct planned_cluster *cluster, size_t index, bool service,
                             uint32_t tasks, double cpus);
/** Adds a running task of job `job` to machine `machine`.
 *  @param since start of the work that would be lost if the task stopped, seconds
 *  @param stopping whether the task has been told to stop */
void add_running_task(struct planned_cluster *cluster, size_t machine, size_t job, uint32_t task,
                      double since, bool stopping);
/** Creates a planner with the whole cluster as its first delta; the caller frees it. */
struct tmx_planner *new_planner_for_cluster(const struct planned_cluster *cluster);
/** Plans one round with a new planner; the caller frees output->operations. */
void run_round(const struct planned_cluster *cluster, struct tmx_round_output *output);
#endif
