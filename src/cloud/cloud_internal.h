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
  char id[TMX_ID_MAX];
  double since; /**< steady clock */
  UT_hash_handle hh;
};

/** Network partitions between the owners and the machines of a zone; steady clock, by zone. */
struct tmx_zone_partitions {
  double partitioned_until[TMX_ZONES_MAX]; /**< the zone counts as partitioned */
  double spared_until[TMX_ZONES_MAX];      /**< none of its machines is replaced for silence */
};

struct tmx_rental_request;
struct tmx_deletion_request;

struct tmx_cloud {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  struct tmx_machine_catalog *catalog;
  struct tmx_peers *peers;
  struct tmx_scheduler *scheduler;
  struct tmx_workers *workers;
  struct tmx_cloud_api *api;
  struct tmx_inventory inventory;
  struct tmx_demand_history demand;
  struct tmx_offer_backoffs offer_backoffs;
  struct tmx_idle_machine *idle_machines;
  struct tmx_zone_partitions zone_partitions;
  double leading_since; /**< steady clock */
  double catalog_read_at, list_read_at, scale_out_at, reclaim_at, drain_chosen_at, usage_logged_at;
  bool catalog_read_in_flight;
  struct tmx_rental_request *rentals_in_flight;    /**< a list */
  struct tmx_deletion_request *deletion_in_flight; /**< at most one */
  uint64_t last_rental_number;
};

/** Reads the machine types that the cloud offers into the catalogue, when that is due. */
void tmx_cloud_read_catalog(struct tmx_cloud *cloud, double now);

/** Rents machines for the tasks that found no room. */
void tmx_cloud_scale_out(struct tmx_cloud *cloud, double now);
/** Requests `count` machines of a type, in requests of at most TMX_SCALE_OUT_MAX. */
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

/** Logs what is rented and what of it is used, every TMX_USAGE_LOG_S. */
void tmx_cloud_log_usage(struct tmx_cloud *cloud, double now);
#endif
