/* Prints the counts and the waiting times of each kind of jobs. */
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "cluster/users.h"
#include "cluster/users_internal.h"

static void print_kind(const struct job_kind *kind, double now) {
  const struct kind_state *state = &users.states[kind - users.kinds];
  double *waits = calloc(users.n_jobs + 1, sizeof *waits), oldest = 0;
  size_t n_began = 0;
  unsigned accepted = 0, gave_up = 0;
  if (!waits) abort();
  for (size_t i = 0; i < users.n_jobs; i++) {
    const struct job *job = users.jobs[i];
    if (job->kind != kind) continue;
    accepted += job->accepted;
    gave_up += job->given_up;
    if (job->started_at) waits[n_began++] = job->started_at - job->first_at;
    if (job->accepted && !job->started_at) oldest = fmax(oldest, now - job->first_at);
  }
  gsl_sort(waits, 1, n_began);
  printf("%-8s %-8s %9u %8u %8u %7u %6zu %7.1f %7.1f %7.1f %7.1f %7.1f\n", kind->team,
         kind->class_name, state->submitted, accepted, state->refusals, gave_up, n_began,
         n_began ? gsl_stats_quantile_from_sorted_data(waits, 1, n_began, 0.5) : 0,
         n_began ? gsl_stats_quantile_from_sorted_data(waits, 1, n_began, 0.99) : 0,
         n_began ? waits[n_began - 1] : 0, oldest, state->longest_gap);
  free(waits);
}

void users_print_table(double lasted_s) {
  printf("%.0f s; waits from the first attempt to the first task, s\n", lasted_s);
  printf("%-8s %-8s %9s %8s %8s %7s %6s %7s %7s %7s %7s %7s\n", "team", "class", "submitted",
         "accepted", "refusals", "gave up", "began", "median", "99%", "most", "waiting", "gap");
  for (const struct job_kind *kind = users.kinds; kind->letter; kind++)
    print_kind(kind, tmx_clock_steady());
}
