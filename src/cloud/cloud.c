#include "cloud/cloud.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "cloud/cloud_internal.h"

struct tmx_cloud *tmx_cloud_new(const struct tmx_cloud_dependencies *dependencies) {
  struct tmx_cloud *cloud = tmx_allocate(1, sizeof *cloud);
  cloud->settings = dependencies->settings;
  cloud->replica = dependencies->replica;
  cloud->store = dependencies->store;
  cloud->catalog = dependencies->catalog;
  cloud->peers = dependencies->peers;
  cloud->scheduler = dependencies->scheduler;
  cloud->workers = dependencies->workers;
  cloud->api = tmx_cloud_api_new(dependencies->loop, dependencies->settings);
  tmx_inventory_init(&cloud->inventory, cloud->settings, cloud->api);
  cloud->catalog_read_at = -TMX_CATALOG_READ_PERIOD_S;
  return cloud;
}

void tmx_cloud_free(struct tmx_cloud *cloud) {
  tmx_cloud_api_free(cloud->api);
  tmx_cloud_free_rentals(cloud);
  free(cloud->deletion_in_flight);
  tmx_inventory_clear(&cloud->inventory);
  tmx_cloud_free_idle_timers(cloud);
  free(cloud);
}

static bool store_is_unreachable(const struct tmx_cloud *cloud, double now) {
  return now - tmx_store_fresh_as_of(cloud->store) > TMX_STORE_UNREACHABLE_S;
}

static void record_demand(struct tmx_cloud *cloud, double now) {
  if (!cloud->replica->loaded || store_is_unreachable(cloud, now)) return;
  tmx_demand_history_record(&cloud->demand,
                            cloud->replica->booked_cpus + cloud->replica->waiting_cpus, now);
}

static void scale_out_when_due(struct tmx_cloud *cloud, double now) {
  if (now - cloud->scale_out_at <= TMX_SCALE_OUT_PERIOD_S || !cloud->catalog->n_types) return;
  cloud->scale_out_at = now;
  /* A new leader waits for one period of the instance list before it rents machines. Its
   * predecessor may have rented machines that are still booting; without the list, the new leader
   * would rent their capacity a second time. */
  if (!cloud->rentals_in_flight && now - cloud->leading_since > TMX_INSTANCE_LIST_PERIOD_S)
    tmx_cloud_scale_out(cloud, now);
}

static void leader_tick(struct tmx_cloud *cloud, double now) {
  if (now - cloud->list_read_at > TMX_INSTANCE_LIST_PERIOD_S) {
    cloud->list_read_at = now;
    tmx_inventory_read(&cloud->inventory);
  }
  if (now - cloud->reclaim_at > TMX_RECLAIM_PERIOD_S) {
    cloud->reclaim_at = now;
    tmx_cloud_reclaim(cloud, now);
  }
  tmx_cloud_log_usage(cloud, now);
  scale_out_when_due(cloud, now);
}

void tmx_cloud_tick(struct tmx_cloud *cloud) {
  double now = tmx_clock_steady();
  tmx_cloud_read_catalog(cloud, now);
  record_demand(cloud, now);
  /* A leader that has lost contact with the store may have been replaced by another one, so it
   * neither deletes nor rents machines. */
  if (!tmx_store_is_leader(cloud->store) || store_is_unreachable(cloud, now)) {
    cloud->leading_since = now;
    tmx_inventory_rewind(&cloud->inventory);
    return;
  }
  leader_tick(cloud, now);
}
