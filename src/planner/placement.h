/**
 * @file
 * Places the waiting tasks of jobs. Internal to src/planner.
 */
#ifndef TMX_PLACEMENT_H
#define TMX_PLACEMENT_H
#include "planner/round.h"

/** Places up to `max` waiting tasks of the job. Returns the number of placed tasks; tasks for which
 * the round only reserved capacity do not count. */
uint32_t tmx_place_job(struct round *round, struct planner_job *job, uint32_t max);

/**
 * Places up to `max` waiting tasks of each job, in order. Returns the number of placed tasks.
 *
 * If the visit limit is reached, the next round resumes with the jobs that were not examined.
 * Otherwise, jobs that find no capacity could use up the limit in every round, and the jobs after
 * them, for which there may be capacity, would never be examined.
 *
 * @param round the running round
 * @param jobs jobs, in the order in which to place them
 * @param count entries of `jobs`
 * @param max limit on the placed tasks of each job
 * @param resume_slot in: slot of the job to start with; -1, or not in `jobs`: the first job. Out:
 *        where the next round resumes; -1: all jobs were examined
 */
uint32_t tmx_place_jobs(struct round *round, struct planner_job **jobs, size_t count, uint32_t max,
                        int *resume_slot);

#endif
