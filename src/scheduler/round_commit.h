/**
 * @file
 * The commit of a round. Loop's thread only.
 */
#ifndef TMX_ROUND_COMMIT_H
#define TMX_ROUND_COMMIT_H
#include "scheduler/scheduler_internal.h"

/** Sends the round that was planned, with the completions, lines and submissions at hand, as one
 * transaction. The round ends when the answer comes, or at once if there is nothing to send. */
void tmx_scheduler_commit_round(struct tmx_scheduler *scheduler);
#endif
