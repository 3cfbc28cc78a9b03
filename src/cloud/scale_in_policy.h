/**
 * @file
 * Decides which machines are drained because they are not needed, and how much capacity is kept.
 * Pure functions of their arguments.
 */
#ifndef TMX_SCALE_IN_POLICY_H
#define TMX_SCALE_IN_POLICY_H
#include <stdbool.h>
#include <stddef.h>

#include "catalog/machine_catalog.h"
#include "tmx/constants.h"

/** Whether a machine is drained; if not, why it is kept. */
enum tmx_drain_decision {
  TMX_DRAIN,               /**< it is drained */
  TMX_KEEP_NOT_ELIGIBLE,   /**< its type is unknown, or it is draining already */
  TMX_KEEP_IN_USE,         /**< it holds tasks */
  TMX_KEEP_IDLE_TOO_SHORT, /**< it has not been idle for long enough */
  TMX_KEEP_FOR_HEADROOM,   /**< its capacity is reserved for restarts of services */
  TMX_KEEP_FOR_PEAK,       /**< the peak demand requires its capacity */
  TMX_KEEP_FOR_MOVE_LIMIT  /**< the limit on machines that are moving replicas away is reached */
};

/** What is known about a machine that may be idle, and the limits that apply. */
struct tmx_idle_evidence {
  bool type_known; /**< its type is in the catalogue */
  bool draining;   /**< it is draining already */
  bool has_tasks;  /**< tasks are placed on it */
  double idle_s;   /**< s since the leader last saw a task on it, a backlog for it or a partition */
  double idle_max_s;   /**< s: it is drained when `idle_s` exceeds this */
  double cpus;         /**< CPUs of the machine; valid if `type_known` */
  double free_cpus;    /**< CPUs not booked, on all machines that count as capacity */
  double service_cpus; /**< CPUs booked by all services */
  double headroom;     /**< share of `service_cpus` that must stay free */
};
/** Decides whether a machine is drained because it is idle; if not, why it is kept. */
enum tmx_drain_decision tmx_idle_drain_decision(const struct tmx_idle_evidence *evidence);

/** Totals over all registered machines of known type; CPUs. */
struct tmx_fleet {
  size_t machines;      /**< number of machines, draining ones included */
  double cpus;          /**< CPUs of the machines that count as capacity */
  double draining_cpus; /**< CPUs of the draining machines that still hold replicas of services */
  double free_cpus_in_zone[TMX_ZONES_MAX]; /**< not booked, on those of them that are not spot */
};

/** The capacity that is kept when machines above the peak demand are drained. */
struct tmx_reserve {
  double peak_cpus;            /**< peak demand in CPUs, see tmx_demand_history_peak() */
  double margin;               /**< kept in excess of the peak, as a share of the peak */
  double free_share_for_moves; /**< kept free in a zone for replicas that must move, as a share of
                                  the peak divided by the number of zones */
};
/** Computes the reserve for a peak in CPUs. The shares shrink as the number of machines grows, as
 * random arrivals then change the demand by a smaller share. */
struct tmx_reserve tmx_reserve_for(double peak_cpus, size_t machines);

/** A machine that may be drained while it holds tasks. */
struct tmx_drain_candidate {
  const char *id;                      /**< borrowed from the replica */
  const struct tmx_machine_type *type; /**< borrowed from the catalogue */
  int zone;                            /**< zone index of the settings; not -1 */
  bool spot;                           /**< spot, else on demand */
  bool out_of_use;                     /**< the fleet's totals do not include it */
  double booked_cpus;                  /**< CPUs booked by all its tasks */
  double service_cpus;                 /**< of `booked_cpus`: by replicas of services */
};
/** Returns whether the other machines of the candidate's zone have enough free capacity for its
 * replicas. */
bool tmx_replicas_can_move(const struct tmx_fleet *fleet, const struct tmx_reserve *reserve,
                           const struct tmx_drain_candidate *candidate, size_t n_zones);
/** Comparison function for qsort: the order in which candidates are drained. The highest price per
 * CPU comes first, discounted for booked CPUs and for replicas that must move; ties are ordered by
 * id. */
int tmx_drain_candidate_compare(const void *left, const void *right);
/** Decides whether the candidate is drained. `fleet` must not include the candidates that are
 * drained before it, see tmx_fleet_drain(). */
enum tmx_drain_decision tmx_peak_drain_decision(const struct tmx_fleet *fleet,
                                                const struct tmx_reserve *reserve,
                                                const struct tmx_drain_candidate *candidate);
/** Updates the fleet's totals for a candidate that is drained. */
void tmx_fleet_drain(struct tmx_fleet *fleet, const struct tmx_drain_candidate *candidate);
#endif
