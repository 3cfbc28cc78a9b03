/** @file The users of a cluster on the loopback interface: they submit the jobs of a workload,
 * retry refused submissions, and poll each job until it is done. */
#ifndef CLUSTER_USERS_H
#define CLUSTER_USERS_H
#include "fake.h"

/** Jobs of one team and class in the workload. */
struct job_kind {
  char letter; /**< follows "wk-" in the job ids; 0: end of an array of kinds */
  const char *team, *class_name, *kind, *priority;
  unsigned tasks;    /**< number of tasks of a job */
  double cpus;       /**< CPUs of a task */
  double run_s;      /**< mean run time of a task, s; 0: it runs until it is stopped */
  double per_s;      /**< submitted jobs per second, not counting those at the start */
  unsigned at_start; /**< jobs submitted at the start */
};

/** Counts since the start, and the maximum since the last call of users_take_statistics. */
struct users_statistics {
  unsigned accepted, refused, polls, polls_answered;
  double slowest_submission; /**< longest response time of an accepted submission, s */
};

/** Sets the workload.
 *  @param wanted array of kinds that ends with letter 0; the caller keeps it for the life of the
 * users
 *  @param nodes number of controllers */
void users_open(const struct job_kind *wanted, int nodes);
/** Submits the new jobs of the last `elapsed_s` seconds. */
void users_submit(double elapsed_s);
/** Sends the retries and polls that are due at `now`. */
void users_step(double now);
/** Returns the mean run time of a task, s; 0: it runs until it is stopped. */
double users_run_s(const char *task);
/** Records that a task has started on a worker. */
void users_task_began(const char *task);
/** Returns the statistics and resets the maximum. */
struct users_statistics users_take_statistics(void);
/** Starts the final polls: from now on each accepted job is polled until it is answered once, for
 * the final states in the history. */
void users_start_final_polls(void);
/** Tells whether all final polls were answered. */
bool users_final_polls_answered(void);
/** Prints counts and waiting times of each kind. @param lasted_s duration of the load, s */
void users_print_table(double lasted_s);

#endif
