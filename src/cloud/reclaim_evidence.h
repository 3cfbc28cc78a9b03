/**
 * @file
 * What the leader knows when it examines the machines for deletion: which owners are healthy, which
 * zones are partitioned, and how much capacity is free. Loop's thread only.
 */
#ifndef TMX_RECLAIM_EVIDENCE_H
#define TMX_RECLAIM_EVIDENCE_H
#include "cloud/cloud_internal.h"

/** Collected again for each pass over the machines. */
struct tmx_reclaim_evidence {
  double now;          /**< steady clock, s: time of the collection */
  double leading_s;    /**< s for which this controller has been the leader */
  bool leader_settled; /**< it has had time to establish contact with its peers and the workers */
  bool owner_healthy[TMX_MEMBERS_MAX];     /**< by member of the view: its heartbeats arrive, and it
                                              reaches its workers */
  unsigned healthy_owners;                 /**< how many of `owner_healthy` are true */
  double partition_grace_s[TMX_ZONES_MAX]; /**< s: length of a zone's grace period */
  double free_cpus;    /**< CPUs not booked, on machines that count as capacity */
  double service_cpus; /**< CPUs booked by services */
  bool has_backlog;    /**< pending tasks request more than TMX_WAITING_CPUS_SHARE of the free and
                          booked CPUs */
  struct tmx_demand_source demand_source; /**< what `waiting` is collected from */
  struct tmx_demand_list waiting;         /**< the pending tasks; owned; collected when needed */
  bool waiting_is_collected;              /**< `waiting` is up to date */
  bool most_machines_suspect; /**< more than half of the machines have errors that make them faulty
                               */
  bool any_zone_partitioned;  /**< a zone counts as partitioned, see tmx_zone_partitions */
};

/** Gathers the evidence. Records zones that are partitioned in the cloud's `zone_partitions`.
 * Release the evidence with tmx_reclaim_evidence_release(). */
void tmx_reclaim_evidence_gather(struct tmx_reclaim_evidence *evidence, struct tmx_cloud *cloud,
                                 double now);
/** Releases the memory of the evidence. */
void tmx_reclaim_evidence_release(struct tmx_reclaim_evidence *evidence);
/** Returns whether there is a backlog and one of its tasks may run on the machine, whose type is
 * `type`, if it is empty. */
bool tmx_reclaim_machine_is_wanted(struct tmx_reclaim_evidence *evidence,
                                   const struct tmx_machine *machine,
                                   const struct tmx_machine_type *type);
/** Returns whether the zone is partitioned or was recently, so that its grace period has not ended.
 * False for zone -1. */
bool tmx_reclaim_zone_in_grace_period(const struct tmx_cloud *cloud, int zone, double now);
#endif
