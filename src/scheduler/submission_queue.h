/**
 * @file
 * Submissions that wait for their commit. Loop's thread only.
 */
#ifndef TMX_SUBMISSION_QUEUE_H
#define TMX_SUBMISSION_QUEUE_H
#include "scheduler/log_batch.h"
#include "scheduler/pending_submission.h"

/** Adds those that admission admits to the batch, as many as it has room for. They must come first:
 * in a value, records come before lines. */
void tmx_submission_queue_add_to_batch(struct tmx_scheduler *scheduler,
                                       struct tmx_log_batch *batch);
/** The batch was answered. Unless another transaction won, those that were in it are answered. */
void tmx_submission_queue_settle(struct tmx_scheduler *scheduler,
                                 enum tmx_transaction_result result);
/** Answers one by the result of its own transaction, and frees it. */
void tmx_submission_queue_settle_single(struct tmx_scheduler *scheduler,
                                        const struct tmx_pending_submission *pending,
                                        enum tmx_transaction_result result);
/** Answers those that are decided or have waited too long; the rest may be sent. */
void tmx_submission_queue_settle_decided(struct tmx_scheduler *scheduler);
#endif
