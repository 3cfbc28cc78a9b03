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

/** Since when a machine has had no task, as this leader has seen it. */
struct tmx_idle_machine {
  char id[TMX_ID_BYTES]; /**< of the machine */
  double since;          /**< steady clock, s */
  UT_hash_handle hh;     /**< by id */
};

/** Network partitions between the owners and the machines of a zone; steady clock, s, by zone. */
struct tmx_zone_partitions {
  double partitioned_until[TMX_ZONES_MAX]; /**< the zone counts as partitioned */
  double spared_until[TMX_ZONES_MAX];      /**< none of its machines is replaced for silence */
};

/** A request to rent machines; opaque, see rental.c. */
struct tmx_rental_request;
struct tmx_deletion_request;

/** The module's state. What tmx_cloud_dependencies names is borrowed, the rest is owned. */
struct tmx_cloud {
  const struct tmx_settings *settings; /**< borrowed */
  struct tmx_replica *replica;         /**< borrowed; machines and jobs as the log tells them */
  struct tmx_store *store;             /**< borrowed; tells whether this controller leads */
  struct tmx_machine_catalog *catalog; /**< borrowed; filled by tmx_cloud_read_catalog() */
  struct tmx_peers *peers;             /**< borrowed; the other controllers */
  struct tmx_scheduler *scheduler;     /**< borrowed; takes lines for the log */
  struct tmx_workers *workers;         /**< borrowed; the machines that this controller owns */
  struct tmx_cloud_api *api;           /**< owned; all requests to the cloud go through it */
  struct tmx_inventory inventory;      /**< instances that the cloud lists or that were rented */
  struct tmx_demand_history demand;    /**< recorded by every controller, used by the leader */
  struct tmx_offer_backoffs offer_backoffs;   /**< offers that the cloud refused lately */
  struct tmx_idle_machine *idle_machines;     /**< owned; hash by id; NULL: empty */
  struct tmx_zone_partitions zone_partitions; /**< written by tmx_reclaim_evidence_gather() */
  /** Steady clock, s: the latest tick at which it did not lead, or the store was out of reach. */
  double leading_since;
  /* When each periodic step was last begun. */
  double catalog_read_at,      /**< steady clock, s: the catalogue was requested */
      list_read_at,            /**< steady clock, s: the list of instances was requested */
      scale_out_at,            /**< steady clock, s: scale-out was considered */
      reclaim_at,              /**< steady clock, s: tmx_cloud_reclaim() was called */
      drain_chosen_at,         /**< steady clock, s: machines to drain were looked for */
      usage_logged_at;         /**< steady clock, s: the usage was logged */
  bool catalog_read_in_flight; /**< the catalogue was requested and the response is awaited */
  struct tmx_rental_request *rentals_in_flight;    /**< owned; linked list; NULL: none */
  struct tmx_deletion_request *deletion_in_flight; /**< owned; at most one; NULL: none */
  uint64_t last_rental_number; /**< part of the name of the latest rental request; 0: none yet */
};

/** Reads the machine types that the cloud offers into the catalogue, when that is due. */
void tmx_cloud_read_catalog(struct tmx_cloud *cloud, double now);

/** Rents machines for the tasks that found no room. */
void tmx_cloud_scale_out(struct tmx_cloud *cloud, double now);
/** Requests `count` machines of a type, in requests of at most TMX_RENTAL_REQUEST_MACHINES_MAX. */
void tmx_cloud_rent(struct tmx_cloud *cloud, const struct tmx_machine_type *type, int zone,
                    bool spot, uint32_t count);
/** Frees the requests in flight, once their callbacks can no longer be called. */
void tmx_cloud_free_rentals(struct tmx_cloud *cloud);

/** Replaces failed machines and returns those that are not needed. */
void tmx_cloud_reclaim(struct tmx_cloud *cloud, double now);

/** Whether tasks of several jobs failed on the machine in a row. */
static inline bool tmx_cloud_machine_is_faulty(const struct tmx_machine *machine) {
  return machine->consecutive_errors >= TMX_FAULTY_MACHINE_ERRORS &&
         machine->errors_of_several_jobs;
}

/** The idle timer of the machine, which starts now if there is none. */
struct tmx_idle_machine *tmx_cloud_idle_timer(struct tmx_cloud *cloud, const char *id, double now);
/** Drops the idle timers of machines that the replica no longer holds. */
void tmx_cloud_drop_idle_timers(struct tmx_cloud *cloud);
/** Frees all idle timers. */
void tmx_cloud_free_idle_timers(struct tmx_cloud *cloud);

/** Logs what is rented and what of it is used, every TMX_USAGE_LOG_PERIOD_S. */
void tmx_cloud_log_usage(struct tmx_cloud *cloud, double now);
#endif
