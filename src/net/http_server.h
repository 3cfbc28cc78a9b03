/** @file
 * HTTP/1.1 server on a libev event loop; http-parser parses the requests. All functions and
 * callbacks run on the thread of the loop. */
#ifndef TMX_HTTP_SERVER_H
#define TMX_HTTP_SERVER_H
#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"
#include "tmx/constants.h"

/** A listening socket with the connections that it accepted. */
struct tmx_http_server;
/** An accepted connection, owned by the server. */
struct tmx_http_connection;

/** A complete request. The handler owns it until tmx_http_reply frees it. */
struct tmx_http_request {
  struct tmx_http_connection *conn; /**< NULL after the connection is closed */
  int method;                       /**< enum http_method of http-parser */
  char path[TMX_PATH_BYTES];        /**< path and query, as received */
  uint8_t *body;                    /**< owned by the request; may be NULL if empty */
  size_t body_len; /**< length of `body` in bytes, at most TMX_REQUEST_BODY_BYTES_MAX */
};

/** Receives each complete request and must answer it exactly once with tmx_http_reply, either
 * within the call or later. */
typedef void (*tmx_http_handler)(void *arg, struct tmx_http_request *request);

/**
 * Listens on `addr`, such as 10.0.0.1:8080; for port 0 the system chooses a free port.
 * @param loop       the event loop, which must outlive the server
 * @param addr       IPv4 address and port
 * @param max_conns  maximum number of open connections
 * @param idle_s     seconds after which an idle connection is closed; it may be closed earlier to
 *                   accept a new connection when `max_conns` are open
 * @param handler    receives `arg` and each complete request
 * @param arg        passed to `handler`; the caller keeps ownership
 * @return the server, which the caller frees with tmx_http_server_free, or NULL if the address is
 *         malformed or the server cannot listen on it
 */
struct tmx_http_server *tmx_http_server_new(struct ev_loop *loop, const char *addr, int max_conns,
                                            double idle_s, tmx_http_handler handler, void *arg);
/** Closes every connection and frees the server. Unanswered requests stay valid and have `conn`
 * NULL; each must still be answered, which frees it. */
void tmx_http_server_free(struct tmx_http_server *server);
/** Returns the port that the server listens on. */
int tmx_http_server_port(const struct tmx_http_server *server);
/**
 * Sends the response to a request and frees the request. Nothing is sent if the connection is
 * closed. Every request must be answered exactly once.
 * @param request      the request, which is freed
 * @param status       the HTTP status
 * @param body         the body, which is copied; NULL for an empty one
 * @param retry_after  value of the Retry-After header in seconds; 0 omits the header
 */
void tmx_http_reply(struct tmx_http_request *request, int status, const struct tmx_buffer *body,
                    int retry_after);
#endif
