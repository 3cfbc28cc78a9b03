/**
 * @file
 * The failure detector: decides from the heartbeats and probes that a controller has received
 * whether other controllers have failed and whether the network between zones is partitioned.
 *
 * The functions depend only on their arguments, have no side effects and may be called on any
 * thread.
 */
#ifndef TMX_FAILURE_DETECTOR_H
#define TMX_FAILURE_DETECTOR_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tmx/constants.h"

/** Numbers of registered controllers, without this one. A controller counts as alive if this
 * controller received a heartbeat from it within TMX_HEARTBEAT_EXPIRY_S. */
struct tmx_peer_liveness {
  size_t others;            /**< all other registered controllers */
  size_t alive;             /**< those of `others` that are alive */
  size_t same_zone;         /**< those of `others` in this controller's zone */
  size_t same_zone_alive;   /**< those of `same_zone` that are alive */
  size_t other_zones;       /**< those of `others` in any other zone */
  size_t other_zones_alive; /**< those of `other_zones` that are alive */
};

/** Evidence that this controller has about one other controller. */
struct tmx_peer_evidence {
  bool refuses_connections; /**< its host responds, but no process listens on its port */
  bool reports_no_workers;  /**< it reports that it reaches almost none of its workers */
  double heartbeat_age_s;   /**< seconds since its last heartbeat */
  double last_batch_age_s;  /**< seconds since its last batch in the log */
  double observed_for_s;    /**< seconds for which this controller has been able to receive its
                               heartbeats */
};

/** Returns whether the zones appear to be partitioned from each other: in this controller's zone
 * there is at least one other controller and all of them are alive; in the other zones there are at
 * least two and none of them is alive. Each zone must then manage its own machines. */
bool tmx_zones_are_partitioned(const struct tmx_peer_liveness *liveness);

/**
 * Returns whether the controller is suspected to have failed, so that other controllers should take
 * over its work.
 *
 * A false suspicion is safe because the term orders the fencing tokens, but it moves the work of a
 * healthy controller to the others.
 */
bool tmx_peer_is_suspected(const struct tmx_peer_liveness *liveness,
                           const struct tmx_peer_evidence *evidence);

/** Liveness of the machines of one zone, as the controllers that own them report it. */
struct tmx_zone_liveness {
  unsigned machines; /**< machines in the zone */
  unsigned lost;     /**< machines that left several consecutive probes unanswered */
  unsigned alive;    /**< estimated number of machines that are alive, extrapolated from those that
                        showed a sign of life within TMX_LIVENESS_WINDOW_S */
};

/** Returns whether the zone appears to be partitioned from the owners of its machines. The lost
 * machines are then probably not dead. */
bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone);

/** A report by the owner of a machine that something is wrong with the machine. */
struct tmx_suspicion {
  char id[TMX_ID_BYTES];       /**< ID of the machine */
  double no_contact_s;         /**< seconds since the machine's last sign of life */
  int consecutive_probes_lost; /**< number of consecutive probes without an answer */
  double unacknowledged_s;     /**< seconds without evidence that the machine's worker receives the
                                  owner's messages; 0: it receives them */
  bool spot_notice;            /**< the cloud has announced that it will reclaim the machine */
};

/** Receives one suspicion, which is valid only during the call. */
typedef void (*tmx_suspicion_cb)(void *arg, const struct tmx_suspicion *suspicion);
#endif
