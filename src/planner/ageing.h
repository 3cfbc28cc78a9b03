/**
 * @file
 * Ageing: bounds how long a job waits when the rank order places other jobs first. Internal to
 * src/planner.
 *
 * The draft places jobs from a queue. A round places the least remaining work first, which alone
 * would starve large jobs; see docs/design.md, "fairness". Ageing skips jobs of production
 * precedence, since a round places them first.
 */
#ifndef TMX_AGEING_H
#define TMX_AGEING_H
#include "planner/round.h"

/**
 * Places one task for each account that is due for a start, see tmx_start_rotation_is_due(): a task
 * of the account's oldest job that fits on a machine. If none of its jobs fits, the leader reserves
 * a machine for the account's oldest job. Returns the number of placed tasks.
 *
 * @param round the running round
 * @param by_release open jobs, the earliest released first
 * @param count entries of `by_release`
 */
uint32_t tmx_ageing_place_by_rotation(struct round *round, struct planner_job **by_release,
                                      size_t count);

/** Places a first task of each job that has waited for TMX_AGED_JOB_WAIT_S without a start. */
void tmx_ageing_place_first_tasks(struct round *round, struct planner_job **by_release,
                                  size_t count);

/**
 * Places tasks of jobs that have waited for TMX_AGED_JOB_WAIT_S, the oldest first, whatever their
 * size. Each task uses one unit of tmx_planner::aged_job_credit. A round adds TMX_AGED_JOB_SHARE of
 * its placements to the credit, without those of production jobs and of
 * tmx_ageing_place_first_tasks(); the credit is at most TMX_ROUND_JOB_TASKS_MAX. Returns the number
 * of placed tasks.
 */
uint32_t tmx_ageing_place_oldest(struct round *round, struct planner_job **by_release,
                                 size_t count);

#endif
