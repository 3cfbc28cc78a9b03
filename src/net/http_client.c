#include "net/http_client.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>
#include <utlist.h>

#include "base/memory.h"
#include "net/address.h"
#include "net/socket_internal.h"
#include "tmx/constants.h"

enum {
  READ_BYTES = 32768,                /* read by one recv call, at most */
  HEAD_BYTES = TMX_PATH_BYTES + 256, /* request line and headers, at most */
};

/* A connection to the server. A busy connection has exactly one request in progress. */
struct connection {
  struct tmx_http_client *client;
  int fd;
  bool is_connecting;
  bool is_busy;
  bool is_response_complete;
  bool keep_alive; /* the server keeps the connection open after the response */
  ev_io readable, writable;
  ev_timer timeout;
  http_parser parser;
  struct tmx_buffer output, body;
  size_t sent; /* bytes of `output` that the kernel has accepted */
  tmx_http_response_cb callback;
  void *callback_arg;
  struct connection *prev, *next;
};

struct tmx_http_client {
  struct ev_loop *loop;
  struct sockaddr_in address;
  char host[TMX_NAME_BYTES];
  int connection_count, max_connections;
  struct connection *connections;
};

static void close_connection(struct connection *connection) {
  struct tmx_http_client *client = connection->client;
  ev_io_stop(client->loop, &connection->readable);
  ev_io_stop(client->loop, &connection->writable);
  ev_timer_stop(client->loop, &connection->timeout);
  close(connection->fd);
  DL_DELETE(client->connections, connection);
  client->connection_count--;
  tmx_buffer_free(&connection->output);
  tmx_buffer_free(&connection->body);
  free(connection);
}

/* Closes the connection and reports the failure to the callback of its request, if there is one. */
static void fail_connection(struct connection *connection, enum tmx_http_failure failure) {
  tmx_http_response_cb callback = connection->is_busy ? connection->callback : NULL;
  void *arg = connection->callback_arg;
  close_connection(connection);
  if (callback) callback(arg, (int)failure, NULL, 0);
}

/* The return value 1 makes the parser fail, so that a response above TMX_RESPONSE_BODY_BYTES_MAX
 * bytes fails its request. */
static int on_body_part(http_parser *parser, const char *part, size_t length) {
  struct connection *connection = parser->data;
  if (connection->body.length + length > TMX_RESPONSE_BODY_BYTES_MAX) return 1;
  tmx_buffer_append(&connection->body, part, length);
  return 0;
}

static int on_response_complete(http_parser *parser) {
  struct connection *connection = parser->data;
  connection->is_response_complete = true;
  connection->keep_alive = http_should_keep_alive(parser);
  http_parser_pause(parser, 1);
  return 0;
}

static const http_parser_settings response_callbacks = {
    .on_body = on_body_part, .on_message_complete = on_response_complete};

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events) {
  (void)loop;
  (void)events;
  fail_connection(watcher->data, TMX_HTTP_NO_RESPONSE);
}

/* Makes the connection available again, or closes it, before the callback runs, because the
 * callback may start another request or free the client. */
static void deliver_response(struct connection *connection) {
  int status = (int)connection->parser.status_code;
  struct tmx_buffer body = connection->body;
  memset(&connection->body, 0, sizeof connection->body);
  tmx_http_response_cb callback = connection->callback;
  void *arg = connection->callback_arg;
  connection->is_busy = false;
  ev_timer_stop(connection->client->loop, &connection->timeout);
  if (!connection->keep_alive) close_connection(connection);
  callback(arg, status, body.data, body.length);
  tmx_buffer_free(&body);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  struct connection *connection = watcher->data;
  char received[READ_BYTES];
  ssize_t count = recv(connection->fd, received, sizeof received, 0);
  if (count < 0 && tmx_socket_can_retry_receive()) return;
  if (count <= 0 || !connection->is_busy) {
    fail_connection(connection, TMX_HTTP_NO_RESPONSE);
    return;
  }
  http_parser_execute(&connection->parser, &response_callbacks, received, (size_t)count);
  if (connection->is_response_complete)
    deliver_response(connection);
  else if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK)
    fail_connection(connection, TMX_HTTP_NO_RESPONSE);
}

/* Returns false if the connection attempt failed. */
static bool finish_connecting(struct connection *connection) {
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error) return false;
  connection->is_connecting = false;
  ev_io_start(connection->client->loop, &connection->readable);
  return true;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)events;
  struct connection *connection = watcher->data;
  if (connection->is_connecting && !finish_connecting(connection)) {
    fail_connection(connection, TMX_HTTP_NOT_CONNECTED);
    return;
  }
  switch (tmx_socket_send(connection->fd, &connection->output, &connection->sent)) {
    case TMX_SEND_COMPLETE:
      ev_io_stop(loop, &connection->writable);
      break;
    case TMX_SEND_BLOCKED:
      ev_io_start(loop, &connection->writable);
      break;
    case TMX_SEND_FAILED:
      fail_connection(connection, TMX_HTTP_NO_RESPONSE);
      break;
  }
}

struct tmx_http_client *tmx_http_client_new(struct ev_loop *loop, const char *addr, int max_conns) {
  struct tmx_http_client *client = tmx_allocate(1, sizeof *client);
  client->loop = loop;
  client->max_connections = max_conns;
  snprintf(client->host, sizeof client->host, "%s", addr);
  if (!tmx_parse_address(addr, &client->address)) {
    free(client);
    return NULL;
  }
  return client;
}

void tmx_http_client_free(struct tmx_http_client *client) {
  while (client->connections) close_connection(client->connections);
  free(client);
}

/* Starts to connect to the server. Returns NULL if `max_connections` are open already or if the
 * socket cannot be opened or connected. */
static struct connection *open_connection(struct tmx_http_client *client) {
  if (client->connection_count >= client->max_connections) return NULL;
  int fd = tmx_socket_open();
  if (fd < 0) return NULL;
  tmx_socket_set_nodelay(fd);
  struct connection *connection = tmx_allocate(1, sizeof *connection);
  connection->client = client;
  connection->fd = fd;
  ev_io_init(&connection->readable, on_readable, fd, EV_READ);
  ev_io_init(&connection->writable, on_writable, fd, EV_WRITE);
  ev_init(&connection->timeout, on_timeout);
  connection->readable.data = connection;
  connection->writable.data = connection;
  connection->timeout.data = connection;
  DL_APPEND(client->connections, connection);
  client->connection_count++;
  const struct sockaddr *address = (const struct sockaddr *)&client->address;
  if (connect(fd, address, sizeof client->address) && errno != EINPROGRESS) {
    close_connection(connection);
    return NULL;
  }
  connection->is_connecting = true;
  return connection;
}

static struct connection *find_idle_connection(const struct tmx_http_client *client) {
  struct connection *connection;
  DL_FOREACH(client->connections, connection) {
    if (!connection->is_busy) return connection;
  }
  return NULL;
}

/* Encodes the request into `output`. Returns false if the path is too long. */
static bool write_request(struct connection *connection, const char *method, const char *path,
                          const struct tmx_buffer *body) {
  char head[HEAD_BYTES];
  int length = snprintf(
      head, sizeof head,
      "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n\r\n",
      method, path, connection->client->host, body ? body->length : 0);
  if (length < 0 || (size_t)length >= sizeof head) return false;
  connection->output.length = connection->sent = 0;
  tmx_buffer_append(&connection->output, head, (size_t)length);
  if (body && body->length) tmx_buffer_append(&connection->output, body->data, body->length);
  return true;
}

static void prepare_for_response(struct connection *connection, tmx_http_response_cb callback,
                                 void *arg) {
  connection->is_busy = true;
  connection->is_response_complete = false;
  connection->callback = callback;
  connection->callback_arg = arg;
  connection->body.length = 0;
  http_parser_init(&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
}

bool tmx_http_client_call(struct tmx_http_client *client, const char *method, const char *path,
                          const struct tmx_buffer *body, double timeout,
                          tmx_http_response_cb callback, void *arg) {
  struct connection *connection = find_idle_connection(client);
  if (!connection) connection = open_connection(client);
  if (!connection) return false;
  if (!write_request(connection, method, path, body)) {
    close_connection(connection);
    return false;
  }
  prepare_for_response(connection, callback, arg);
  connection->timeout.repeat = timeout;
  ev_timer_again(client->loop, &connection->timeout);
  /* The loop sends the request, so that a failure never runs the callback within this call. */
  ev_io_start(client->loop, &connection->writable);
  return true;
}
