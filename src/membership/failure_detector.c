#include "membership/failure_detector.h"

#include "tmx/constants.h"

enum {
  /* Minimum number of controllers in other zones for detecting a partition of the zones. If there
   * is only one and its heartbeats are missing, the controller itself may have failed. */
  PARTITION_OTHERS_MIN = 2,
  /* Minimum number of other controllers for suspecting one because its heartbeats are missing. A
   * controller with a single peer cannot determine which of the two has lost its network. */
  MISSING_HEARTBEATS_OTHERS_MIN = 2,
  /* Minimum number of lost machines for comparing them with the machines that are alive. */
  PARTITION_LOST_MIN = 3
};

bool tmx_zones_are_partitioned(const struct tmx_peer_liveness *liveness) {
  bool own_zone_is_connected =
      liveness->same_zone >= 1 && liveness->same_zone_alive == liveness->same_zone;
  bool other_zones_are_lost =
      liveness->other_zones >= PARTITION_OTHERS_MIN && !liveness->other_zones_alive;
  return own_zone_is_connected && other_zones_are_lost;
}

/* Returns whether the lack of heartbeats from the peer indicates that it has failed. The cause may
 * also be this controller's own network. Missing heartbeats therefore count only if at least half
 * of the other controllers are alive and this controller has been able to receive the peer's
 * heartbeats for long enough. */
static bool missing_heartbeats_indicate_failure(const struct tmx_peer_liveness *liveness,
                                                const struct tmx_peer_evidence *evidence) {
  return liveness->others >= MISSING_HEARTBEATS_OTHERS_MIN &&
         liveness->alive * 2 >= liveness->others &&
         evidence->heartbeat_age_s > TMX_PEER_HEARTBEAT_TIMEOUT_S &&
         evidence->observed_for_s > TMX_PEER_HEARTBEAT_TIMEOUT_S;
}

bool tmx_peer_is_suspected(const struct tmx_peer_liveness *liveness,
                           const struct tmx_peer_evidence *evidence) {
  /* A refused connection alone does not prove that the process has terminated. A recent batch in
   * the log proves that it is alive. */
  if (evidence->refuses_connections) return evidence->last_batch_age_s > TMX_RECENT_BATCH_AGE_MAX_S;
  /* The peer is alive but cannot reach its workers. Other controllers may be able to. */
  if (evidence->reports_no_workers) return true;
  /* Controllers on the other side of a partition are alive and manage the machines of their own
   * zones. */
  if (tmx_zones_are_partitioned(liveness)) return false;
  return missing_heartbeats_indicate_failure(liveness, evidence);
}

/* Lost machines are compared with the machines that are known to be alive instead of with all
 * machines, because the state of a machine that was not probed recently is unknown. The machines of
 * a zone are probed one after the other: when the zone becomes unreachable, the first machines are
 * already lost while most have not been probed yet. */
bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone) {
  if (zone->lost >= PARTITION_LOST_MIN) return zone->lost > zone->alive;
  return zone->lost && !zone->alive && zone->machines > 1;
}
