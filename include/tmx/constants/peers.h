/**
 * @file
 * Periods and limits of the messages between controllers. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_PEERS_H
#define TMX_CONSTANTS_PEERS_H

/** Seconds between heartbeats. */
#define TMX_HEARTBEAT_PERIOD_S 0.4
/** Seconds without a heartbeat after which a peer that refuses connections is considered dead. */
#define TMX_HEARTBEAT_DEAD_S 1.3
/**
 * Seconds after which a heartbeat expires: its contents are ignored, and the peer counts as lost.
 */
#define TMX_HEARTBEAT_EXPIRY_S 2.5
/**
 * Seconds without a heartbeat after which a peer is excluded from the view, if at least half of the
 * other peers are alive.
 */
#define TMX_PEER_HEARTBEAT_TIMEOUT_S 3.5
/** Seconds; a peer whose last batch is more recent is alive even if it refuses connections. */
#define TMX_RECENT_BATCH_AGE_MAX_S 1.6
/**
 * Seconds for which the zones must have been in contact before the view no longer treats them as
 * partitioned.
 */
#define TMX_VIEW_PARTITION_HOLD_S 5.0

#endif
