/**
 * @file
 * Responses to heartbeats. A response with status 200 renews the worker's lease. A worker whose
 * lease has ended kills its tasks. A redirect (421) sends the worker to another controller. Loop's
 * thread only.
 */
#ifndef TMX_WORKER_LEASE_RENEWAL_H
#define TMX_WORKER_LEASE_RENEWAL_H
#include "worker/workers_internal.h"

/** Responds to the parked heartbeats of machines that this controller owns by now, and redirects
 * those that are parked for longer than TMX_FAILOVER_REPORT_WAIT_S or whose connections are closed.
 * Requests a takeover of the machines that remain. */
void tmx_workers_answer_parked_requests(struct tmx_workers *workers);
/** Redirects the worker's parked heartbeat, if there is one. */
void tmx_worker_redirect_parked_request(struct tmx_worker *worker);
#endif
