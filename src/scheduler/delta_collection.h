/**
 * @file
 * The delta that the planner gets with a round. Loop's thread only.
 */
#ifndef TMX_DELTA_COLLECTION_H
#define TMX_DELTA_COLLECTION_H
#include "scheduler/scheduler_internal.h"

/** Fills the scheduler's delta with all machines and jobs that changed since the last one, and
 * `input` with what else the round depends on. The scheduler's completions must be up to date. */
void tmx_scheduler_collect_delta(struct tmx_scheduler *scheduler, struct tmx_round_input *input);
#endif
