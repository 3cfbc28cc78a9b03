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

struct relay_link { /* one connection through the relay */
  struct relay *relay;
  int near, far; /* towards the program, towards the scripted peer */
  ev_io from_near, from_far;
  struct exchange *now;
  struct relay_link *prev, *next;
};

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

static void on_near(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct relay_link *link = watcher->data;
  ssize_t length = raw_receive(link->near, received, sizeof received);
  if (length < 0) return;
  if (!length) {
    link_close(link);
    return;
  }
  tmx_buffer_append(&exchange_at(link)->request, received, (size_t)length);
  raw_send(link->far, received, (size_t)length);
}

static void on_far(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct relay_link *link = watcher->data;
  ssize_t length = raw_receive(link->far, received, sizeof received);
  if (length < 0) return;
  if (!length) {
    link_close(link);
    return;
  }
  if (link->now) tmx_buffer_append(&link->now->answer, received, (size_t)length);
  raw_send(link->near, received, (size_t)length);
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
  link->far = raw_connect(target);
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
