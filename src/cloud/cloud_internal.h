/**
 * @file
 * State that the files of src/cloud share. Loop's thread only.
 */
#ifndef TMX_CLOUD_INTERNAL_H
#define TMX_CLOUD_INTERNAL_H
#include "cloud/cloud.h"
#include "cloud/cloud_api.h"
#include "cloud/demand_history.h"
#include "cloud/inventory.h"
#include "cloud/offer_backoff.h"
#include "cloud/scale_out_demand.h"

/** The time since which a machine has been idle, as observed by this controller as the leader. A
 * backlog that it could take or a partitioned zone also restarts the time, see
 * tmx_cloud_drain_if_idle(). */
struct tmx_idle_timer {
  char id[TMX_ID_BYTES]; /**< id of the machine */
  double since;          /**< steady clock, s */
  UT_hash_handle hh;     /**< by id */
};

/** Network partitions between machines and their owners, by zone; steady clock, s. */
struct tmx_zone_partitions {
  double partitioned_until[TMX_ZONES_MAX]; /**< the zone counts as partitioned until then */
  double grace_until[TMX_ZONES_MAX]; /**< end of the grace period, in which lost contact with the
                                        zone is tolerated */
};

/** A request to rent machines; opaque, see rental.c. */
struct tmx_rental_request;
struct tmx_deletion_request;

/** The module's state. The objects of tmx_cloud_dependencies are borrowed, the rest is owned. */
struct tmx_cloud {
  const struct tmx_settings *settings; /**< borrowed */
  struct tmx_replica *replica;         /**< borrowed; machines and jobs as recorded in the log */
  struct tmx_store *store; /**< borrowed; reports whether this controller is the leader */
  struct tmx_machine_catalog *catalog;      /**< borrowed; filled by tmx_cloud_read_catalog() */
  struct tmx_peers *peers;                  /**< borrowed; the other controllers */
  struct tmx_scheduler *scheduler;          /**< borrowed; appends lines to the log */
  struct tmx_workers *workers;              /**< borrowed; the machines that this controller owns */
  struct tmx_cloud_api *api;                /**< owned; sends all requests to the cloud */
  struct tmx_inventory inventory;           /**< instances that the cloud listed or granted */
  struct tmx_demand_history demand;         /**< recorded by every controller, used by the leader */
  struct tmx_offer_backoffs offer_backoffs; /**< offers that the cloud refused recently */
  struct tmx_idle_timer *idle_timers;       /**< owned; hash by id; NULL: empty */
  struct tmx_zone_partitions zone_partitions; /**< written by tmx_reclaim_evidence_gather() */
  /** Steady clock, s: the latest tick at which this controller was not the leader or had lost
   * contact with the store. */
  double leading_since;
  /* The time of the latest start of each periodic step. */
  double catalog_read_at,      /**< steady clock, s: the catalogue was requested */
      list_read_at,            /**< steady clock, s: the list of instances was requested */
      scale_out_at,            /**< steady clock, s: scale-out was considered */
      reclaim_at,              /**< steady clock, s: tmx_cloud_reclaim() was called */
      drain_above_peak_at,     /**< steady clock, s: tmx_cloud_drain_above_peak() ran */
      usage_logged_at;         /**< steady clock, s: the usage was logged */
  bool catalog_read_in_flight; /**< the catalogue was requested and has not arrived yet */
  struct tmx_rental_request *rentals_in_flight;    /**< owned; linked list; NULL: none */
  struct tmx_deletion_request *deletion_in_flight; /**< owned; at most one; NULL: none */
  uint64_t last_rental_number; /**< part of the latest rental request's name; 0: none yet */
};

/** Reads the cloud's machine types into the catalogue if that is due. */
void tmx_cloud_read_catalog(struct tmx_cloud *cloud, double now);

/** What the demand of this cluster is collected from at `now`. */
struct tmx_demand_source tmx_cloud_demand_source(const struct tmx_cloud *cloud, double now);
/** Rents machines for the pending tasks that exceed the capacity of present and booting machines.
 */
void tmx_cloud_scale_out(struct tmx_cloud *cloud, double now);
/** Requests `count` machines of one type, at most TMX_RENTAL_REQUEST_MACHINES_MAX per request. */
void tmx_cloud_rent(struct tmx_cloud *cloud, const struct tmx_machine_type *type, int zone,
                    bool spot, uint32_t count);
/** Frees the rental requests in flight. Must be called after tmx_cloud_api_free(), as their
 * callbacks use them. */
void tmx_cloud_free_rentals(struct tmx_cloud *cloud);

/** Deletes failed machines, and drains and deletes machines that are not needed. */
void tmx_cloud_reclaim(struct tmx_cloud *cloud, double now);

/** Returns the idle timer of the machine. Starts one at `now` if there is none. */
struct tmx_idle_timer *tmx_cloud_idle_timer(struct tmx_cloud *cloud, const char *id, double now);
/** Removes the idle timers of machines that are no longer in the replica. */
void tmx_cloud_drop_idle_timers(struct tmx_cloud *cloud);
/** Frees all idle timers. */
void tmx_cloud_free_idle_timers(struct tmx_cloud *cloud);

/** Logs the rented capacity and its use, every TMX_USAGE_LOG_PERIOD_S. */
void tmx_cloud_log_usage(struct tmx_cloud *cloud, double now);
#endif
