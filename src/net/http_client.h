/** @file
 * HTTP/1.1 client on a libev event loop; http-parser parses the responses. A client holds a pool of
 * persistent connections to one address. All functions and callbacks run on the loop's thread. */
#ifndef TMX_HTTP_CLIENT_H
#define TMX_HTTP_CLIENT_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"

/** A client of one server, with its connection pool. */
struct tmx_http_client;

/** Passed to a callback in place of an HTTP status if there is no valid response. */
enum tmx_http_failure {
  /** The connection attempt failed: the server has certainly not executed the request. */
  TMX_HTTP_NOT_CONNECTED = -1,
  /** The request timed out, the connection failed, or the response was malformed or too large: the
   *  server may have executed the request, or may still execute it. */
  TMX_HTTP_NO_RESPONSE = 0,
};

/**
 * Called once for each request that tmx_http_client_call accepted, unless the client is freed
 * first. Never called within tmx_http_client_call.
 * @param arg     the `arg` of the call
 * @param status  the HTTP status, or an enum tmx_http_failure; `body` is NULL on failure
 * @param body    owned by the client and valid only during the callback; may be NULL when empty
 * @param len     length of `body` in bytes
 */
typedef void (*tmx_http_response_cb)(void *arg, int status, const uint8_t *body, size_t len);

/**
 * Creates a client of the server at `addr`, such as 10.0.0.1:8080. The client connects on its first
 * request.
 * @param loop       the event loop, which must outlive the client
 * @param addr       IPv4 address and port
 * @param max_conns  maximum number of connections; each carries one request at a time
 * @return the client, which the caller frees with tmx_http_client_free, or NULL if the address is
 *         malformed
 */
struct tmx_http_client *tmx_http_client_new(struct ev_loop *loop, const char *addr, int max_conns);
/** Closes the connections and frees the client. Requests in progress end without a callback. */
void tmx_http_client_free(struct tmx_http_client *client);
/**
 * Sends a request.
 * @param client   the client to send through
 * @param method   the HTTP method in capitals, such as POST
 * @param path     the path with its query
 * @param body     the body, which is copied; NULL for an empty one
 * @param timeout  seconds from now within which the complete response must arrive
 * @param callback receives the response or the failure
 * @param arg      passed to `callback`; the caller keeps ownership
 * @return false if there is no idle connection and none can be opened, or if the path is too long.
 *         Nothing is sent and the callback does not run in that case.
 */
bool tmx_http_client_call(struct tmx_http_client *client, const char *method, const char *path,
                          const struct tmx_buffer *body, double timeout,
                          tmx_http_response_cb callback, void *arg);
#endif
