/**
 * @file
 * Collects the delta that a round sends to the planner.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_DELTA_COLLECTION_H
#define TMX_DELTA_COLLECTION_H
#include "scheduler/scheduler_internal.h"

/** Adds all machines and jobs that changed since the previous round to the scheduler's delta, and
 * fills `input` with the other inputs of the round. The completions of this round must have been
 * collected before. */
void tmx_scheduler_collect_delta(struct tmx_scheduler *scheduler, struct tmx_round_input *input);
#endif
