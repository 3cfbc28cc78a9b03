/**
 * @file
 * Records which jobs found no candidate in this round. The round then skips the search for jobs
 * that request at least as much. Internal to src/planner.
 */
#ifndef TMX_FAILED_FITS_H
#define TMX_FAILED_FITS_H
#include "planner/round.h"

/** Returns whether failed fits of this round prove that the job has no candidate in the pool. */
bool tmx_failed_fits_rule_out(const struct round *round, const struct planner_job *job,
                              enum candidate_pool pool);

/** Records that the job has no candidate in the pool. The entry replaces one of a job that is at
 * least as demanding, since the less demanding job rules out more jobs. If it replaces none and
 * FAILED_FITS_MAX entries are in use, it is not recorded. */
void tmx_failed_fits_add(struct round *round, const struct planner_job *job,
                         enum candidate_pool pool);

#endif
