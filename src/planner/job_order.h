/**
 * @file
 * The order in which a round places jobs: internal to src/planner.
 */
#ifndef TMX_JOB_ORDER_H
#define TMX_JOB_ORDER_H
#include "planner/round.h"

/** All open jobs, the earliest released first. An array of n_open_jobs; the caller frees it. */
struct planner_job **tmx_job_order_by_release(const struct tmx_planner *planner);

/**
 * All open jobs by rank: precedence, then priority, then the least remaining work among those that
 * can still meet their objective, then the others. tmx_job_order_prepare() must have been called.
 * An array of n_open_jobs; the caller frees it.
 */
struct planner_job **tmx_job_order_by_rank(const struct tmx_planner *planner);

/**
 * Prepares all open jobs for this round: their place in the order, and which are guaranteed. The
 * guaranteed quota of a team covers its earliest jobs.
 *
 * @param input read only
 * @param by_release as tmx_job_order_by_release() returned them
 * @param count entries of `by_release`
 */
void tmx_job_order_prepare(const struct tmx_round_input *input, struct planner_job **by_release,
                           size_t count);

/**
 * Sorts jobs so that accounts take turns: first the oldest job of each, then the second of each.
 * Does nothing where there are no turns.
 *
 * @param round the round under way, which tells whether there are turns
 * @param jobs the earliest released first
 * @param count entries of `jobs`
 */
void tmx_job_order_by_rotation(const struct round *round, struct planner_job **jobs, size_t count);

/** s since the job was released. */
double tmx_job_waited_s(const struct tmx_round_input *input, const struct planner_job *job);

#endif
