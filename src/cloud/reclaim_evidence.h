/**
 * @file
 * What the leader knows when it looks through the machines: which owners of machines it hears,
 * which zones are cut off, and how much room there is. Loop's thread only.
 */
#ifndef TMX_RECLAIM_EVIDENCE_H
#define TMX_RECLAIM_EVIDENCE_H
#include "cloud/cloud_internal.h"

/** Gathered anew for each pass through the machines. */
struct tmx_reclaim_evidence {
  double now;                        /**< steady clock, s: when it was gathered */
  double leading_s;                  /**< s: how long this controller has led */
  bool leader_settled;               /**< it has had time to hear peers and workers */
  bool owner_heard[TMX_MEMBERS_MAX]; /**< by member of the view: it is heard and reaches workers */
  unsigned owners_heard;             /**< how many of `owner_heard` are true */
  double spare_s[TMX_ZONES_MAX]; /**< s: how long a zone's machines are spared after a partition */
  double free_cpus;              /**< CPUs not booked, on machines that are not draining */
  double service_cpus;           /**< CPUs booked by services */
  bool work_waits;               /**< more than the usual few tasks wait */
  bool any_zone_partitioned;     /**< a zone counts as partitioned, see tmx_zone_partitions */
};

/** Gathers the evidence and notes zones that are cut off. */
void tmx_reclaim_evidence_gather(struct tmx_reclaim_evidence *evidence, struct tmx_cloud *cloud,
                                 double now);
/** Whether the zone, which may be -1, is or was lately cut off. */
bool tmx_reclaim_zone_is_spared(const struct tmx_cloud *cloud, int zone, double now);
#endif
