#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/types.h>

#include "net/socket_internal.h"

static bool would_block(void) { return errno == EAGAIN || errno == EWOULDBLOCK; }

int tmx_socket_open(void) { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void tmx_socket_set_nodelay(int fd) {
  int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

bool tmx_socket_can_retry_receive(void) { return would_block() || errno == EINTR; }

enum tmx_send_result tmx_socket_send(int fd, const struct tmx_buffer *pending, size_t *sent) {
  while (*sent < pending->length) {
    ssize_t count = send(fd, pending->data + *sent, pending->length - *sent, MSG_NOSIGNAL);
    if (count < 0 && would_block()) return TMX_SEND_BLOCKED;
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return TMX_SEND_FAILED;
    *sent += (size_t)count;
  }
  return TMX_SEND_COMPLETE;
}
