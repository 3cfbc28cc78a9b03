/**
 * @file
 * Rules of which job may be placed where, and before which other: internal to src/planner.
 */
#ifndef TMX_FIT_H
#define TMX_FIT_H
#include "planner/round.h"

/** Jobs of a higher precedence are placed first and may preempt those of a lower one. */
enum precedence {
  PRECEDENCE_ORDINARY,   /**< outside of its team's guaranteed quota */
  PRECEDENCE_GUARANTEED, /**< covered by its team's guaranteed quota */
  PRECEDENCE_PRODUCTION  /**< TMX_PRIORITY_PROD: services to people, and what they depend on */
};

/** The job's precedence in this round. Inline: it is asked for each task that may be preempted. */
static inline enum precedence tmx_fit_precedence(const struct planner_job *job) {
  if (job->record.priority == TMX_PRIORITY_PROD) return PRECEDENCE_PRODUCTION;
  return job->guaranteed ? PRECEDENCE_GUARANTEED : PRECEDENCE_ORDINARY;
}

/** Whether an empty machine of the group could hold a task of the job. */
bool tmx_fit_group_is_eligible(const struct machine_group *group, const struct tmx_job_spec *spec);

/** How many machines in use could hold a task of the job when empty. */
uint32_t tmx_fit_eligible_machines(const struct tmx_planner *planner,
                                   const struct tmx_job_spec *spec);

/** Whether a zone may take one more task of the job, by the zone cap and by `same_place`. */
bool tmx_fit_zone_allows(const struct round *round, const struct planner_job *job, size_t zone);

/** Whether one more task of the job stays within the limits of its team. */
bool tmx_fit_within_quota(const struct round *round, const struct planner_job *job);

#endif
