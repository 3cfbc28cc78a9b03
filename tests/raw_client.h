/** A client that sends the bytes it is given, and the sockets under it and under the relay. */
#ifndef TMX_RAW_CLIENT_H
#define TMX_RAW_CLIENT_H
#include <sys/types.h>

#include "fake.h"

/** A request and the answer to it, as bytes. */
struct exchange {
  struct tmx_buffer request, answer;
  struct exchange *next; /**< the next one through the same relay */
};
/** Frees the bytes of an exchange. */
void exchange_free(struct exchange *exchange);

/** Sends a request on a connection of its own and waits for the whole answer. */
void raw_call(const char *address, const void *request, size_t length, struct tmx_buffer *answer);
/** Like raw_call, for a request made of this request line and a body.
 *  @param body CBOR; NULL: none
 *  @param out the request and its answer; the caller frees them by exchange_free */
void raw_request(const char *address, const char *line, const struct tmx_buffer *body,
                 struct exchange *out);
/** Whether a message has a head with a Content-Length, and just so long a body. */
bool http_complete(const struct tmx_buffer *message);

/** A new connection to an address, "127.0.0.1:1"; fails the test if there is none. */
int raw_connect(const char *address);
/** Sends all bytes, or what the other side takes before it closes. */
void raw_send(int fd, const uint8_t *bytes, size_t length);
/** Receives without waiting. @return bytes; 0: the connection is closed; -1: nothing is there */
ssize_t raw_receive(int fd, uint8_t *buffer, size_t cap);

#endif
