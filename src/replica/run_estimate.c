/* How long the tasks of a class run, against what their owners estimate. Pure. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "replica/replica.h"

static const struct tmx_run_estimate *class_of(const struct tmx_replica *replica,
                                               const char *name) {
  for (size_t i = 0; i < replica->n_run_estimates; i++)
    if (!strcmp(replica->run_estimates[i].name, name)) return &replica->run_estimates[i];
  return NULL;
}

double tmx_run_estimate_expected(const struct tmx_replica *replica,
                                 const struct tmx_job_spec *spec) {
  const struct tmx_run_estimate *estimate = class_of(replica, spec->class);
  if (!estimate || estimate->samples < TMX_RUN_ESTIMATE_SAMPLES_MIN) return spec->estimate_s;
  return spec->estimate_s * exp(estimate->log_ratio);
}

void tmx_run_estimate_observe(struct tmx_replica *replica, const struct tmx_job_spec *spec,
                              double ran) {
  if (spec->estimate_s <= 0 || ran <= 0) return;
  struct tmx_run_estimate *estimate = (struct tmx_run_estimate *)class_of(replica, spec->class);
  if (!estimate) {
    if (replica->n_run_estimates == TMX_RUN_ESTIMATES_MAX) return;
    estimate = &replica->run_estimates[replica->n_run_estimates++];
    memset(estimate, 0, sizeof *estimate);
    snprintf(estimate->name, sizeof estimate->name, "%s", spec->class);
  }
  double x = log(ran / spec->estimate_s);
  x = fmax(-TMX_RUN_ESTIMATE_LOG_BOUND,
           fmin(TMX_RUN_ESTIMATE_LOG_BOUND, x)); /* a hung machine tells nothing of the class */
  if (estimate->samples < TMX_RUN_ESTIMATE_SAMPLES_MAX) estimate->samples++;
  estimate->log_ratio += (x - estimate->log_ratio) / estimate->samples;
}
