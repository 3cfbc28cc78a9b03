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
  char name[TMX_NAME_BYTES];               /**< node name of the controller */
  struct tmx_outgoing_connection outgoing; /**< the connection to it */
  double heartbeat_at;  /**< monotonic clock, seconds; 0: never heard, and what follows is empty */
  double replica_age_s; /**< of its replica, when the heartbeat was sent, seconds */
  uint64_t term;        /**< of the view by which it owned its machines */
  bool reaches_no_workers; /**< it reaches hardly any of its machines */
  /** Signs of life of its machines, by zone of the settings. */
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};

/** State of the module. */
struct tmx_peers {
  const struct tmx_settings *settings;       /**< not owned */
  const struct tmx_replica *replica;         /**< not owned */
  struct tmx_store *store;                   /**< not owned */
  struct tmx_peers_source source;            /**< a copy; its context is not owned */
  struct tmx_incoming_connections *incoming; /**< owned */
  struct tmx_peer *peers;                    /**< owned; in the order of the settings */
  size_t count;                              /**< entries of `peers` */
  double sent_at; /**< time of the latest heartbeats, monotonic clock, seconds */
};

/** The peer of this name, or NULL. */
struct tmx_peer *tmx_peers_find(const struct tmx_peers *peers, const char *node);
#endif
