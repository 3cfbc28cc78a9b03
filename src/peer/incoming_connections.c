#include "peer/incoming_connections.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/memory.h"
#include "net/http.h"
#include "peer/heartbeat_codec.h"

enum { CONNECTIONS_MAX = 4 * TMX_MEMBERS_MAX, LISTEN_BACKLOG = 64, READ_BYTES = 16384 };

struct incoming_connection {
  struct tmx_incoming_connections *owner;
  int fd;
  ev_io read_watcher;
  struct tmx_buffer received;
  struct incoming_connection *prev, *next;
};

struct tmx_incoming_connections {
  struct ev_loop *loop;
  int fd;
  ev_io accept_watcher;
  tmx_record_cb on_record;
  void *context;
  struct incoming_connection *connections; /* from oldest to newest */
  int count;
};

static void close_connection(struct incoming_connection *connection) {
  struct tmx_incoming_connections *owner = connection->owner;
  ev_io_stop(owner->loop, &connection->read_watcher);
  close(connection->fd);
  DL_DELETE(owner->connections, connection);
  owner->count--;
  tmx_buffer_free(&connection->received);
  free(connection);
}

enum record_state { RECORD_INCOMPLETE, RECORD_HANDLED, RECORD_MALFORMED };

/* Handles the first record in the receive buffer and removes it, if it is complete. */
static enum record_state handle_first_record(struct incoming_connection *connection) {
  struct tmx_buffer *received = &connection->received;
  if (received->length < TMX_HEARTBEAT_PREFIX_BYTES) return RECORD_INCOMPLETE;
  uint32_t prefix;
  memcpy(&prefix, received->data, sizeof prefix);
  size_t length = ntohl(prefix), end = TMX_HEARTBEAT_PREFIX_BYTES + length;
  if (length > TMX_HEARTBEAT_RECORD_MAX) return RECORD_MALFORMED;
  if (received->length < end) return RECORD_INCOMPLETE;
  const uint8_t *record = received->data + TMX_HEARTBEAT_PREFIX_BYTES;
  if (!connection->owner->on_record(connection->owner->context, record, length))
    return RECORD_MALFORMED;
  memmove(received->data, received->data + end, received->length - end);
  received->length -= end;
  return RECORD_HANDLED;
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  struct incoming_connection *connection = watcher->data;
  char bytes[READ_BYTES];
  ssize_t count = recv(connection->fd, bytes, sizeof bytes, 0);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (count <= 0) {
    close_connection(connection);
    return;
  }
  tmx_buffer_append(&connection->received, bytes, (size_t)count);
  enum record_state state;
  do state = handle_first_record(connection);
  while (state == RECORD_HANDLED);
  if (state == RECORD_MALFORMED) close_connection(connection);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)events;
  struct tmx_incoming_connections *incoming = watcher->data;
  int fd = accept4(incoming->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  /* There are only a few peers, so with this many connections the oldest is probably dead. */
  if (incoming->count >= CONNECTIONS_MAX) close_connection(incoming->connections);
  struct incoming_connection *connection = tmx_allocate(1, sizeof *connection);
  connection->owner = incoming;
  connection->fd = fd;
  ev_io_init(&connection->read_watcher, on_readable, fd, EV_READ);
  connection->read_watcher.data = connection;
  ev_io_start(loop, &connection->read_watcher);
  DL_APPEND(incoming->connections, connection);
  incoming->count++;
}

/* Returns a socket that listens on the address, or -1 if the address is invalid or cannot be
 * listened on. */
static int listen_on(const char *text) {
  struct sockaddr_in address;
  int reuse = 1;
  if (!tmx_parse_address(text, &address)) return -1;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (bind(fd, (struct sockaddr *)&address, sizeof address) || listen(fd, LISTEN_BACKLOG)) {
    close(fd);
    return -1;
  }
  return fd;
}

struct tmx_incoming_connections *tmx_incoming_connections_new(struct ev_loop *loop,
                                                              const char *address,
                                                              tmx_record_cb on_record,
                                                              void *context) {
  int fd = listen_on(address);
  if (fd < 0) return NULL;
  struct tmx_incoming_connections *incoming = tmx_allocate(1, sizeof *incoming);
  incoming->loop = loop;
  incoming->fd = fd;
  incoming->on_record = on_record;
  incoming->context = context;
  ev_io_init(&incoming->accept_watcher, on_accept, fd, EV_READ);
  incoming->accept_watcher.data = incoming;
  ev_io_start(loop, &incoming->accept_watcher);
  return incoming;
}

void tmx_incoming_connections_free(struct tmx_incoming_connections *incoming) {
  ev_io_stop(incoming->loop, &incoming->accept_watcher);
  close(incoming->fd);
  while (incoming->connections) close_connection(incoming->connections);
  free(incoming);
}
