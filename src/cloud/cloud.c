/* The cloud: the catalog for everybody; lists and renting by the leader. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud_internal.h"
#include "planner/scale_out_plan.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"
#include "base/memory.h"

struct scale_out_call {
  struct tmx_cloud *cloud;
  char name[TMX_NAME_MAX + 48], type[TMX_ID_MAX];
  int zone, tries;
  bool spot;
  uint32_t count;
  double started;
};
struct tmx_cloud *tmx_cloud_new(const struct tmx_cloud_dependencies *dependencies) {
  struct tmx_cloud *cloud = tmx_allocate(1, sizeof *cloud);
  cloud->settings = dependencies->settings;
  cloud->replica = dependencies->replica;
  cloud->store = dependencies->store;
  cloud->catalog = dependencies->catalog;
  cloud->peers = dependencies->peers;
  cloud->scheduler = dependencies->scheduler;
  cloud->workers = dependencies->workers;
  cloud->http = tmx_http_client_new(dependencies->loop, cloud->settings->cloud, 8);
  cloud->types_read_at = -TMX_CATALOG_S;
  cloud->call_tokens_at = tmx_clock_steady();
  return cloud;
}

void tmx_cloud_free(struct tmx_cloud *cloud) {
  struct tmx_instance *instance, *next_instance;
  struct idle_machine *idle, *next_idle;
  HASH_ITER(hh, cloud->instances, instance, next_instance) {
    HASH_DEL(cloud->instances, instance);
    free(instance);
  }
  HASH_ITER(hh, cloud->idle_machines, idle, next_idle) {
    HASH_DEL(cloud->idle_machines, idle);
    free(idle);
  }
  if (cloud->http) tmx_http_client_free(cloud->http);
  free(cloud);
}

bool tmx_cloud_may_call(struct tmx_cloud *cloud) {
  double now = tmx_clock_steady();
  cloud->call_tokens += (now - cloud->call_tokens_at) * cloud->settings->cloud_rps * 0.6;
  cloud->call_tokens_at = now;
  if (cloud->call_tokens > cloud->settings->cloud_rps)
    cloud->call_tokens = cloud->settings->cloud_rps;
  if (cloud->call_tokens < 1) return false;
  cloud->call_tokens -= 1;
  return true;
}

/* ------------------------------------------------------------ catalog */

static void on_types(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_cloud *cloud = arg;
  cloud->types_read_in_flight = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  const cbor_item_t *types = tmx_cbor_get(map, W_TYPES);
  struct tmx_machine_type t[TMX_TYPES_MAX];
  size_t n = 0;
  memset(t, 0, sizeof t);
  for (size_t i = 0; i < tmx_cbor_list_length(types) && n < TMX_TYPES_MAX; i++) {
    const cbor_item_t *entry = tmx_cbor_list_at(types, i);
    struct tmx_machine_type *d = &t[n];
    if (!tmx_cbor_get_text(entry, W_NAME, d->name, sizeof d->name) ||
        !tmx_cbor_get_number(entry, W_CPUS, &d->cpus) ||
        !tmx_cbor_get_number(entry, W_MEM, &d->mem_gb))
      continue;
    tmx_cbor_get_number(entry, W_GPUS, &d->gpus);
    tmx_cbor_get_number(entry, W_CACHE_GB, &d->cache_gb);
    tmx_cbor_get_number(entry, W_FETCH, &d->fetch_gb_per_s);
    tmx_cbor_get_number(entry, W_PRICE, &d->price);
    d->spot_price = d->price;
    tmx_cbor_get_number(entry, W_SPOT_PRICE, &d->spot_price);
    tmx_cbor_get_number(entry, W_BOOT_S, &d->boot_s);
    const cbor_item_t *zones = tmx_cbor_get(entry, W_ZONES);
    for (size_t z = 0; z < tmx_cbor_list_length(zones); z++) {
      char name[TMX_NAME_MAX];
      int zi = tmx_cbor_as_text(tmx_cbor_list_at(zones, z), name, sizeof name)
                   ? tmx_zone_index(cloud->settings, name)
                   : -1;
      if (zi >= 0) d->zones[zi] = true;
    }
    n++;
  }
  if (n) {
    if (!cloud->catalog->n_types) tmx_log(TMX_LOG_INFO, "cloud: %zu machine types", n);
    if (!cloud->catalog->n_types && tmx_cbor_list_length(types) > n)
      tmx_log(TMX_LOG_ERROR, "cloud: %zu of %zu machine types are left out",
              tmx_cbor_list_length(types) - n, tmx_cbor_list_length(types));
    bool sizes = n != cloud->catalog->n_types;
    for (size_t i = 0; i < n && !sizes; i++)
      sizes = strcmp(t[i].name, cloud->catalog->types[i].name) ||
              t[i].cpus != cloud->catalog->types[i].cpus ||
              t[i].gpus != cloud->catalog->types[i].gpus ||
              t[i].mem_gb != cloud->catalog->types[i].mem_gb;
    memcpy(cloud->catalog->types, t, sizeof t);
    cloud->catalog->n_types = n;
    struct tmx_machine *other, *next_other;
    if (sizes) HASH_ITER(hh, cloud->replica->machines, other, next_other)
    tmx_scheduler_machine_changed(cloud->scheduler, other);
    tmx_scheduler_trigger(cloud->scheduler);
  }
  tmx_cbor_free(map);
}

/* ------------------------------------------------------------ list */

struct tmx_instance *tmx_cloud_find_instance(struct tmx_cloud *cloud, const char *id) {
  struct tmx_instance *instance;
  HASH_FIND_STR(cloud->instances, id, instance);
  if (instance) return instance;
  instance = tmx_allocate(1, sizeof *instance);
  snprintf(instance->id, sizeof instance->id, "%s", id);
  HASH_ADD_STR(cloud->instances, id, instance);
  return instance;
}

static void read_list(struct tmx_cloud *cloud);

static void on_list(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_cloud *cloud = arg;
  cloud->list_read_in_flight = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  const cbor_item_t *machines = tmx_cbor_get(map, W_MACHINES);
  double now = tmx_clock_steady();
  if (!map) {
    cloud->list_cursor[0] = 0;
    return;
  }
  char before[TMX_ID_MAX];
  memcpy(before, cloud->list_cursor, sizeof before);
  for (size_t i = 0; i < tmx_cbor_list_length(machines); i++) {
    const cbor_item_t *entry = tmx_cbor_list_at(machines, i);
    char id[TMX_ID_MAX], state[16], zone[TMX_NAME_MAX];
    if (!tmx_cbor_get_text(entry, W_ID, id, sizeof id)) continue;
    struct tmx_instance *instance = tmx_cloud_find_instance(cloud, id);
    tmx_cbor_get_text(entry, W_TYPE, instance->type, sizeof instance->type);
    instance->zone = tmx_cbor_get_text(entry, W_ZONE, zone, sizeof zone)
                         ? tmx_zone_index(cloud->settings, zone)
                         : -1;
    tmx_cbor_get_bool(entry, W_SPOT, &instance->spot);
    tmx_cbor_get_number(entry, W_AGE, &instance->age_s);
    if (tmx_cbor_get_text(entry, W_STATE, state, sizeof state)) {
      int s = !strcmp(state, WV_BOOTING)  ? TMX_INSTANCE_BOOTING
              : !strcmp(state, WV_FAILED) ? TMX_INSTANCE_FAILED
                                          : TMX_INSTANCE_RUNNING;
      if (s > instance->state) instance->state = s; /* lists may be older than the one before */
    }
    instance->age_as_of = now;
    instance->list_pass = cloud->list_pass;
    if (strcmp(id, cloud->list_cursor) > 0)
      snprintf(cloud->list_cursor, sizeof cloud->list_cursor, "%s", id);
  }
  bool more = false;
  tmx_cbor_get_bool(map, W_MORE, &more);
  /* a page that brings no later name would come again for ever */
  bool forward = strcmp(cloud->list_cursor, before) > 0;
  tmx_cbor_free(map);
  if (more && forward) {
    read_list(cloud);
    return;
  }
  if (more) tmx_log(TMX_LOG_ERROR, "cloud: the list of machines is not in order behind %s", before);
  cloud->list_cursor[0] = 0;
  cloud->list_pass++;
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, cloud->instances, instance, next_instance) {
    /* unlisted for longer than any list lags: gone */
    double since =
        instance->age_as_of > instance->rented_at ? instance->age_as_of : instance->rented_at;
    if (now - since > 2 * cloud->settings->list_lag_s + 3 * TMX_LIST_S) {
      HASH_DEL(cloud->instances, instance);
      free(instance);
    }
  }
}

static void read_list(struct tmx_cloud *cloud) {
  char path[128];
  if (cloud->list_read_in_flight || !tmx_cloud_may_call(cloud)) return;
  snprintf(path, sizeof path, WP_MACHINES "?%s%s%spage=500", cloud->list_cursor[0] ? "from=" : "",
           cloud->list_cursor, cloud->list_cursor[0] ? "&" : "");
  cloud->list_read_in_flight =
      tmx_http_client_call(cloud->http, "GET", path, NULL, TMX_CLOUD_TIMEOUT_S, on_list, cloud);
}

/* ------------------------------------------------------------ renting */

static struct offer_backoff *offer_backoff_of(struct tmx_cloud *cloud, const char *type, int zone,
                                              bool spot) {
  for (size_t i = 0; i < cloud->n_offer_backoffs; i++) {
    struct offer_backoff *backoff = &cloud->offer_backoffs[i];
    if (backoff->zone == zone && backoff->spot == spot && !strcmp(backoff->type, type))
      return backoff;
  }
  if (cloud->n_offer_backoffs == sizeof cloud->offer_backoffs / sizeof cloud->offer_backoffs[0])
    cloud->n_offer_backoffs = 0;
  struct offer_backoff *backoff = &cloud->offer_backoffs[cloud->n_offer_backoffs++];
  memset(backoff, 0, sizeof *backoff);
  snprintf(backoff->type, sizeof backoff->type, "%s", type);
  backoff->zone = zone;
  backoff->spot = spot;
  return backoff;
}

static void back_off_offer(struct tmx_cloud *cloud, const struct scale_out_call *call) {
  struct offer_backoff *backoff = offer_backoff_of(cloud, call->type, call->zone, call->spot);
  backoff->wait_s = fmin(fmax(backoff->wait_s * 2, TMX_OFFER_BACKOFF_S), TMX_OFFER_BACKOFF_MAX_S);
  backoff->until = tmx_clock_steady() + backoff->wait_s;
}

static void send_scale_out(struct scale_out_call *call);

static void free_scale_out_call(struct scale_out_call *call) {
  call->cloud->scale_outs_in_flight--;
  free(call);
}

static void on_scale_out_response(void *arg, int status, const uint8_t *body, size_t len) {
  struct scale_out_call *call = arg;
  struct tmx_cloud *cloud = call->cloud;
  cbor_item_t *map = tmx_cbor_parse(body, len);
  if (status == 200 && map) {
    const cbor_item_t *machines = tmx_cbor_get(map, W_MACHINES);
    uint32_t got = 0;
    double now = tmx_clock_steady();
    for (size_t i = 0; i < tmx_cbor_list_length(machines); i++) {
      char id[TMX_ID_MAX];
      if (!tmx_cbor_as_text(tmx_cbor_list_at(machines, i), id, sizeof id)) continue;
      struct tmx_instance *instance = tmx_cloud_find_instance(cloud, id);
      if (!instance->type[0]) {
        snprintf(instance->type, sizeof instance->type, "%s", call->type);
        instance->zone = call->zone;
        instance->spot = call->spot;
      }
      instance->rented_at = call->started;
      if (!instance->age_as_of) instance->age_as_of = now;
      got++;
    }
    tmx_log(TMX_LOG_INFO, "cloud: rented %u of %u %s in %s%s", got, call->count, call->type,
            cloud->settings->zones[call->zone], call->spot ? ", spot" : "");
    if (got < call->count)
      back_off_offer(cloud, call);
    else
      offer_backoff_of(cloud, call->type, call->zone, call->spot)->wait_s = 0;
    free_scale_out_call(call);
  } else if ((status == 0 || status == 429) && ++call->tries < 4 &&
             tmx_store_is_leader(cloud->store)) {
    send_scale_out(call); /* the same name rents nothing twice */
  } else {
    tmx_log(TMX_LOG_INFO, "cloud: %s in %s%s refused (%d)", call->type,
            cloud->settings->zones[call->zone], call->spot ? ", spot" : "", status);
    if (status == 503 || status == 200) back_off_offer(cloud, call);
    free_scale_out_call(call);
  }
  tmx_cbor_free(map);
}

static void send_scale_out(struct scale_out_call *call) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 5);
  tmx_cbor_put_text_field(&buffer, W_REQUEST, call->name);
  tmx_cbor_put_text_field(&buffer, W_TYPE, call->type);
  tmx_cbor_put_text_field(&buffer, W_ZONE, call->cloud->settings->zones[call->zone]);
  tmx_cbor_put_bool_field(&buffer, W_SPOT, call->spot);
  tmx_cbor_put_u64_field(&buffer, W_COUNT, call->count);
  bool ok = tmx_cloud_may_call(call->cloud) &&
            tmx_http_client_call(call->cloud->http, "POST", WP_MACHINES, &buffer,
                                 TMX_CLOUD_TIMEOUT_S, on_scale_out_response, call);
  tmx_buffer_free(&buffer);
  if (!ok) free_scale_out_call(call);
}

/* The name holds the run of this process, which no other run has: nobody uses it again. */
static void scale_out(struct tmx_cloud *cloud, const struct tmx_offer *offers, uint32_t count) {
  for (; count; count -= count < TMX_SCALE_OUT_MAX ? count : TMX_SCALE_OUT_MAX) {
    struct scale_out_call *call = tmx_allocate(1, sizeof *call);
    call->cloud = cloud;
    call->zone = offers->zone;
    call->spot = offers->spot;
    call->count = count < TMX_SCALE_OUT_MAX ? count : TMX_SCALE_OUT_MAX;
    call->started = tmx_clock_steady();
    snprintf(call->type, sizeof call->type, "%s", offers->type->name);
    snprintf(call->name, sizeof call->name, "%s-%llu-%llu", cloud->settings->node_name,
             (unsigned long long)tmx_store_incarnation(cloud->store),
             (unsigned long long)++cloud->next_request_number);
    cloud->scale_outs_in_flight++;
    send_scale_out(call);
  }
}

struct demand_list {
  struct tmx_demand *demands;
  size_t count, capacity;
};

static bool specs_are_alike(const struct tmx_job_spec *left, const struct tmx_job_spec *right) {
  return left->service == right->service && left->cpus == right->cpus &&
         left->gpus == right->gpus && left->mem_gb == right->mem_gb &&
         left->spot_allowed == right->spot_allowed && left->n_types == right->n_types &&
         left->spread == right->spread &&
         !memcmp(left->types, right->types, left->n_types * sizeof left->types[0]);
}

/* Jobs of one shape count as one demand: what is rented for them is the same. */
static void add_demand(struct demand_list *list, const struct tmx_job_spec *spec, int zone,
                       uint32_t tasks, double run) {
  if (!tasks) return;
  for (size_t i = 0; i < list->count; i++)
    if (list->demands[i].zone == zone && specs_are_alike(list->demands[i].spec, spec) &&
        list->demands[i].run_s <= 2 * run && run <= 2 * list->demands[i].run_s) {
      list->demands[i].tasks += tasks;
      return;
    }
  if (list->count == list->capacity) {
    list->capacity = list->capacity * 2 + 32;
    list->demands = realloc(list->demands, list->capacity * sizeof *list->demands);
    if (!list->demands) abort();
  }
  list->demands[list->count++] = (struct tmx_demand){spec, tasks, zone, run};
}

/* A service's waiting tasks by the zones that its cap leaves open, the emptiest first. */
static void add_service_demand(const struct tmx_settings *settings, struct demand_list *list,
                               const struct tmx_job *job, uint32_t w) {
  const struct tmx_job_spec *spec = &job->spec;
  uint32_t cap = tmx_zone_cap(spec, settings->n_zones), add[TMX_ZONES_MAX] = {0};
  if (spec->zone[0] || spec->same_zone || settings->n_zones < 2) {
    int zone = spec->zone[0] ? tmx_zone_index(settings, spec->zone) : -1;
    for (size_t z = 0; zone < 0 && spec->same_zone && z < settings->n_zones; z++)
      if (job->placed_in_zone[z]) zone = (int)z;
    add_demand(list, spec, zone, w, 0);
    return;
  }
  for (; w; w--) {
    size_t best = settings->n_zones;
    for (size_t z = 0; z < settings->n_zones; z++) {
      if (job->placed_in_zone[z] + add[z] >= cap) continue;
      if (best == settings->n_zones ||
          job->placed_in_zone[z] + add[z] < job->placed_in_zone[best] + add[best])
        best = z;
    }
    if (best == settings->n_zones) break;
    add[best]++;
  }
  for (size_t z = 0; z < settings->n_zones; z++) add_demand(list, spec, (int)z, add[z], 0);
}

static void plan_scale_out(struct tmx_cloud *cloud) {
  struct tmx_replica *replica = cloud->replica;
  double now = tmx_clock_steady(), have = 0;
  struct demand_list list = {0};
  struct tmx_offer offers[TMX_TYPES_MAX * TMX_ZONES_MAX * 2];
  size_t n_o = 0, n_c = 0;
  double team[TMX_TEAMS_MAX];
  for (size_t i = 0; i < cloud->settings->n_teams; i++)
    team[i] = cloud->settings->teams[i].cpus_max > 0
                  ? cloud->settings->teams[i].cpus_max - replica->team_usage[i].cpus
                  : 1e9;
  struct tmx_job *job, *next_job;
  HASH_ITER(hh, replica->jobs, job, next_job) {
    if (job->outcome || job->team < 0 || tmx_job_is_blocked(job)) continue;
    uint32_t w = job->spec.tasks - job->n_done - job->n_placed;
    if (!w || now - job->loaded_at < 0.5) continue;
    if (job->spec.cpus > 0 && team[job->team] < w * job->spec.cpus) /* its limit holds it */
      w = team[job->team] > 0 ? (uint32_t)(team[job->team] / job->spec.cpus) : 0;
    if (!w) continue;
    team[job->team] -= w * job->spec.cpus;
    if (job->spec.service)
      add_service_demand(cloud->settings, &list, job, w);
    else
      add_demand(&list, &job->spec,
                 job->spec.zone[0] ? tmx_zone_index(cloud->settings, job->spec.zone) : -1, w,
                 tmx_run_estimate_expected(replica, &job->spec));
  }
  if (!list.count) return;
  /* room that is there or on its way */
  struct tmx_coming *cm =
      calloc(HASH_COUNT(replica->machines) + HASH_COUNT(cloud->instances) + 1, sizeof *cm);
  if (!cm) abort();
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!type || !machine->registered || machine->draining) continue;
    have += type->cpus;
    if (machine->usable && type->cpus > machine->booked_cpus &&
        type->mem_gb > machine->booked_mem_gb)
      cm[n_c++] = (struct tmx_coming){type,
                                      machine->zone,
                                      machine->spot,
                                      type->cpus - machine->booked_cpus,
                                      type->gpus - machine->booked_gpus,
                                      type->mem_gb - machine->booked_mem_gb};
  }
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, cloud->instances, instance, next_instance) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, instance->type);
    machine = tmx_machine_find(replica, instance->id);
    if (!type || instance->state == TMX_INSTANCE_FAILED || instance->deleting ||
        (machine && machine->registered))
      continue;
    have += type->cpus;
    cm[n_c++] = (struct tmx_coming){type,       instance->zone, instance->spot,
                                    type->cpus, type->gpus,     type->mem_gb};
  }
  for (size_t i = 0; i < cloud->catalog->n_types; i++)
    for (size_t z = 0; z < cloud->settings->n_zones; z++)
      for (int spot = 0; spot < 2; spot++) {
        if (!cloud->catalog->types[i].zones[z]) continue;
        if (cloud->zone_partitioned_until[z] > now)
          continue; /* what is rented there would not be heard */
        if (offer_backoff_of(cloud, cloud->catalog->types[i].name, (int)z, spot)->until > now)
          continue;
        offers[n_o++] = (struct tmx_offer){
            &cloud->catalog->types[i], (int)z, spot,
            spot ? cloud->catalog->types[i].spot_price : cloud->catalog->types[i].price};
      }
  struct tmx_scale_out scale_outs[32];
  size_t n =
      tmx_plan_scale_out(list.demands, list.count, offers, n_o, cm, n_c, have, scale_outs, 32);
  /* calls are few, and the large machines bring the most room a call */
  for (size_t i = 1; i < n; i++)
    for (size_t j = i;
         j && offers[scale_outs[j].offer].type->cpus > offers[scale_outs[j - 1].offer].type->cpus;
         j--) {
      struct tmx_scale_out scale_out_request = scale_outs[j];
      scale_outs[j] = scale_outs[j - 1];
      scale_outs[j - 1] = scale_out_request;
    }
  for (size_t i = 0; i < n; i++)
    scale_out(cloud, &offers[scale_outs[i].offer], scale_outs[i].count);
  free(cm);
  free(list.demands);
}

void tmx_cloud_tick(struct tmx_cloud *cloud) {
  double now = tmx_clock_steady();
  if (!cloud->types_read_in_flight &&
      now - cloud->types_read_at >
          (cloud->catalog->n_types ? TMX_CATALOG_S : TMX_CATALOG_RETRY_S) &&
      tmx_cloud_may_call(cloud)) {
    cloud->types_read_at = now;
    cloud->types_read_in_flight = tmx_http_client_call(cloud->http, "GET", WP_TYPES, NULL,
                                                       TMX_CLOUD_TIMEOUT_S, on_types, cloud);
  }
  tmx_cloud_record_demand(cloud, now);
  /* a leader that lost the state service may have been replaced: it gives nothing up */
  if (!tmx_store_is_leader(cloud->store) ||
      now - tmx_store_fresh_as_of(cloud->store) > TMX_STORE_LOST_S) {
    cloud->leading_since = now;
    cloud->list_cursor[0] = 0;
    return;
  }
  if (now - cloud->list_read_at > TMX_LIST_S) {
    cloud->list_read_at = now;
    read_list(cloud);
  }
  if (now - cloud->reclaim_at > TMX_RECLAIM_PERIOD_S) {
    cloud->reclaim_at = now;
    tmx_cloud_reclaim(cloud);
  }
  tmx_cloud_log_usage(cloud, now);
  if (now - cloud->scale_out_at > TMX_SCALE_OUT_PERIOD_S && cloud->catalog->n_types) {
    cloud->scale_out_at = now;
    if (!cloud->scale_outs_in_flight && now - cloud->leading_since > TMX_LIST_S)
      plan_scale_out(cloud);
  }
}
