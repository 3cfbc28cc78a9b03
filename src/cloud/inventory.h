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
enum tmx_instance_state { TMX_INSTANCE_BOOTING, TMX_INSTANCE_RUNNING, TMX_INSTANCE_FAILED };

/** A rented machine as the cloud shows it. */
struct tmx_instance {
  char id[TMX_ID_MAX];
  char type[TMX_ID_MAX]; /**< empty: no list has shown it yet */
  int zone;              /**< index in the settings; -1: a zone that the settings do not name */
  enum tmx_instance_state state;
  bool spot;
  double age_s;         /**< s since it was rented, as of the list read at `age_as_of` */
  double age_as_of;     /**< steady clock; 0: never listed */
  double rented_at;     /**< steady clock, rented by this controller; 0: known from a list only */
  double unheard_since; /**< steady clock; listed as running without reporting; 0: it reports */
  bool deleting;        /**< a request to delete it is under way or was granted */
  UT_hash_handle hh;    /**< by id */
};

struct tmx_inventory {
  const struct tmx_settings *settings;
  struct tmx_cloud_api *api;
  struct tmx_instance *instances;
  bool read_in_flight;
  char cursor[TMX_ID_MAX]; /**< the last id of the pages read so far; empty: from the start */
};

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
