/**
 * @file
 * Commits a planned round. Loop's thread only.
 */
#ifndef TMX_ROUND_COMMIT_H
#define TMX_ROUND_COMMIT_H
#include "scheduler/scheduler_internal.h"

/** Sends the planned operations together with the pending completions, lines and submissions as one
 * transaction. After a conflict the batch is built again from the same plan, up to
 * TMX_BATCH_RESENDS_MAX times. The round ends when no resend is left, with any other result, or at
 * once if there is nothing to send. */
void tmx_scheduler_commit_round(struct tmx_scheduler *scheduler);
#endif
