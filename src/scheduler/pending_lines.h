/**
 * @file
 * Queue of lines for the log; each is kept until it is committed.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_PENDING_LINES_H
#define TMX_PENDING_LINES_H
#include "scheduler/log_batch.h"

/** Adds the queued lines to the batch, the oldest first, until one does not fit, and then sets
 * `*full`. Adds nothing if `*full` is already set. */
void tmx_pending_lines_add_to_batch(struct tmx_scheduler *scheduler, struct tmx_log_batch *batch,
                                    bool *full);
/** Removes the lines that were in the batch built last. Must be called when this batch is
 * committed. Lines queued since then stay. */
void tmx_pending_lines_committed(struct tmx_scheduler *scheduler);
#endif
