#include "membership/failure_detector.h"

#include "tmx/constants.h"

enum {
  /* A single controller that is silent may itself have failed, so a partition takes more. */
  PARTITION_OTHERS_MIN = 2,
  /* A controller that has only one other cannot tell whose network has failed. */
  SILENCE_OTHERS_MIN = 2,
  /* From so many lost machines on, the lost are weighed against those that live. */
  PARTITION_LOST_MIN = 3
};

bool tmx_zones_are_partitioned(const struct tmx_peer_census *census) {
  bool own_zone_is_whole = census->same_zone >= 1 && census->same_zone_heard == census->same_zone;
  bool other_zones_are_silent =
      census->other_zones >= PARTITION_OTHERS_MIN && !census->other_zones_heard;
  return own_zone_is_whole && other_zones_are_silent;
}

/* Silence may be this controller's own trouble. It counts only if this controller hears at least
 * half of the others, and has been able to hear the silent one for long enough. */
static bool silence_counts(const struct tmx_peer_census *census,
                           const struct tmx_peer_evidence *evidence) {
  return census->others >= SILENCE_OTHERS_MIN && census->heard * 2 >= census->others &&
         evidence->silence_s > TMX_PEER_SILENCE_S && evidence->observed_for_s > TMX_PEER_SILENCE_S;
}

bool tmx_peer_is_suspected(const struct tmx_peer_census *census,
                           const struct tmx_peer_evidence *evidence) {
  /* A refused connection alone does not prove that the process is dead: it is alive if it wrote a
   * batch to the log a moment ago. */
  if (evidence->refuses_connections) return evidence->last_batch_age_s > TMX_RECENT_BATCH_AGE_MAX_S;
  /* It is alive, but others can drive its machines and it cannot. */
  if (evidence->reports_no_workers) return true;
  /* The controllers behind a partition are alive and drive the machines of their zones. */
  if (tmx_zones_are_partitioned(census)) return false;
  return silence_counts(census, evidence);
}

/* Machines that were not probed lately say nothing. When a zone falls silent its machines are
 * probed one after the other, and the first ones are lost while most have not been probed yet. So
 * the lost ones are weighed against those that are known to live, not against all. */
bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone) {
  if (zone->lost >= PARTITION_LOST_MIN) return zone->lost > zone->alive;
  return zone->lost && !zone->alive && zone->machines > 1;
}
