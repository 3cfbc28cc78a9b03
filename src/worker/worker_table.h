/**
 * @file
 * The table of workers, and the queues of workers to process later. Loop's thread only.
 */
#ifndef TMX_WORKER_TABLE_H
#define TMX_WORKER_TABLE_H
#include "worker/workers_internal.h"

/** The worker of the machine with this id; NULL if the table has none. The table owns it. */
struct tmx_worker *tmx_worker_find(const struct tmx_workers *workers, const char *id);
/** Returns the worker of the machine with this id, with a new record if there was none; NULL if the
 * table is full. The table owns the record. */
struct tmx_worker *tmx_worker_find_or_create(struct tmx_workers *workers, const char *id);
/** Removes the worker from the table and from all queues, and frees it. Its deferred heartbeat is
 * redirected. */
void tmx_worker_free(struct tmx_worker *worker);

/** Queues the worker so that the next tmx_workers_flush() sends the commands that are due to it. */
void tmx_worker_enqueue_for_commands(struct tmx_worker *worker);
/** Queues the worker so that the next tmx_workers_collect_completions() looks for proven ends in
 * its report. */
void tmx_worker_enqueue_for_completions(struct tmx_worker *worker);
#endif
