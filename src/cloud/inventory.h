/**
 * @file
 * The inventory: the instances that the cloud lists or that a rental response named. The cloud's
 * list lags behind, so entries are kept until no list can still be that old. Loop's thread only.
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
  TMX_INSTANCE_RUNNING, /**< up; the cloud's word for a state that is not known counts as this */
  TMX_INSTANCE_FAILED   /**< broken, as the cloud says; it is deleted */
};

/** A rented machine as the cloud shows it. */
struct tmx_instance {
  char id[TMX_ID_BYTES];   /**< given by the cloud */
  char type[TMX_ID_BYTES]; /**< empty: no list has shown it yet */
  int zone;                /**< index in the settings; -1: a zone that the settings do not name */
  enum tmx_instance_state state; /**< the latest that was listed; never goes back */
  bool spot;                     /**< the cloud may interrupt it */
  double age_s;                  /**< s since it was rented, as of the list read at `age_as_of` */
  double age_as_of;              /**< steady clock, s; 0: never listed */
  double rented_at; /**< steady clock, s: rented by this controller; 0: known from a list only */
  double unheard_since; /**< steady clock, s: listed as running without reporting; 0: it reports */
  bool deleting;        /**< a request to delete it is under way or was granted */
  UT_hash_handle hh;    /**< by id */
};

/** The table of instances, and how far the cloud's list has been read. */
struct tmx_inventory {
  const struct tmx_settings *settings; /**< borrowed; zones and the lag of lists */
  struct tmx_cloud_api *api;           /**< borrowed */
  struct tmx_instance *instances;      /**< owned; hash by id; NULL: empty */
  bool read_in_flight;                 /**< a page was requested and the response is awaited */
  char cursor[TMX_ID_BYTES]; /**< the last id of the pages read so far; empty: from the start */
};

/** Sets up a zeroed inventory as an empty one; both arguments must outlive it. Release what it
 * holds with tmx_inventory_clear(). */
void tmx_inventory_init(struct tmx_inventory *inventory, const struct tmx_settings *settings,
                        struct tmx_cloud_api *api);
/** Frees the instances. */
void tmx_inventory_clear(struct tmx_inventory *inventory);

/** Reads the list, page after page, as far as the rate limit allows; at most one read is under way
 * at a time. */
void tmx_inventory_read(struct tmx_inventory *inventory);
/** The next read starts from the first page. */
void tmx_inventory_rewind(struct tmx_inventory *inventory);

/** The instance of this id, or NULL. */
struct tmx_instance *tmx_inventory_find(const struct tmx_inventory *inventory, const char *id);
/** The instance of this id, which is added if there is none. */
struct tmx_instance *tmx_inventory_obtain(struct tmx_inventory *inventory, const char *id);
#endif
