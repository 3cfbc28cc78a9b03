#include "scheduler/service_level_objectives.h"

#include <math.h>
#include <string.h>

#include "tmx/constants.h"

/* Returns the seconds from the job's release until it must end for its own deadline and those of
 * its dependents, at least 0. Negative: there is no deadline. */
static double deadline_after_release(const struct tmx_job *job) {
  return isfinite(job->urgency.due_at) ? fmax(job->urgency.due_at - job->released_at, 0) : -1;
}

static bool is_completion_objective(const struct tmx_objective *objective,
                                    const struct tmx_job_spec *spec) {
  return !strcmp(objective->class_name, spec->class) && !strcmp(objective->kind, "finished");
}

static bool is_wait_objective(const struct tmx_objective *objective,
                              const struct tmx_job_spec *spec) {
  return !strcmp(objective->class_name, spec->class) && !strcmp(objective->kind, "wait");
}

double tmx_objectives_final_completion_target(const struct tmx_settings *settings,
                                              const struct tmx_job *job) {
  double target = 0;
  for (size_t i = 0; i < settings->n_objectives; i++)
    if (is_completion_objective(&settings->objectives[i], &job->spec))
      target = fmax(target, settings->objectives[i].within_s);
  target = fmax(target, deadline_after_release(job));
  return target > 0 ? target : TMX_DEFAULT_OBJECTIVE_S;
}

double tmx_objectives_next_completion_target(const struct tmx_settings *settings,
                                             const struct tmx_job *job, double elapsed_s) {
  double target = tmx_objectives_final_completion_target(settings, job);
  double deadline = deadline_after_release(job);
  for (size_t i = 0; i < settings->n_objectives; i++) {
    double within = settings->objectives[i].within_s;
    if (is_completion_objective(&settings->objectives[i], &job->spec) && within > elapsed_s)
      target = fmin(target, within);
  }
  return deadline > elapsed_s ? fmin(target, deadline) : target;
}

double tmx_objectives_start_tolerance(const struct tmx_settings *settings,
                                      const struct tmx_job_spec *spec) {
  for (size_t i = 0; i < settings->n_objectives; i++)
    if (is_wait_objective(&settings->objectives[i], spec) && settings->objectives[i].within_s > 0)
      return settings->objectives[i].within_s;
  return TMX_FETCH_TOLERANCE_S;
}
