/**
 * @file
 * State shared by the files of src/peer. Only the event loop's thread may access it.
 */
#ifndef TMX_PEERS_INTERNAL_H
#define TMX_PEERS_INTERNAL_H
#include "peer/incoming_connections.h"
#include "peer/outgoing_connection.h"
#include "peer/peers.h"

/** Another controller in the settings: the connection to it and the contents of its latest
 * heartbeat. */
struct tmx_peer {
  char name[TMX_NAME_BYTES];               /**< node name of the controller */
  struct tmx_outgoing_connection outgoing; /**< connection to the controller */
  double heartbeat_at;  /**< arrival time of the latest heartbeat, seconds on the monotonic clock;
                           0: no heartbeat has arrived, and the fields below are zero */
  double replica_age_s; /**< age of its replica when it sent the heartbeat, seconds */
  uint64_t term;        /**< term of the view that determined its machines */
  bool reaches_no_workers; /**< it reaches almost none of its workers */
  /** Liveness of its machines, by zone index. */
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};

/** State of the module. */
struct tmx_peers {
  const struct tmx_settings *settings;       /**< not owned */
  const struct tmx_replica *replica;         /**< not owned */
  struct tmx_store *store;                   /**< not owned */
  struct tmx_peers_source source;            /**< copied callbacks; the context is not owned */
  struct tmx_incoming_connections *incoming; /**< owned */
  struct tmx_peer *peers;                    /**< owned, in the order of the settings */
  size_t count;                              /**< number of entries of `peers` */
  double sent_at; /**< time of the last sending of heartbeats, seconds on the monotonic clock */
};

/** Returns the peer with this node name, or NULL if the name is unknown. */
struct tmx_peer *tmx_peers_find(const struct tmx_peers *peers, const char *node);
#endif
