/** The workers of a cluster on loopback: they send heartbeats, run tasks for a time, and lose them
 *  when their lease expires. */
#ifndef CLUSTER_WORKERS_H
#define CLUSTER_WORKERS_H
#include "fake.h"

struct workers_setup {
  int machines, nodes;                /**< numbers of workers and of controllers */
  double report_s, lease_s;           /**< mean time between heartbeats; length of a lease */
  double (*run_s)(const char *task);  /**< mean run time of a task, s; 0: until it is stopped */
  void (*on_begin)(const char *task); /**< called when a task has started; NULL: not */
};

/** A count since the start, and a maximum since they were last taken. */
struct workers_figures {
  unsigned finished;     /**< tasks */
  double slowest_report; /**< until its answer, s */
};

/** Makes the workers; each begins with a controller of its own. */
void workers_open(const struct workers_setup *wanted);
/** Lets `elapsed_s` pass for the tasks, and sends the heartbeats that are due at `now`. */
void workers_step(double now, double elapsed_s);
/** Takes the figures and resets the maximum. */
struct workers_figures workers_take_figures(void);

#endif
