/* Workers of a cluster on loopback: they report, run tasks for a time, and lose them with their
 * lease. */
#ifndef CLUSTER_WORKERS_H
#define CLUSTER_WORKERS_H
#include "fake.h"

struct workers_setup {
  int machines, nodes;
  double report_s, lease_s;
  /* s that a task runs on average; 0: until it is stopped */
  double (*run_s)(const char *task);
  void (*on_begin)(const char *task); /* NULL: nobody is told */
};
struct workers_figures {
  unsigned finished;
  double slowest_report; /* s, since the figures were last taken */
};
void workers_open(const struct workers_setup *setup);
void workers_step(double now, double elapsed_s);
struct workers_figures workers_take_figures(void);
#endif
