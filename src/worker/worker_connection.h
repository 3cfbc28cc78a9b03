/**
 * @file
 * Connections from this controller to workers, for commands and probes. Loop's thread only.
 */
#ifndef TMX_WORKER_CONNECTION_H
#define TMX_WORKER_CONNECTION_H
#include "worker/workers_internal.h"

/** Returns a client for the address, opened if there is none; NULL if it cannot be created. The
 * record owns the client. An open client for another address is freed first, and its requests in
 * flight end without a callback. */
struct tmx_http_client *tmx_worker_connect(struct tmx_worker *worker, const char *address);
/** Closes the connection, if there is one. Requests in flight end without a callback. */
void tmx_worker_disconnect(struct tmx_worker *worker);
/** Closes idle connections when more are open than tmx_worker_sockets_max() allows, until 80 % of
 * that limit are left. */
void tmx_workers_close_idle_connections(struct tmx_workers *workers);
#endif
