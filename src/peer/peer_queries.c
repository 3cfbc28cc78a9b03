/* Queries about the peers, answered from their latest heartbeats. */
#include <string.h>

#include "base/clock.h"
#include "peer/peers_internal.h"

/* Minimum number of consecutive refusals. A single refused connection does not count. */
enum { CONSECUTIVE_REFUSALS_MIN = 2 };

struct tmx_peer *tmx_peers_find(const struct tmx_peers *peers, const char *node) {
  for (size_t i = 0; i < peers->count; i++)
    if (!strcmp(peers->peers[i].name, node)) return &peers->peers[i];
  return NULL;
}

double tmx_peers_heartbeat_age(const struct tmx_peers *peers, const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  if (!peer || !peer->heartbeat_at) return TMX_PEER_NO_HEARTBEAT_S;
  return tmx_clock_steady() - peer->heartbeat_at;
}

bool tmx_peers_refuses_connections(const struct tmx_peers *peers, const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  if (!peer) return false;
  double now = tmx_clock_steady();
  return peer->outgoing.consecutive_refusals >= CONSECUTIVE_REFUSALS_MIN &&
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

double tmx_peers_freshest_replica_age(const struct tmx_peers *peers) {
  double freshest_age_s = TMX_PEER_NO_HEARTBEAT_S, now = tmx_clock_steady();
  for (size_t i = 0; i < peers->count; i++) {
    const struct tmx_peer *peer = &peers->peers[i];
    double age_s = peer->replica_age_s + (now - peer->heartbeat_at);
    if (peer->heartbeat_at && age_s < freshest_age_s) freshest_age_s = age_s;
  }
  return freshest_age_s;
}

bool tmx_peers_store_lost_only_here(const struct tmx_peers *peers) {
  double own_age_s = tmx_clock_steady() - tmx_store_fresh_as_of(peers->store);
  if (peers->replica->loaded && own_age_s < TMX_STORE_UNREACHABLE_S) return false;
  return tmx_peers_freshest_replica_age(peers) < TMX_STORE_UNREACHABLE_S / 2;
}

bool tmx_peers_reports_no_workers(const struct tmx_peers *peers, const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  return peer && peer->reaches_no_workers &&
         tmx_clock_steady() - peer->heartbeat_at < TMX_HEARTBEAT_EXPIRY_S;
}

const struct tmx_zone_liveness *tmx_peers_zone_liveness(const struct tmx_peers *peers,
                                                        const char *node) {
  const struct tmx_peer *peer = tmx_peers_find(peers, node);
  /* Under an older view the peer owned other machines, so its counts do not describe its present
   * ones. */
  if (!peer || peer->term < peers->replica->view.term) return NULL;
  return peer->zone_liveness;
}
