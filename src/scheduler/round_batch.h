/**
 * @file
 * Puts the batch of a round together. Loop's thread only.
 */
#ifndef TMX_ROUND_BATCH_H
#define TMX_ROUND_BATCH_H
#include "replica/operation_check.h"
#include "scheduler/log_batch.h"

/** The batch of a round, with what is counted while it is built. */
struct tmx_round_batch {
  struct tmx_log_batch log;                        /**< puts and conditions of the batch */
  struct tmx_operation_check check;                /**< check of its operations on the replica */
  struct tmx_job *finished_jobs[TMX_FINISHED_MAX]; /**< jobs whose last completion is in it */
  size_t n_finished_jobs;                          /**< used entries of `finished_jobs` */
  size_t n_planned;                                /**< planned operations that are in it */
  bool full;                                       /**< something found no room */
  bool completion_deferred;                        /**< a job's last completion waits for a put */
};

/** Fills the batch with submissions, completions, pending lines, registrations of machines, the
 * planned operations and final states of jobs, in this order. The transaction in it is the
 * caller's. */
void tmx_round_batch_build(struct tmx_round_batch *batch, struct tmx_scheduler *scheduler);
#endif
