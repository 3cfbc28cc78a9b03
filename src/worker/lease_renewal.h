/**
 * @file
 * Responses to heartbeats. A response with status 200 renews the worker's lease. A worker whose
 * lease has ended kills its tasks. A redirect (421) sends the worker to another controller. Loop's
 * thread only.
 */
#ifndef TMX_WORKER_LEASE_RENEWAL_H
#define TMX_WORKER_LEASE_RENEWAL_H
#include "worker/workers_internal.h"

/** Responds to the deferred heartbeats of machines that this controller owns by now, and redirects
 * those that were deferred for longer than TMX_FAILOVER_REPORT_WAIT_S or whose connections are
 * closed. Requests a takeover of the machines that remain. */
void tmx_workers_answer_deferred_heartbeats(struct tmx_workers *workers);
/** Redirects the worker's deferred heartbeat, if there is one. */
void tmx_worker_redirect_deferred_heartbeat(struct tmx_worker *worker);
#endif
