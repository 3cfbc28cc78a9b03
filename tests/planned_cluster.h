/* A cluster for tests of the planner: machines and jobs in the form of a delta.
 * Each round is planned by a planner of its own, so the cluster stays as it is. */
#ifndef TMX_PLANNED_CLUSTER_H
#define TMX_PLANNED_CLUSTER_H
#include "planner/planner.h"

struct planned_cluster {
  struct tmx_round_input input; /* a leader's round at 100 s, of one team without a limit */
  struct tmx_plan_machine machines[64];
  size_t n_machines;
  struct tmx_plan_job jobs[16];
  size_t n_jobs;
};

/* Empty machines of 16 CPUs and 64 GB, dealt out to the zones in turn; jobs follow with add_job. */
struct planned_cluster *make_cluster(size_t machines, size_t jobs, size_t zones);
void free_cluster(struct planned_cluster *cluster);
/* Job `index`, whose tasks all wait; the caller may change the specification that is returned. */
struct tmx_job_spec *add_job(struct planned_cluster *cluster, size_t index, bool service,
                             uint32_t tasks, double cpus);
/* A task of job `job` that runs on machine `machine`; its work since `since` would be lost. */
void add_running_task(struct planned_cluster *cluster, size_t machine, size_t job, uint32_t task,
                      double since, bool stopping);
/* A new planner that was given the whole cluster as its first delta. */
struct tmx_planner *planner_of(const struct planned_cluster *cluster);
/* Plans one round; the caller frees output->operations. */
void run_round(const struct planned_cluster *cluster, struct tmx_round_output *output);
#endif
