/**
 * @file
 * Remembers what found no candidate in this round, so that a job which asks for at least as much is
 * not tried again: internal to src/planner.
 */
#ifndef TMX_FAILED_FITS_H
#define TMX_FAILED_FITS_H
#include "planner/round.h"

/** Whether the failures of this round prove that the job has no candidate in the pool. */
bool tmx_failed_fits_cover(const struct round *round, const struct planner_job *job,
                           enum candidate_pool pool);

/** Notes that the job has no candidate in the pool. The smallest jobs are kept, since they speak
 * for the most others; with FAILED_FITS_MAX different ones the failure is forgotten. */
void tmx_failed_fits_add(struct round *round, const struct planner_job *job,
                         enum candidate_pool pool);

#endif
