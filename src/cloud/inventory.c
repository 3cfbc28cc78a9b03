#include "cloud/inventory.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "net/cbor.h"
#include "tmx/wire.h"

void tmx_inventory_init(struct tmx_inventory *inventory, const struct tmx_settings *settings,
                        struct tmx_cloud_api *api) {
  inventory->settings = settings;
  inventory->api = api;
}

void tmx_inventory_clear(struct tmx_inventory *inventory) {
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, inventory->instances, instance, next_instance) {
    HASH_DEL(inventory->instances, instance);
    free(instance);
  }
}

void tmx_inventory_rewind(struct tmx_inventory *inventory) { inventory->cursor[0] = 0; }

struct tmx_instance *tmx_inventory_find(const struct tmx_inventory *inventory, const char *id) {
  struct tmx_instance *instance;
  HASH_FIND_STR(inventory->instances, id, instance);
  return instance;
}

struct tmx_instance *tmx_inventory_find_or_add(struct tmx_inventory *inventory, const char *id) {
  struct tmx_instance *instance = tmx_inventory_find(inventory, id);
  if (instance) return instance;
  instance = tmx_allocate(1, sizeof *instance);
  snprintf(instance->id, sizeof instance->id, "%s", id);
  HASH_ADD_STR(inventory->instances, id, instance);
  return instance;
}

static enum tmx_instance_state parse_instance_state(const char *text) {
  if (!strcmp(text, WV_BOOTING)) return TMX_INSTANCE_BOOTING;
  if (!strcmp(text, WV_FAILED)) return TMX_INSTANCE_FAILED;
  return TMX_INSTANCE_RUNNING;
}

double tmx_instance_age(const struct tmx_instance *instance, double now) {
  double since_request_s = instance->rented_at ? now - instance->rented_at : 0;
  return fmax(instance->age_s + (now - instance->age_as_of), since_request_s);
}

static void read_entry(struct tmx_inventory *inventory, const cbor_item_t *entry, double now) {
  char id[TMX_ID_BYTES], state_text[16], zone[TMX_NAME_BYTES];
  if (!tmx_cbor_get_text(entry, W_ID, id, sizeof id)) return;
  struct tmx_instance *instance = tmx_inventory_find_or_add(inventory, id);
  tmx_cbor_get_text(entry, W_TYPE, instance->type, sizeof instance->type);
  instance->zone = tmx_cbor_get_text(entry, W_ZONE, zone, sizeof zone)
                       ? tmx_zone_index(inventory->settings, zone)
                       : -1;
  tmx_cbor_get_bool(entry, W_SPOT, &instance->spot);
  tmx_cbor_get_number(entry, W_AGE, &instance->age_s);
  if (tmx_cbor_get_text(entry, W_STATE, state_text, sizeof state_text)) {
    enum tmx_instance_state state = parse_instance_state(state_text);
    /* The cloud may send an older list after a newer one, so a state that precedes the known state
     * is ignored. */
    if (state > instance->state) instance->state = state;
  }
  instance->age_as_of = now;
  if (strcmp(id, inventory->cursor) > 0)
    snprintf(inventory->cursor, sizeof inventory->cursor, "%s", id);
}

/* Removes instances that have been missing for longer than the list can lag: they no longer exist.
 */
static void drop_unlisted(struct tmx_inventory *inventory, double now) {
  const double keep_s = 2 * inventory->settings->list_lag_s + 3 * TMX_INSTANCE_LIST_PERIOD_S;
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, inventory->instances, instance, next_instance) {
    double last_seen_at =
        instance->age_as_of > instance->rented_at ? instance->age_as_of : instance->rented_at;
    if (now - last_seen_at <= keep_s) continue;
    HASH_DEL(inventory->instances, instance);
    free(instance);
  }
}

static void on_page(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_inventory *inventory = arg;
  inventory->read_in_flight = false;
  cbor_item_t *page = status == 200 ? tmx_cbor_parse(body, length) : NULL;
  if (!page) {
    tmx_inventory_rewind(inventory);
    return;
  }
  double now = tmx_clock_steady();
  char previous_cursor[TMX_ID_BYTES];
  memcpy(previous_cursor, inventory->cursor, sizeof previous_cursor);
  const cbor_item_t *machines = tmx_cbor_get(page, W_MACHINES);
  for (size_t i = 0; i < tmx_cbor_array_length(machines); i++)
    read_entry(inventory, tmx_cbor_array_at(machines, i), now);
  bool more = false;
  tmx_cbor_get_bool(page, W_HAS_NEXT, &more);
  tmx_cbor_free(page);
  /* If no id of the page follows the cursor, the next request would return the same page again, in
   * an endless loop. */
  bool advanced = strcmp(inventory->cursor, previous_cursor) > 0;
  if (more && advanced) {
    tmx_inventory_read(inventory);
    return;
  }
  if (more)
    tmx_log(TMX_LOG_ERROR, "cloud: list of instances is not sorted: page after %s has no later id",
            previous_cursor);
  tmx_inventory_rewind(inventory);
  drop_unlisted(inventory, now);
}

void tmx_inventory_read(struct tmx_inventory *inventory) {
  char path[128];
  if (inventory->read_in_flight || !tmx_cloud_api_take_token(inventory->api)) return;
  bool from_cursor = inventory->cursor[0];
  snprintf(path, sizeof path, WP_MACHINES "?%s%s%spage=500", from_cursor ? "from=" : "",
           inventory->cursor, from_cursor ? "&" : "");
  inventory->read_in_flight =
      tmx_cloud_api_call(inventory->api, "GET", path, NULL, on_page, inventory);
}
