#include "net/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "net/log.h"

static void *xcalloc(size_t n) {
  void *p = calloc(1, n);
  if (!p) abort();
  return p;
}

bool tmx_parse_addr(const char *s, struct sockaddr_in *a) {
  char host[64];
  const char *c = strrchr(s, ':');
  memset(a, 0, sizeof *a);
  if (!c || (size_t)(c - s) >= sizeof host) return false;
  memcpy(host, s, (size_t)(c - s));
  host[c - s] = 0;
  a->sin_family = AF_INET;
  a->sin_port = htons((uint16_t)atoi(c + 1));
  return inet_pton(AF_INET, host, &a->sin_addr) == 1;
}

/* ---------------------------------------------------------------- server */

struct tmx_conn {
  struct tmx_server *srv;
  int fd;
  ev_io rd, wr;
  ev_timer idle;
  http_parser ps;
  char path[TMX_PATH_MAX];
  size_t path_len;
  struct tmx_buf body, out;
  size_t sent;
  struct tmx_req *req;
  bool too_long, complete, close_after, broken;
  ev_tstamp used_at;            /* its latest whole request, or when it was opened */
  struct tmx_conn *prev, *next; /* the longest unused first */
};

struct tmx_server {
  struct ev_loop *loop;
  int fd, n, max, port;
  double idle_s;
  ev_io acc;
  tmx_handler h;
  void *arg;
  struct tmx_conn *conns;
};

static void conn_close(struct tmx_conn *c) {
  ev_io_stop(c->srv->loop, &c->rd);
  ev_io_stop(c->srv->loop, &c->wr);
  ev_timer_stop(c->srv->loop, &c->idle);
  close(c->fd);
  if (c->req) c->req->conn = NULL;
  DL_DELETE(c->srv->conns, c);
  c->srv->n--;
  tmx_buf_free(&c->body);
  tmx_buf_free(&c->out);
  free(c);
}

static void idle_after(struct tmx_conn *c, double s) {
  c->idle.repeat = s;
  ev_timer_again(c->srv->loop, &c->idle);
}

static void conn_idle(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  conn_close(w->data);
}

static int s_begin(http_parser *p) {
  struct tmx_conn *c = p->data;
  c->path_len = 0;
  c->body.n = 0;
  c->too_long = c->complete = false;
  return 0;
}
static int s_url(http_parser *p, const char *at, size_t n) {
  struct tmx_conn *c = p->data;
  if (c->path_len + n >= sizeof c->path) return 1;
  memcpy(c->path + c->path_len, at, n);
  c->path_len += n;
  c->path[c->path_len] = 0;
  return 0;
}
static int s_body(http_parser *p, const char *at, size_t n) {
  struct tmx_conn *c = p->data;
  if (c->too_long || c->body.n + n > TMX_BODY_MAX) {
    c->too_long = true;
    return 0;
  }
  tmx_buf_add(&c->body, at, n);
  return 0;
}
static int s_headers(http_parser *p) {
  struct tmx_conn *c = p->data;
  if (p->content_length != UINT64_MAX && p->content_length > TMX_BODY_MAX) c->too_long = true;
  return 0;
}
static int s_done(http_parser *p) {
  struct tmx_conn *c = p->data;
  c->complete = true;
  c->close_after = !http_should_keep_alive(p);
  http_parser_pause(p, 1);
  return 0;
}
static const http_parser_settings s_set = {.on_message_begin = s_begin,
                                           .on_url = s_url,
                                           .on_headers_complete = s_headers,
                                           .on_body = s_body,
                                           .on_message_complete = s_done};

static bool conn_flush(struct tmx_conn *c) { /* false: closed */
  while (c->sent < c->out.n) {
    ssize_t k = send(c->fd, c->out.p + c->sent, c->out.n - c->sent, MSG_NOSIGNAL);
    if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(c->srv->loop, &c->wr);
      return true;
    }
    if (k < 0 && errno == EINTR) continue;
    if (k <= 0) {
      conn_close(c);
      return false;
    }
    c->sent += (size_t)k;
  }
  ev_io_stop(c->srv->loop, &c->wr);
  c->out.n = c->sent = 0;
  if (c->out.cap > 16384) tmx_buf_free(&c->out);
  if (c->close_after) {
    conn_close(c);
    return false;
  }
  return true;
}

static void conn_writable(struct ev_loop *l, ev_io *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_conn *c = w->data;
  if (conn_flush(c) && !ev_is_active(&c->wr) && !c->req) ev_io_start(c->srv->loop, &c->rd);
}

static void conn_answer(struct tmx_conn *c, int status, const struct tmx_buf *body, int retry) {
  char head[256], extra[48] = "";
  if (retry > 0) snprintf(extra, sizeof extra, "Retry-After: %d\r\n", retry);
  int n = snprintf(
      head, sizeof head,
      "HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n%s%s\r\n", status,
      http_status_str((enum http_status)status), body ? body->n : 0, extra,
      c->close_after ? "Connection: close\r\n" : "");
  tmx_buf_add(&c->out, head, (size_t)n);
  if (body && body->n) tmx_buf_add(&c->out, body->p, body->n);
}

static void conn_readable(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct tmx_conn *c = w->data;
  char in[16384];
  ssize_t k = recv(c->fd, in, sizeof in, 0);
  if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (k <= 0) {
    conn_close(c);
    return;
  }
  size_t used = http_parser_execute(&c->ps, &s_set, in, (size_t)k);
  if (c->complete) {
    /* requests are not pipelined: what follows a whole request is dropped with the connection */
    if (used < (size_t)k) c->close_after = true;
    http_parser_pause(&c->ps, 0);
    c->complete = false;
    if (c->too_long) {
      c->close_after = true;
      conn_answer(c, 413, NULL, 0);
      conn_flush(c);
      return;
    }
    struct tmx_req *r = xcalloc(sizeof *r);
    r->conn = c;
    r->method = (int)c->ps.method;
    memcpy(r->path, c->path, c->path_len + 1);
    r->body = c->body.p;
    r->body_len = c->body.n;
    memset(&c->body, 0, sizeof c->body);
    c->req = r;
    ev_io_stop(l, &c->rd); /* one request at a time: the next one waits in the socket */
    idle_after(c, c->srv->idle_s);
    c->used_at = ev_now(l);
    DL_DELETE(c->srv->conns, c);
    DL_APPEND(c->srv->conns, c);
    c->srv->h(c->srv->arg, r);
    return;
  }
  if (HTTP_PARSER_ERRNO(&c->ps) != HPE_OK || c->too_long) {
    c->close_after = true;
    conn_answer(c, c->too_long ? 413 : 400, NULL, 0);
    conn_flush(c);
    return;
  }
  idle_after(c, TMX_PARTIAL_S);
}

void tmx_req_reply(struct tmx_req *r, int status, const struct tmx_buf *body, int retry) {
  struct tmx_conn *c = r->conn;
  if (c) {
    c->req = NULL;
    conn_answer(c, status, body, retry);
    if (conn_flush(c) && !ev_is_active(&c->wr)) ev_io_start(c->srv->loop, &c->rd);
  }
  free(r->body);
  free(r);
}

/* All connections are taken: the one that was unused longest makes room. Workers that went to
 * another controller, or were cut off, leave connections behind that nobody will use again; users
 * must not be refused for them. false: all were in use a moment ago. */
static bool make_room(struct tmx_server *s) {
  struct tmx_conn *c;
  DL_FOREACH(s->conns, c) {
    if (ev_now(s->loop) - c->used_at < TMX_IDLE_LEAST_S) return false;
    if (c->req || c->out.n) continue;
    conn_close(c);
    return true;
  }
  return false;
}

static void on_accept(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct tmx_server *s = w->data;
  for (int i = 0; i < 32; i++) {
    int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    if (s->n >= s->max && !make_room(s)) {
      close(fd);
      continue;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    struct tmx_conn *c = xcalloc(sizeof *c);
    c->srv = s;
    c->fd = fd;
    http_parser_init(&c->ps, HTTP_REQUEST);
    c->ps.data = c;
    ev_io_init(&c->rd, conn_readable, fd, EV_READ);
    ev_io_init(&c->wr, conn_writable, fd, EV_WRITE);
    ev_init(&c->idle, conn_idle);
    c->rd.data = c->wr.data = c->idle.data = c;
    ev_io_start(l, &c->rd);
    c->used_at = ev_now(l);
    idle_after(c, s->idle_s);
    DL_APPEND(s->conns, c);
    s->n++;
  }
}

struct tmx_server *tmx_server_new(struct ev_loop *loop, const char *addr, int max, double idle_s,
                                  tmx_handler h, void *arg) {
  struct sockaddr_in a;
  if (!tmx_parse_addr(addr, &a)) return NULL;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
  if (fd < 0) return NULL;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&a, sizeof a) || listen(fd, 512)) {
    close(fd);
    return NULL;
  }
  socklen_t al = sizeof a;
  getsockname(fd, (struct sockaddr *)&a, &al);
  struct tmx_server *s = xcalloc(sizeof *s);
  s->loop = loop;
  s->fd = fd;
  s->port = ntohs(a.sin_port);
  s->max = max;
  s->idle_s = idle_s;
  s->h = h;
  s->arg = arg;
  ev_io_init(&s->acc, on_accept, fd, EV_READ);
  s->acc.data = s;
  ev_io_start(loop, &s->acc);
  return s;
}

void tmx_server_free(struct tmx_server *s) {
  while (s->conns) conn_close(s->conns);
  ev_io_stop(s->loop, &s->acc);
  close(s->fd);
  free(s);
}

int tmx_server_port(const struct tmx_server *s) { return s->port; }

/* ---------------------------------------------------------------- client */

struct call {
  struct tmx_client *cl;
  int fd;
  bool connecting, reused, busy, keep, done, too_long;
  ev_io rd, wr;
  ev_timer to;
  http_parser ps;
  struct tmx_buf out, in;
  size_t sent;
  tmx_answer cb;
  void *arg;
  struct call *prev, *next;
};

struct tmx_client {
  struct ev_loop *loop;
  struct sockaddr_in addr;
  char host[64];
  int n, max;
  struct call *calls;
};

static void call_drop(struct call *k) {
  ev_io_stop(k->cl->loop, &k->rd);
  ev_io_stop(k->cl->loop, &k->wr);
  ev_timer_stop(k->cl->loop, &k->to);
  close(k->fd);
  DL_DELETE(k->cl->calls, k);
  k->cl->n--;
  tmx_buf_free(&k->out);
  tmx_buf_free(&k->in);
  free(k);
}

static void call_fail(struct call *k, int status) {
  tmx_answer cb = k->busy ? k->cb : NULL;
  void *arg = k->arg;
  call_drop(k);
  if (cb) cb(arg, status, NULL, 0);
}

static int c_body(http_parser *p, const char *at, size_t n) {
  struct call *k = p->data;
  if (k->in.n + n > TMX_REPLY_MAX) {
    k->too_long = true;
    return 1;
  }
  tmx_buf_add(&k->in, at, n);
  return 0;
}
static int c_done(http_parser *p) {
  struct call *k = p->data;
  k->done = true;
  k->keep = http_should_keep_alive(p);
  http_parser_pause(p, 1);
  return 0;
}
static const http_parser_settings c_set = {.on_body = c_body, .on_message_complete = c_done};

static void call_timeout(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  call_fail(w->data, 0);
}

static void call_readable(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct call *k = w->data;
  char in[32768];
  ssize_t r = recv(k->fd, in, sizeof in, 0);
  if (r < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (r <= 0 || !k->busy) {
    call_fail(k, 0);
    return;
  }
  http_parser_execute(&k->ps, &c_set, in, (size_t)r);
  if (!k->done) {
    if (HTTP_PARSER_ERRNO(&k->ps) != HPE_OK) call_fail(k, 0);
    return;
  }
  int status = (int)k->ps.status_code;
  struct tmx_buf body = k->in;
  memset(&k->in, 0, sizeof k->in);
  tmx_answer cb = k->cb;
  void *arg = k->arg;
  k->busy = false;
  ev_timer_stop(l, &k->to);
  if (!k->keep) call_drop(k);
  cb(arg, status, body.p, body.n);
  tmx_buf_free(&body);
}

static void call_writable(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct call *k = w->data;
  if (k->connecting) {
    int err = 0;
    socklen_t n = sizeof err;
    getsockopt(k->fd, SOL_SOCKET, SO_ERROR, &err, &n);
    if (err) {
      call_fail(k, -1);
      return;
    }
    k->connecting = false;
    ev_io_start(l, &k->rd);
  }
  while (k->sent < k->out.n) {
    ssize_t r = send(k->fd, k->out.p + k->sent, k->out.n - k->sent, MSG_NOSIGNAL);
    if (r < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(l, &k->wr);
      return;
    }
    if (r < 0 && errno == EINTR) continue;
    if (r <= 0) {
      call_fail(k, 0);
      return;
    }
    k->sent += (size_t)r;
  }
  ev_io_stop(l, &k->wr);
}

struct tmx_client *tmx_client_new(struct ev_loop *loop, const char *addr, int max) {
  struct tmx_client *c = xcalloc(sizeof *c);
  c->loop = loop;
  c->max = max;
  snprintf(c->host, sizeof c->host, "%s", addr);
  if (!tmx_parse_addr(addr, &c->addr)) {
    free(c);
    return NULL;
  }
  return c;
}

void tmx_client_free(struct tmx_client *c) {
  while (c->calls) call_drop(c->calls);
  free(c);
}

bool tmx_client_call(struct tmx_client *c, const char *method, const char *path,
                     const struct tmx_buf *body, double timeout, tmx_answer cb, void *arg) {
  struct call *k;
  DL_FOREACH(c->calls, k) if (!k->busy) break;
  if (!k) {
    if (c->n >= c->max) return false;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
    if (fd < 0) return false;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    k = xcalloc(sizeof *k);
    k->cl = c;
    k->fd = fd;
    ev_io_init(&k->rd, call_readable, fd, EV_READ);
    ev_io_init(&k->wr, call_writable, fd, EV_WRITE);
    ev_init(&k->to, call_timeout);
    k->rd.data = k->wr.data = k->to.data = k;
    DL_APPEND(c->calls, k);
    c->n++;
    if (connect(fd, (struct sockaddr *)&c->addr, sizeof c->addr) && errno != EINPROGRESS) {
      call_drop(k);
      return false;
    }
    k->connecting = true;
  }
  k->busy = true;
  k->done = k->too_long = false;
  k->cb = cb;
  k->arg = arg;
  k->out.n = k->sent = 0;
  k->in.n = 0;
  http_parser_init(&k->ps, HTTP_RESPONSE);
  k->ps.data = k;
  char head[TMX_PATH_MAX + 256];
  int n = snprintf(
      head, sizeof head,
      "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n\r\n",
      method, path, c->host, body ? body->n : 0);
  if (n < 0 || (size_t)n >= sizeof head) {
    call_drop(k);
    return false;
  }
  tmx_buf_add(&k->out, head, (size_t)n);
  if (body && body->n) tmx_buf_add(&k->out, body->p, body->n);
  k->to.repeat = timeout;
  ev_timer_again(c->loop, &k->to);
  ev_io_start(c->loop,
              &k->wr); /* sent from the loop, so that a failure never calls back from here */
  return true;
}
