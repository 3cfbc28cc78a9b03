/**
 * @file
 * Heartbeats between controllers: XDR records over TCP, on connections that the sender opens. They
 * are advice only; nothing that correctness depends on is decided by them. Loop's thread only.
 */
#ifndef TMX_PEERS_H
#define TMX_PEERS_H
#include <ev.h>

#include "config/settings.h"
#include "membership/failure_detector.h"
#include "replica/replica.h"
#include "store/store.h"

/** The other controllers of the settings, with the connections to and from them. */
struct tmx_peers;

/** Silence of a peer that was never heard, seconds. */
#define TMX_PEER_NEVER_HEARD_S 1e9

/** What heartbeats carry of this controller's machines, and where those of others go. */
struct tmx_peers_source {
  void *context; /**< passed to each function; not owned */
  /** Calls back for each machine of this controller with which something is wrong. */
  void (*each_suspicion)(void *context, tmx_suspicion_cb callback, void *arg);
  /** Takes what a peer says of one of its machines, by the view of this term. */
  void (*take_suspicion)(void *context, const char *node, uint64_t term,
                         const struct tmx_suspicion *suspicion);
  /** Signs of life of this controller's machines, one entry for each zone of the settings. */
  const struct tmx_zone_liveness *(*zone_liveness)(const void *context);
  /** Whether this controller reaches hardly any of its machines. */
  bool (*workers_are_unreachable)(const void *context);
};

/** What the module works on; all of it must outlive it. */
struct tmx_peers_dependencies {
  struct ev_loop *loop;                /**< runs the connections */
  const struct tmx_settings *settings; /**< the peers and their addresses */
  const struct tmx_replica *replica;   /**< its revision and its view's term are sent */
  struct tmx_store *store; /**< tells how fresh the replica is; is told when a peer is ahead */
  struct tmx_peers_source source; /**< copied; its context is not owned */
};

/** Listens for the peers of the settings; the connections to them are opened by the first tick.
 * NULL: the settings' peer_listen cannot be listened on. */
struct tmx_peers *tmx_peers_new(const struct tmx_peers_dependencies *dependencies);
/** Closes all connections. */
void tmx_peers_free(struct tmx_peers *peers);
/** Every TMX_HEARTBEAT_PERIOD_S: opens connections that are closed, and sends heartbeats. */
void tmx_peers_tick(struct tmx_peers *peers);

/** Seconds since the peer's last heartbeat; TMX_PEER_NEVER_HEARD_S: never. */
double tmx_peers_silence(const struct tmx_peers *peers, const char *node);
/** Whether its host refuses connections, several in a row, while no heartbeat of it comes. */
bool tmx_peers_refuses_connections(const struct tmx_peers *peers, const char *node);
/** Whether any peer's heartbeats arrive. */
bool tmx_peers_any_alive(const struct tmx_peers *peers);
/** Age of the freshest replica among the peers, by their latest heartbeats, seconds;
 * TMX_PEER_NEVER_HEARD_S: none was ever heard. */
double tmx_peers_store_age(const struct tmx_peers *peers);
/** Whether the store answers peers but not this controller: others should do its work. When the
 * store answers nobody, everybody stays at work as far as freshness allows. */
bool tmx_peers_lost_store_alone(const struct tmx_peers *peers);
/** Whether the peer says that it reaches hardly any of its machines. */
bool tmx_peers_reports_no_workers(const struct tmx_peers *peers, const char *node);
/** What the peer reports of its machines, by zone of the settings; NULL: nothing, or by a view that
 * no longer stands. Valid until its next heartbeat. */
const struct tmx_zone_liveness *tmx_peers_zone_liveness(const struct tmx_peers *peers,
                                                        const char *node);
#endif
