/**
 * @file
 * The order in which a round places jobs. Internal to src/planner.
 */
#ifndef TMX_JOB_ORDER_H
#define TMX_JOB_ORDER_H
#include "planner/round.h"

/** Returns all open jobs, the earliest released first. The array has tmx_planner::n_open_jobs
 * entries; the caller frees it. */
struct planner_job **tmx_job_order_by_release(const struct tmx_planner *planner);

/**
 * Returns all open jobs by rank: higher precedence first, then higher priority. Among equals, jobs
 * that can still meet their completion target come before late ones, then less remaining work comes
 * first. tmx_job_order_prepare() must have been called. The array has tmx_planner::n_open_jobs
 * entries; the caller frees it.
 */
struct planner_job **tmx_job_order_by_rank(const struct tmx_planner *planner);

/**
 * Prepares all open jobs for this round: computes their sort keys, marks guaranteed jobs and resets
 * planner_job::next_waiting. The guaranteed quota of a team covers its earliest released jobs.
 *
 * @param input the input of the round
 * @param by_release open jobs, as returned by tmx_job_order_by_release()
 * @param count entries of `by_release`
 */
void tmx_job_order_prepare(const struct tmx_round_input *input, struct planner_job **by_release,
                           size_t count);

/**
 * Sorts jobs in round-robin order of their accounts: first the oldest job of each account, then the
 * second oldest of each, and so on. Does nothing if start rotation is off.
 *
 * @param round the running round; its input contains whether start rotation is enabled
 * @param jobs jobs to sort, the earliest released first
 * @param count entries of `jobs`
 */
void tmx_job_order_sort_by_rotation(const struct round *round, struct planner_job **jobs,
                                    size_t count);

/** Returns the time since the job was released, s. */
double tmx_job_waited_s(const struct tmx_round_input *input, const struct planner_job *job);

#endif
