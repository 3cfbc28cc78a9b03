/* Users of a cluster on loopback: they submit by a workload, try again when refused, and ask. */
#ifndef CLUSTER_USERS_H
#define CLUSTER_USERS_H
#include "fake.h"

struct job_kind { /* jobs of one team and class; ids begin with "wk-" and the letter */
  char letter;
  const char *team, *class_name, *kind, *priority;
  unsigned tasks;
  double cpus, run_s; /* run_s 0: until it is stopped */
  double per_s;       /* submitted a second ... */
  unsigned at_start;  /* ... beside those at the start */
};
struct users_figures {
  unsigned accepted, refused, asked, answered;
  double slowest_submission; /* s, since the figures were last taken */
};
/* kinds: an array that ends with letter 0. */
void users_open(const struct job_kind *kinds, int nodes);
void users_submit(double elapsed_s); /* new jobs for a time of dt */
void users_step(double now);         /* tries again, and asks */
double users_run_s(const char *task);
void users_task_began(const char *task);
struct users_figures users_take_figures(void);
/* Asks once more about every accepted job, for the history. */
void users_ask_all(void);
bool users_all_told(void);
void users_print_table(double lasted_s);
#endif
