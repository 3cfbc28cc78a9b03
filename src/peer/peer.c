/* Heartbeats between controllers, XDR over TCP: who is alive, how far its state is, which of its
 * machines are in doubt. Advice only. Each controller sends on connections that it opened and
 * listens on those that were opened to it. */
#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <rpc/rpc.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "beat.h"
#include "controller.h"
#include "net/log.h"

#define BEAT_BYTES_MAX (256u << 10)

struct peer {
  struct tmx_peers *p;
  char name[TMX_NAME_MAX];
  struct sockaddr_in addr;
  int fd;
  bool connecting;
  ev_io wr;
  struct tmx_buffer out;
  size_t sent;
  double opened_at, stuck_at, refused_at;
  int refusals;
  /* from its beats */
  double beat_at;
  double state_age;
  uint64_t term;
  bool no_workers;
  struct tmx_zone_liveness zones[TMX_ZONES_MAX];
};
struct incoming {
  struct tmx_peers *p;
  int fd;
  ev_io rd;
  struct tmx_buffer in;
  struct incoming *prev, *next;
};
struct tmx_peers {
  struct tmx_ctl *c;
  int fd;
  ev_io acc;
  struct peer peers[TMX_MEMBERS_MAX];
  size_t n;
  struct incoming *in;
  int n_in;
  double sent_at;
};

/* ------------------------------------------------------------ receiving */

static void in_close(struct incoming *i) {
  ev_io_stop(i->p->c->loop, &i->rd);
  close(i->fd);
  DL_DELETE(i->p->in, i);
  i->p->n_in--;
  tmx_buffer_free(&i->in);
  free(i);
}

static void take_beat(struct tmx_peers *p, const tmx_beat *b) {
  struct peer *q = NULL;
  for (size_t i = 0; i < p->n; i++)
    if (!strcmp(p->peers[i].name, b->node)) q = &p->peers[i];
  if (!q) return;
  q->beat_at = tmx_clock_steady();
  q->refusals = 0;
  q->state_age = b->state_age_ms / 1000.0;
  q->term = b->term;
  if (b->revision > p->c->rep.revision) tmx_store_note_peer_ahead(p->c->link);
  q->no_workers = b->no_workers;
  memset(q->zones, 0, sizeof q->zones);
  for (u_int i = 0; i < b->zones.zones_len; i++) {
    const tmx_beat_zone *z = &b->zones.zones_val[i];
    int at = tmx_zone_index(&p->c->set, z->name);
    if (at >= 0) q->zones[at] = (struct tmx_zone_liveness){z->machines, z->lost, z->alive};
  }
  for (u_int i = 0; i < b->suspects.suspects_len; i++) {
    const tmx_beat_suspect *d = &b->suspects.suspects_val[i];
    struct tmx_suspicion suspicion = {.silence_s = d->silence_ms / 1000.0,
                                      .probes_lost = (int)d->lost,
                                      .unacknowledged_s = d->unreached_ms / 1000.0,
                                      .spot_notice = d->notice};
    snprintf(suspicion.id, sizeof suspicion.id, "%s", d->id);
    tmx_workers_take_suspicion(p->c->workers, q->name, b->term, &suspicion);
  }
}

static void on_in(struct ev_loop *l, ev_io *w, int ev) {
  (void)l;
  (void)ev;
  struct incoming *i = w->data;
  char buf[16384];
  ssize_t n = recv(i->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (n <= 0) {
    in_close(i);
    return;
  }
  tmx_buffer_append(&i->in, buf, (size_t)n);
  for (;;) {
    if (i->in.length < 4) return;
    uint32_t len;
    memcpy(&len, i->in.data, 4);
    len = ntohl(len);
    if (len > BEAT_BYTES_MAX) {
      in_close(i);
      return;
    }
    if (i->in.length < 4 + (size_t)len) return;
    XDR x;
    tmx_beat b;
    memset(&b, 0, sizeof b);
    xdrmem_create(&x, (char *)i->in.data + 4, len, XDR_DECODE);
    bool ok = xdr_tmx_beat(&x, &b);
    if (ok) take_beat(i->p, &b);
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_tmx_beat, (char *)&b);
    if (!ok) {
      in_close(i);
      return;
    }
    memmove(i->in.data, i->in.data + 4 + len, i->in.length - 4 - len);
    i->in.length -= 4 + len;
  }
}

static void on_acc(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct tmx_peers *p = w->data;
  int fd = accept4(p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  if (p->n_in >= 4 * TMX_MEMBERS_MAX) in_close(p->in); /* the oldest: likely dead */
  struct incoming *i = calloc(1, sizeof *i);
  if (!i) abort();
  i->p = p;
  i->fd = fd;
  ev_io_init(&i->rd, on_in, fd, EV_READ);
  i->rd.data = i;
  ev_io_start(l, &i->rd);
  DL_APPEND(p->in, i);
  p->n_in++;
}

/* ------------------------------------------------------------ sending */

static void out_close(struct peer *q) {
  if (q->fd < 0) return;
  ev_io_stop(q->p->c->loop, &q->wr);
  close(q->fd);
  q->fd = -1;
  q->out.length = q->sent = 0;
}

static void on_out(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct peer *q = w->data;
  if (q->connecting) {
    int err = 0;
    socklen_t n = sizeof err;
    getsockopt(q->fd, SOL_SOCKET, SO_ERROR, &err, &n);
    if (err) {
      if (err == ECONNREFUSED) {
        q->refused_at = tmx_clock_steady();
        q->refusals++;
      }
      out_close(q);
      return;
    }
    q->connecting = false;
    q->refusals = 0;
  }
  while (q->sent < q->out.length) {
    ssize_t k = send(q->fd, q->out.data + q->sent, q->out.length - q->sent, MSG_NOSIGNAL);
    if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (k <= 0) {
      out_close(q);
      return;
    }
    q->sent += (size_t)k;
  }
  q->out.length = q->sent = 0;
  ev_io_stop(l, &q->wr);
}

static void open_to(struct peer *q, double now) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
  if (fd < 0) return;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  q->opened_at = q->stuck_at = now;
  if (connect(fd, (struct sockaddr *)&q->addr, sizeof q->addr) && errno != EINPROGRESS) {
    if (errno == ECONNREFUSED) {
      q->refused_at = now;
      q->refusals++;
    }
    close(fd);
    return;
  }
  q->fd = fd;
  q->connecting = true;
  ev_io_init(&q->wr, on_out, fd, EV_WRITE);
  q->wr.data = q;
  ev_io_start(q->p->c->loop, &q->wr);
}

struct gather {
  tmx_beat_suspect *v;
  char (*ids)[TMX_ID_MAX];
  size_t n, cap;
};
static void gather_one(void *arg, const struct tmx_suspicion *suspicion) {
  struct gather *g = arg;
  if (g->n == g->cap) {
    g->cap = g->cap ? g->cap * 2 : 64;
    g->v = realloc(g->v, g->cap * sizeof *g->v);
    g->ids = realloc(g->ids, g->cap * sizeof *g->ids);
    if (!g->v || !g->ids) abort();
  }
  memcpy(g->ids[g->n], suspicion->id, TMX_ID_MAX);
  g->v[g->n++] = (tmx_beat_suspect){
      .silence_ms = suspicion->silence_s > 1e6 ? UINT32_MAX : (u_int)(suspicion->silence_s * 1000),
      .lost = suspicion->probes_lost > 0 ? (u_int)suspicion->probes_lost : 0,
      .unreached_ms = (u_int)(fmin(suspicion->unacknowledged_s, 1e6) * 1000),
      .notice = suspicion->spot_notice};
}

/* Appends one record, with its length before it; false: it cannot be encoded. */
static bool append_record(struct tmx_buffer *out, tmx_beat *b) {
  u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_tmx_beat, b);
  char *record = malloc(size);
  XDR x;
  if (!record) abort();
  xdrmem_create(&x, record, size, XDR_ENCODE);
  bool ok = xdr_tmx_beat(&x, b);
  uint32_t len = htonl(size);
  if (ok) {
    tmx_buffer_append(out, &len, sizeof len);
    tmx_buffer_append(out, record, size);
  }
  xdr_destroy(&x);
  free(record);
  return ok;
}

/* A record holds a bounded number of machines in doubt: more of them go out in further records of
 * the same heartbeat, which every version takes as one heartbeat after another. */
static void encode_beat(struct tmx_buffer *out, tmx_beat *b, struct gather *g) {
  size_t at = 0;
  do {
    size_t part = g->n - at < TMX_BEAT_MACHINES ? g->n - at : TMX_BEAT_MACHINES;
    b->suspects.suspects_len = (u_int)part;
    b->suspects.suspects_val = g->v + at;
    if (!append_record(out, b)) return;
    at += part;
  } while (at < g->n);
}

static void send_beats(struct tmx_peers *p) {
  struct tmx_ctl *c = p->c;
  struct gather g = {0};
  struct tmx_buffer out = {0};
  tmx_workers_each_suspicion(c->workers, gather_one, &g);
  for (size_t i = 0; i < g.n; i++) g.v[i].id = g.ids[i];
  double age = tmx_clock_steady() - tmx_store_fresh_as_of(c->link);
  const struct tmx_zone_liveness *signs = tmx_workers_zone_liveness(c->workers);
  tmx_beat_zone zones[TMX_ZONES_MAX];
  for (size_t i = 0; i < c->set.n_zones; i++)
    zones[i] = (tmx_beat_zone){c->set.zones[i], signs[i].machines, signs[i].lost, signs[i].alive};
  tmx_beat b = {.node = c->set.node,
                .revision = c->rep.revision,
                .term = c->rep.view.term,
                .state_age_ms = age > 1e6 ? UINT32_MAX : (u_int)(age * 1000),
                .no_workers = tmx_ctl_no_workers(c),
                .zones = {.zones_len = (u_int)c->set.n_zones, .zones_val = zones}};
  encode_beat(&out, &b, &g);
  for (size_t i = 0; i < p->n; i++) {
    struct peer *q = &p->peers[i];
    if (q->fd < 0 || q->connecting || q->out.length) continue; /* a stuck peer gets the next one */
    tmx_buffer_append(&q->out, out.data, out.length);
    ev_io_start(c->loop, &q->wr);
  }
  tmx_buffer_free(&out);
  free(g.v);
  free(g.ids);
}

void tmx_peers_tick(struct tmx_peers *p) {
  double now = tmx_clock_steady();
  if (now - p->sent_at < TMX_BEAT_S) return;
  p->sent_at = now;
  for (size_t i = 0; i < p->n; i++) {
    struct peer *q = &p->peers[i];
    if (!q->out.length && !q->connecting) q->stuck_at = now;
    if (q->fd >= 0 && now - q->stuck_at > TMX_BEAT_LOST_S) out_close(q);
    if (q->fd < 0) open_to(q, now);
  }
  send_beats(p);
}

double tmx_peers_silence(const struct tmx_peers *p, const char *node) {
  for (size_t i = 0; i < p->n; i++)
    if (!strcmp(p->peers[i].name, node))
      return p->peers[i].beat_at ? tmx_clock_steady() - p->peers[i].beat_at : 1e9;
  return 1e9;
}

bool tmx_peers_refused(const struct tmx_peers *p, const char *node) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < p->n; i++) {
    const struct peer *q = &p->peers[i];
    if (!strcmp(q->name, node))
      return q->refusals >= 2 && now - q->refused_at < 2 * TMX_BEAT_DEAD_S &&
             now - q->beat_at > TMX_BEAT_DEAD_S;
  }
  return false;
}

bool tmx_peers_any(const struct tmx_peers *p) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < p->n; i++)
    if (p->peers[i].beat_at && now - p->peers[i].beat_at < TMX_BEAT_LOST_S) return true;
  return false;
}

double tmx_peers_state_age(const struct tmx_peers *p) {
  double best = 1e9, now = tmx_clock_steady();
  for (size_t i = 0; i < p->n; i++) {
    const struct peer *q = &p->peers[i];
    double age = q->state_age + (now - q->beat_at);
    if (q->beat_at && age < best) best = age;
  }
  return best;
}

bool tmx_peers_cut(const struct tmx_peers *p, const char *node) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < p->n; i++)
    if (!strcmp(p->peers[i].name, node))
      return p->peers[i].no_workers && now - p->peers[i].beat_at < TMX_BEAT_LOST_S;
  return false;
}

const struct tmx_zone_liveness *tmx_peers_zones(const struct tmx_peers *p, const char *node) {
  for (size_t i = 0; i < p->n; i++)
    if (!strcmp(p->peers[i].name, node))
      return p->peers[i].term >= p->c->rep.view.term ? p->peers[i].zones : NULL;
  return NULL;
}

struct tmx_peers *tmx_peers_new(struct tmx_ctl *c) {
  struct sockaddr_in a;
  int one = 1;
  if (!tmx_parse_address(c->set.peer_listen, &a)) return NULL;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return NULL;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&a, sizeof a) || listen(fd, 64)) {
    close(fd);
    return NULL;
  }
  struct tmx_peers *p = calloc(1, sizeof *p);
  if (!p) abort();
  p->c = c;
  p->fd = fd;
  for (size_t i = 0; i < c->set.n_peers; i++) {
    struct peer *q = &p->peers[p->n++];
    q->p = p;
    q->fd = -1;
    snprintf(q->name, sizeof q->name, "%s", c->set.peers[i].name);
    tmx_parse_address(c->set.peers[i].addr, &q->addr);
  }
  ev_io_init(&p->acc, on_acc, fd, EV_READ);
  p->acc.data = p;
  ev_io_start(c->loop, &p->acc);
  return p;
}

void tmx_peers_free(struct tmx_peers *p) {
  ev_io_stop(p->c->loop, &p->acc);
  close(p->fd);
  while (p->in) in_close(p->in);
  for (size_t i = 0; i < p->n; i++) {
    out_close(&p->peers[i]);
    tmx_buffer_free(&p->peers[i].out);
  }
  free(p);
}
