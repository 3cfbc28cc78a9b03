/** @file The workers of a cluster on the loopback interface: they send heartbeats, run tasks, and
 * end them when their lease expires. */
#ifndef CLUSTER_WORKERS_H
#define CLUSTER_WORKERS_H
#include "fake.h"

/** Number and behaviour of the workers. */
struct workers_setup {
  int machines, nodes;      /**< numbers of workers and of controllers */
  double report_s, lease_s; /**< mean time between heartbeats; duration of a lease, s */
  double (*run_s)(
      const char *task); /**< mean run time of a task, s; 0: it runs until it is stopped */
  void (*on_begin)(const char *task); /**< called when a task has started; may be NULL */
  double late_copies; /**< share of command requests of which a copy arrives up to 40 s later */
};

/** Counts since the start, and the maximum since the last call of workers_take_statistics. */
struct workers_statistics {
  unsigned finished;        /**< number of finished tasks */
  unsigned late_copies;     /**< number of late copies of command requests that arrived */
  unsigned accepted_copies; /**< of these, the ones whose token and session still matched */
  double slowest_report;    /**< longest response time of a heartbeat, s */
};

/** Creates the workers, and distributes them evenly over the controllers. */
void workers_open(const struct workers_setup *wanted);
/** Advances the tasks by `elapsed_s` seconds, and sends the heartbeats that are due at `now`. */
void workers_step(double now, double elapsed_s);
/** Returns the statistics and resets the maximum. */
struct workers_statistics workers_take_statistics(void);

#endif
