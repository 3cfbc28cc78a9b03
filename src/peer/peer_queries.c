/* What the failure detector asks about peers: answers from their latest heartbeats. */
#include <string.h>

#include "base/clock.h"
#include "peer/peers_internal.h"

/* A single refusal does not count: only so many in a row do. */
enum { REFUSALS_MIN = 2 };

struct tmx_peer *tmx_peers_find(const struct tmx_peers *peers, const char *node) {
  for (size_t i = 0; i < peers->count; i++)
    if (!strcmp(peers->peers[i].name, node)) return &peers->peers[i];
  return NULL;
}

double tmx_peers_silence(const struct tmx_peers *peers, const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  if (!peer || !peer->heartbeat_at) return TMX_PEER_NEVER_HEARD_S;
  return tmx_clock_steady() - peer->heartbeat_at;
}

bool tmx_peers_refuses_connections(const struct tmx_peers *peers, const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  if (!peer) return false;
  double now = tmx_clock_steady();
  return peer->outgoing.refusals >= REFUSALS_MIN &&
         now - peer->outgoing.refused_at < 2 * TMX_HEARTBEAT_DEAD_S &&
         now - peer->heartbeat_at > TMX_HEARTBEAT_DEAD_S;
}

bool tmx_peers_any_alive(const struct tmx_peers *peers) {
  double now = tmx_clock_steady();
  for (size_t i = 0; i < peers->count; i++) {
    const struct tmx_peer *peer = &peers->peers[i];
    if (peer->heartbeat_at && now - peer->heartbeat_at < TMX_HEARTBEAT_EXPIRY_S) return true;
  }
  return false;
}

double tmx_peers_store_age(const struct tmx_peers *peers) {
  double freshest = TMX_PEER_NEVER_HEARD_S, now = tmx_clock_steady();
  for (size_t i = 0; i < peers->count; i++) {
    const struct tmx_peer *peer = &peers->peers[i];
    double age = peer->replica_age_s + (now - peer->heartbeat_at);
    if (peer->heartbeat_at && age < freshest) freshest = age;
  }
  return freshest;
}

bool tmx_peers_lost_store_alone(const struct tmx_peers *peers) {
  double own_age_s = tmx_clock_steady() - tmx_store_fresh_as_of(peers->store);
  if (peers->replica->loaded && own_age_s < TMX_STORE_UNREACHABLE_S) return false;
  return tmx_peers_store_age(peers) < TMX_STORE_UNREACHABLE_S / 2;
}

bool tmx_peers_reports_no_workers(const struct tmx_peers *peers, const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  return peer && peer->reaches_no_workers &&
         tmx_clock_steady() - peer->heartbeat_at < TMX_HEARTBEAT_EXPIRY_S;
}

const struct tmx_zone_liveness *tmx_peers_zone_liveness(const struct tmx_peers *peers,
                                                        const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  /* By an older view other machines were its own, so it counted others than now. */
  if (!peer || peer->term < peers->replica->view.term) return NULL;
  return peer->zone_liveness;
}
