/**
 * @file
 * The inventory: the instances that the cloud listed or that a rental response named. The cloud's
 * list is eventually consistent; its usual lag is the settings' list_lag_s. Therefore an instance
 * that is missing from the list is kept until the lag can no longer be the reason. Loop's thread
 * only.
 */
#ifndef TMX_INVENTORY_H
#define TMX_INVENTORY_H
#include <stdbool.h>
#include <uthash.h>

#include "cloud/cloud_api.h"
#include "config/settings.h"
#include "tmx/constants.h"

/** States in the order in which an instance passes through them. */
enum tmx_instance_state {
  TMX_INSTANCE_BOOTING, /**< rented, not up yet */
  TMX_INSTANCE_RUNNING, /**< up; unknown state names of the cloud are read as this state */
  TMX_INSTANCE_FAILED   /**< failed according to the cloud; it is deleted */
};

/** A rented machine as the cloud reports it. */
struct tmx_instance {
  char id[TMX_ID_BYTES];         /**< assigned by the cloud */
  char type[TMX_ID_BYTES];       /**< name of the machine type; empty: not known yet */
  int zone;                      /**< zone index of the settings; -1: not in the settings */
  enum tmx_instance_state state; /**< the furthest state that was listed */
  bool spot;                     /**< the cloud may interrupt it */
  double age_s;                  /**< s since it was rented, as of `age_as_of` */
  double age_as_of; /**< steady clock, s: it was last listed; granted, if not listed yet */
  double rented_at; /**< steady clock, s: this controller requested it; 0: known from a list only */
  double no_heartbeat_since; /**< steady clock, s: start of the time for which it has been running
                                without registering; 0: it is registered, or not running yet */
  bool deleting;             /**< a request to delete it is in flight or was granted */
  UT_hash_handle hh;         /**< by id */
};

/** The table of instances, and the position up to which the cloud's list was read. */
struct tmx_inventory {
  const struct tmx_settings *settings; /**< borrowed; zones and the lag of the list */
  struct tmx_cloud_api *api;           /**< borrowed */
  struct tmx_instance *instances;      /**< owned; hash by id; NULL: empty */
  bool read_in_flight;                 /**< a page was requested and has not arrived yet */
  char cursor[TMX_ID_BYTES]; /**< the last id of the pages read so far; empty: start of the list */
};

/** Initializes a zeroed inventory. Both other arguments must outlive it. Release its memory with
 * tmx_inventory_clear(). */
void tmx_inventory_init(struct tmx_inventory *inventory, const struct tmx_settings *settings,
                        struct tmx_cloud_api *api);
/** Frees all instances. */
void tmx_inventory_clear(struct tmx_inventory *inventory);

/** Starts to read the list page by page from the cursor, unless a read is in flight. Stops at the
 * rate limit; the next call continues from there. */
void tmx_inventory_read(struct tmx_inventory *inventory);
/** Makes the next read start from the first page. */
void tmx_inventory_rewind(struct tmx_inventory *inventory);

/** Returns the instance with this id, or NULL. */
struct tmx_instance *tmx_inventory_find(const struct tmx_inventory *inventory, const char *id);
/** Returns the time since the instance was rented, s, according to the list or to the request.
 * `now` is in seconds on the steady clock. */
double tmx_instance_age(const struct tmx_instance *instance, double now);
/** Returns the instance with this id. Adds it if there is none. */
struct tmx_instance *tmx_inventory_find_or_add(struct tmx_inventory *inventory, const char *id);
#endif
