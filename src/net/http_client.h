/** @file
 * HTTP/1.1 client on a libev loop, parsed by http-parser. A client keeps connections to one
 * address. All functions are called on the thread that runs the loop, and so are the callbacks. */
#ifndef TMX_HTTP_CLIENT_H
#define TMX_HTTP_CLIENT_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"

/** A client of one server, with its connections. */
struct tmx_http_client;

/** What a callback gets in place of an HTTP status when no response came. */
enum tmx_http_no_response {
  /** Nobody accepted the connection: the request was certainly not executed. */
  TMX_HTTP_NOT_CONNECTED = -1,
  /** The request timed out, the connection broke or the response was malformed or too large: the
   *  request may have been executed, or may still be. */
  TMX_HTTP_NO_ANSWER = 0,
};

/**
 * Called once for each request that tmx_http_client_call took, never from within that call.
 * @param arg     the `arg` of the call
 * @param status  the HTTP status, or an enum tmx_http_no_response; `body` is then NULL
 * @param body    valid during the callback only; the client owns it
 * @param len     bytes of `body`
 */
typedef void (*tmx_http_response_cb)(void *arg, int status, const uint8_t *body, size_t len);

/**
 * A client of the server at `addr`, such as 10.0.0.1:8080. It connects when it is first called.
 * @param loop       must outlive the client
 * @param addr       IPv4 address and port
 * @param max_conns  connections, and so requests under way, at most
 * @return NULL if the address is malformed.
 */
struct tmx_http_client *tmx_http_client_new(struct ev_loop *loop, const char *addr, int max_conns);
/** Closes the connections. Requests under way end without a callback. */
void tmx_http_client_free(struct tmx_http_client *client);
/**
 * Sends a request.
 * @param client   the client to send through
 * @param method   the HTTP method in capitals, such as POST
 * @param path     the path with its query
 * @param body     NULL for none; copied
 * @param timeout  seconds from now until the whole response must have arrived
 * @param callback gets the response, or that there was none
 * @param arg      passed to `callback`; stays with the caller
 * @return false if no connection is free or can be opened, or if the path is too long: nothing was
 *         sent and there will be no callback.
 */
bool tmx_http_client_call(struct tmx_http_client *client, const char *method, const char *path,
                          const struct tmx_buffer *body, double timeout,
                          tmx_http_response_cb callback, void *arg);
#endif
