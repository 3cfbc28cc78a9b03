/**
 * @file
 * State that the files of src/peer share. Loop's thread only.
 */
#ifndef TMX_PEERS_INTERNAL_H
#define TMX_PEERS_INTERNAL_H
#include "peer/incoming_connections.h"
#include "peer/outgoing_connection.h"
#include "peer/peers.h"

/** One other controller of the settings: the connection to it and its latest heartbeat. */
struct tmx_peer {
  char name[TMX_NAME_MAX];
  struct tmx_outgoing_connection outgoing;
  double heartbeat_at;  /**< steady clock; 0: never heard, and what follows is empty */
  double replica_age_s; /**< of its replica, when the heartbeat was sent */
  uint64_t term;        /**< of the view by which it owned its machines */
  bool reaches_no_workers;
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};

struct tmx_peers {
  const struct tmx_settings *settings;
  const struct tmx_replica *replica;
  struct tmx_store *store;
  struct tmx_peers_source source;
  struct tmx_incoming_connections *incoming;
  struct tmx_peer *peers; /**< in the order of the settings */
  size_t count;
  double sent_at; /**< steady clock, of the latest heartbeats */
};

/** The peer of this name, or NULL. */
struct tmx_peer *tmx_peers_find(const struct tmx_peers *peers, const char *node);
#endif
