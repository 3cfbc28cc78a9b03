/**
 * @file
 * Decides which machines are drained because they are not needed, and how much room stays. Pure
 * functions: they see only their arguments.
 */
#ifndef TMX_SCALE_IN_POLICY_H
#define TMX_SCALE_IN_POLICY_H
#include <stdbool.h>
#include <stddef.h>

#include "catalog/machine_catalog.h"
#include "tmx/constants.h"

/** Whether a machine is drained; if not, why it stays as it is. */
enum tmx_drain_decision {
  TMX_DRAIN,               /**< it is drained */
  TMX_KEEP_NOT_ELIGIBLE,   /**< its type is unknown, or it is draining already */
  TMX_KEEP_IN_USE,         /**< it holds tasks */
  TMX_KEEP_IDLE_TOO_SHORT, /**< it has not been idle for long enough */
  TMX_KEEP_FOR_HEADROOM,   /**< services need the room for restarts */
  TMX_KEEP_FOR_PEAK,       /**< the peak of the demand would have needed it */
  TMX_KEEP_FOR_MOVES       /**< enough replicas have to move already */
};

/** What is known of a machine that may be idle, and the limits that apply. */
struct tmx_idle_evidence {
  bool type_known;     /**< the catalogue has its type */
  bool draining;       /**< it is draining already */
  bool has_tasks;      /**< tasks are placed on it */
  double idle_s;       /**< s without a task, while no work waited anywhere */
  double idle_max_s;   /**< s; drained after this time */
  double cpus;         /**< CPUs of the machine; meaningful if `type_known` */
  double free_cpus;    /**< CPUs not booked, on all machines that are not draining */
  double service_cpus; /**< CPUs booked by all services */
  double headroom;     /**< share of service_cpus that must stay free */
};
/** Whether a machine is drained for having been idle; if not, why it stays. */
enum tmx_drain_decision tmx_idle_drain_decision(const struct tmx_idle_evidence *evidence);

/** All machines whose type is known; CPUs. */
struct tmx_fleet {
  size_t machines;      /**< how many, with those that are draining */
  double cpus;          /**< size of the machines that are not draining */
  double draining_cpus; /**< size of the machines that wait for replicas to leave them */
  double free_cpus_in_zone[TMX_ZONES_MAX]; /**< not booked, on machines neither draining nor spot */
};

/** What must stay when machines are drained down to the peak of the demand. */
struct tmx_reserve {
  double peak_cpus; /**< CPUs: peak of the demand, see tmx_demand_history_peak() */
  double margin;    /**< share of the peak that is kept above it */
  double
      move_room; /**< share of a zone's part of the peak that stays free for replicas that move */
};
/** The reserve for a peak in CPUs. The more machines there are, the less a chance arrival matters,
 * and the smaller the reserve. */
struct tmx_reserve tmx_reserve_for(double peak_cpus, size_t machines);

/** A machine that may be drained although it holds work. */
struct tmx_drain_candidate {
  const char *id;                      /**< borrowed from the replica */
  const struct tmx_machine_type *type; /**< borrowed from the catalogue */
  int zone;                            /**< index in the settings; not -1 */
  bool spot;                           /**< spot, else on demand */
  double booked_cpus;                  /**< CPUs booked by all its tasks */
  double service_cpus;                 /**< of booked_cpus: by replicas of services */
};
/** Whether the replicas on the candidate find room on the other machines of its zone. */
bool tmx_replicas_can_move(const struct tmx_fleet *fleet, const struct tmx_reserve *reserve,
                           const struct tmx_drain_candidate *candidate, size_t n_zones);
/** The order in which candidates are drained, for qsort: the highest price of a CPU first, less for
 * work that is under way and for replicas that must move; equal ones by id. */
int tmx_drain_candidate_compare(const void *left, const void *right);
/** Whether the candidate is drained, given what is left of the fleet after those before it. */
enum tmx_drain_decision tmx_peak_drain_decision(const struct tmx_fleet *fleet,
                                                const struct tmx_reserve *reserve,
                                                const struct tmx_drain_candidate *candidate);
/** Takes a candidate that is drained out of the fleet. */
void tmx_fleet_drain(struct tmx_fleet *fleet, const struct tmx_drain_candidate *candidate);
#endif
