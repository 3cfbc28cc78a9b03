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
  struct sockaddr_in at;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true(fd >= 0);
  assert_true(tmx_parse_address(address, &at));
  assert_int_equal(connect(fd, (struct sockaddr *)&at, sizeof at), 0);
  return fd;
}

static void send_all(int fd, const uint8_t *p, size_t n) {
  for (size_t sent = 0; sent < n;) {
    ssize_t k = send(fd, p + sent, n - sent, MSG_NOSIGNAL);
    if (k <= 0) return; /* the other side has gone */
    sent += (size_t)k;
  }
}

/* ------------------------------------------------------------ relay */

static void link_close(struct relay_link *l) {
  ev_io_stop(test_loop, &l->from_near);
  ev_io_stop(test_loop, &l->from_far);
  close(l->near);
  close(l->far);
  DL_DELETE(l->relay->links, l);
  free(l);
}

/* Requests are not pipelined: one that comes after an answer has begun is the next. */
static struct exchange *exchange_at(struct relay_link *l) {
  if (l->now && !l->now->answer.length) return l->now;
  struct exchange *x = calloc(1, sizeof *x);
  assert_non_null(x);
  if (l->relay->last)
    l->relay->last->next = x;
  else
    l->relay->first = x;
  l->relay->last = x;
  return l->now = x;
}

static ssize_t receive(int fd, uint8_t *in, size_t cap) {
  ssize_t k;
  do k = recv(fd, in, cap, MSG_DONTWAIT);
  while (k < 0 && errno == EINTR);
  return k < 0 && errno == EAGAIN ? -1 : k < 0 ? 0 : k;
}

static void on_near(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  static uint8_t in[65536];
  struct relay_link *l = w->data;
  ssize_t k = receive(l->near, in, sizeof in);
  if (k < 0) return;
  if (!k) {
    link_close(l);
    return;
  }
  tmx_buffer_append(&exchange_at(l)->request, in, (size_t)k);
  send_all(l->far, in, (size_t)k);
}

static void on_far(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  static uint8_t in[65536];
  struct relay_link *l = w->data;
  ssize_t k = receive(l->far, in, sizeof in);
  if (k < 0) return;
  if (!k) {
    link_close(l);
    return;
  }
  if (l->now) tmx_buffer_append(&l->now->answer, in, (size_t)k);
  send_all(l->near, in, (size_t)k);
}

static void on_accept(struct ev_loop *ev, ev_io *w, int events) {
  (void)events;
  struct relay *r = w->data;
  char target[32];
  int fd = accept4(r->fd, NULL, NULL, SOCK_CLOEXEC);
  if (fd < 0) return;
  struct relay_link *l = calloc(1, sizeof *l);
  assert_non_null(l);
  snprintf(target, sizeof target, "127.0.0.1:%d", r->target);
  l->relay = r;
  l->near = fd;
  l->far = connect_to(target);
  ev_io_init(&l->from_near, on_near, l->near, EV_READ);
  ev_io_init(&l->from_far, on_far, l->far, EV_READ);
  l->from_near.data = l->from_far.data = l;
  ev_io_start(ev, &l->from_near);
  ev_io_start(ev, &l->from_far);
  DL_APPEND(r->links, l);
}

void relay_open(struct relay *r, int target_port) {
  struct sockaddr_in at = {.sin_family = AF_INET};
  socklen_t n = sizeof at;
  memset(r, 0, sizeof *r);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  r->target = target_port;
  r->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  assert_int_equal(bind(r->fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal(listen(r->fd, 64), 0);
  assert_int_equal(getsockname(r->fd, (struct sockaddr *)&at, &n), 0);
  snprintf(r->address, sizeof r->address, "127.0.0.1:%d", ntohs(at.sin_port));
  ev_io_init(&r->accept, on_accept, r->fd, EV_READ);
  r->accept.data = r;
  ev_io_start(test_loop, &r->accept);
}

void exchange_free(struct exchange *x) {
  tmx_buffer_free(&x->request);
  tmx_buffer_free(&x->answer);
}

void relay_close(struct relay *r) {
  if (!r->address[0]) return;
  while (r->links) link_close(r->links);
  ev_io_stop(test_loop, &r->accept);
  close(r->fd);
  for (struct exchange *x = r->first, *next; x; x = next) {
    next = x->next;
    exchange_free(x);
    free(x);
  }
  memset(r, 0, sizeof *r);
}

bool http_complete(const struct tmx_buffer *m) {
  const char *body = m->length ? memmem(m->data, m->length, "\r\n\r\n", 4) : NULL;
  const char *length = m->length ? memmem(m->data, m->length, "Content-Length: ", 16) : NULL;
  if (!body || !length) return false;
  return m->length == (size_t)(body + 4 - (const char *)m->data) + strtoul(length + 16, NULL, 10);
}

struct wanted {
  const struct relay *relay;
  const struct exchange *after, *found;
  const char *start, *part;
};

static bool is_found(void *arg) {
  struct wanted *w = arg;
  for (const struct exchange *x = w->after ? w->after->next : w->relay->first; x; x = x->next) {
    const struct tmx_buffer *q = &x->request;
    if (!http_complete(q) || !http_complete(&x->answer)) continue;
    if (q->length < strlen(w->start) || memcmp(q->data, w->start, strlen(w->start))) continue;
    if (w->part && !memmem(q->data, q->length, w->part, strlen(w->part))) continue;
    w->found = x;
    return true;
  }
  return false;
}

const struct exchange *relay_wait(struct relay *r, const struct exchange *after, const char *start,
                                  const char *part) {
  struct wanted w = {.relay = r, .after = after, .start = start, .part = part};
  if (!run_loop_until(is_found, &w))
    fail_msg("no request %s with %s", start, part ? part : "anything");
  return w.found;
}

/* ------------------------------------------------------------ raw client */

struct raw {
  int fd;
  ev_io readable;
  struct tmx_buffer *answer;
  bool closed;
};

static void on_raw(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  static uint8_t in[65536];
  struct raw *c = w->data;
  ssize_t k = receive(c->fd, in, sizeof in);
  if (k < 0) return;
  if (k)
    tmx_buffer_append(c->answer, in, (size_t)k);
  else
    c->closed = true;
}

static bool raw_done(void *arg) {
  struct raw *c = arg;
  return c->closed || http_complete(c->answer);
}

void raw_call(const char *address, const void *request, size_t n, struct tmx_buffer *answer) {
  struct raw c = {.fd = connect_to(address), .answer = answer};
  ev_io_init(&c.readable, on_raw, c.fd, EV_READ);
  c.readable.data = &c;
  ev_io_start(test_loop, &c.readable);
  send_all(c.fd, request, n);
  assert_true(run_loop_until(raw_done, &c));
  ev_io_stop(test_loop, &c.readable);
  close(c.fd);
  assert_true(http_complete(answer));
}

void raw_request(const char *address, const char *line, const struct tmx_buffer *body,
                 struct exchange *out) {
  char head[512];
  int n =
      snprintf(head, sizeof head, "%s HTTP/1.1\r\nHost: tallymux\r\nContent-Length: %zu\r\n\r\n",
               line, body ? body->length : 0);
  memset(out, 0, sizeof *out);
  tmx_buffer_append(&out->request, head, (size_t)n);
  if (body && body->length) tmx_buffer_append(&out->request, body->data, body->length);
  raw_call(address, out->request.data, out->request.length, &out->answer);
}
