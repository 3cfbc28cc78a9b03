/** The users of a cluster on loopback: they submit jobs by a workload, retry when refused, and poll
 *  until the job is done. */
#ifndef CLUSTER_USERS_H
#define CLUSTER_USERS_H
#include "fake.h"

/** Jobs of one team and class. */
struct job_kind {
  char letter; /**< the ids begin with "wk-" and this; 0: the end of an array of kinds */
  const char *team, *class_name, *kind, *priority;
  unsigned tasks;    /**< of each job */
  double cpus;       /**< of each task */
  double run_s;      /**< mean run time; 0: until it is stopped */
  double per_s;      /**< jobs submitted a second, beside those at the start */
  unsigned at_start; /**< jobs submitted at the start */
};

/** Counts since the start, and maxima since they were last taken. */
struct users_figures {
  unsigned accepted, refused, polls, polls_answered;
  double slowest_submission; /**< of the accepted ones, s */
};

/** Sets the workload. @param kinds ends with letter 0 and must outlive the users
 *  @param nodes the number of controllers */
void users_open(const struct job_kind *wanted, int nodes);
/** Submits the new jobs of a period of `elapsed_s`. */
void users_submit(double elapsed_s);
/** Sends the retries and polls that are due at `now`. */
void users_step(double now);
/** The mean run time of a task, s; 0: until it is stopped. */
double users_run_s(const char *task);
/** Tells the users that a task has started on a worker. */
void users_task_began(const char *task);
/** Takes the figures and resets the maxima. */
struct users_figures users_take_figures(void);
/** From now on polls every accepted job once more, for the final answers in the history. */
void users_poll_all_finally(void);
/** Whether all those polls were answered. */
bool users_all_answered(void);
/** Prints how each kind fared. */
void users_print_table(double lasted_s);

#endif
