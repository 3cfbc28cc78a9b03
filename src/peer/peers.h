/**
 * @file
 * Heartbeats between controllers: XDR records over TCP, on connections that the sender opens.
 * Heartbeats are advisory: no decision that correctness depends on uses them. Only the event loop's
 * thread may call these functions.
 */
#ifndef TMX_PEERS_H
#define TMX_PEERS_H
#include <ev.h>

#include "config/settings.h"
#include "membership/failure_detector.h"
#include "replica/replica.h"
#include "store/store.h"

/** The other controllers in the settings, and the connections to and from them. */
struct tmx_peers;

/** Seconds that are returned as a heartbeat or replica age if no heartbeat has been received. */
#define TMX_PEER_NO_HEARTBEAT_S 1e9

/** Callbacks that provide the state of this controller's machines for its heartbeats and that
 * receive the suspicions in the heartbeats of peers. */
struct tmx_peers_source {
  void *context; /**< passed to each function; not owned */
  /** Calls `callback` for each suspicion about a machine of this controller. */
  void (*for_each_suspicion)(void *context, tmx_suspicion_cb callback, void *arg);
  /** Receives a suspicion of the peer `node` about one of the machines that it owns under the view
   * of this term. */
  void (*on_suspicion)(void *context, const char *node, uint64_t term,
                       const struct tmx_suspicion *suspicion);
  /** Returns the liveness of this controller's machines, with one entry for each zone in the
   * settings. */
  const struct tmx_zone_liveness *(*zone_liveness)(const void *context);
  /** Returns whether this controller reaches almost none of its workers. */
  bool (*workers_are_unreachable)(const void *context);
};

/** The objects that the module uses. They must outlive it. */
struct tmx_peers_dependencies {
  struct ev_loop *loop;                /**< event loop of the connections */
  const struct tmx_settings *settings; /**< names and addresses of the peers */
  const struct tmx_replica *replica;   /**< provides the revision and the term for the heartbeats */
  struct tmx_store *store; /**< reports how fresh the replica is; is notified when a peer's replica
                              is ahead */
  struct tmx_peers_source source; /**< callbacks, copied; the context is not owned */
};

/** Listens on `peer_listen` of the settings. The first tick opens the connections to the peers.
 * Returns NULL if the address is invalid or cannot be listened on. */
struct tmx_peers *tmx_peers_new(const struct tmx_peers_dependencies *dependencies);
/** Closes all connections and the listener, and frees the module. */
void tmx_peers_free(struct tmx_peers *peers);
/** Opens closed connections and sends a heartbeat to each peer, once every TMX_HEARTBEAT_PERIOD_S.
 * A call before the end of the period does nothing. */
void tmx_peers_tick(struct tmx_peers *peers);

/** Returns the seconds since the peer's last heartbeat; TMX_PEER_NO_HEARTBEAT_S if there was none
 * or the peer is unknown. */
double tmx_peers_heartbeat_age(const struct tmx_peers *peers, const char *node);
/** Returns whether the peer's host has recently refused several consecutive connections while no
 * heartbeat of the peer arrived. */
bool tmx_peers_refuses_connections(const struct tmx_peers *peers, const char *node);
/** Returns whether a heartbeat of any peer arrived within TMX_HEARTBEAT_EXPIRY_S. */
bool tmx_peers_any_alive(const struct tmx_peers *peers);
/** Returns the age in seconds of the freshest replica among the peers, according to their latest
 * heartbeats; TMX_PEER_NO_HEARTBEAT_S if there was none. */
double tmx_peers_freshest_replica_age(const struct tmx_peers *peers);
/** Returns whether the store answers a peer but not this controller, so that other controllers
 * should take over this controller's work. If the store answers no controller, all of them continue
 * to work for as long as the age of their replicas permits. */
bool tmx_peers_store_lost_only_here(const struct tmx_peers *peers);
/** Returns whether the peer's latest heartbeat is recent and reports that the peer reaches almost
 * none of its workers. */
bool tmx_peers_reports_no_workers(const struct tmx_peers *peers, const char *node);
/** Returns the liveness of the peer's machines, by zone index, as the peer reports it. Returns NULL
 * if the peer is unknown or its latest heartbeat is based on an older view than this replica's. The
 * result is valid until the peer's next heartbeat. */
const struct tmx_zone_liveness *tmx_peers_zone_liveness(const struct tmx_peers *peers,
                                                        const char *node);
#endif
