/* The cloud: the catalog for everybody; lists, renting and returning by the leader. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller.h"
#include "core/capacity.h"
#include "net/log.h"
#include "tmx/wire.h"

enum { LS_BOOTING, LS_RUNNING, LS_FAILED };
struct listed { /* a machine that the cloud lists, or that a rental answer named */
  char id[TMX_ID_MAX], type[TMX_ID_MAX];
  int zone, state;
  bool spot;
  double held, at;      /* held_s as of the list read at `at` */
  double rented_at;     /* by this controller; 0: from a list */
  double unheard_since; /* up by the list, but no report */
  unsigned pass;        /* list pass that showed it */
  bool deleting;
  UT_hash_handle hh;
};
struct blocked { /* a refused type, zone and kind */
  char type[TMX_ID_MAX];
  int zone;
  bool spot;
  double until, wait;
};
struct empty { /* since when a machine has had no task, as seen by this leader */
  char id[TMX_ID_MAX];
  double since;
  unsigned pass;
  UT_hash_handle hh;
};

struct hire_call {
  struct tmx_cloud *k;
  char name[TMX_NAME_MAX + 32], type[TMX_ID_MAX];
  int zone, tries;
  bool spot;
  uint32_t count;
  double started;
};
struct delete_call {
  struct tmx_cloud *k;
  char ids[50][TMX_ID_MAX];
  size_t n;
};

struct tmx_cloud {
  struct tmx_ctl *c;
  struct tmx_client *http;
  struct tmx_type types[TMX_TYPES_MAX];
  size_t n_types;
  double types_at, list_at, rent_at, sweep_at, tokens, tokens_at, led_since;
  bool types_busy, list_busy, delete_busy;
  int hires_busy;
  unsigned pass;
  char from[TMX_ID_MAX];
  struct listed *listed;
  struct empty *empties;
  struct blocked blocked[64];
  size_t n_blocked;
  uint64_t hire_seq;
  double booked[TMX_PEAK_S]; /* CPUs booked and asked for, the most in each of the last seconds */
  int booked_at;             /* second of the latest entry */
  double drain_at;
  double cut_until[TMX_ZONES_MAX]; /* zones that seem cut off */
};

struct tmx_cloud *tmx_cloud_new(struct tmx_ctl *c) {
  struct tmx_cloud *k = calloc(1, sizeof *k);
  if (!k) abort();
  k->c = c;
  k->http = tmx_client_new(c->loop, c->set.cloud, 8);
  k->types_at = -TMX_CATALOG_S;
  k->tokens_at = tmx_now();
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
  if (k->http) tmx_client_free(k->http);
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

/* The rate is shared by all controllers; the leader makes nearly all calls. */
static bool may_call(struct tmx_cloud *k) {
  double now = tmx_now();
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
  cbor_item_t *m = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  const cbor_item_t *ts = tmx_r_get(m, W_TYPES);
  struct tmx_type t[TMX_TYPES_MAX];
  size_t n = 0;
  memset(t, 0, sizeof t);
  for (size_t i = 0; i < tmx_r_len(ts) && n < TMX_TYPES_MAX; i++) {
    const cbor_item_t *e = tmx_r_at(ts, i);
    struct tmx_type *d = &t[n];
    if (!tmx_r_kstr(e, W_NAME, d->name, sizeof d->name) || !tmx_r_knum(e, W_CPUS, &d->cpus) ||
        !tmx_r_knum(e, W_MEM, &d->mem))
      continue;
    tmx_r_knum(e, W_GPUS, &d->gpus);
    tmx_r_knum(e, W_CACHE_GB, &d->cache_gb);
    tmx_r_knum(e, W_FETCH, &d->fetch);
    tmx_r_knum(e, W_PRICE, &d->price);
    d->spot_price = d->price;
    tmx_r_knum(e, W_SPOT_PRICE, &d->spot_price);
    tmx_r_knum(e, W_BOOT_S, &d->boot_s);
    const cbor_item_t *zs = tmx_r_get(e, W_ZONES);
    for (size_t z = 0; z < tmx_r_len(zs); z++) {
      char name[TMX_NAME_MAX];
      int zi =
          tmx_r_str(tmx_r_at(zs, z), name, sizeof name) ? tmx_zone_index(&k->c->set, name) : -1;
      if (zi >= 0) d->zones[zi] = true;
    }
    n++;
  }
  if (n) {
    if (!k->n_types) tmx_log(TMX_INFO, "cloud: %zu machine types", n);
    memcpy(k->types, t, sizeof t);
    k->n_types = n;
    tmx_ctl_kick(k->c);
  }
  tmx_cbor_free(m);
}

/* ------------------------------------------------------------ list */

static struct listed *listed_make(struct tmx_cloud *k, const char *id) {
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
  cbor_item_t *m = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  const cbor_item_t *ms = tmx_r_get(m, W_MACHINES);
  double now = tmx_now();
  if (!m) {
    k->from[0] = 0;
    return;
  }
  for (size_t i = 0; i < tmx_r_len(ms); i++) {
    const cbor_item_t *e = tmx_r_at(ms, i);
    char id[TMX_ID_MAX], state[16], zone[TMX_NAME_MAX];
    if (!tmx_r_kstr(e, W_ID, id, sizeof id)) continue;
    struct listed *l = listed_make(k, id);
    tmx_r_kstr(e, W_TYPE, l->type, sizeof l->type);
    l->zone = tmx_r_kstr(e, W_ZONE, zone, sizeof zone) ? tmx_zone_index(&k->c->set, zone) : -1;
    tmx_r_kbool(e, W_SPOT, &l->spot);
    tmx_r_knum(e, W_AGE, &l->held);
    if (tmx_r_kstr(e, W_STATE, state, sizeof state)) {
      int s = !strcmp(state, WV_BOOTING)  ? LS_BOOTING
              : !strcmp(state, WV_FAILED) ? LS_FAILED
                                          : LS_RUNNING;
      if (s > l->state) l->state = s; /* lists may be older than the one before */
    }
    l->at = now;
    l->pass = k->pass;
    snprintf(k->from, sizeof k->from, "%s", id);
  }
  bool more = false;
  tmx_r_kbool(m, W_MORE, &more);
  bool any = tmx_r_len(ms) > 0;
  tmx_cbor_free(m);
  if (more && any) {
    read_list(k);
    return;
  }
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
  if (k->list_busy || !may_call(k)) return;
  snprintf(path, sizeof path, WP_MACHINES "?%s%s%spage=500", k->from[0] ? "from=" : "", k->from,
           k->from[0] ? "&" : "");
  k->list_busy = tmx_client_call(k->http, "GET", path, NULL, TMX_CLOUD_TIMEOUT_S, on_list, k);
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
  b->until = tmx_now() + b->wait;
}

static void send_hire(struct hire_call *h);

static void drop_hire(struct hire_call *h) {
  struct tmx_txn t = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_K_HIRE "%s", h->name);
  tmx_txn_drop(&t, key);
  tmx_link_commit(h->k->c->link, &t, false, NULL, NULL);
  h->k->hires_busy--;
  free(h);
}

static void on_hired(void *arg, int status, const uint8_t *body, size_t len) {
  struct hire_call *h = arg;
  struct tmx_cloud *k = h->k;
  cbor_item_t *m = tmx_cbor_parse(body, len);
  if (status == 200 && m) {
    const cbor_item_t *ms = tmx_r_get(m, W_MACHINES);
    uint32_t got = 0;
    double now = tmx_now();
    for (size_t i = 0; i < tmx_r_len(ms); i++) {
      char id[TMX_ID_MAX];
      if (!tmx_r_str(tmx_r_at(ms, i), id, sizeof id)) continue;
      struct listed *l = listed_make(k, id);
      if (!l->type[0]) {
        snprintf(l->type, sizeof l->type, "%s", h->type);
        l->zone = h->zone;
        l->spot = h->spot;
      }
      l->rented_at = h->started;
      if (!l->at) l->at = now;
      got++;
    }
    tmx_log(TMX_INFO, "cloud: rented %u of %u %s in %s%s", got, h->count, h->type,
            k->c->set.zones[h->zone], h->spot ? ", spot" : "");
    if (got < h->count)
      block(k, h);
    else
      block_of(k, h->type, h->zone, h->spot)->wait = 0;
    drop_hire(h);
  } else if ((status == 0 || status == 429) && ++h->tries < 4 && tmx_link_leading(k->c->link)) {
    send_hire(h); /* the same name rents nothing twice */
  } else {
    tmx_log(TMX_INFO, "cloud: %s in %s%s refused (%d)", h->type, k->c->set.zones[h->zone],
            h->spot ? ", spot" : "", status);
    if (status == 503 || status == 200) block(k, h);
    drop_hire(h);
  }
  tmx_cbor_free(m);
}

static void send_hire(struct hire_call *h) {
  struct tmx_buf b = {0};
  tmx_w_map(&b, 5);
  tmx_w_kstr(&b, W_REQUEST, h->name);
  tmx_w_kstr(&b, W_TYPE, h->type);
  tmx_w_kstr(&b, W_ZONE, h->k->c->set.zones[h->zone]);
  tmx_w_kbool(&b, W_SPOT, h->spot);
  tmx_w_ku64(&b, W_COUNT, h->count);
  bool ok = may_call(h->k) &&
            tmx_client_call(h->k->http, "POST", WP_MACHINES, &b, TMX_CLOUD_TIMEOUT_S, on_hired, h);
  tmx_buf_free(&b);
  if (!ok) drop_hire(h);
}

static void on_hire_logged(void *arg, int res, uint64_t rev) {
  struct hire_call *h = arg;
  (void)rev;
  /* a name goes out only once it is known to be taken: nobody uses it again */
  if (res == TMX_TXN_OK && tmx_link_leading(h->k->c->link)) {
    send_hire(h);
  } else {
    h->k->hires_busy--;
    free(h);
  }
}

static void hire(struct tmx_cloud *k, const struct tmx_offer *o, uint32_t count) {
  struct hire_call *h = calloc(1, sizeof *h);
  struct tmx_txn t = {0};
  struct tmx_buf v = {0};
  char key[TMX_KEY_MAX + 1];
  if (!h) abort();
  h->k = k;
  h->zone = o->zone;
  h->spot = o->spot;
  h->count = count > 50 ? 50 : count;
  h->started = tmx_now();
  snprintf(h->type, sizeof h->type, "%s", o->type->name);
  snprintf(h->name, sizeof h->name, "%s-%llu-%llu", k->c->set.node,
           (unsigned long long)tmx_link_inc(k->c->link), (unsigned long long)++k->hire_seq);
  snprintf(key, sizeof key, TMX_K_HIRE "%s", h->name);
  tmx_w_map(&v, 2);
  tmx_w_kstr(&v, "type", h->type);
  tmx_w_ku64(&v, "count", h->count);
  tmx_txn_if(&t, key, 0);
  tmx_txn_put(&t, key, &v, 0);
  tmx_buf_free(&v);
  k->hires_busy++;
  if (!tmx_link_commit(k->c->link, &t, true, on_hire_logged, h)) {
    k->hires_busy--;
    free(h);
  }
}

static void weigh(struct tmx_cloud *k) {
  struct tmx_ctl *c = k->c;
  struct tmx_replica *r = &c->rep;
  double now = tmx_now(), have = 0;
  struct tmx_demand d[256];
  struct tmx_offer o[TMX_TYPES_MAX * TMX_ZONES_MAX * 2];
  struct tmx_coming cm[256];
  size_t n_d = 0, n_o = 0, n_c = 0;
  double team[TMX_TEAMS_MAX];
  for (size_t i = 0; i < c->set.n_teams; i++)
    team[i] = c->set.teams[i].cpus_max > 0 ? c->set.teams[i].cpus_max - r->usage[i].cpus : 1e9;
  struct tmx_job *j, *jt;
  HASH_ITER(hh, r->jobs, j, jt) {
    if (j->fin || j->team < 0 || n_d == 256) continue;
    uint32_t w = j->spec.tasks - j->n_done - j->n_placed;
    if (!w || now - j->loaded_at < 0.5) continue;
    while (w && j->spec.cpus > 0 && team[j->team] < w * j->spec.cpus) w--; /* its limit holds it */
    if (!w) continue;
    team[j->team] -= w * j->spec.cpus;
    d[n_d++] = (struct tmx_demand){&j->spec, w, now - j->loaded_at};
  }
  if (!n_d) return;
  struct tmx_machine *m, *mt;
  HASH_ITER(hh, r->machines, m, mt) {
    const struct tmx_type *t = tmx_cloud_type(k, m->type);
    if (t && m->known && !m->drain) have += t->cpus;
  }
  struct listed *l, *lt;
  HASH_ITER(hh, k->listed, l, lt) {
    const struct tmx_type *t = tmx_cloud_type(k, l->type);
    m = tmx_machine_find(r, l->id);
    if (!t || l->state == LS_FAILED || l->deleting || (m && m->known) || n_c == 256) continue;
    cm[n_c++] = (struct tmx_coming){t, l->zone, l->spot};
  }
  for (size_t i = 0; i < k->n_types; i++)
    for (size_t z = 0; z < c->set.n_zones; z++)
      for (int spot = 0; spot < 2; spot++) {
        if (!k->types[i].zones[z]) continue;
        if (block_of(k, k->types[i].name, (int)z, spot)->until > now) continue;
        o[n_o++] = (struct tmx_offer){&k->types[i], (int)z, spot,
                                      spot ? k->types[i].spot_price : k->types[i].price};
      }
  struct tmx_hire h[16];
  size_t n = tmx_capacity(d, n_d, o, n_o, cm, n_c, have, h, 16);
  for (size_t i = 0; i < n; i++) hire(k, &o[h[i].offer], h[i].count);
}

/* ------------------------------------------------------------ returning */

static void on_dropped(void *arg, int res, uint64_t rev) {
  (void)arg;
  (void)res;
  (void)rev;
}

/* Deleted machines are gone, with all that was on them: that is the proof to record. */
static void on_deleted(void *arg, int status, const uint8_t *body, size_t len) {
  struct delete_call *d = arg;
  struct tmx_cloud *k = d->k;
  (void)body;
  (void)len;
  k->delete_busy = false;
  if (status == 200) {
    struct tmx_txn t = {0};
    for (size_t i = 0; i < d->n; i++) {
      /* lists lag: it stays marked until none has shown it for long, and is not deleted again */
      listed_make(k, d->ids[i])->deleting = true;
      if (!tmx_machine_find(&k->c->rep, d->ids[i])) continue;
      char key[TMX_KEY_MAX + 1];
      snprintf(key, sizeof key, TMX_K_MACHINE "%s", d->ids[i]);
      tmx_txn_drop(&t, key);
    }
    if (t.n_ops) {
      tmx_txn_head(&t, k->c->set.node);
      tmx_link_commit(k->c->link, &t, true, on_dropped, k);
    }
  } else {
    for (size_t i = 0; i < d->n; i++) {
      struct listed *l;
      HASH_FIND_STR(k->listed, d->ids[i], l);
      if (l) l->deleting = false;
    }
  }
  free(d);
}

/* A machine marked so gets no new work, and is returned when it is empty. */
static void drain(struct tmx_cloud *k, struct tmx_machine *m, bool on) {
  struct tmx_txn t = {0};
  struct tmx_buf v = {0};
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_K_MACHINE "%s", m->id);
  tmx_w_map(&v, 5);
  tmx_w_kstr(&v, "addr", m->addr);
  tmx_w_kstr(&v, "type", m->type);
  tmx_w_kstr(&v, "zone", m->zone >= 0 ? k->c->set.zones[m->zone] : "");
  tmx_w_kbool(&v, "spot", m->spot);
  tmx_w_kbool(&v, "drain", on);
  tmx_txn_if(&t, key, m->stamp);
  tmx_txn_if(&t, TMX_K_HEAD, k->c->rep.head);
  tmx_txn_put(&t, key, &v, 0);
  tmx_txn_head(&t, k->c->set.node);
  tmx_buf_free(&v);
  tmx_log(TMX_INFO, "cloud: %s is %s needed", m->id, on ? "no longer" : "again");
  tmx_link_commit(k->c->link, &t, false, NULL, NULL);
}

static bool peers_all_heard(struct tmx_ctl *c) {
  for (size_t i = 0; i < c->rep.view.n_members; i++) {
    const char *n = c->rep.view.members[i].name;
    if (strcmp(n, c->set.node) && tmx_peers_silence(c->peers, n) > 1.5) return false;
  }
  return true;
}

/* The most room that was in use or asked for within the last TMX_PEAK_S. */
static double peak_booked(struct tmx_cloud *k, double now, double booked) {
  int sec = (int)now;
  if (sec - k->booked_at > TMX_PEAK_S) {
    for (int i = 0; i < TMX_PEAK_S; i++) k->booked[i] = 0;
    k->booked_at = sec;
  }
  while (k->booked_at < sec) k->booked[++k->booked_at % TMX_PEAK_S] = 0;
  double *b = &k->booked[sec % TMX_PEAK_S], most = 0;
  *b = fmax(*b, booked);
  for (int i = 0; i < TMX_PEAK_S; i++) most = fmax(most, k->booked[i]);
  return most;
}

/* Returns the dearest machine that the peak of the last while would not have needed. Its arrays
 * run to their end; its replicas move, so room for them must be free in the same zone. */
static void shrink(struct tmx_cloud *k, double booked, bool waiting) {
  struct tmx_ctl *c = k->c;
  struct tmx_replica *r = &c->rep;
  double now = tmx_now(), peak = peak_booked(k, now, booked), have = 0;
  double zone_free[TMX_ZONES_MAX] = {0};
  struct tmx_machine *m, *mt, *best = NULL;
  double best_v = 0;
  int draining = 0;
  if (now - k->led_since < TMX_PEAK_S || now - k->drain_at < TMX_DRAIN_SPACING_S) return;
  HASH_ITER(hh, r->machines, m, mt) {
    const struct tmx_type *t = tmx_cloud_type(k, m->type);
    if (!m->known || !t) continue;
    if (m->drain) {
      draining++;
      /* work waits: what is about to be returned is nearer than anything that must boot */
      if (waiting && m->tasks && !(m->errors >= TMX_SICK_ERRORS && m->error_two)) {
        k->drain_at = now;
        drain(k, m, false);
        return;
      }
      continue;
    }
    have += t->cpus;
    if (m->zone >= 0 && !m->spot) zone_free[m->zone] += t->cpus - m->cpus;
  }
  if (draining >= 3) return;
  HASH_ITER(hh, r->machines, m, mt) {
    const struct tmx_type *t = tmx_cloud_type(k, m->type);
    if (!m->known || !t || m->drain || m->zone < 0) continue;
    if (have - t->cpus < peak * (1 + TMX_ROOM_OVER_PEAK)) continue;
    double services = 0;
    for (struct tmx_task *x = m->tasks; x; x = x->next)
      if (x->job->spec.service) services += x->job->spec.cpus;
    double spare = zone_free[m->zone] - (t->cpus - m->cpus);
    if (services > 0 &&
        spare < TMX_ROOM_TO_MOVE * services + TMX_ROOM_AFTER * peak / (double)c->set.n_zones)
      continue;
    /* price of a CPU, less for work under way and for replicas that must move */
    double v = (m->spot ? t->spot_price : t->price) / t->cpus * (1.2 - m->cpus / t->cpus) *
               (1 - 0.5 * services / t->cpus);
    if (!best || v > best_v) {
      best = m;
      best_v = v;
    }
  }
  if (!best) return;
  k->drain_at = now;
  drain(k, best, true);
}

static void sweep(struct tmx_cloud *k) {
  struct tmx_ctl *c = k->c;
  struct tmx_replica *r = &c->rep;
  double now = tmx_now();
  if (k->delete_busy) return;
  struct delete_call *d = calloc(1, sizeof *d);
  if (!d) abort();
  d->k = k;
  size_t max = (size_t)c->set.txn_ops - 2;
  if (max > 50) max = 50;
  double silent =
      c->set.op.silent_s > 0 ? c->set.op.silent_s : c->set.report_s * TMX_SILENT_REPORTS;
  bool settled = now - k->led_since > TMX_SETTLE_S && peers_all_heard(c);
  bool waiting = false;
  struct tmx_job *j, *jt;
  double asked = 0;
  HASH_ITER(hh, r->jobs, j, jt) {
    if (j->fin || j->spec.tasks <= j->n_done + j->n_placed) continue;
    waiting = true;
    asked += (j->spec.tasks - j->n_done - j->n_placed) * j->spec.cpus;
  }
  struct tmx_machine *m, *mt;
  size_t n_known = 0, n_own = 0, n_zone[TMX_ZONES_MAX] = {0}, n_lost[TMX_ZONES_MAX] = {0};
  double room = 0, services = 0, booked = 0;
  HASH_ITER(hh, r->machines, m, mt) {
    if (!m->known) continue;
    struct tmx_health h = tmx_workers_health(c->workers, m->id);
    n_known++;
    n_own += h.own_age < TMX_PROBE_LATE_S;
    if (m->zone >= 0) {
      n_zone[m->zone]++;
      n_lost[m->zone] += h.alive_age > TMX_PROBE_LATE_S;
    }
    const struct tmx_type *t = tmx_cloud_type(k, m->type);
    if (t && !m->drain) room += t->cpus - m->cpus;
    booked += m->cpus;
    for (struct tmx_task *x = m->tasks; x; x = x->next)
      if (x->job->spec.service) services += x->job->spec.cpus;
  }
  int probes = 0;
  /* Most of a zone silent at once is a cut between it and us, or our own trouble, and its work may
   * go on: nothing of it is given up before its leases must have lapsed. */
  for (size_t z = 0; z < c->set.n_zones; z++)
    if (n_lost[z] >= 3 ? n_lost[z] * 2 > n_zone[z] : n_lost[z] == 2 && n_zone[z] == 2)
      k->cut_until[z] = now + TMX_ZONE_CUT_S;
  /* While this controller reaches nearly all machines, its own probes are proof enough of silence;
   * otherwise the trouble may be its own, and reports that others get must be missing too. */
  bool reaching = n_own * 10 >= n_known * 7;
  bool lapsed = now - k->led_since > c->set.lease_s;
  HASH_ITER(hh, r->machines, m, mt) {
    if (!m->known || d->n == max) continue;
    struct listed *l;
    HASH_FIND_STR(k->listed, m->id, l);
    const struct tmx_type *t = tmx_cloud_type(k, m->type);
    double age = tmx_workers_health(c->workers, m->id).alive_age;
    int lost = 0;
    if (age > TMX_PROBE_AFTER_S && probes++ < TMX_PROBES_TICK)
      lost = tmx_workers_probe(c->workers, m);
    if (age < silent && !reaching) lost = 0;
    const char *why = NULL;
    if (l && l->state == LS_FAILED)
      why = "failed";
    else if (settled && lost >= TMX_PROBES_LOST &&
             (m->zone < 0 || now > k->cut_until[m->zone] || (age > c->set.lease_s && lapsed)))
      why = "silent";
    else if (m->drain && !m->tasks)
      why = "drained";
    else if (m->errors >= TMX_SICK_ERRORS && m->error_two && !m->tasks)
      why = "faulty";
    if (why) {
      tmx_log(TMX_INFO, "cloud: deleting %s: %s", m->id, why);
      snprintf(d->ids[d->n++], TMX_ID_MAX, "%s", m->id);
      continue;
    }
    struct empty *e;
    HASH_FIND_STR(k->empties, m->id, e);
    if (!e) {
      e = calloc(1, sizeof *e);
      if (!e) abort();
      snprintf(e->id, sizeof e->id, "%s", m->id);
      e->since = now;
      HASH_ADD_STR(k->empties, id, e);
    }
    e->pass = k->pass;
    if (m->tasks || waiting) e->since = now;
    if (t && !m->drain && !m->tasks && now - e->since > c->set.op.idle_return_s &&
        room - t->cpus > services * c->set.op.headroom) {
      room -= t->cpus;
      drain(k, m, true);
      e->since = now;
    }
  }
  shrink(k, booked + asked, waiting);
  struct empty *e, *et;
  HASH_ITER(hh, k->empties, e, et) {
    if (tmx_machine_find(r, e->id)) continue;
    HASH_DEL(k->empties, e);
    free(e);
  }
  struct listed *l, *lt;
  HASH_ITER(hh, k->listed, l, lt) {
    if (d->n == max || l->deleting) continue;
    if (!l->type[0]) continue;
    m = tmx_machine_find(r, l->id);
    if (m && m->known) {
      l->unheard_since = 0;
      continue;
    }
    const struct tmx_type *t = tmx_cloud_type(k, l->type);
    double age = fmax(l->held + (now - l->at), l->rented_at ? now - l->rented_at : 0);
    const char *why = NULL;
    if (l->state == LS_FAILED)
      why = "failed";
    else if (l->state == LS_BOOTING && t && age > t->boot_s * TMX_BOOT_LATE + 10)
      why = "boots too long";
    else if (l->state == LS_RUNNING) {
      if (!l->unheard_since) l->unheard_since = now;
      if (settled && now - l->unheard_since > 45) why = "never heard";
    }
    if (!why) continue;
    tmx_log(TMX_INFO, "cloud: deleting %s: %s", l->id, why);
    l->deleting = true;
    snprintf(d->ids[d->n++], TMX_ID_MAX, "%s", l->id);
  }
  if (d->n && may_call(k)) {
    struct tmx_buf b = {0};
    tmx_w_map(&b, 1);
    tmx_w_str(&b, W_MACHINES);
    tmx_w_list(&b, d->n);
    for (size_t i = 0; i < d->n; i++) tmx_w_str(&b, d->ids[i]);
    k->delete_busy =
        tmx_client_call(k->http, "POST", WP_DELETE, &b, TMX_CLOUD_TIMEOUT_S, on_deleted, d);
    tmx_buf_free(&b);
  }
  if (!k->delete_busy) {
    for (size_t i = 0; i < d->n; i++) {
      HASH_FIND_STR(k->listed, d->ids[i], l);
      if (l) l->deleting = false;
    }
    free(d);
  }
}

void tmx_cloud_tick(struct tmx_cloud *k) {
  double now = tmx_now();
  if (!k->types_busy && now - k->types_at > (k->n_types ? TMX_CATALOG_S : TMX_CATALOG_RETRY_S) &&
      may_call(k)) {
    k->types_at = now;
    k->types_busy =
        tmx_client_call(k->http, "GET", WP_TYPES, NULL, TMX_CLOUD_TIMEOUT_S, on_types, k);
  }
  /* a leader that lost the state service may have been replaced: it gives nothing up */
  if (!tmx_link_leading(k->c->link) || now - tmx_link_confirmed(k->c->link) > TMX_STATE_LOST_S) {
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
    sweep(k);
  }
  if (now - k->rent_at > TMX_RENT_S && k->n_types) {
    k->rent_at = now;
    if (!k->hires_busy && now - k->led_since > TMX_LIST_S) weigh(k);
  }
}
