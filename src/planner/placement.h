/**
 * @file
 * Placing the waiting tasks of jobs: internal to src/planner.
 */
#ifndef TMX_PLACEMENT_H
#define TMX_PLACEMENT_H
#include "planner/round.h"

/** Places up to `max` of the job's waiting tasks. Returns how many were placed. */
uint32_t tmx_place_job(struct round *round, struct planner_job *job, uint32_t max);

/**
 * Places up to `max` waiting tasks of each of the jobs, in order. Returns how many were placed.
 *
 * When so much was looked at that the round's bound is reached, the next round goes on with the
 * jobs that were not looked at: those that wait for room again and again must not keep a round from
 * those that would find some.
 *
 * @param round the round under way
 * @param jobs in the order in which they are placed
 * @param count entries of `jobs`
 * @param max tasks placed of each job, at most
 * @param resume_slot slot of the job to begin with; set to that for the next round; -1: the first
 */
uint32_t tmx_place_jobs(struct round *round, struct planner_job **jobs, size_t count, uint32_t max,
                        int *resume_slot);

#endif
