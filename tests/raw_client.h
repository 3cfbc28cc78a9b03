/** @file
 * An HTTP client that sends given bytes unchanged, and the socket functions that it shares with the
 * relay. It runs on the event loop of the test. */
#ifndef TMX_RAW_CLIENT_H
#define TMX_RAW_CLIENT_H
#include <sys/types.h>

#include "fake.h"

/** The bytes of a request and of its response. */
struct exchange {
  struct tmx_buffer request, response;
  struct exchange *next; /**< the next exchange of the same relay */
};
/** Frees the bytes of an exchange, but not the struct. */
void exchange_free(struct exchange *exchange);

/** Sends a request on a new connection and waits for the complete response. Fails the test if the
 *  connection closes before that or if the response does not arrive in time.
 *  @param response receives the bytes of the response; the caller frees it */
void raw_call(const char *address, const void *request, size_t length, struct tmx_buffer *response);
/** Builds a request from a request line and a body, and sends it like raw_call().
 *  @param line method and path, for example "GET /ready"
 *  @param body CBOR; NULL: no body
 *  @param out receives the request and its response; the caller frees them with exchange_free() */
void raw_request(const char *address, const char *line, const struct tmx_buffer *body,
                 struct exchange *out);
/** Returns whether a message has a complete head with a Content-Length and a body of exactly that
 *  length. */
bool http_message_is_complete(const struct tmx_buffer *message);

/** Opens a TCP connection to an address of the form "127.0.0.1:1" and fails the test if it cannot.
 *  @return the socket; the caller closes it */
int raw_connect(const char *address);
/** Sends all bytes, or stops at the first error, for example when the peer closed the connection.
 */
void raw_send(int fd, const uint8_t *bytes, size_t length);
/** Receives available bytes without blocking.
 *  @return number of bytes; 0: the connection is closed or failed; -1: no bytes are available */
ssize_t raw_receive(int fd, uint8_t *buffer, size_t capacity);

#endif
