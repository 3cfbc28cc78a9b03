#include "planner/failed_fits.h"

#include <string.h>

/* Returns whether every machine that could run a task of `larger` could run one of `smaller`. */
static bool is_at_least_as_demanding(const struct tmx_job_spec *larger,
                                     const struct tmx_job_spec *smaller) {
  if (!tmx_resources_fit(tmx_resources_of_task(smaller), tmx_resources_of_task(larger)))
    return false;
  if (larger->spot_allowed && !smaller->spot_allowed) return false;
  if (strcmp(larger->zone, smaller->zone) || larger->n_types != smaller->n_types) return false;
  return !larger->n_types ||
         !memcmp(larger->types, smaller->types, sizeof larger->types[0] * larger->n_types);
}

/* Returns whether the pool has the same machines for both jobs if the sizes of their tasks are
 * ignored. The own shard depends on the member that plans the job. The tasks that a job may preempt
 * depend on its team, its priority and whether it is guaranteed. */
static bool have_same_pool(const struct planner_job *left, const struct planner_job *right,
                           enum candidate_pool pool) {
  switch (pool) {
    case POOL_OWN_SHARD:
      return left->record.planning_member == right->record.planning_member;
    case POOL_PREEMPTIBLE:
      return left->record.team == right->record.team &&
             left->record.priority == right->record.priority &&
             left->guaranteed == right->guaranteed;
    case POOL_ANY_SHARD:
    case POOL_RELEASING:
    case POOL_COUNT:
      break;
  }
  return true;
}

bool tmx_failed_fits_rule_out(const struct round *round, const struct planner_job *job,
                              enum candidate_pool pool) {
  for (size_t i = 0; i < round->n_failed_fits; i++) {
    const struct failed_fit *failed = &round->failed_fits[i];
    if (failed->pool == pool && have_same_pool(failed->job, job, pool) &&
        is_at_least_as_demanding(job->record.spec, failed->job->record.spec))
      return true;
  }
  return false;
}

void tmx_failed_fits_add(struct round *round, const struct planner_job *job,
                         enum candidate_pool pool) {
  size_t i;
  for (i = 0; i < round->n_failed_fits; i++) {
    const struct failed_fit *failed = &round->failed_fits[i];
    if (failed->pool == pool && have_same_pool(failed->job, job, pool) &&
        is_at_least_as_demanding(failed->job->record.spec, job->record.spec))
      break; /* the new entry rules out at least as many jobs: it replaces this one */
  }
  if (i == FAILED_FITS_MAX) return;
  round->failed_fits[i] = (struct failed_fit){job, pool};
  if (i == round->n_failed_fits) round->n_failed_fits++;
}
