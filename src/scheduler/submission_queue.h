/**
 * @file
 * Queue of submissions that wait to be committed.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_SUBMISSION_QUEUE_H
#define TMX_SUBMISSION_QUEUE_H
#include "scheduler/log_batch.h"
#include "scheduler/pending_submission.h"

/** Answers submissions that are resolved or not admitted, and adds as many of the others to the
 * batch as fit. Must be called before anything else is added, since a value lists its job records
 * before its lines. */
void tmx_submission_queue_add_to_batch(struct tmx_scheduler *scheduler,
                                       struct tmx_log_batch *batch);
/** Handles the result of a batch. The submissions in it stay queued after a conflict; with any
 * other result they are answered and removed. */
void tmx_submission_queue_handle_batch_result(struct tmx_scheduler *scheduler,
                                              enum tmx_transaction_result result);
/** Answers a submission with the result of its single transaction, and frees it. */
void tmx_submission_queue_handle_single_result(struct tmx_scheduler *scheduler,
                                               const struct tmx_pending_submission *pending,
                                               enum tmx_transaction_result result);
/** Answers submissions whose job is already in the replica, and queued ones whose deadline has
 * passed. */
void tmx_submission_queue_answer_resolved(struct tmx_scheduler *scheduler);
#endif
