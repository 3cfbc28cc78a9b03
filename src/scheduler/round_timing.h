/**
 * @file
 * When a round may begin and when its batch may be sent. Loop's thread only.
 */
#ifndef TMX_ROUND_TIMING_H
#define TMX_ROUND_TIMING_H
#include "scheduler/scheduler_internal.h"

/** Length of one member's commit slot, s of the time of day. */
double tmx_commit_slot_length(const struct tmx_settings *settings);
/** How long until a commit slot of this member begins, s; 0: its batch may be sent now. */
double tmx_commit_slot_delay(const struct tmx_scheduler *scheduler);
/** Makes the next step wait until the replica holds this revision, of which a commit told. */
void tmx_scheduler_await_revision(struct tmx_scheduler *scheduler, uint64_t revision);
/** Whether the replica holds the latest revision of which a commit told. It is not waited for
 * longer than a request to the store may take. */
bool tmx_scheduler_caught_up(const struct tmx_scheduler *scheduler);
/** Has the round timer fire within this many seconds, whatever the spacing of rounds. */
void tmx_scheduler_start_timer(struct tmx_scheduler *scheduler, double within_s);
#endif
