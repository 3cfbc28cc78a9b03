/** @file
 * Non-blocking TCP sockets, shared by the HTTP server and the HTTP client. Internal to src/net. */
#ifndef TMX_SOCKET_INTERNAL_H
#define TMX_SOCKET_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

#include "net/buffer.h"

/** Outcome of tmx_socket_send. */
enum tmx_send_result {
  TMX_SEND_COMPLETE, /**< the kernel accepted every byte */
  TMX_SEND_BLOCKED,  /**< the send buffer is full: continue when the socket is writable */
  TMX_SEND_FAILED,   /**< the connection failed */
};

/** Opens a non-blocking TCP socket that is closed on exec. Returns -1 on failure. */
int tmx_socket_open(void);
/** Disables Nagle's algorithm (TCP_NODELAY), so that small messages are sent without delay: the
 *  connections carry requests and responses, not streams. */
void tmx_socket_set_nodelay(int fd);
/** Returns whether a receive call that returned -1 can be retried, according to `errno`. */
bool tmx_socket_can_retry_receive(void);
/** Sends the bytes of `pending` from offset `*sent` on. Advances `*sent` by the bytes that the
 * kernel accepted. */
enum tmx_send_result tmx_socket_send(int fd, const struct tmx_buffer *pending, size_t *sent);
#endif
