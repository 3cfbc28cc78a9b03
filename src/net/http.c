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

#include "base/log.h"

static void *xcalloc(size_t n) {
  void *p = calloc(1, n);
  if (!p) abort();
  return p;
}

bool tmx_parse_address(const char *s, struct sockaddr_in *a) {
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

struct tmx_http_connection {
  struct tmx_http_server *srv;
  int fd;
  ev_io rd, wr;
  ev_timer idle;
  http_parser ps;
  char path[TMX_PATH_MAX];
  size_t path_len;
  struct tmx_buffer body, out;
  size_t sent;
  struct tmx_http_request *req;
  bool too_long, complete, close_after, broken;
  ev_tstamp used_at;                       /* its latest whole request, or when it was opened */
  struct tmx_http_connection *prev, *next; /* the longest unused first */
};

struct tmx_http_server {
  struct ev_loop *loop;
  int fd, n, max, port;
  double idle_s;
  ev_io acc;
  tmx_http_handler h;
  void *arg;
  struct tmx_http_connection *conns;
};

static void conn_close(struct tmx_http_connection *connection) {
  ev_io_stop(connection->srv->loop, &connection->rd);
  ev_io_stop(connection->srv->loop, &connection->wr);
  ev_timer_stop(connection->srv->loop, &connection->idle);
  close(connection->fd);
  if (connection->req) connection->req->conn = NULL;
  DL_DELETE(connection->srv->conns, connection);
  connection->srv->n--;
  tmx_buffer_free(&connection->body);
  tmx_buffer_free(&connection->out);
  free(connection);
}

static void idle_after(struct tmx_http_connection *connection, double s) {
  connection->idle.repeat = s;
  ev_timer_again(connection->srv->loop, &connection->idle);
}

static void conn_idle(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  conn_close(w->data);
}

static int s_begin(http_parser *p) {
  struct tmx_http_connection *connection = p->data;
  connection->path_len = 0;
  connection->body.length = 0;
  connection->too_long = connection->complete = false;
  return 0;
}
static int s_url(http_parser *p, const char *at, size_t n) {
  struct tmx_http_connection *connection = p->data;
  if (connection->path_len + n >= sizeof connection->path) return 1;
  memcpy(connection->path + connection->path_len, at, n);
  connection->path_len += n;
  connection->path[connection->path_len] = 0;
  return 0;
}
static int s_body(http_parser *p, const char *at, size_t n) {
  struct tmx_http_connection *connection = p->data;
  if (connection->too_long || connection->body.length + n > TMX_BODY_MAX) {
    connection->too_long = true;
    return 0;
  }
  tmx_buffer_append(&connection->body, at, n);
  return 0;
}
static int s_headers(http_parser *p) {
  struct tmx_http_connection *connection = p->data;
  if (p->content_length != UINT64_MAX && p->content_length > TMX_BODY_MAX)
    connection->too_long = true;
  return 0;
}
static int s_done(http_parser *p) {
  struct tmx_http_connection *connection = p->data;
  connection->complete = true;
  connection->close_after = !http_should_keep_alive(p);
  http_parser_pause(p, 1);
  return 0;
}
static const http_parser_settings s_set = {.on_message_begin = s_begin,
                                           .on_url = s_url,
                                           .on_headers_complete = s_headers,
                                           .on_body = s_body,
                                           .on_message_complete = s_done};

static bool conn_flush(struct tmx_http_connection *connection) { /* false: closed */
  while (connection->sent < connection->out.length) {
    ssize_t k = send(connection->fd, connection->out.data + connection->sent,
                     connection->out.length - connection->sent, MSG_NOSIGNAL);
    if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(connection->srv->loop, &connection->wr);
      return true;
    }
    if (k < 0 && errno == EINTR) continue;
    if (k <= 0) {
      conn_close(connection);
      return false;
    }
    connection->sent += (size_t)k;
  }
  ev_io_stop(connection->srv->loop, &connection->wr);
  connection->out.length = connection->sent = 0;
  if (connection->out.capacity > 16384) tmx_buffer_free(&connection->out);
  if (connection->close_after) {
    conn_close(connection);
    return false;
  }
  return true;
}

static void conn_writable(struct ev_loop *l, ev_io *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_http_connection *connection = w->data;
  if (conn_flush(connection) && !ev_is_active(&connection->wr) && !connection->req)
    ev_io_start(connection->srv->loop, &connection->rd);
}

static void conn_answer(struct tmx_http_connection *connection, int status,
                        const struct tmx_buffer *body, int retry) {
  char head[256], extra[48] = "";
  if (retry > 0) snprintf(extra, sizeof extra, "Retry-After: %d\r\n", retry);
  int n = snprintf(
      head, sizeof head,
      "HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n%s%s\r\n", status,
      http_status_str((enum http_status)status), body ? body->length : 0, extra,
      connection->close_after ? "Connection: close\r\n" : "");
  tmx_buffer_append(&connection->out, head, (size_t)n);
  if (body && body->length) tmx_buffer_append(&connection->out, body->data, body->length);
}

static void conn_readable(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct tmx_http_connection *connection = w->data;
  char in[16384];
  ssize_t k = recv(connection->fd, in, sizeof in, 0);
  if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (k <= 0) {
    conn_close(connection);
    return;
  }
  size_t used = http_parser_execute(&connection->ps, &s_set, in, (size_t)k);
  if (connection->complete) {
    /* requests are not pipelined: what follows a whole request is dropped with the connection */
    if (used < (size_t)k) connection->close_after = true;
    http_parser_pause(&connection->ps, 0);
    connection->complete = false;
    if (connection->too_long) {
      connection->close_after = true;
      conn_answer(connection, 413, NULL, 0);
      conn_flush(connection);
      return;
    }
    struct tmx_http_request *request = xcalloc(sizeof *request);
    request->conn = connection;
    request->method = (int)connection->ps.method;
    memcpy(request->path, connection->path, connection->path_len + 1);
    request->body = connection->body.data;
    request->body_len = connection->body.length;
    memset(&connection->body, 0, sizeof connection->body);
    connection->req = request;
    ev_io_stop(l, &connection->rd); /* one request at a time: the next one waits in the socket */
    idle_after(connection, connection->srv->idle_s);
    connection->used_at = ev_now(l);
    DL_DELETE(connection->srv->conns, connection);
    DL_APPEND(connection->srv->conns, connection);
    connection->srv->h(connection->srv->arg, request);
    return;
  }
  if (HTTP_PARSER_ERRNO(&connection->ps) != HPE_OK || connection->too_long) {
    connection->close_after = true;
    conn_answer(connection, connection->too_long ? 413 : 400, NULL, 0);
    conn_flush(connection);
    return;
  }
  idle_after(connection, TMX_PARTIAL_S);
}

void tmx_http_reply(struct tmx_http_request *request, int status, const struct tmx_buffer *body,
                    int retry) {
  struct tmx_http_connection *connection = request->conn;
  if (connection) {
    connection->req = NULL;
    conn_answer(connection, status, body, retry);
    if (conn_flush(connection) && !ev_is_active(&connection->wr))
      ev_io_start(connection->srv->loop, &connection->rd);
  }
  free(request->body);
  free(request);
}

/* All connections are taken: the one that was unused longest makes room. Workers that went to
 * another controller, or were cut off, leave connections behind that nobody will use again; users
 * must not be refused for them. false: all were in use a moment ago. */
static bool preempt_for(struct tmx_http_server *server) {
  struct tmx_http_connection *connection;
  DL_FOREACH(server->conns, connection) {
    if (ev_now(server->loop) - connection->used_at < TMX_IDLE_LEAST_S) return false;
    if (connection->req || connection->out.length) continue;
    conn_close(connection);
    return true;
  }
  return false;
}

static void on_accept(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct tmx_http_server *server = w->data;
  for (int i = 0; i < 32; i++) {
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    if (server->n >= server->max && !preempt_for(server)) {
      close(fd);
      continue;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    struct tmx_http_connection *connection = xcalloc(sizeof *connection);
    connection->srv = server;
    connection->fd = fd;
    http_parser_init(&connection->ps, HTTP_REQUEST);
    connection->ps.data = connection;
    ev_io_init(&connection->rd, conn_readable, fd, EV_READ);
    ev_io_init(&connection->wr, conn_writable, fd, EV_WRITE);
    ev_init(&connection->idle, conn_idle);
    connection->rd.data = connection->wr.data = connection->idle.data = connection;
    ev_io_start(l, &connection->rd);
    connection->used_at = ev_now(l);
    idle_after(connection, server->idle_s);
    DL_APPEND(server->conns, connection);
    server->n++;
  }
}

struct tmx_http_server *tmx_http_server_new(struct ev_loop *loop, const char *addr, int max,
                                            double idle_s, tmx_http_handler h, void *arg) {
  struct sockaddr_in a;
  if (!tmx_parse_address(addr, &a)) return NULL;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
  if (fd < 0) return NULL;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&a, sizeof a) || listen(fd, 512)) {
    close(fd);
    return NULL;
  }
  socklen_t al = sizeof a;
  getsockname(fd, (struct sockaddr *)&a, &al);
  struct tmx_http_server *server = xcalloc(sizeof *server);
  server->loop = loop;
  server->fd = fd;
  server->port = ntohs(a.sin_port);
  server->max = max;
  server->idle_s = idle_s;
  server->h = h;
  server->arg = arg;
  ev_io_init(&server->acc, on_accept, fd, EV_READ);
  server->acc.data = server;
  ev_io_start(loop, &server->acc);
  return server;
}

void tmx_http_server_free(struct tmx_http_server *server) {
  while (server->conns) conn_close(server->conns);
  ev_io_stop(server->loop, &server->acc);
  close(server->fd);
  free(server);
}

int tmx_http_server_port(const struct tmx_http_server *server) { return server->port; }

/* ---------------------------------------------------------------- client */

struct call {
  struct tmx_http_client *cl;
  int fd;
  bool connecting, reused, busy, keep, done, too_long;
  ev_io rd, wr;
  ev_timer to;
  http_parser ps;
  struct tmx_buffer out, in;
  size_t sent;
  tmx_http_response_cb cb;
  void *arg;
  struct call *prev, *next;
};

struct tmx_http_client {
  struct ev_loop *loop;
  struct sockaddr_in addr;
  char host[64];
  int n, max;
  struct call *calls;
};

static void call_drop(struct call *call) {
  ev_io_stop(call->cl->loop, &call->rd);
  ev_io_stop(call->cl->loop, &call->wr);
  ev_timer_stop(call->cl->loop, &call->to);
  close(call->fd);
  DL_DELETE(call->cl->calls, call);
  call->cl->n--;
  tmx_buffer_free(&call->out);
  tmx_buffer_free(&call->in);
  free(call);
}

static void call_fail(struct call *call, int status) {
  tmx_http_response_cb cb = call->busy ? call->cb : NULL;
  void *arg = call->arg;
  call_drop(call);
  if (cb) cb(arg, status, NULL, 0);
}

static int c_body(http_parser *p, const char *at, size_t n) {
  struct call *call = p->data;
  if (call->in.length + n > TMX_REPLY_MAX) {
    call->too_long = true;
    return 1;
  }
  tmx_buffer_append(&call->in, at, n);
  return 0;
}
static int c_done(http_parser *p) {
  struct call *call = p->data;
  call->done = true;
  call->keep = http_should_keep_alive(p);
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
  struct call *call = w->data;
  char in[32768];
  ssize_t r = recv(call->fd, in, sizeof in, 0);
  if (r < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (r <= 0 || !call->busy) {
    call_fail(call, 0);
    return;
  }
  http_parser_execute(&call->ps, &c_set, in, (size_t)r);
  if (!call->done) {
    if (HTTP_PARSER_ERRNO(&call->ps) != HPE_OK) call_fail(call, 0);
    return;
  }
  int status = (int)call->ps.status_code;
  struct tmx_buffer body = call->in;
  memset(&call->in, 0, sizeof call->in);
  tmx_http_response_cb cb = call->cb;
  void *arg = call->arg;
  call->busy = false;
  ev_timer_stop(l, &call->to);
  if (!call->keep) call_drop(call);
  cb(arg, status, body.data, body.length);
  tmx_buffer_free(&body);
}

static void call_writable(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct call *call = w->data;
  if (call->connecting) {
    int err = 0;
    socklen_t n = sizeof err;
    getsockopt(call->fd, SOL_SOCKET, SO_ERROR, &err, &n);
    if (err) {
      call_fail(call, -1);
      return;
    }
    call->connecting = false;
    ev_io_start(l, &call->rd);
  }
  while (call->sent < call->out.length) {
    ssize_t r =
        send(call->fd, call->out.data + call->sent, call->out.length - call->sent, MSG_NOSIGNAL);
    if (r < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      ev_io_start(l, &call->wr);
      return;
    }
    if (r < 0 && errno == EINTR) continue;
    if (r <= 0) {
      call_fail(call, 0);
      return;
    }
    call->sent += (size_t)r;
  }
  ev_io_stop(l, &call->wr);
}

struct tmx_http_client *tmx_http_client_new(struct ev_loop *loop, const char *addr, int max) {
  struct tmx_http_client *client = xcalloc(sizeof *client);
  client->loop = loop;
  client->max = max;
  snprintf(client->host, sizeof client->host, "%s", addr);
  if (!tmx_parse_address(addr, &client->addr)) {
    free(client);
    return NULL;
  }
  return client;
}

void tmx_http_client_free(struct tmx_http_client *client) {
  while (client->calls) call_drop(client->calls);
  free(client);
}

bool tmx_http_client_call(struct tmx_http_client *client, const char *method, const char *path,
                          const struct tmx_buffer *body, double timeout, tmx_http_response_cb cb,
                          void *arg) {
  struct call *call;
  DL_FOREACH(client->calls, call) if (!call->busy) break;
  if (!call) {
    if (client->n >= client->max) return false;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
    if (fd < 0) return false;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    call = xcalloc(sizeof *call);
    call->cl = client;
    call->fd = fd;
    ev_io_init(&call->rd, call_readable, fd, EV_READ);
    ev_io_init(&call->wr, call_writable, fd, EV_WRITE);
    ev_init(&call->to, call_timeout);
    call->rd.data = call->wr.data = call->to.data = call;
    DL_APPEND(client->calls, call);
    client->n++;
    if (connect(fd, (struct sockaddr *)&client->addr, sizeof client->addr) &&
        errno != EINPROGRESS) {
      call_drop(call);
      return false;
    }
    call->connecting = true;
  }
  call->busy = true;
  call->done = call->too_long = false;
  call->cb = cb;
  call->arg = arg;
  call->out.length = call->sent = 0;
  call->in.length = 0;
  http_parser_init(&call->ps, HTTP_RESPONSE);
  call->ps.data = call;
  char head[TMX_PATH_MAX + 256];
  int n = snprintf(
      head, sizeof head,
      "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n\r\n",
      method, path, client->host, body ? body->length : 0);
  if (n < 0 || (size_t)n >= sizeof head) {
    call_drop(call);
    return false;
  }
  tmx_buffer_append(&call->out, head, (size_t)n);
  if (body && body->length) tmx_buffer_append(&call->out, body->data, body->length);
  call->to.repeat = timeout;
  ev_timer_again(client->loop, &call->to);
  ev_io_start(client->loop,
              &call->wr); /* sent from the loop, so that a failure never calls back from here */
  return true;
}
