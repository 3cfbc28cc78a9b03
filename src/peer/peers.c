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

#include "heartbeat.h"
#include "peer/peers.h"
#include "base/log.h"
#include "base/clock.h"
#include "base/memory.h"

#define BEAT_BYTES_MAX (256u << 10)

struct peer_connection {
  struct tmx_peers *peers;
  char name[TMX_NAME_MAX];
  struct sockaddr_in address;
  int fd;
  bool connecting;
  ev_io write_watcher;
  struct tmx_buffer unsent;
  size_t sent;
  double opened_at, blocked_since, refused_at;
  int refusals;
  /* from its beats */
  double heartbeat_at;
  double store_age;
  uint64_t term;
  bool reports_no_workers;
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};
struct incoming {
  struct tmx_peers *peers;
  int fd;
  ev_io read_watcher;
  struct tmx_buffer received;
  struct incoming *prev, *next;
};
struct tmx_peers {
  struct ev_loop *loop;
  const struct tmx_settings *settings;
  const struct tmx_replica *replica;
  struct tmx_store *store;
  struct tmx_peers_source source;
  int fd;
  ev_io accept_watcher;
  struct peer_connection peers[TMX_MEMBERS_MAX];
  size_t n;
  struct incoming *incoming;
  int n_incoming;
  double sent_at;
};

/* ------------------------------------------------------------ receiving */

static void close_incoming(struct incoming *connection) {
  ev_io_stop(connection->peers->loop, &connection->read_watcher);
  close(connection->fd);
  DL_DELETE(connection->peers->incoming, connection);
  connection->peers->n_incoming--;
  tmx_buffer_free(&connection->received);
  free(connection);
}

static void take_heartbeat(struct tmx_peers *peers, const tmx_heartbeat *heartbeat) {
  struct peer_connection *peer = NULL;
  for (size_t i = 0; i < peers->n; i++)
    if (!strcmp(peers->peers[i].name, heartbeat->node)) peer = &peers->peers[i];
  if (!peer) return;
  peer->heartbeat_at = tmx_clock_steady();
  peer->refusals = 0;
  peer->store_age = heartbeat->state_age_ms / 1000.0;
  peer->term = heartbeat->term;
  if (heartbeat->revision > peers->replica->revision) tmx_store_note_peer_ahead(peers->store);
  peer->reports_no_workers = heartbeat->no_workers;
  memset(peer->zone_liveness, 0, sizeof peer->zone_liveness);
  for (u_int i = 0; i < heartbeat->zones.zones_len; i++) {
    const tmx_heartbeat_zone *z = &heartbeat->zones.zones_val[i];
    int at = tmx_zone_index(peers->settings, z->name);
    if (at >= 0)
      peer->zone_liveness[at] = (struct tmx_zone_liveness){z->machines, z->lost, z->alive};
  }
  for (u_int i = 0; i < heartbeat->suspects.suspects_len; i++) {
    const tmx_heartbeat_suspicion *d = &heartbeat->suspects.suspects_val[i];
    struct tmx_suspicion suspicion = {.silence_s = d->silence_ms / 1000.0,
                                      .probes_lost = (int)d->lost,
                                      .unacknowledged_s = d->unreached_ms / 1000.0,
                                      .spot_notice = d->notice};
    snprintf(suspicion.id, sizeof suspicion.id, "%s", d->id);
    peers->source.take_suspicion(peers->source.context, peer->name, heartbeat->term, &suspicion);
  }
}

static void on_readable(struct ev_loop *l, ev_io *w, int ev) {
  (void)l;
  (void)ev;
  struct incoming *connection = w->data;
  char buf[16384];
  ssize_t n = recv(connection->fd, buf, sizeof buf, 0);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (n <= 0) {
    close_incoming(connection);
    return;
  }
  tmx_buffer_append(&connection->received, buf, (size_t)n);
  for (;;) {
    if (connection->received.length < 4) return;
    uint32_t len;
    memcpy(&len, connection->received.data, 4);
    len = ntohl(len);
    if (len > BEAT_BYTES_MAX) {
      close_incoming(connection);
      return;
    }
    if (connection->received.length < 4 + (size_t)len) return;
    XDR x;
    tmx_heartbeat heartbeat;
    memset(&heartbeat, 0, sizeof heartbeat);
    xdrmem_create(&x, (char *)connection->received.data + 4, len, XDR_DECODE);
    bool ok = xdr_tmx_heartbeat(&x, &heartbeat);
    if (ok) take_heartbeat(connection->peers, &heartbeat);
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&heartbeat);
    if (!ok) {
      close_incoming(connection);
      return;
    }
    memmove(connection->received.data, connection->received.data + 4 + len,
            connection->received.length - 4 - len);
    connection->received.length -= 4 + len;
  }
}

static void on_accept(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct tmx_peers *peers = w->data;
  int fd = accept4(peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  if (peers->n_incoming >= 4 * TMX_MEMBERS_MAX)
    close_incoming(peers->incoming); /* the oldest: likely dead */
  struct incoming *connection = tmx_allocate(1, sizeof *connection);
  connection->peers = peers;
  connection->fd = fd;
  ev_io_init(&connection->read_watcher, on_readable, fd, EV_READ);
  connection->read_watcher.data = connection;
  ev_io_start(l, &connection->read_watcher);
  DL_APPEND(peers->incoming, connection);
  peers->n_incoming++;
}

/* ------------------------------------------------------------ sending */

static void close_outgoing(struct peer_connection *peer) {
  if (peer->fd < 0) return;
  ev_io_stop(peer->peers->loop, &peer->write_watcher);
  close(peer->fd);
  peer->fd = -1;
  peer->unsent.length = peer->sent = 0;
}

static void on_writable(struct ev_loop *l, ev_io *w, int ev) {
  (void)ev;
  struct peer_connection *peer = w->data;
  if (peer->connecting) {
    int err = 0;
    socklen_t n = sizeof err;
    getsockopt(peer->fd, SOL_SOCKET, SO_ERROR, &err, &n);
    if (err) {
      if (err == ECONNREFUSED) {
        peer->refused_at = tmx_clock_steady();
        peer->refusals++;
      }
      close_outgoing(peer);
      return;
    }
    peer->connecting = false;
    peer->refusals = 0;
  }
  while (peer->sent < peer->unsent.length) {
    ssize_t k = send(peer->fd, peer->unsent.data + peer->sent, peer->unsent.length - peer->sent,
                     MSG_NOSIGNAL);
    if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (k <= 0) {
      close_outgoing(peer);
      return;
    }
    peer->sent += (size_t)k;
  }
  peer->unsent.length = peer->sent = 0;
  ev_io_stop(l, &peer->write_watcher);
}

static void connect_to(struct peer_connection *peer, double now) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), one = 1;
  if (fd < 0) return;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  peer->opened_at = peer->blocked_since = now;
  if (connect(fd, (struct sockaddr *)&peer->address, sizeof peer->address) &&
      errno != EINPROGRESS) {
    if (errno == ECONNREFUSED) {
      peer->refused_at = now;
      peer->refusals++;
    }
    close(fd);
    return;
  }
  peer->fd = fd;
  peer->connecting = true;
  ev_io_init(&peer->write_watcher, on_writable, fd, EV_WRITE);
  peer->write_watcher.data = peer;
  ev_io_start(peer->peers->loop, &peer->write_watcher);
}

struct suspicion_list {
  tmx_heartbeat_suspicion *suspicions;
  char (*ids)[TMX_ID_MAX];
  size_t count, capacity;
};
static void append_suspicion(void *arg, const struct tmx_suspicion *suspicion) {
  struct suspicion_list *list = arg;
  if (list->count == list->capacity) {
    list->capacity = list->capacity ? list->capacity * 2 : 64;
    list->suspicions = realloc(list->suspicions, list->capacity * sizeof *list->suspicions);
    list->ids = realloc(list->ids, list->capacity * sizeof *list->ids);
    if (!list->suspicions || !list->ids) abort();
  }
  memcpy(list->ids[list->count], suspicion->id, TMX_ID_MAX);
  list->suspicions[list->count++] = (tmx_heartbeat_suspicion){
      .silence_ms = suspicion->silence_s > 1e6 ? UINT32_MAX : (u_int)(suspicion->silence_s * 1000),
      .lost = suspicion->probes_lost > 0 ? (u_int)suspicion->probes_lost : 0,
      .unreached_ms = (u_int)(fmin(suspicion->unacknowledged_s, 1e6) * 1000),
      .notice = suspicion->spot_notice};
}

/* Appends one record, with its length before it; false: it cannot be encoded. */
static bool append_record(struct tmx_buffer *out, tmx_heartbeat *heartbeat) {
  u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_tmx_heartbeat, heartbeat);
  char *record = malloc(size);
  XDR x;
  if (!record) abort();
  xdrmem_create(&x, record, size, XDR_ENCODE);
  bool ok = xdr_tmx_heartbeat(&x, heartbeat);
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
static void encode_heartbeat(struct tmx_buffer *out, tmx_heartbeat *heartbeat,
                             struct suspicion_list *list) {
  size_t at = 0;
  do {
    size_t part = list->count - at < TMX_HEARTBEAT_SUSPICIONS_MAX ? list->count - at
                                                                  : TMX_HEARTBEAT_SUSPICIONS_MAX;
    heartbeat->suspects.suspects_len = (u_int)part;
    heartbeat->suspects.suspects_val = list->suspicions + at;
    if (!append_record(out, heartbeat)) return;
    at += part;
  } while (at < list->count);
}

static void send_heartbeats(struct tmx_peers *peers) {
  struct suspicion_list list = {0};
  struct tmx_buffer out = {0};
  peers->source.each_suspicion(peers->source.context, append_suspicion, &list);
  for (size_t i = 0; i < list.count; i++) list.suspicions[i].id = list.ids[i];
  double age = tmx_clock_steady() - tmx_store_fresh_as_of(peers->store);
  const struct tmx_zone_liveness *signs = peers->source.zone_liveness(peers->source.context);
  /* XDR's records are not const, as decoding fills them; encoding only reads. */
  tmx_heartbeat_zone zones[TMX_ZONES_MAX];
  for (size_t i = 0; i < peers->settings->n_zones; i++)
    zones[i] = (tmx_heartbeat_zone){(char *)peers->settings->zones[i], signs[i].machines,
                                    signs[i].lost, signs[i].alive};
  tmx_heartbeat heartbeat = {
      .node = (char *)peers->settings->node_name,
      .revision = peers->replica->revision,
      .term = peers->replica->view.term,
      .state_age_ms = age > 1e6 ? UINT32_MAX : (u_int)(age * 1000),
      .no_workers = peers->source.workers_are_unreachable(peers->source.context),
      .zones = {.zones_len = (u_int)peers->settings->n_zones, .zones_val = zones}};
  encode_heartbeat(&out, &heartbeat, &list);
  for (size_t i = 0; i < peers->n; i++) {
    struct peer_connection *peer = &peers->peers[i];
    if (peer->fd < 0 || peer->connecting || peer->unsent.length)
      continue; /* a stuck peer gets the next one */
    tmx_buffer_append(&peer->unsent, out.data, out.length);
    ev_io_start(peers->loop, &peer->write_watcher);
  }
  tmx_buffer_free(&out);
  free(list.suspicions);
  free(list.ids);
}

void tmx_peers_tick(struct tmx_peers *peers) {
  double now = tmx_clock_steady();
  if (now - peers->sent_at < TMX_HEARTBEAT_PERIOD_S) return;
  peers->sent_at = now;
  for (size_t i = 0; i < peers->n; i++) {
    struct peer_connection *peer = &peers->peers[i];
    if (!peer->unsent.length && !peer->connecting) peer->blocked_since = now;
    if (peer->fd >= 0 && now - peer->blocked_since > TMX_HEARTBEAT_LOST_S) close_outgoing(peer);
    if (peer->fd < 0) connect_to(peer, now);
  }
  send_heartbeats(peers);
}

double tmx_peers_silence(const struct tmx_peers *peers, const char *node) {
  for (size_t i = 0; i < peers->n; i++)
    if (!strcmp(peers->peers[i].name, node))
      return peers->peers[i].heartbeat_at ? tmx_clock_steady() - peers->peers[i].heartbeat_at : 1e9;
  return 1e9;
}

bool tmx_peers_refuses_connections(const struct tmx_peers *peers, const char *node) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < peers->n; i++) {
    const struct peer_connection *peer = &peers->peers[i];
    if (!strcmp(peer->name, node))
      return peer->refusals >= 2 && now - peer->refused_at < 2 * TMX_HEARTBEAT_DEAD_S &&
             now - peer->heartbeat_at > TMX_HEARTBEAT_DEAD_S;
  }
  return false;
}

bool tmx_peers_any_alive(const struct tmx_peers *peers) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < peers->n; i++)
    if (peers->peers[i].heartbeat_at && now - peers->peers[i].heartbeat_at < TMX_HEARTBEAT_LOST_S)
      return true;
  return false;
}

double tmx_peers_store_age(const struct tmx_peers *peers) {
  double best = 1e9, now = tmx_clock_steady();
  for (size_t i = 0; i < peers->n; i++) {
    const struct peer_connection *peer = &peers->peers[i];
    double age = peer->store_age + (now - peer->heartbeat_at);
    if (peer->heartbeat_at && age < best) best = age;
  }
  return best;
}

bool tmx_peers_lost_store_alone(const struct tmx_peers *peers) {
  double store_age_s = tmx_clock_steady() - tmx_store_fresh_as_of(peers->store);
  if (peers->replica->loaded && store_age_s < TMX_STORE_LOST_S) return false;
  return tmx_peers_store_age(peers) < TMX_STORE_LOST_S / 2;
}

bool tmx_peers_reports_no_workers(const struct tmx_peers *peers, const char *node) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < peers->n; i++)
    if (!strcmp(peers->peers[i].name, node))
      return peers->peers[i].reports_no_workers &&
             now - peers->peers[i].heartbeat_at < TMX_HEARTBEAT_LOST_S;
  return false;
}

const struct tmx_zone_liveness *tmx_peers_zone_liveness(const struct tmx_peers *peers,
                                                        const char *node) {
  for (size_t i = 0; i < peers->n; i++)
    if (!strcmp(peers->peers[i].name, node))
      return peers->peers[i].term >= peers->replica->view.term ? peers->peers[i].zone_liveness
                                                               : NULL;
  return NULL;
}

struct tmx_peers *tmx_peers_new(const struct tmx_peers_dependencies *dependencies) {
  struct sockaddr_in a;
  int one = 1;
  if (!tmx_parse_address(dependencies->settings->peer_listen, &a)) return NULL;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return NULL;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&a, sizeof a) || listen(fd, 64)) {
    close(fd);
    return NULL;
  }
  struct tmx_peers *peers = tmx_allocate(1, sizeof *peers);
  peers->loop = dependencies->loop;
  peers->settings = dependencies->settings;
  peers->replica = dependencies->replica;
  peers->store = dependencies->store;
  peers->source = dependencies->source;
  peers->fd = fd;
  for (size_t i = 0; i < dependencies->settings->n_peers; i++) {
    struct peer_connection *peer = &peers->peers[peers->n++];
    peer->peers = peers;
    peer->fd = -1;
    snprintf(peer->name, sizeof peer->name, "%s", dependencies->settings->peers[i].name);
    tmx_parse_address(dependencies->settings->peers[i].addr, &peer->address);
  }
  ev_io_init(&peers->accept_watcher, on_accept, fd, EV_READ);
  peers->accept_watcher.data = peers;
  ev_io_start(dependencies->loop, &peers->accept_watcher);
  return peers;
}

void tmx_peers_free(struct tmx_peers *peers) {
  ev_io_stop(peers->loop, &peers->accept_watcher);
  close(peers->fd);
  while (peers->incoming) close_incoming(peers->incoming);
  for (size_t i = 0; i < peers->n; i++) {
    close_outgoing(&peers->peers[i]);
    tmx_buffer_free(&peers->peers[i].unsent);
  }
  free(peers);
}
