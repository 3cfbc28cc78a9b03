#include "membership/failure_detector.h"

#include "tmx/constants.h"

enum {
  /* Minimum number of controllers in other zones for detecting a partition of the zones. If there
   * is only one and it is silent, the controller itself may have failed. */
  PARTITION_OTHERS_MIN = 2,
  /* Minimum number of other controllers for judging one by its silence. A controller with a single
   * peer cannot tell which of the two has lost its network. */
  SILENCE_OTHERS_MIN = 2,
  /* Minimum number of lost machines for comparing them with the machines that are alive. */
  PARTITION_LOST_MIN = 3
};

bool tmx_zones_are_partitioned(const struct tmx_peer_census *census) {
  bool own_zone_is_connected =
      census->same_zone >= 1 && census->same_zone_heard == census->same_zone;
  bool other_zones_are_silent =
      census->other_zones >= PARTITION_OTHERS_MIN && !census->other_zones_heard;
  return own_zone_is_connected && other_zones_are_silent;
}

/* Returns whether the peer's silence is evidence of its failure. The cause may also be this
 * controller's own network. The silence therefore counts only if this controller hears at least
 * half of the other controllers and has been able to hear this peer for long enough. */
static bool silence_indicates_failure(const struct tmx_peer_census *census,
                                      const struct tmx_peer_evidence *evidence) {
  return census->others >= SILENCE_OTHERS_MIN && census->heard * 2 >= census->others &&
         evidence->silence_s > TMX_PEER_SILENCE_S && evidence->observed_for_s > TMX_PEER_SILENCE_S;
}

bool tmx_peer_is_suspected(const struct tmx_peer_census *census,
                           const struct tmx_peer_evidence *evidence) {
  /* A refused connection alone does not prove that the process has terminated. A recent batch in
   * the log proves that it is alive. */
  if (evidence->refuses_connections) return evidence->last_batch_age_s > TMX_RECENT_BATCH_AGE_MAX_S;
  /* The peer is alive but cannot reach its workers. Other controllers may be able to. */
  if (evidence->reports_no_workers) return true;
  /* Controllers on the other side of a partition are alive and manage the machines of their own
   * zones. */
  if (tmx_zones_are_partitioned(census)) return false;
  return silence_indicates_failure(census, evidence);
}

/* Lost machines are compared with the machines that are known to be alive instead of with all
 * machines, because the state of a machine that was not probed recently is unknown. The machines of
 * a zone are probed one after the other: when the zone becomes unreachable, the first machines are
 * already lost while most have not been probed yet. */
bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone) {
  if (zone->lost >= PARTITION_LOST_MIN) return zone->lost > zone->alive;
  return zone->lost && !zone->alive && zone->machines > 1;
}
