/**
 * @file
 * Commits a planned round.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_ROUND_COMMIT_H
#define TMX_ROUND_COMMIT_H
#include "scheduler/scheduler_internal.h"

/** Sends the planned operations together with the pending completions, lines and submissions as one
 * transaction. After a conflict the batch is built again from the same plan, up to
 * TMX_BATCH_RESENDS_MAX times. The round ends with any other result and when the last resend
 * conflicts. It ends immediately if there is nothing to send or if the batch cannot be sent. */
void tmx_scheduler_commit_round(struct tmx_scheduler *scheduler);
#endif
