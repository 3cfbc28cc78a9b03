/**
 * @file
 * Log compaction by the leader: open jobs, tasks and machines are written into snapshot pages, then
 * the compaction point moves, and the pages of earlier compactions are deleted. Loop's thread only.
 */
#ifndef TMX_COMPACTION_H
#define TMX_COMPACTION_H
#include "config/settings.h"
#include "replica/replica.h"
#include "store/store.h"

/** Log compaction of one controller. */
struct tmx_compaction;

/** Creates the compaction, which the caller owns. Settings, replica and store must outlive it. */
struct tmx_compaction *tmx_compaction_new(const struct tmx_settings *settings,
                                          struct tmx_replica *replica, struct tmx_store *store);
/** Frees the compaction. While it commits, the store has to be freed before or in the same turn of
 * the loop, since its callback uses the compaction. */
void tmx_compaction_free(struct tmx_compaction *compaction);
/** Takes the next step, if this controller leads and the write budget has room to spare. */
void tmx_compaction_tick(struct tmx_compaction *compaction);
/** For tests: a compaction begins above this number of batch keys. */
void tmx_compaction_set_threshold(struct tmx_compaction *compaction, size_t keys);
#endif
