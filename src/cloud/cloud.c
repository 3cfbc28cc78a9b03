/* The cloud: the catalog for everybody; lists and renting by the leader. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud.h"
#include "core/capacity.h"
#include "net/log.h"
#include "tmx/wire.h"

struct hire_call {
  struct tmx_cloud *k;
  char name[TMX_NAME_MAX + 48], type[TMX_ID_MAX];
  int zone, tries;
  bool spot;
  uint32_t count;
  double started;
};
struct tmx_cloud *tmx_cloud_new(struct tmx_ctl *c) {
  struct tmx_cloud *k = calloc(1, sizeof *k);
  if (!k) abort();
  k->c = c;
  k->http = tmx_http_client_new(c->loop, c->set.cloud, 8);
  k->types_at = -TMX_CATALOG_S;
  k->tokens_at = tmx_clock_steady();
  return k;
}

void tmx_cloud_free(struct tmx_cloud *k) {
  struct listed *l, *t;
  struct empty *e, *et;
  HASH_ITER(hh, k->listed, l, t) {
    HASH_DEL(k->listed, l);
    free(l);
  }
  HASH_ITER(hh, k->empties, e, et) {
    HASH_DEL(k->empties, e);
    free(e);
  }
  if (k->http) tmx_http_client_free(k->http);
  free(k);
}

const struct tmx_type *tmx_cloud_types(const struct tmx_cloud *k, size_t *n) {
  *n = k->n_types;
  return k->types;
}
const struct tmx_type *tmx_cloud_type(const struct tmx_cloud *k, const char *name) {
  for (size_t i = 0; i < k->n_types; i++)
    if (!strcmp(k->types[i].name, name)) return &k->types[i];
  return NULL;
}

bool tmx_cloud_may_call(struct tmx_cloud *k) {
  double now = tmx_clock_steady();
  k->tokens += (now - k->tokens_at) * k->c->set.cloud_rps * 0.6;
  k->tokens_at = now;
  if (k->tokens > k->c->set.cloud_rps) k->tokens = k->c->set.cloud_rps;
  if (k->tokens < 1) return false;
  k->tokens -= 1;
  return true;
}

/* ------------------------------------------------------------ catalog */

static void on_types(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_cloud *k = arg;
  k->types_busy = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  const cbor_item_t *types = tmx_cbor_get(map, W_TYPES);
  struct tmx_type t[TMX_TYPES_MAX];
  size_t n = 0;
  memset(t, 0, sizeof t);
  for (size_t i = 0; i < tmx_cbor_list_length(types) && n < TMX_TYPES_MAX; i++) {
    const cbor_item_t *entry = tmx_cbor_list_at(types, i);
    struct tmx_type *d = &t[n];
    if (!tmx_cbor_get_text(entry, W_NAME, d->name, sizeof d->name) ||
        !tmx_cbor_get_number(entry, W_CPUS, &d->cpus) ||
        !tmx_cbor_get_number(entry, W_MEM, &d->mem))
      continue;
    tmx_cbor_get_number(entry, W_GPUS, &d->gpus);
    tmx_cbor_get_number(entry, W_CACHE_GB, &d->cache_gb);
    tmx_cbor_get_number(entry, W_FETCH, &d->fetch);
    tmx_cbor_get_number(entry, W_PRICE, &d->price);
    d->spot_price = d->price;
    tmx_cbor_get_number(entry, W_SPOT_PRICE, &d->spot_price);
    tmx_cbor_get_number(entry, W_BOOT_S, &d->boot_s);
    const cbor_item_t *zones = tmx_cbor_get(entry, W_ZONES);
    for (size_t z = 0; z < tmx_cbor_list_length(zones); z++) {
      char name[TMX_NAME_MAX];
      int zi = tmx_cbor_as_text(tmx_cbor_list_at(zones, z), name, sizeof name)
                   ? tmx_zone_index(&k->c->set, name)
                   : -1;
      if (zi >= 0) d->zones[zi] = true;
    }
    n++;
  }
  if (n) {
    if (!k->n_types) tmx_log(TMX_LOG_INFO, "cloud: %zu machine types", n);
    if (!k->n_types && tmx_cbor_list_length(types) > n)
      tmx_log(TMX_LOG_ERROR, "cloud: %zu of %zu machine types are left out",
              tmx_cbor_list_length(types) - n, tmx_cbor_list_length(types));
    bool sizes = n != k->n_types;
    for (size_t i = 0; i < n && !sizes; i++)
      sizes = strcmp(t[i].name, k->types[i].name) || t[i].cpus != k->types[i].cpus ||
              t[i].gpus != k->types[i].gpus || t[i].mem != k->types[i].mem;
    memcpy(k->types, t, sizeof t);
    k->n_types = n;
    struct tmx_machine *other, *next_other;
    if (sizes) HASH_ITER(hh, k->c->rep.machines, other, next_other)
    tmx_scheduler_machine_changed(k->c->rounds, other);
    tmx_scheduler_trigger(k->c);
  }
  tmx_cbor_free(map);
}

/* ------------------------------------------------------------ list */

struct listed *tmx_cloud_listed(struct tmx_cloud *k, const char *id) {
  struct listed *l;
  HASH_FIND_STR(k->listed, id, l);
  if (l) return l;
  l = calloc(1, sizeof *l);
  if (!l) abort();
  snprintf(l->id, sizeof l->id, "%s", id);
  HASH_ADD_STR(k->listed, id, l);
  return l;
}

static void read_list(struct tmx_cloud *k);

static void on_list(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_cloud *k = arg;
  k->list_busy = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  const cbor_item_t *machines = tmx_cbor_get(map, W_MACHINES);
  double now = tmx_clock_steady();
  if (!map) {
    k->from[0] = 0;
    return;
  }
  char before[TMX_ID_MAX];
  memcpy(before, k->from, sizeof before);
  for (size_t i = 0; i < tmx_cbor_list_length(machines); i++) {
    const cbor_item_t *entry = tmx_cbor_list_at(machines, i);
    char id[TMX_ID_MAX], state[16], zone[TMX_NAME_MAX];
    if (!tmx_cbor_get_text(entry, W_ID, id, sizeof id)) continue;
    struct listed *l = tmx_cloud_listed(k, id);
    tmx_cbor_get_text(entry, W_TYPE, l->type, sizeof l->type);
    l->zone =
        tmx_cbor_get_text(entry, W_ZONE, zone, sizeof zone) ? tmx_zone_index(&k->c->set, zone) : -1;
    tmx_cbor_get_bool(entry, W_SPOT, &l->spot);
    tmx_cbor_get_number(entry, W_AGE, &l->held);
    if (tmx_cbor_get_text(entry, W_STATE, state, sizeof state)) {
      int s = !strcmp(state, WV_BOOTING)  ? LS_BOOTING
              : !strcmp(state, WV_FAILED) ? LS_FAILED
                                          : LS_RUNNING;
      if (s > l->state) l->state = s; /* lists may be older than the one before */
    }
    l->at = now;
    l->pass = k->pass;
    if (strcmp(id, k->from) > 0) snprintf(k->from, sizeof k->from, "%s", id);
  }
  bool more = false;
  tmx_cbor_get_bool(map, W_MORE, &more);
  /* a page that brings no later name would come again for ever */
  bool forward = strcmp(k->from, before) > 0;
  tmx_cbor_free(map);
  if (more && forward) {
    read_list(k);
    return;
  }
  if (more) tmx_log(TMX_LOG_ERROR, "cloud: the list of machines is not in order behind %s", before);
  k->from[0] = 0;
  k->pass++;
  struct listed *l, *t;
  HASH_ITER(hh, k->listed, l, t) {
    /* unlisted for longer than any list lags: gone */
    double since = l->at > l->rented_at ? l->at : l->rented_at;
    if (now - since > 2 * k->c->set.list_lag_s + 3 * TMX_LIST_S) {
      HASH_DEL(k->listed, l);
      free(l);
    }
  }
}

static void read_list(struct tmx_cloud *k) {
  char path[128];
  if (k->list_busy || !tmx_cloud_may_call(k)) return;
  snprintf(path, sizeof path, WP_MACHINES "?%s%s%spage=500", k->from[0] ? "from=" : "", k->from,
           k->from[0] ? "&" : "");
  k->list_busy = tmx_http_client_call(k->http, "GET", path, NULL, TMX_CLOUD_TIMEOUT_S, on_list, k);
}

/* ------------------------------------------------------------ renting */

static struct blocked *block_of(struct tmx_cloud *k, const char *type, int zone, bool spot) {
  for (size_t i = 0; i < k->n_blocked; i++) {
    struct blocked *b = &k->blocked[i];
    if (b->zone == zone && b->spot == spot && !strcmp(b->type, type)) return b;
  }
  if (k->n_blocked == sizeof k->blocked / sizeof k->blocked[0]) k->n_blocked = 0;
  struct blocked *b = &k->blocked[k->n_blocked++];
  memset(b, 0, sizeof *b);
  snprintf(b->type, sizeof b->type, "%s", type);
  b->zone = zone;
  b->spot = spot;
  return b;
}

static void block(struct tmx_cloud *k, const struct hire_call *h) {
  struct blocked *b = block_of(k, h->type, h->zone, h->spot);
  b->wait = fmin(fmax(b->wait * 2, TMX_REFUSED_S), TMX_REFUSED_MAX_S);
  b->until = tmx_clock_steady() + b->wait;
}

static void send_hire(struct hire_call *h);

static void drop_hire(struct hire_call *h) {
  h->k->hires_busy--;
  free(h);
}

static void on_hired(void *arg, int status, const uint8_t *body, size_t len) {
  struct hire_call *h = arg;
  struct tmx_cloud *k = h->k;
  cbor_item_t *map = tmx_cbor_parse(body, len);
  if (status == 200 && map) {
    const cbor_item_t *machines = tmx_cbor_get(map, W_MACHINES);
    uint32_t got = 0;
    double now = tmx_clock_steady();
    for (size_t i = 0; i < tmx_cbor_list_length(machines); i++) {
      char id[TMX_ID_MAX];
      if (!tmx_cbor_as_text(tmx_cbor_list_at(machines, i), id, sizeof id)) continue;
      struct listed *l = tmx_cloud_listed(k, id);
      if (!l->type[0]) {
        snprintf(l->type, sizeof l->type, "%s", h->type);
        l->zone = h->zone;
        l->spot = h->spot;
      }
      l->rented_at = h->started;
      if (!l->at) l->at = now;
      got++;
    }
    tmx_log(TMX_LOG_INFO, "cloud: rented %u of %u %s in %s%s", got, h->count, h->type,
            k->c->set.zones[h->zone], h->spot ? ", spot" : "");
    if (got < h->count)
      block(k, h);
    else
      block_of(k, h->type, h->zone, h->spot)->wait = 0;
    drop_hire(h);
  } else if ((status == 0 || status == 429) && ++h->tries < 4 && tmx_store_is_leader(k->c->link)) {
    send_hire(h); /* the same name rents nothing twice */
  } else {
    tmx_log(TMX_LOG_INFO, "cloud: %s in %s%s refused (%d)", h->type, k->c->set.zones[h->zone],
            h->spot ? ", spot" : "", status);
    if (status == 503 || status == 200) block(k, h);
    drop_hire(h);
  }
  tmx_cbor_free(map);
}

static void send_hire(struct hire_call *h) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 5);
  tmx_cbor_put_text_field(&buffer, W_REQUEST, h->name);
  tmx_cbor_put_text_field(&buffer, W_TYPE, h->type);
  tmx_cbor_put_text_field(&buffer, W_ZONE, h->k->c->set.zones[h->zone]);
  tmx_cbor_put_bool_field(&buffer, W_SPOT, h->spot);
  tmx_cbor_put_u64_field(&buffer, W_COUNT, h->count);
  bool ok =
      tmx_cloud_may_call(h->k) && tmx_http_client_call(h->k->http, "POST", WP_MACHINES, &buffer,
                                                       TMX_CLOUD_TIMEOUT_S, on_hired, h);
  tmx_buffer_free(&buffer);
  if (!ok) drop_hire(h);
}

/* The name holds the run of this process, which no other run has: nobody uses it again. */
static void hire(struct tmx_cloud *k, const struct tmx_offer *o, uint32_t count) {
  for (; count; count -= count < TMX_HIRE_MAX ? count : TMX_HIRE_MAX) {
    struct hire_call *h = calloc(1, sizeof *h);
    if (!h) abort();
    h->k = k;
    h->zone = o->zone;
    h->spot = o->spot;
    h->count = count < TMX_HIRE_MAX ? count : TMX_HIRE_MAX;
    h->started = tmx_clock_steady();
    snprintf(h->type, sizeof h->type, "%s", o->type->name);
    snprintf(h->name, sizeof h->name, "%s-%llu-%llu", k->c->set.node,
             (unsigned long long)tmx_store_incarnation(k->c->link),
             (unsigned long long)++k->hire_seq);
    k->hires_busy++;
    send_hire(h);
  }
}

struct needs {
  struct tmx_demand *v;
  size_t n, cap;
};

static bool alike(const struct tmx_job_spec *left, const struct tmx_job_spec *right) {
  return left->service == right->service && left->cpus == right->cpus &&
         left->gpus == right->gpus && left->mem_gb == right->mem_gb &&
         left->spot_allowed == right->spot_allowed && left->n_types == right->n_types &&
         left->spread == right->spread &&
         !memcmp(left->types, right->types, left->n_types * sizeof left->types[0]);
}

/* Jobs of one shape count as one demand: what is rented for them is the same. */
static void need(struct needs *d, const struct tmx_job_spec *spec, int zone, uint32_t tasks,
                 double run) {
  if (!tasks) return;
  for (size_t i = 0; i < d->n; i++)
    if (d->v[i].zone == zone && alike(d->v[i].spec, spec) && d->v[i].run_s <= 2 * run &&
        run <= 2 * d->v[i].run_s) {
      d->v[i].tasks += tasks;
      return;
    }
  if (d->n == d->cap) {
    d->cap = d->cap * 2 + 32;
    d->v = realloc(d->v, d->cap * sizeof *d->v);
    if (!d->v) abort();
  }
  d->v[d->n++] = (struct tmx_demand){spec, tasks, zone, run};
}

/* A service's waiting tasks by the zones that its cap leaves open, the emptiest first. */
static void need_service(const struct tmx_ctl *c, struct needs *d, const struct tmx_job *job,
                         uint32_t w) {
  const struct tmx_job_spec *spec = &job->spec;
  uint32_t cap = tmx_zone_cap(spec, c->set.n_zones), add[TMX_ZONES_MAX] = {0};
  if (spec->zone[0] || spec->same_zone || c->set.n_zones < 2) {
    int zone = spec->zone[0] ? tmx_zone_index(&c->set, spec->zone) : -1;
    for (size_t z = 0; zone < 0 && spec->same_zone && z < c->set.n_zones; z++)
      if (job->placed_in_zone[z]) zone = (int)z;
    need(d, spec, zone, w, 0);
    return;
  }
  for (; w; w--) {
    size_t best = c->set.n_zones;
    for (size_t z = 0; z < c->set.n_zones; z++) {
      if (job->placed_in_zone[z] + add[z] >= cap) continue;
      if (best == c->set.n_zones ||
          job->placed_in_zone[z] + add[z] < job->placed_in_zone[best] + add[best])
        best = z;
    }
    if (best == c->set.n_zones) break;
    add[best]++;
  }
  for (size_t z = 0; z < c->set.n_zones; z++) need(d, spec, (int)z, add[z], 0);
}

static void weigh(struct tmx_cloud *k) {
  struct tmx_ctl *c = k->c;
  struct tmx_replica *replica = &c->rep;
  double now = tmx_clock_steady(), have = 0;
  struct needs d = {0};
  struct tmx_offer o[TMX_TYPES_MAX * TMX_ZONES_MAX * 2];
  size_t n_o = 0, n_c = 0;
  double team[TMX_TEAMS_MAX];
  for (size_t i = 0; i < c->set.n_teams; i++)
    team[i] =
        c->set.teams[i].cpus_max > 0 ? c->set.teams[i].cpus_max - replica->team_usage[i].cpus : 1e9;
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
      need_service(c, &d, job, w);
    else
      need(&d, &job->spec, job->spec.zone[0] ? tmx_zone_index(&c->set, job->spec.zone) : -1, w,
           tmx_run_estimate_expected(replica, &job->spec));
  }
  if (!d.n) return;
  /* room that is there or on its way */
  struct tmx_coming *cm =
      calloc(HASH_COUNT(replica->machines) + HASH_COUNT(k->listed) + 1, sizeof *cm);
  if (!cm) abort();
  struct tmx_machine *machine, *next_machine;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    const struct tmx_type *t = tmx_cloud_type(k, machine->type);
    if (!t || !machine->registered || machine->draining) continue;
    have += t->cpus;
    if (machine->usable && t->cpus > machine->booked_cpus && t->mem > machine->booked_mem_gb)
      cm[n_c++] = (struct tmx_coming){t,
                                      machine->zone,
                                      machine->spot,
                                      t->cpus - machine->booked_cpus,
                                      t->gpus - machine->booked_gpus,
                                      t->mem - machine->booked_mem_gb};
  }
  struct listed *l, *lt;
  HASH_ITER(hh, k->listed, l, lt) {
    const struct tmx_type *t = tmx_cloud_type(k, l->type);
    machine = tmx_machine_find(replica, l->id);
    if (!t || l->state == LS_FAILED || l->deleting || (machine && machine->registered)) continue;
    have += t->cpus;
    cm[n_c++] = (struct tmx_coming){t, l->zone, l->spot, t->cpus, t->gpus, t->mem};
  }
  for (size_t i = 0; i < k->n_types; i++)
    for (size_t z = 0; z < c->set.n_zones; z++)
      for (int spot = 0; spot < 2; spot++) {
        if (!k->types[i].zones[z]) continue;
        if (k->cut_until[z] > now) continue; /* what is rented there would not be heard */
        if (block_of(k, k->types[i].name, (int)z, spot)->until > now) continue;
        o[n_o++] = (struct tmx_offer){&k->types[i], (int)z, spot,
                                      spot ? k->types[i].spot_price : k->types[i].price};
      }
  struct tmx_hire h[32];
  size_t n = tmx_capacity(d.v, d.n, o, n_o, cm, n_c, have, h, 32);
  /* calls are few, and the large machines bring the most room a call */
  for (size_t i = 1; i < n; i++)
    for (size_t j = i; j && o[h[j].offer].type->cpus > o[h[j - 1].offer].type->cpus; j--) {
      struct tmx_hire t = h[j];
      h[j] = h[j - 1];
      h[j - 1] = t;
    }
  for (size_t i = 0; i < n; i++) hire(k, &o[h[i].offer], h[i].count);
  free(cm);
  free(d.v);
}

void tmx_cloud_tick(struct tmx_cloud *k) {
  double now = tmx_clock_steady();
  if (!k->types_busy && now - k->types_at > (k->n_types ? TMX_CATALOG_S : TMX_CATALOG_RETRY_S) &&
      tmx_cloud_may_call(k)) {
    k->types_at = now;
    k->types_busy =
        tmx_http_client_call(k->http, "GET", WP_TYPES, NULL, TMX_CLOUD_TIMEOUT_S, on_types, k);
  }
  tmx_cloud_note_demand(k, now);
  /* a leader that lost the state service may have been replaced: it gives nothing up */
  if (!tmx_store_is_leader(k->c->link) ||
      now - tmx_store_fresh_as_of(k->c->link) > TMX_STATE_LOST_S) {
    k->led_since = now;
    k->from[0] = 0;
    return;
  }
  if (now - k->list_at > TMX_LIST_S) {
    k->list_at = now;
    read_list(k);
  }
  if (now - k->sweep_at > TMX_SWEEP_S) {
    k->sweep_at = now;
    tmx_cloud_sweep(k);
  }
  tmx_cloud_log_use(k, now);
  if (now - k->rent_at > TMX_RENT_S && k->n_types) {
    k->rent_at = now;
    if (!k->hires_busy && now - k->led_since > TMX_LIST_S) weigh(k);
  }
}
