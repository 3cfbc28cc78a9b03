/**
 * @file
 * Builds the batch that a round commits.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_ROUND_BATCH_H
#define TMX_ROUND_BATCH_H
#include "replica/operation_check.h"
#include "scheduler/log_batch.h"

/** The batch of a round, and the counts kept while it is built. */
struct tmx_round_batch {
  struct tmx_log_batch log_batch;   /**< puts and conditions of the batch */
  struct tmx_operation_check check; /**< checks operations against the replica */
  struct tmx_job *finished_jobs[TMX_BATCH_FINISHED_JOBS_MAX]; /**< jobs that the batch completes */
  size_t n_finished_jobs;      /**< used entries of `finished_jobs` */
  size_t n_planned_operations; /**< planned operations in the batch */
  /** An entry other than a submission did not fit, or more machines may be left to register. */
  bool full;
  bool completion_deferred; /**< a job's last completion was left for a later round */
};

/** Builds a batch of submissions, completions, pending lines, registrations of machines, planned
 * operations and final states of jobs, in this order. The caller owns the transaction. */
void tmx_round_batch_build(struct tmx_round_batch *batch, struct tmx_scheduler *scheduler);
#endif
