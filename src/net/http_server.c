#include "net/http_server.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>
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

enum {
  READ_BYTES = 16384,             /* read by one recv call, at most */
  RETAINED_OUTPUT_BYTES = 16384,  /* a larger output buffer is freed once it is sent */
  LISTEN_BACKLOG = 512,           /* connections that wait to be accepted */
  MAX_ACCEPTS_PER_ITERATION = 32, /* keeps a burst of connections from blocking the loop */
  HEAD_BYTES = 256,               /* status line and headers of a response, at most */
  RETRY_AFTER_BYTES = 48,         /* the Retry-After header line, at most */
};

struct tmx_http_connection {
  struct tmx_http_server *server;
  int fd;
  ev_io readable, writable;
  ev_timer idle_timer;
  http_parser parser;
  char path[TMX_PATH_BYTES];
  size_t path_length;
  struct tmx_buffer body, output;
  size_t sent;                      /* bytes of `output` that the kernel has accepted */
  struct tmx_http_request *request; /* the request that the handler has not answered yet, or NULL */
  bool is_body_too_long;
  bool is_request_complete;
  bool close_after_reply;
  ev_tstamp last_used_at; /* arrival of the last complete request, or opening if there is none */
  struct tmx_http_connection *prev, *next; /* links of `connections` */
};

struct tmx_http_server {
  struct ev_loop *loop;
  int fd;
  int port;
  int connection_count, max_connections;
  double idle_s;
  ev_io accept_watcher;
  tmx_http_handler handler;
  void *handler_arg;
  struct tmx_http_connection *connections; /* least recently used first */
};

static void close_connection(struct tmx_http_connection *connection) {
  struct tmx_http_server *server = connection->server;
  ev_io_stop(server->loop, &connection->readable);
  ev_io_stop(server->loop, &connection->writable);
  ev_timer_stop(server->loop, &connection->idle_timer);
  close(connection->fd);
  if (connection->request) connection->request->conn = NULL;
  DL_DELETE(server->connections, connection);
  server->connection_count--;
  tmx_buffer_free(&connection->body);
  tmx_buffer_free(&connection->output);
  free(connection);
}

static void restart_idle_timer(struct tmx_http_connection *connection, double seconds) {
  connection->idle_timer.repeat = seconds;
  ev_timer_again(connection->server->loop, &connection->idle_timer);
}

static void on_idle(struct ev_loop *loop, ev_timer *watcher, int events) {
  (void)loop;
  (void)events;
  close_connection(watcher->data);
}

static int on_request_begin(http_parser *parser) {
  struct tmx_http_connection *connection = parser->data;
  connection->path_length = 0;
  connection->body.length = 0;
  connection->is_body_too_long = false;
  connection->is_request_complete = false;
  return 0;
}

static int on_path_part(http_parser *parser, const char *part, size_t length) {
  struct tmx_http_connection *connection = parser->data;
  if (connection->path_length + length >= sizeof connection->path) return 1;
  memcpy(connection->path + connection->path_length, part, length);
  connection->path_length += length;
  connection->path[connection->path_length] = 0;
  return 0;
}

static int on_headers_complete(http_parser *parser) {
  struct tmx_http_connection *connection = parser->data;
  bool has_length = parser->content_length != UINT64_MAX;
  if (has_length && parser->content_length > TMX_REQUEST_BODY_BYTES_MAX)
    connection->is_body_too_long = true;
  return 0;
}

static int on_body_part(http_parser *parser, const char *part, size_t length) {
  struct tmx_http_connection *connection = parser->data;
  if (connection->is_body_too_long ||
      connection->body.length + length > TMX_REQUEST_BODY_BYTES_MAX) {
    connection->is_body_too_long = true;
    return 0;
  }
  tmx_buffer_append(&connection->body, part, length);
  return 0;
}

static int on_request_complete(http_parser *parser) {
  struct tmx_http_connection *connection = parser->data;
  connection->is_request_complete = true;
  connection->close_after_reply = !http_should_keep_alive(parser);
  http_parser_pause(parser, 1);
  return 0;
}

static const http_parser_settings request_callbacks = {.on_message_begin = on_request_begin,
                                                       .on_url = on_path_part,
                                                       .on_headers_complete = on_headers_complete,
                                                       .on_body = on_body_part,
                                                       .on_message_complete = on_request_complete};

/* Sends the pending output. Returns false if it closed and freed the connection. */
static bool flush_output(struct tmx_http_connection *connection) {
  struct ev_loop *loop = connection->server->loop;
  switch (tmx_socket_send(connection->fd, &connection->output, &connection->sent)) {
    case TMX_SEND_BLOCKED:
      ev_io_start(loop, &connection->writable);
      return true;
    case TMX_SEND_FAILED:
      close_connection(connection);
      return false;
    case TMX_SEND_COMPLETE:
      break;
  }
  ev_io_stop(loop, &connection->writable);
  connection->output.length = connection->sent = 0;
  if (connection->output.capacity > RETAINED_OUTPUT_BYTES) tmx_buffer_free(&connection->output);
  if (!connection->close_after_reply) return true;
  close_connection(connection);
  return false;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)events;
  struct tmx_http_connection *connection = watcher->data;
  if (flush_output(connection) && !ev_is_active(&connection->writable) && !connection->request)
    ev_io_start(loop, &connection->readable);
}

static void append_response(struct tmx_http_connection *connection, int status,
                            const struct tmx_buffer *body, int retry_after) {
  char head[HEAD_BYTES], retry_line[RETRY_AFTER_BYTES] = "";
  if (retry_after > 0) snprintf(retry_line, sizeof retry_line, "Retry-After: %d\r\n", retry_after);
  int length = snprintf(
      head, sizeof head,
      "HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n%s%s\r\n", status,
      http_status_str((enum http_status)status), body ? body->length : 0, retry_line,
      connection->close_after_reply ? "Connection: close\r\n" : "");
  tmx_buffer_append(&connection->output, head, (size_t)length);
  if (body && body->length) tmx_buffer_append(&connection->output, body->data, body->length);
}

/* Sends an error response without calling the handler, then closes the connection. */
static void reject_request(struct tmx_http_connection *connection, enum http_status status) {
  connection->close_after_reply = true;
  append_response(connection, (int)status, NULL, 0);
  flush_output(connection);
}

/* Creates the request for the handler. Ownership of the body moves from the connection to the
 * request. */
static struct tmx_http_request *take_request(struct tmx_http_connection *connection) {
  struct tmx_http_request *request = tmx_allocate(1, sizeof *request);
  request->conn = connection;
  request->method = (int)connection->parser.method;
  memcpy(request->path, connection->path, connection->path_length + 1);
  request->body = connection->body.data;
  request->body_len = connection->body.length;
  memset(&connection->body, 0, sizeof connection->body);
  connection->request = request;
  return request;
}

static void move_to_most_recently_used(struct tmx_http_connection *connection) {
  struct tmx_http_server *server = connection->server;
  connection->last_used_at = ev_now(server->loop);
  DL_DELETE(server->connections, connection);
  DL_APPEND(server->connections, connection);
}

static void handle_complete_request(struct tmx_http_connection *connection) {
  struct tmx_http_server *server = connection->server;
  http_parser_pause(&connection->parser, 0);
  connection->is_request_complete = false;
  if (connection->is_body_too_long) {
    reject_request(connection, HTTP_STATUS_PAYLOAD_TOO_LARGE);
    return;
  }
  struct tmx_http_request *request = take_request(connection);
  /* A connection handles one request at a time. Bytes that arrive before the response is sent wait
   * in the kernel's buffer. */
  ev_io_stop(server->loop, &connection->readable);
  restart_idle_timer(connection, server->idle_s);
  move_to_most_recently_used(connection);
  server->handler(server->handler_arg, request);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  struct tmx_http_connection *connection = watcher->data;
  char received[READ_BYTES];
  ssize_t count = recv(connection->fd, received, sizeof received, 0);
  if (count < 0 && tmx_socket_can_retry_receive()) return;
  if (count <= 0) {
    close_connection(connection);
    return;
  }
  http_parser *parser = &connection->parser;
  size_t parsed = http_parser_execute(parser, &request_callbacks, received, (size_t)count);
  if (connection->is_request_complete) {
    /* Pipelining is not supported: data after a complete request is discarded, and the connection
     * is closed after the response. */
    if (parsed < (size_t)count) connection->close_after_reply = true;
    handle_complete_request(connection);
  } else if (connection->is_body_too_long) {
    reject_request(connection, HTTP_STATUS_PAYLOAD_TOO_LARGE);
  } else if (HTTP_PARSER_ERRNO(parser) != HPE_OK) {
    reject_request(connection, HTTP_STATUS_BAD_REQUEST);
  } else {
    restart_idle_timer(connection, TMX_REQUEST_STALL_TIMEOUT_S);
  }
}

void tmx_http_reply(struct tmx_http_request *request, int status, const struct tmx_buffer *body,
                    int retry_after) {
  struct tmx_http_connection *connection = request->conn;
  if (connection) {
    connection->request = NULL;
    append_response(connection, status, body, retry_after);
    if (flush_output(connection) && !ev_is_active(&connection->writable))
      ev_io_start(connection->server->loop, &connection->readable);
  }
  free(request->body);
  free(request);
}

/* Closes the least recently used idle connection so that a new one can be accepted when the limit
 * is reached. Workers that moved to another controller or lost their network leave connections
 * behind that nobody uses again, and users must not be refused because of these. Returns false if
 * every connection was used within the last TMX_IDLE_CONNECTION_EVICTION_MIN_S seconds or still has
 * an unanswered request or unsent output. */
static bool evict_idle_connection(struct tmx_http_server *server) {
  struct tmx_http_connection *connection;
  DL_FOREACH(server->connections, connection) {
    if (ev_now(server->loop) - connection->last_used_at < TMX_IDLE_CONNECTION_EVICTION_MIN_S)
      return false;
    if (connection->request || connection->output.length) continue;
    close_connection(connection);
    return true;
  }
  return false;
}

static void open_connection(struct tmx_http_server *server, int fd) {
  struct tmx_http_connection *connection = tmx_allocate(1, sizeof *connection);
  connection->server = server;
  connection->fd = fd;
  http_parser_init(&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  ev_io_init(&connection->readable, on_readable, fd, EV_READ);
  ev_io_init(&connection->writable, on_writable, fd, EV_WRITE);
  ev_init(&connection->idle_timer, on_idle);
  connection->readable.data = connection;
  connection->writable.data = connection;
  connection->idle_timer.data = connection;
  ev_io_start(server->loop, &connection->readable);
  connection->last_used_at = ev_now(server->loop);
  restart_idle_timer(connection, server->idle_s);
  DL_APPEND(server->connections, connection);
  server->connection_count++;
}

static void on_listener_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  struct tmx_http_server *server = watcher->data;
  for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    bool is_full = server->connection_count >= server->max_connections;
    if (is_full && !evict_idle_connection(server)) {
      close(fd);
      continue;
    }
    tmx_socket_set_nodelay(fd);
    open_connection(server, fd);
  }
}

/* Opens a socket that listens on `address` and stores the bound address there. Returns -1 if that
 * fails. */
static int open_listening_socket(struct sockaddr_in *address) {
  int fd = tmx_socket_open(), enabled = 1;
  if (fd < 0) return -1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd, (const struct sockaddr *)address, sizeof *address) || listen(fd, LISTEN_BACKLOG)) {
    close(fd);
    return -1;
  }
  socklen_t length = sizeof *address;
  getsockname(fd, (struct sockaddr *)address, &length);
  return fd;
}

struct tmx_http_server *tmx_http_server_new(struct ev_loop *loop, const char *addr, int max_conns,
                                            double idle_s, tmx_http_handler handler, void *arg) {
  struct sockaddr_in address;
  if (!tmx_parse_address(addr, &address)) return NULL;
  int fd = open_listening_socket(&address);
  if (fd < 0) return NULL;
  struct tmx_http_server *server = tmx_allocate(1, sizeof *server);
  server->loop = loop;
  server->fd = fd;
  server->port = ntohs(address.sin_port);
  server->max_connections = max_conns;
  server->idle_s = idle_s;
  server->handler = handler;
  server->handler_arg = arg;
  ev_io_init(&server->accept_watcher, on_listener_readable, fd, EV_READ);
  server->accept_watcher.data = server;
  ev_io_start(loop, &server->accept_watcher);
  return server;
}

void tmx_http_server_free(struct tmx_http_server *server) {
  while (server->connections) close_connection(server->connections);
  ev_io_stop(server->loop, &server->accept_watcher);
  close(server->fd);
  free(server);
}

int tmx_http_server_port(const struct tmx_http_server *server) { return server->port; }
