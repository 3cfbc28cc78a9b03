/**
 * @file
 * The connections from this controller to workers, for commands and probes. Loop's thread only.
 */
#ifndef TMX_WORKER_CONNECTION_H
#define TMX_WORKER_CONNECTION_H
#include "worker/workers_internal.h"

/** The client for that address, which the record owns; NULL: none could be made. A client for
 * another address is closed first, and its calls end without an answer. */
struct tmx_http_client *tmx_worker_connect(struct tmx_worker *worker, const char *address);
/** Closes the connection, if there is one. Calls under way end without a callback. */
void tmx_worker_disconnect(struct tmx_worker *worker);
/** Closes connections that are idle when there are more than there are sockets for. */
void tmx_workers_close_idle_connections(struct tmx_workers *workers);
#endif
