/**
 * @file
 * Decides when a round may begin and when its batch may be sent.
 *
 * A commit slot is a recurring interval of the time of day that is assigned to one member.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_ROUND_TIMING_H
#define TMX_ROUND_TIMING_H
#include "scheduler/scheduler_internal.h"

/** Length of a commit slot, s. */
double tmx_commit_slot_length(const struct tmx_settings *settings);
/** Seconds until the next commit slot of this member begins. Returns 0 if a round may begin now:
 * during the first TMX_COMMIT_SLOT_START_SHARE of its slot, or when slots are not needed. */
double tmx_commit_slot_delay(const struct tmx_scheduler *scheduler);
/** Makes the next step wait until the replica has reached this revision, which the store returned
 * for a transaction. */
void tmx_scheduler_await_revision(struct tmx_scheduler *scheduler, uint64_t revision);
/** Returns whether the replica has reached the awaited revision. Also returns true after
 * TMX_STORE_TIMEOUT_S, so that the wait is bounded. */
bool tmx_scheduler_has_caught_up(const struct tmx_scheduler *scheduler);
/** Makes the round timer fire within `within_s` seconds, regardless of the minimum spacing of
 * rounds. */
void tmx_scheduler_start_timer(struct tmx_scheduler *scheduler, double within_s);
#endif
