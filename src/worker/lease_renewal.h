/**
 * @file
 * Answers to heartbeats. An answer with status 200 renews the lease of the worker, by which its
 * tasks go on; a redirection (421) sends the worker to another controller. Loop's thread only.
 */
#ifndef TMX_WORKER_LEASE_RENEWAL_H
#define TMX_WORKER_LEASE_RENEWAL_H
#include "worker/workers_internal.h"

/** Answers the heartbeats that wait: as the owner, or once they have waited long enough. The
 * machines of the others are taken over by this controller. */
void tmx_workers_answer_parked_requests(struct tmx_workers *workers);
/** Redirects the worker's heartbeat that waits, if there is one. */
void tmx_worker_redirect_parked_request(struct tmx_worker *worker);
#endif
