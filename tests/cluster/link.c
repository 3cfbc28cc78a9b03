#include "cluster/link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/log.h"
#include "base/clock.h"

enum { CHUNK_BYTES = 65536, BACKLOG = 512 };
static const double flush_s = 0.002;

struct chunk {
  double due;
  size_t length, sent;
  struct chunk *next;
  char bytes[];
};
struct pair;
struct direction { /* one direction of a forwarded connection */
  struct pair *pair;
  int from_fd, to_fd;
  ev_io readable;
  struct chunk *chunks;
};
struct pair { /* a forwarded connection and its two directions */
  struct link *link;
  struct direction directions[2];
  struct pair *prev, *next;
};
struct link {
  struct ev_loop *loop;
  int fd, port, target_port;
  enum link_mode mode;
  double delay_s;
  ev_io listener_readable;
  ev_timer flush;
  struct pair *pairs;
};

static int loopback_socket(struct sockaddr_in *address, int port) {
  memset(address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons((uint16_t)port);
  address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static void close_pair(struct pair *pair) {
  struct link *link = pair->link;
  for (int i = 0; i < 2; i++) {
    struct chunk *chunk, *next;
    ev_io_stop(link->loop, &pair->directions[i].readable);
    close(pair->directions[i].from_fd);
    LL_FOREACH_SAFE(pair->directions[i].chunks, chunk, next) free(chunk);
  }
  DL_DELETE(link->pairs, pair);
  free(pair);
}

/* Sends the chunks that are due. Returns false if the connection has failed. */
static bool send_due(struct direction *direction, double now) {
  struct chunk *chunk;
  while ((chunk = direction->chunks) && chunk->due <= now) {
    ssize_t sent = send(direction->to_fd, chunk->bytes + chunk->sent, chunk->length - chunk->sent,
                        MSG_NOSIGNAL);
    if (sent < 0) return errno == EAGAIN || errno == ENOTCONN;
    chunk->sent += (size_t)sent;
    if (chunk->sent < chunk->length) return true;
    LL_DELETE(direction->chunks, chunk);
    free(chunk);
  }
  return true;
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  struct direction *direction = watcher->data;
  struct link *link = direction->pair->link;
  (void)loop;
  (void)events;
  struct chunk *chunk = malloc(sizeof *chunk + CHUNK_BYTES);
  if (!chunk) abort();
  ssize_t received = recv(direction->from_fd, chunk->bytes, CHUNK_BYTES, 0);
  if (received <= 0) {
    free(chunk);
    if (received == 0 || (errno != EAGAIN && errno != ENOTCONN)) close_pair(direction->pair);
    return;
  }
  chunk->length = (size_t)received;
  chunk->sent = 0;
  chunk->due = tmx_clock_steady() + link->delay_s;
  LL_APPEND(direction->chunks, chunk);
  if (link->mode == LINK_OPEN && !send_due(direction, tmx_clock_steady()))
    close_pair(direction->pair);
}

static void on_flush(struct ev_loop *loop, ev_timer *timer, int events) {
  struct link *link = timer->data;
  struct pair *pair, *next;
  (void)loop;
  (void)events;
  if (link->mode != LINK_OPEN) return;
  DL_FOREACH_SAFE(link->pairs, pair, next) {
    double now = tmx_clock_steady();
    if (!send_due(&pair->directions[0], now) || !send_due(&pair->directions[1], now))
      close_pair(pair);
  }
}

static void on_listener_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  struct link *link = watcher->data;
  struct sockaddr_in address;
  (void)events;
  int fd = accept4(link->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  int target_fd = loopback_socket(&address, link->target_port);
  if (link->mode == LINK_REFUSED ||
      (connect(target_fd, (struct sockaddr *)&address, sizeof address) && errno != EINPROGRESS)) {
    close(fd);
    close(target_fd);
    return;
  }
  struct pair *pair = calloc(1, sizeof *pair);
  if (!pair) abort();
  pair->link = link;
  for (int i = 0; i < 2; i++) {
    struct direction *direction = &pair->directions[i];
    *direction = (struct direction){
        .pair = pair, .from_fd = i ? target_fd : fd, .to_fd = i ? fd : target_fd};
    ev_io_init(&direction->readable, on_readable, direction->from_fd, EV_READ);
    direction->readable.data = direction;
    ev_io_start(loop, &direction->readable);
  }
  DL_APPEND(link->pairs, pair);
}

struct link *link_new(struct ev_loop *loop, int target_port) {
  struct link *link = calloc(1, sizeof *link);
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  if (!link) abort();
  link->loop = loop;
  link->target_port = target_port;
  link->fd = loopback_socket(&address, 0);
  if (bind(link->fd, (struct sockaddr *)&address, sizeof address) || listen(link->fd, BACKLOG) ||
      getsockname(link->fd, (struct sockaddr *)&address, &size))
    abort();
  link->port = ntohs(address.sin_port);
  ev_io_init(&link->listener_readable, on_listener_readable, link->fd, EV_READ);
  link->listener_readable.data = link;
  ev_io_start(loop, &link->listener_readable);
  ev_timer_init(&link->flush, on_flush, flush_s, flush_s);
  link->flush.data = link;
  ev_timer_start(loop, &link->flush);
  return link;
}

int link_port(const struct link *link) { return link->port; }

void link_set(struct link *link, enum link_mode mode, double delay_s) {
  struct pair *pair, *next;
  link->mode = mode;
  link->delay_s = delay_s;
  if (mode == LINK_REFUSED) DL_FOREACH_SAFE(link->pairs, pair, next) close_pair(pair);
}
