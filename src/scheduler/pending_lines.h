/**
 * @file
 * Lines of the log that are kept until they are committed. Loop's thread only.
 */
#ifndef TMX_PENDING_LINES_H
#define TMX_PENDING_LINES_H
#include "scheduler/log_batch.h"

/** Adds the lines to the batch, as many as it has room for. `*full`: the batch takes nothing more;
 * it is set when a line finds no room. */
void tmx_pending_lines_add_to_batch(struct tmx_scheduler *scheduler, struct tmx_log_batch *batch,
                                    bool *full);
/** The batch with the lines added last was committed: forgets those. Lines that were appended in
 * the meantime stay. */
void tmx_pending_lines_committed(struct tmx_scheduler *scheduler);
#endif
