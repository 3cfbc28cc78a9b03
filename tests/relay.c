/* A relay and a raw client on the loop of the test. */
#include "relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

struct relay_link { /* one connection through the relay */
  struct relay *relay;
  int near, far; /* towards the program, towards the scripted peer */
  ev_io from_near, from_far;
  struct exchange *now;
  struct relay_link *prev, *next;
};

static int connect_to(const char *address) {
  struct sockaddr_in socket_address;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true(fd >= 0);
  assert_true(tmx_parse_address(address, &socket_address));
  assert_int_equal(connect(fd, (struct sockaddr *)&socket_address, sizeof socket_address), 0);
  return fd;
}

static void send_all(int fd, const uint8_t *bytes, size_t length) {
  for (size_t sent = 0; sent < length;) {
    ssize_t written = send(fd, bytes + sent, length - sent, MSG_NOSIGNAL);
    if (written <= 0) return; /* the other side has closed */
    sent += (size_t)written;
  }
}

/* ------------------------------------------------------------ relay */

static void link_close(struct relay_link *link) {
  ev_io_stop(test_loop, &link->from_near);
  ev_io_stop(test_loop, &link->from_far);
  close(link->near);
  close(link->far);
  DL_DELETE(link->relay->links, link);
  free(link);
}

/* Requests are not pipelined: one that comes after an answer has begun is the next. */
static struct exchange *exchange_at(struct relay_link *link) {
  if (link->now && !link->now->answer.length) return link->now;
  struct exchange *exchange = calloc(1, sizeof *exchange);
  assert_non_null(exchange);
  if (link->relay->last)
    link->relay->last->next = exchange;
  else
    link->relay->first = exchange;
  link->relay->last = exchange;
  return link->now = exchange;
}

static ssize_t receive(int fd, uint8_t *buffer, size_t cap) {
  ssize_t length;
  do length = recv(fd, buffer, cap, MSG_DONTWAIT);
  while (length < 0 && errno == EINTR);
  return length < 0 && errno == EAGAIN ? -1 : length < 0 ? 0 : length;
}

static void on_near(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct relay_link *link = watcher->data;
  ssize_t length = receive(link->near, received, sizeof received);
  if (length < 0) return;
  if (!length) {
    link_close(link);
    return;
  }
  tmx_buffer_append(&exchange_at(link)->request, received, (size_t)length);
  send_all(link->far, received, (size_t)length);
}

static void on_far(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct relay_link *link = watcher->data;
  ssize_t length = receive(link->far, received, sizeof received);
  if (length < 0) return;
  if (!length) {
    link_close(link);
    return;
  }
  if (link->now) tmx_buffer_append(&link->now->answer, received, (size_t)length);
  send_all(link->near, received, (size_t)length);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)events;
  struct relay *relay = watcher->data;
  char target[32];
  int fd = accept4(relay->fd, NULL, NULL, SOCK_CLOEXEC);
  if (fd < 0) return;
  struct relay_link *link = calloc(1, sizeof *link);
  assert_non_null(link);
  snprintf(target, sizeof target, "127.0.0.1:%d", relay->target);
  link->relay = relay;
  link->near = fd;
  link->far = connect_to(target);
  ev_io_init(&link->from_near, on_near, link->near, EV_READ);
  ev_io_init(&link->from_far, on_far, link->far, EV_READ);
  link->from_near.data = link->from_far.data = link;
  ev_io_start(loop, &link->from_near);
  ev_io_start(loop, &link->from_far);
  DL_APPEND(relay->links, link);
}

void relay_open(struct relay *relay, int target_port) {
  struct sockaddr_in address = {.sin_family = AF_INET};
  socklen_t size = sizeof address;
  memset(relay, 0, sizeof *relay);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  relay->target = target_port;
  relay->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  assert_int_equal(bind(relay->fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal(listen(relay->fd, 64), 0);
  assert_int_equal(getsockname(relay->fd, (struct sockaddr *)&address, &size), 0);
  snprintf(relay->address, sizeof relay->address, "127.0.0.1:%d", ntohs(address.sin_port));
  ev_io_init(&relay->accept, on_accept, relay->fd, EV_READ);
  relay->accept.data = relay;
  ev_io_start(test_loop, &relay->accept);
}

void exchange_free(struct exchange *exchange) {
  tmx_buffer_free(&exchange->request);
  tmx_buffer_free(&exchange->answer);
}

void relay_close(struct relay *relay) {
  if (!relay->address[0]) return;
  while (relay->links) link_close(relay->links);
  ev_io_stop(test_loop, &relay->accept);
  close(relay->fd);
  for (struct exchange *exchange = relay->first, *next; exchange; exchange = next) {
    next = exchange->next;
    exchange_free(exchange);
    free(exchange);
  }
  memset(relay, 0, sizeof *relay);
}

bool http_complete(const struct tmx_buffer *message) {
  const char *body = message->length ? memmem(message->data, message->length, "\r\n\r\n", 4) : NULL;
  const char *length =
      message->length ? memmem(message->data, message->length, "Content-Length: ", 16) : NULL;
  if (!body || !length) return false;
  return message->length ==
         (size_t)(body + 4 - (const char *)message->data) + strtoul(length + 16, NULL, 10);
}

struct wanted {
  const struct relay *relay;
  const struct exchange *after, *found;
  const char *start, *part;
};

static bool is_found(void *arg) {
  struct wanted *wanted = arg;
  for (const struct exchange *exchange = wanted->after ? wanted->after->next : wanted->relay->first;
       exchange; exchange = exchange->next) {
    const struct tmx_buffer *request = &exchange->request;
    if (!http_complete(request) || !http_complete(&exchange->answer)) continue;
    if (request->length < strlen(wanted->start) ||
        memcmp(request->data, wanted->start, strlen(wanted->start)))
      continue;
    if (wanted->part && !memmem(request->data, request->length, wanted->part, strlen(wanted->part)))
      continue;
    wanted->found = exchange;
    return true;
  }
  return false;
}

const struct exchange *relay_wait(struct relay *relay, const struct exchange *after,
                                  const char *start, const char *part) {
  struct wanted wanted = {.relay = relay, .after = after, .start = start, .part = part};
  if (!run_loop_until(is_found, &wanted))
    fail_msg("no request %s with %s", start, part ? part : "anything");
  return wanted.found;
}

/* ------------------------------------------------------------ raw client */

struct raw {
  int fd;
  ev_io readable;
  struct tmx_buffer *answer;
  bool closed;
};

static void on_raw(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct raw *connection = watcher->data;
  ssize_t length = receive(connection->fd, received, sizeof received);
  if (length < 0) return;
  if (length)
    tmx_buffer_append(connection->answer, received, (size_t)length);
  else
    connection->closed = true;
}

static bool raw_done(void *arg) {
  struct raw *connection = arg;
  return connection->closed || http_complete(connection->answer);
}

void raw_call(const char *address, const void *request, size_t length, struct tmx_buffer *answer) {
  struct raw connection = {.fd = connect_to(address), .answer = answer};
  ev_io_init(&connection.readable, on_raw, connection.fd, EV_READ);
  connection.readable.data = &connection;
  ev_io_start(test_loop, &connection.readable);
  send_all(connection.fd, request, length);
  assert_true(run_loop_until(raw_done, &connection));
  ev_io_stop(test_loop, &connection.readable);
  close(connection.fd);
  assert_true(http_complete(answer));
}

void raw_request(const char *address, const char *line, const struct tmx_buffer *body,
                 struct exchange *out) {
  char head[512];
  int head_length =
      snprintf(head, sizeof head, "%s HTTP/1.1\r\nHost: tallymux\r\nContent-Length: %zu\r\n\r\n",
               line, body ? body->length : 0);
  memset(out, 0, sizeof *out);
  tmx_buffer_append(&out->request, head, (size_t)head_length);
  if (body && body->length) tmx_buffer_append(&out->request, body->data, body->length);
  raw_call(address, out->request.data, out->request.length, &out->answer);
}
