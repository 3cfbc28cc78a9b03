/** @file
 * Non-blocking TCP sockets, shared by the HTTP server and the HTTP client. Internal to src/net. */
#ifndef TMX_SOCKET_INTERNAL_H
#define TMX_SOCKET_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

#include "net/buffer.h"

/** How far tmx_socket_send got. */
enum tmx_send_result {
  TMX_SEND_COMPLETE, /**< every byte was handed to the kernel */
  TMX_SEND_BLOCKED,  /**< the socket is full: go on when it is writable */
  TMX_SEND_FAILED,   /**< the connection is broken */
};

/** A non-blocking TCP socket, closed on exec; -1 if the system has none to give. */
int tmx_socket_open(void);
/** Sends small messages at once: the peers exchange requests and responses, not streams. */
void tmx_socket_disable_delay(int fd);
/** Whether a receive that returned -1 can be repeated, judged by `errno`. */
bool tmx_socket_receive_again(void);
/** Sends `pending` from `*sent` on and advances `*sent`. */
enum tmx_send_result tmx_socket_send(int fd, const struct tmx_buffer *pending, size_t *sent);
#endif
