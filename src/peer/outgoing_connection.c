#include "peer/outgoing_connection.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http.h"
#include "tmx/constants.h"

void tmx_outgoing_connection_init(struct tmx_outgoing_connection *connection, struct ev_loop *loop,
                                  const char *address) {
  connection->loop = loop;
  connection->fd = -1;
  tmx_parse_address(address, &connection->address);
}

static void close_connection(struct tmx_outgoing_connection *connection) {
  if (connection->fd < 0) return;
  ev_io_stop(connection->loop, &connection->write_watcher);
  close(connection->fd);
  connection->fd = -1;
  connection->send_buffer.length = connection->sent_bytes = 0;
}

void tmx_outgoing_connection_release(struct tmx_outgoing_connection *connection) {
  close_connection(connection);
  tmx_buffer_free(&connection->send_buffer);
}

static void record_refusal(struct tmx_outgoing_connection *connection, int error, double now) {
  if (error != ECONNREFUSED) return;
  connection->refused_at = now;
  connection->consecutive_refusals++;
}

/* Completes an attempt to connect. Returns false if the attempt failed; the connection is then
 * closed. */
static bool finish_connecting(struct tmx_outgoing_connection *connection) {
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error) {
    record_refusal(connection, error, tmx_clock_steady());
    close_connection(connection);
    return false;
  }
  connection->connecting = false;
  connection->consecutive_refusals = 0;
  return true;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)events;
  struct tmx_outgoing_connection *connection = watcher->data;
  if (connection->connecting && !finish_connecting(connection)) return;
  while (connection->sent_bytes < connection->send_buffer.length) {
    ssize_t count = send(connection->fd, connection->send_buffer.data + connection->sent_bytes,
                         connection->send_buffer.length - connection->sent_bytes, MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (count <= 0) {
      close_connection(connection);
      return;
    }
    connection->sent_bytes += (size_t)count;
  }
  connection->send_buffer.length = connection->sent_bytes = 0;
  ev_io_stop(loop, &connection->write_watcher);
}

static void open_connection(struct tmx_outgoing_connection *connection, double now) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), no_delay = 1;
  if (fd < 0) return;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  connection->blocked_since = now;
  if (connect(fd, (struct sockaddr *)&connection->address, sizeof connection->address) &&
      errno != EINPROGRESS) {
    record_refusal(connection, errno, now);
    close(fd);
    return;
  }
  connection->fd = fd;
  connection->connecting = true;
  ev_io_init(&connection->write_watcher, on_writable, fd, EV_WRITE);
  connection->write_watcher.data = connection;
  ev_io_start(connection->loop, &connection->write_watcher);
}

void tmx_outgoing_connection_maintain(struct tmx_outgoing_connection *connection, double now) {
  if (!connection->send_buffer.length && !connection->connecting) connection->blocked_since = now;
  if (connection->fd >= 0 && now - connection->blocked_since > TMX_HEARTBEAT_EXPIRY_S)
    close_connection(connection);
  if (connection->fd < 0) open_connection(connection, now);
}

void tmx_outgoing_connection_send(struct tmx_outgoing_connection *connection,
                                  const struct tmx_buffer *bytes) {
  if (connection->fd < 0 || connection->connecting || connection->send_buffer.length) return;
  tmx_buffer_append(&connection->send_buffer, bytes->data, bytes->length);
  ev_io_start(connection->loop, &connection->write_watcher);
}
