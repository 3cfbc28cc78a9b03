/** @file
 * HTTP/1.1 server on a libev loop, parsed by http-parser. All functions are called on the thread
 * that runs the loop, and so are the callbacks. */
#ifndef TMX_HTTP_SERVER_H
#define TMX_HTTP_SERVER_H
#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"
#include "tmx/constants.h"

/** A listener with the connections that it accepted. */
struct tmx_http_server;
/** One accepted connection; owned by the server. */
struct tmx_http_connection;

/** A whole request. It is owned by the handler until tmx_http_reply frees it. */
struct tmx_http_request {
  struct tmx_http_connection *conn; /**< NULL once the other side has gone */
  int method;                       /**< enum http_method of http-parser */
  char path[TMX_PATH_BYTES];        /**< with the query, as received */
  uint8_t *body;                    /**< owned by the request; may be NULL when empty */
  size_t body_len;                  /**< bytes, at most TMX_REQUEST_BODY_BYTES_MAX */
};

/** Gets each whole request; must answer it once, at once or later, through tmx_http_reply. */
typedef void (*tmx_http_handler)(void *arg, struct tmx_http_request *request);

/**
 * Listens on `addr`, such as 10.0.0.1:8080; port 0 takes any free port.
 * @param loop       must outlive the server
 * @param addr       IPv4 address and port
 * @param max_conns  connections open at once, at most
 * @param idle_s     seconds after which an unused connection is closed; it is closed sooner when
 *                   `max_conns` are open and another comes
 * @param handler    gets `arg` and each whole request
 * @param arg        passed to `handler`; stays with the caller
 * @return NULL if the address is malformed or cannot be bound.
 */
struct tmx_http_server *tmx_http_server_new(struct ev_loop *loop, const char *addr, int max_conns,
                                            double idle_s, tmx_http_handler handler, void *arg);
/** Closes every connection. Requests that are not answered yet stay valid, with `conn` NULL. */
void tmx_http_server_free(struct tmx_http_server *server);
/** The port that the server listens on. */
int tmx_http_server_port(const struct tmx_http_server *server);
/**
 * Answers and frees the request; every request is answered exactly once.
 * @param request      the request, which is freed
 * @param status       the HTTP status
 * @param body         NULL for none; stays with the caller
 * @param retry_after  seconds, sent as Retry-After; 0 for no such header
 */
void tmx_http_reply(struct tmx_http_request *request, int status, const struct tmx_buffer *body,
                    int retry_after);
#endif
