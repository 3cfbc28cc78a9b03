/* Reads the machine types that the cloud offers into the catalogue. */
#include <string.h>

#include "base/log.h"
#include "cloud/cloud_internal.h"
#include "net/cbor.h"
#include "tmx/wire.h"

static void read_zones(const struct tmx_settings *settings, const cbor_item_t *zones,
                       struct tmx_machine_type *type) {
  for (size_t i = 0; i < tmx_cbor_array_length(zones); i++) {
    char name[TMX_NAME_BYTES];
    if (!tmx_cbor_as_text(tmx_cbor_array_at(zones, i), name, sizeof name)) continue;
    int zone = tmx_zone_index(settings, name);
    if (zone >= 0) type->zones[zone] = true;
  }
}

/* Returns false if the entry lacks a field that planning needs: name, CPUs or memory. */
static bool read_type(const struct tmx_settings *settings, const cbor_item_t *entry,
                      struct tmx_machine_type *type) {
  if (!tmx_cbor_get_text(entry, W_NAME, type->name, sizeof type->name) ||
      !tmx_cbor_get_number(entry, W_CPUS, &type->cpus) ||
      !tmx_cbor_get_number(entry, W_MEM, &type->mem_gb))
    return false;
  tmx_cbor_get_number(entry, W_GPUS, &type->gpus);
  tmx_cbor_get_number(entry, W_CACHE_GB, &type->cache_gb);
  tmx_cbor_get_number(entry, W_FETCH_RATE, &type->fetch_gb_per_s);
  tmx_cbor_get_number(entry, W_PRICE, &type->price);
  type->spot_price = type->price;
  tmx_cbor_get_number(entry, W_SPOT_PRICE, &type->spot_price);
  tmx_cbor_get_number(entry, W_BOOT_S, &type->boot_s);
  read_zones(settings, tmx_cbor_get(entry, W_ZONES), type);
  return true;
}

static bool sizes_differ(const struct tmx_machine_catalog *left,
                         const struct tmx_machine_catalog *right) {
  if (left->n_types != right->n_types) return true;
  for (size_t i = 0; i < left->n_types; i++) {
    const struct tmx_machine_type *a = &left->types[i], *b = &right->types[i];
    if (strcmp(a->name, b->name) || a->cpus != b->cpus || a->gpus != b->gpus ||
        a->mem_gb != b->mem_gb)
      return true;
  }
  return false;
}

static void log_first_catalog(size_t accepted, size_t offered) {
  tmx_log(TMX_LOG_INFO, "cloud: catalogue has %zu machine types", accepted);
  if (offered > accepted)
    tmx_log(TMX_LOG_ERROR,
            "cloud: ignored %zu of %zu machine types: entry incomplete or catalogue full",
            offered - accepted, offered);
}

/* The planner keeps the sizes of the machines, so all machines are marked as changed if the size of
 * a type has changed. The planner does not use prices, so a new price alone marks no machine. */
static void replace_catalog(struct tmx_cloud *cloud, const struct tmx_machine_catalog *catalog) {
  bool sizes_changed = sizes_differ(cloud->catalog, catalog);
  *cloud->catalog = *catalog;
  if (sizes_changed) {
    struct tmx_machine *machine, *next_machine;
    HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
      tmx_scheduler_machine_changed(cloud->scheduler, machine);
    }
  }
  tmx_scheduler_trigger(cloud->scheduler);
}

static void on_types(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_cloud *cloud = arg;
  cloud->catalog_read_in_flight = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, length) : NULL;
  const cbor_item_t *types = tmx_cbor_get(map, W_TYPES);
  size_t offered = tmx_cbor_array_length(types);
  struct tmx_machine_catalog catalog = {.n_types = 0};
  for (size_t i = 0; i < offered && catalog.n_types < TMX_MACHINE_TYPES_MAX; i++)
    catalog.n_types +=
        read_type(cloud->settings, tmx_cbor_array_at(types, i), &catalog.types[catalog.n_types]);
  if (catalog.n_types) {
    if (!cloud->catalog->n_types) log_first_catalog(catalog.n_types, offered);
    replace_catalog(cloud, &catalog);
  }
  tmx_cbor_free(map);
}

void tmx_cloud_read_catalog(struct tmx_cloud *cloud, double now) {
  double period_s = cloud->catalog->n_types ? TMX_CATALOG_READ_PERIOD_S : TMX_CATALOG_RETRY_DELAY_S;
  if (cloud->catalog_read_in_flight || now - cloud->catalog_read_at <= period_s) return;
  if (!tmx_cloud_api_take_token(cloud->api)) return;
  cloud->catalog_read_at = now;
  cloud->catalog_read_in_flight =
      tmx_cloud_api_call(cloud->api, "GET", WP_TYPES, NULL, on_types, cloud);
}
