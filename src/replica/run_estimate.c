#include "replica/run_estimate.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "replica/replica.h"

/* Index of the class in `run_estimates`; `n_run_estimates` if it has no entry. */
static size_t class_index(const struct tmx_replica *replica, const char *name) {
  size_t i = 0;
  while (i < replica->n_run_estimates && strcmp(replica->run_estimates[i].name, name)) i++;
  return i;
}

double tmx_run_estimate_expected(const struct tmx_replica *replica,
                                 const struct tmx_job_spec *spec) {
  const size_t i = class_index(replica, spec->class);
  if (i == replica->n_run_estimates) return spec->estimate_s;
  const struct tmx_run_estimate *estimate = &replica->run_estimates[i];
  if (estimate->samples < TMX_RUN_ESTIMATE_SAMPLES_MIN) return spec->estimate_s;
  return spec->estimate_s * exp(estimate->log_ratio);
}

void tmx_run_estimate_observe(struct tmx_replica *replica, const struct tmx_job_spec *spec,
                              double ran) {
  if (spec->estimate_s <= 0 || ran <= 0) return;
  const size_t i = class_index(replica, spec->class);
  if (i == TMX_RUN_ESTIMATES_MAX) return;
  struct tmx_run_estimate *estimate = &replica->run_estimates[i];
  if (i == replica->n_run_estimates) {
    replica->n_run_estimates++;
    memset(estimate, 0, sizeof *estimate);
    snprintf(estimate->name, sizeof estimate->name, "%s", spec->class);
  }
  /* The bound limits the effect of a task whose machine hung on the ratio of its class. */
  const double sample = fmax(-TMX_RUN_ESTIMATE_LOG_BOUND,
                             fmin(TMX_RUN_ESTIMATE_LOG_BOUND, log(ran / spec->estimate_s)));
  if (estimate->samples < TMX_RUN_ESTIMATE_SAMPLES_MAX) estimate->samples++;
  estimate->log_ratio += (sample - estimate->log_ratio) / estimate->samples;
}
