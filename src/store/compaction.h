/**
 * @file
 * Compaction of the log, performed by the leader.
 *
 * A compaction writes the machines, the open jobs and the states of their tasks into snapshot
 * pages. It then moves the compaction point: controllers that load the log read the pages instead
 * of the batches up to the point. Finally it deletes the pages of all other compactions.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_COMPACTION_H
#define TMX_COMPACTION_H
#include "config/settings.h"
#include "replica/replica.h"
#include "store/store.h"

/** The log compaction of one controller. */
struct tmx_compaction;

/**
 * Creates the compaction, which is initially idle.
 * @param settings  not copied; must outlive the compaction
 * @param replica   the state that snapshots contain; must outlive the compaction
 * @param store     commits the transactions; see tmx_compaction_free() for its lifetime
 * @return the compaction; the caller owns it and frees it with tmx_compaction_free()
 */
struct tmx_compaction *tmx_compaction_new(const struct tmx_settings *settings,
                                          struct tmx_replica *replica, struct tmx_store *store);

/** Frees the compaction. If one of its transactions is outstanding, the caller must free the store
 * before the compaction or in the same iteration of the event loop, because the transaction's
 * callback uses the compaction. */
void tmx_compaction_free(struct tmx_compaction *compaction);

/** Performs the next step if this controller is the leader, no transaction of the compaction is
 * outstanding, and the write budget has enough spare puts. The owner must call it at every tick. */
void tmx_compaction_tick(struct tmx_compaction *compaction);

/** Sets the number of batch keys above which a compaction starts. For tests. */
void tmx_compaction_set_threshold(struct tmx_compaction *compaction, size_t keys);
#endif
