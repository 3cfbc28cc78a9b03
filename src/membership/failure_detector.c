#include "membership/failure_detector.h"

#include "tmx/constants.h"

bool tmx_zones_are_partitioned(const struct tmx_peer_census *census) {
  return census->other_zones >= 2 && !census->other_zones_heard && census->same_zone >= 1 &&
         census->same_zone_heard == census->same_zone;
}

bool tmx_peer_is_suspected(const struct tmx_peer_census *census,
                           const struct tmx_peer_evidence *evidence) {
  if (evidence->refuses_connections) return evidence->last_batch_age_s > TMX_RECENT_BATCH_S;
  if (evidence->reports_no_workers) return true;
  if (tmx_zones_are_partitioned(census)) return false;
  return census->others >= 2 && census->heard * 2 >= census->others &&
         evidence->silence_s > TMX_PEER_SILENCE_S && evidence->observed_for_s > TMX_PEER_SILENCE_S;
}

bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone) {
  if (zone->lost >= 3) return zone->lost > zone->alive;
  return zone->lost && !zone->alive && zone->machines > 1;
}
