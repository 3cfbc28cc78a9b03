/**
 * @file
 * Rules for where a job may be placed, and the precedence of jobs. Internal to src/planner.
 */
#ifndef TMX_FIT_H
#define TMX_FIT_H
#include "planner/round.h"

/** Jobs of a higher precedence are placed first and may preempt jobs of a lower one. */
enum precedence {
  PRECEDENCE_ORDINARY,   /**< not covered by its team's guaranteed quota */
  PRECEDENCE_GUARANTEED, /**< covered by its team's guaranteed quota */
  PRECEDENCE_PRODUCTION  /**< TMX_PRIORITY_PROD: user-facing services, and jobs they depend on */
};

/** Returns the job's precedence in this round. Inline, since it is called for each task that may be
 * preempted. */
static inline enum precedence tmx_job_precedence(const struct planner_job *job) {
  if (job->record.priority == TMX_PRIORITY_PROD) return PRECEDENCE_PRODUCTION;
  return job->guaranteed ? PRECEDENCE_GUARANTEED : PRECEDENCE_ORDINARY;
}

/** Returns whether an empty machine of the group has enough resources for a task of the job, and
 * the job allows machines of its type and spot state. */
bool tmx_fit_group_is_eligible(const struct machine_group *group, const struct tmx_job_spec *spec);

/** Returns the number of machines that are usable, not draining and, if empty, could run a task of
 * the job. */
uint32_t tmx_fit_count_eligible_machines(const struct tmx_planner *planner,
                                         const struct tmx_job_spec *spec);

/** Returns whether the zone cap and tmx_job_spec::same_zone allow one more task of the job in the
 * zone. */
bool tmx_fit_zone_allows(const struct round *round, const struct planner_job *job, size_t zone);

/** Returns whether one more task of the job stays within its team's maximum CPUs and GPUs. Returns
 * false if the team is unknown. */
bool tmx_fit_within_quota(const struct round *round, const struct planner_job *job);

#endif
