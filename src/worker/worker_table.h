/**
 * @file
 * The table of workers and the queues of those to look at later. Loop's thread only.
 */
#ifndef TMX_WORKER_TABLE_H
#define TMX_WORKER_TABLE_H
#include "worker/workers_internal.h"

/** The worker of that machine; NULL: there is none. */
struct tmx_worker *tmx_worker_find(const struct tmx_workers *workers, const char *id);
/** Finds the worker or makes a record for it; NULL: the table is full. The table owns it. */
struct tmx_worker *tmx_worker_create(struct tmx_workers *workers, const char *id);
/** Takes the worker out of the table and of all queues; a heartbeat that waits is redirected. */
void tmx_worker_free(struct tmx_worker *worker);

/** Looks at the worker's commands in the next turn of tmx_workers_flush. */
void tmx_worker_enqueue_command(struct tmx_worker *worker);
/** Looks for proven ends in the worker's report with the next batch. */
void tmx_worker_enqueue_completion(struct tmx_worker *worker);
#endif
