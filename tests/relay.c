#include "relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "raw_client.h"

struct relay_connection { /* one connection through the relay */
  struct relay *relay;
  int program_fd, peer_fd; /* sockets: to the program, to the fake peer */
  ev_io program_readable, peer_readable;
  struct exchange *current; /* the latest exchange; NULL: no request yet */
  struct relay_connection *prev, *next;
};

static void close_relayed_connection(struct relay_connection *connection) {
  ev_io_stop(test_loop, &connection->program_readable);
  ev_io_stop(test_loop, &connection->peer_readable);
  close(connection->program_fd);
  close(connection->peer_fd);
  DL_DELETE(connection->relay->connections, connection);
  free(connection);
}

/* Returns the exchange that received bytes of a request belong to. Requests are not pipelined, so
 * bytes that arrive after the response has started belong to a new exchange. */
static struct exchange *exchange_of_request_bytes(struct relay_connection *connection) {
  if (connection->current && !connection->current->response.length) return connection->current;
  struct exchange *exchange = calloc(1, sizeof *exchange);
  assert_non_null(exchange);
  if (connection->relay->last)
    connection->relay->last->next = exchange;
  else
    connection->relay->first = exchange;
  connection->relay->last = exchange;
  return connection->current = exchange;
}

static void on_program_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct relay_connection *connection = watcher->data;
  ssize_t length = raw_receive(connection->program_fd, received, sizeof received);
  if (length < 0) return;
  if (!length) {
    close_relayed_connection(connection);
    return;
  }
  tmx_buffer_append(&exchange_of_request_bytes(connection)->request, received, (size_t)length);
  raw_send(connection->peer_fd, received, (size_t)length);
}

static void on_peer_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct relay_connection *connection = watcher->data;
  ssize_t length = raw_receive(connection->peer_fd, received, sizeof received);
  if (length < 0) return;
  if (!length) {
    close_relayed_connection(connection);
    return;
  }
  if (connection->current)
    tmx_buffer_append(&connection->current->response, received, (size_t)length);
  raw_send(connection->program_fd, received, (size_t)length);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)events;
  struct relay *relay = watcher->data;
  char target[32];
  int fd = accept4(relay->fd, NULL, NULL, SOCK_CLOEXEC);
  if (fd < 0) return;
  struct relay_connection *connection = calloc(1, sizeof *connection);
  assert_non_null(connection);
  snprintf(target, sizeof target, "127.0.0.1:%d", relay->target_port);
  connection->relay = relay;
  connection->program_fd = fd;
  connection->peer_fd = raw_connect(target);
  ev_io_init(&connection->program_readable, on_program_readable, connection->program_fd, EV_READ);
  ev_io_init(&connection->peer_readable, on_peer_readable, connection->peer_fd, EV_READ);
  connection->program_readable.data = connection->peer_readable.data = connection;
  ev_io_start(loop, &connection->program_readable);
  ev_io_start(loop, &connection->peer_readable);
  DL_APPEND(relay->connections, connection);
}

void relay_open(struct relay *relay, int target_port) {
  struct sockaddr_in address = {.sin_family = AF_INET};
  socklen_t size = sizeof address;
  memset(relay, 0, sizeof *relay);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  relay->target_port = target_port;
  relay->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  assert_int_equal(bind(relay->fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal(listen(relay->fd, 64), 0);
  assert_int_equal(getsockname(relay->fd, (struct sockaddr *)&address, &size), 0);
  snprintf(relay->address, sizeof relay->address, "127.0.0.1:%d", ntohs(address.sin_port));
  ev_io_init(&relay->accept, on_accept, relay->fd, EV_READ);
  relay->accept.data = relay;
  ev_io_start(test_loop, &relay->accept);
}

void relay_close(struct relay *relay) {
  if (!relay->address[0]) return;
  while (relay->connections) close_relayed_connection(relay->connections);
  ev_io_stop(test_loop, &relay->accept);
  close(relay->fd);
  for (struct exchange *exchange = relay->first, *next; exchange; exchange = next) {
    next = exchange->next;
    exchange_free(exchange);
    free(exchange);
  }
  memset(relay, 0, sizeof *relay);
}

/* What relay_wait searches for, and the exchange that it found. */
struct exchange_search {
  const struct relay *relay;
  const struct exchange *after, *found;
  const char *prefix, *substring;
};

static bool find_exchange(void *arg) {
  struct exchange_search *search = arg;
  for (const struct exchange *exchange = search->after ? search->after->next : search->relay->first;
       exchange; exchange = exchange->next) {
    const struct tmx_buffer *request = &exchange->request;
    if (!http_message_is_complete(request) || !http_message_is_complete(&exchange->response))
      continue;
    if (request->length < strlen(search->prefix) ||
        memcmp(request->data, search->prefix, strlen(search->prefix)))
      continue;
    if (search->substring &&
        !memmem(request->data, request->length, search->substring, strlen(search->substring)))
      continue;
    search->found = exchange;
    return true;
  }
  return false;
}

const struct exchange *relay_wait(struct relay *relay, const struct exchange *after,
                                  const char *prefix, const char *substring) {
  struct exchange_search search = {
      .relay = relay, .after = after, .prefix = prefix, .substring = substring};
  if (!run_loop_until(find_exchange, &search))
    fail_msg("no complete exchange whose request starts with %s and contains %s", prefix,
             substring ? substring : "anything");
  return search.found;
}
