/**
 * @file
 * The failure detector: what a controller concludes about other controllers, and about the network
 * between zones, from what it has heard. Pure functions of their arguments.
 */
#ifndef TMX_FAILURE_DETECTOR_H
#define TMX_FAILURE_DETECTOR_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tmx/constants.h"

/** Counts of the registered controllers other than this one; "heard" are those whose heartbeats
 * arrive. */
struct tmx_peer_census {
  size_t others;            /**< registered controllers other than this one */
  size_t heard;             /**< of `others`, those that are heard */
  size_t same_zone;         /**< in this controller's zone */
  size_t same_zone_heard;   /**< of `same_zone`, those that are heard */
  size_t other_zones;       /**< in any other zone */
  size_t other_zones_heard; /**< of `other_zones`, those that are heard */
};

/** What this controller knows of one other controller. */
struct tmx_peer_evidence {
  bool refuses_connections; /**< its host answers, and nothing listens on its port */
  bool reports_no_workers;  /**< it reports that it reaches hardly any of its workers */
  double silence_s;         /**< s since its last heartbeat */
  double last_batch_age_s;  /**< s since its last batch in the log */
  double observed_for_s;    /**< s that this controller has been in a position to hear it */
};

/** Whether the zones seem to be partitioned from each other: no controller of another zone is
 * heard, and every one of this zone is. Each zone must then drive its own machines. */
bool tmx_zones_are_partitioned(const struct tmx_peer_census *census);

/** Whether the controller is suspected of having failed, so that others should do its work. A false
 * suspicion is safe, as terms order the fencing tokens, but it puts the work of a healthy
 * controller on the others. */
bool tmx_peer_is_suspected(const struct tmx_peer_census *census,
                           const struct tmx_peer_evidence *evidence);

/** Liveness of the machines of one zone, as their owners report it. */
struct tmx_zone_liveness {
  unsigned machines; /**< machines in the zone */
  unsigned lost;     /**< several probes in a row were lost */
  unsigned alive;    /**< estimate, from signs of life within TMX_LIVENESS_WINDOW_S */
};

/** Whether the zone seems to be partitioned from the owners of its machines, rather than its
 * machines dead. */
bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone);

/** What the owner of a machine reports when something is wrong with the machine. */
struct tmx_suspicion {
  char id[TMX_ID_BYTES];   /**< of the machine */
  double silence_s;        /**< s since its last sign of life */
  int probes_lost;         /**< in a row */
  double unacknowledged_s; /**< s that nothing has shown that it hears its owner; 0: it does */
  bool spot_notice;        /**< the cloud is about to take it back */
};

/** Receives one suspicion, which is valid during the call only. */
typedef void (*tmx_suspicion_cb)(void *arg, const struct tmx_suspicion *suspicion);
#endif
