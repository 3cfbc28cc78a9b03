#include "state/link.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/log.h"
#include "tmx/wire.h"

struct waiter {
  tmx_confirm_cb cb;
  void *arg;
  double asked, until;
  uint64_t need; /* revision to reach; 0: no read has begun after asked */
  struct waiter *prev, *next;
};

struct pending_txn {
  struct tmx_link *k;
  tmx_txn_cb cb;
  void *arg;
  uint64_t lease; /* that stood when it was sent */
};

struct tmx_link {
  struct ev_loop *loop;
  const struct tmx_settings *set;
  struct tmx_replica *rep;
  struct tmx_http_client *watch, *calls;
  ev_timer watch_t, confirm_t, waiters_t;
  /* lease */
  uint64_t lease, inc;
  bool lease_busy, node_busy, lead_busy;
  double lease_at, node_at, lead_at; /* last tries */
  char node_key[TMX_NAME_MAX + 16];
  /* loading */
  bool loading;
  struct tmx_item *items;
  size_t n_items, cap_items;
  cbor_item_t **pages;
  size_t n_pages;
  char from[TMX_PATH_MAX];
  uint64_t first_rev;
  /* watching */
  bool watching;
  /* confirming */
  bool reading, unserved; /* unserved: the latest read was refused or lost */
  bool hurry;             /* the next read does not wait for its turn */
  double read_began, last_read, confirmed;
  uint64_t pend_need; /* a read's revision that the replica has not reached */
  double pend_began, pend_since;
  struct waiter *waiters;
  int n_waiters;
  /* write budget */
  double tokens, tokens_at;
  double submits;       /* puts kept apart for submissions */
  double used;          /* puts of all over the last TMX_USED_S, older ones fading */
  double pool, pool_at; /* the service's own bucket of puts, as the events of all tell */
  double watch_tokens, watch_at;
  char suspect[TMX_NAME_MAX];
  bool stand_back;
};

static void start_load(struct tmx_link *k);
static void start_watch(struct tmx_link *k);
static void start_read(struct tmx_link *k);
static void refill(struct tmx_link *k);

/* ------------------------------------------------------------ loading */

static void load_reset(struct tmx_link *k) {
  for (size_t i = 0; i < k->n_items; i++) free(k->items[i].key);
  for (size_t i = 0; i < k->n_pages; i++) tmx_cbor_free(k->pages[i]);
  free(k->items);
  free(k->pages);
  k->items = NULL;
  k->pages = NULL;
  k->n_items = k->cap_items = k->n_pages = 0;
  k->from[0] = 0;
  k->first_rev = 0;
}

static void again(struct tmx_link *k, double after) {
  ev_timer_stop(k->loop, &k->watch_t);
  ev_timer_set(&k->watch_t, after, 0);
  ev_timer_start(k->loop, &k->watch_t);
}

static void on_page(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_link *k = arg;
  k->loading = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t rev;
  if (!map || !tmx_cbor_get_u64(map, W_REVISION, &rev)) {
    tmx_cbor_free(map);
    load_reset(k);
    again(k, TMX_STATE_RETRY_S);
    return;
  }
  if (!k->first_rev) k->first_rev = rev;
  k->pages = realloc(k->pages, (k->n_pages + 1) * sizeof *k->pages);
  if (!k->pages) abort();
  k->pages[k->n_pages++] = map;
  const cbor_item_t *items = tmx_cbor_get(map, W_ITEMS);
  for (size_t i = 0; i < tmx_cbor_list_length(items); i++) {
    const cbor_item_t *item = tmx_cbor_list_at(items, i);
    char key[TMX_PATH_MAX];
    uint64_t stamp;
    if (!tmx_cbor_get_text(item, W_KEY, key, sizeof key) ||
        !tmx_cbor_get_u64(item, W_VERSION, &stamp))
      continue;
    if (k->n_items == k->cap_items) {
      k->cap_items = k->cap_items ? k->cap_items * 2 : 1024;
      k->items = realloc(k->items, k->cap_items * sizeof *k->items);
      if (!k->items) abort();
    }
    k->items[k->n_items++] =
        (struct tmx_item){.key = strdup(key), .stamp = stamp, .value = tmx_cbor_get(item, W_VALUE)};
    snprintf(k->from, sizeof k->from, "%s", key);
  }
  bool more = false;
  tmx_cbor_get_bool(map, W_MORE, &more);
  if (more && tmx_cbor_list_length(items)) {
    start_load(k);
    return;
  }
  struct tmx_replica *r = k->rep;
  tmx_replica_clear(r);
  r->now = tmx_clock_steady();
  /* Pages are read at different revisions: the events since the first page's are applied
   * again on top, and only at the last page's revision is the copy consistent. */
  r->load_until = rev;
  tmx_replica_load(r, k->items, k->n_items);
  tmx_log(TMX_LOG_INFO, "state: %zu keys read at revision %llu", k->n_items,
          (unsigned long long)rev);
  uint64_t first = k->first_rev;
  load_reset(k);
  tmx_replica_reached(r, first);
  start_watch(k);
}

/* Controllers among which the service's rates are shared. */
static double sharers(const struct tmx_link *k) {
  double n = (double)k->rep->view.n_members;
  return n > 0 && k->rep->loaded ? n : k->set->n_peers + 1.0;
}

static void start_load(struct tmx_link *k) {
  char path[TMX_PATH_MAX + 64];
  if (k->loading) return;
  snprintf(path, sizeof path, WP_KV "?prefix=" TMX_KEYS "%s%s&page=1000",
           k->from[0] ? "&from=" : "", k->from);
  k->loading =
      tmx_http_client_call(k->calls, "GET", path, NULL, TMX_STATE_TIMEOUT_S * 2, on_page, k);
  if (!k->loading) {
    load_reset(k);
    again(k, TMX_STATE_RETRY_S);
  }
}

/* ------------------------------------------------------------ watching */

static void settle(struct tmx_link *k) {
  struct waiter *w, *t;
  if (k->pend_need && k->rep->loaded && k->rep->rev >= k->pend_need) {
    if (k->pend_began > k->confirmed) k->confirmed = k->rep->sure_at = k->pend_began;
    k->pend_need = 0;
  }
  DL_FOREACH_SAFE(k->waiters, w, t) {
    bool ok = w->need && k->rep->loaded && k->rep->rev >= w->need;
    if (!ok && tmx_clock_steady() < w->until) continue;
    DL_DELETE(k->waiters, w);
    k->n_waiters--;
    w->cb(w->arg, ok);
    free(w);
  }
}

static void on_watch(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_link *k = arg;
  k->watching = false;
  if (status == 410) {
    tmx_log(TMX_LOG_INFO, "state: the watch fell behind, all keys are read again");
    again(k, 0);
    k->rep->loaded = false;
    k->rep->rev = 0;
    return;
  }
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t rev;
  if (!map || !tmx_cbor_get_u64(map, W_REVISION, &rev)) {
    tmx_cbor_free(map);
    again(k, TMX_STATE_RETRY_S);
    return;
  }
  const cbor_item_t *events = tmx_cbor_get(map, W_EVENTS);
  uint64_t fold = k->rep->fold_stamp;
  bool was_loaded = k->rep->loaded;
  k->rep->now = tmx_clock_steady();
  refill(k);
  k->pool -= (double)tmx_cbor_list_length(events);
  k->used += (double)tmx_cbor_list_length(events);
  for (size_t i = 0; i < tmx_cbor_list_length(events); i++) {
    const cbor_item_t *entry = tmx_cbor_list_at(events, i);
    char key[TMX_PATH_MAX];
    uint64_t stamp = 0;
    tmx_cbor_get_u64(entry, W_VERSION, &stamp);
    if (tmx_cbor_get_text(entry, W_PUT, key, sizeof key))
      tmx_replica_apply(k->rep, key, stamp, tmx_cbor_get(entry, W_VALUE));
    else if (tmx_cbor_get_text(entry, W_DROP, key, sizeof key))
      tmx_replica_apply(k->rep, key, stamp, NULL);
  }
  tmx_cbor_free(map);
  if (!was_loaded && k->rep->fold_stamp != fold) {
    /* The mark moved while keys were read: its pages were passed over, and those of the mark before
     * it may have been dropped already. */
    tmx_log(TMX_LOG_INFO, "state: a fold ended meanwhile, all keys are read again");
    k->rep->rev = 0;
    again(k, 0);
    return;
  }
  tmx_replica_reached(k->rep, rev);
  settle(k);
  /* Watches are opened at once while there is room for it in this controller's share of requests:
   * whoever lags behind the log loses the race for head. */
  double rate = k->set->state_rps * TMX_WATCH_SHARE / sharers(k), now = tmx_clock_steady();
  k->watch_tokens =
      fmin(k->watch_tokens + rate * (now - k->watch_at), fmax(rate * TMX_WATCH_BURST_S, 1));
  k->watch_at = now;
  k->watch_tokens -= 1;
  again(k, k->watch_tokens >= 0 ? 0 : -k->watch_tokens / rate);
}

static void start_watch(struct tmx_link *k) {
  char path[256];
  if (k->watching) return;
  snprintf(path, sizeof path, WP_WATCH "?prefix=" TMX_KEYS "&from=%llu&wait_ms=%d",
           (unsigned long long)k->rep->rev, TMX_WATCH_WAIT_MS);
  k->watching = tmx_http_client_call(k->watch, "GET", path, NULL, TMX_WATCH_WAIT_MS / 1000.0 + 3,
                                     on_watch, k);
  if (!k->watching) again(k, TMX_STATE_RETRY_S);
}

static void on_watch_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_link *k = w->data;
  if (k->rep->rev)
    start_watch(k);
  else
    start_load(k);
}

/* ------------------------------------------------------------ revision reads */

static void on_read(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_link *k = arg;
  k->reading = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t rev;
  k->unserved = status != 200 && status != 429;
  if (map && tmx_cbor_get_u64(map, W_REVISION, &rev)) {
    struct waiter *w;
    DL_FOREACH(k->waiters, w) if (!w->need && w->asked <= k->read_began) w->need = rev;
    if (!k->pend_need) {
      k->pend_need = rev;
      k->pend_began = k->read_began;
      k->pend_since = tmx_clock_steady();
    }
  }
  tmx_cbor_free(map);
  settle(k);
  /* a watch that was cut off without a word shows here: the service is ahead of the replica */
  if (k->pend_need && tmx_clock_steady() - k->pend_since > TMX_WATCH_LAG_S && k->rep->rev &&
      k->watching) {
    tmx_log(TMX_LOG_INFO, "state: the watch lags behind revision %llu, opened anew",
            (unsigned long long)k->pend_need);
    tmx_http_client_free(k->watch);
    k->watch = tmx_http_client_new(k->loop, k->set->state, 2);
    k->watching = false;
    k->pend_need = 0;
    start_watch(k);
  }
  start_read(k);
}

static void start_read(struct tmx_link *k) {
  if (k->reading || ev_is_active(&k->confirm_t)) return;
  struct waiter *w;
  bool wanted =
      tmx_clock_steady() - k->last_read > (k->unserved ? TMX_STATE_RETRY_S : TMX_CONFIRM_IDLE_S);
  DL_FOREACH(k->waiters, w) if (!w->need) wanted = true;
  if (!wanted) return;
  double wait =
      k->last_read + sharers(k) / (k->set->state_rps * TMX_CONFIRM_SHARE) - tmx_clock_steady();
  if (wait > 0.001 && !k->hurry) {
    ev_timer_set(&k->confirm_t, wait, 0);
    ev_timer_start(k->loop, &k->confirm_t);
    return;
  }
  k->hurry = false;
  k->read_began = k->last_read = tmx_clock_steady();
  k->reading = tmx_http_client_call(k->calls, "GET", WP_KV "?prefix=" TMX_K_HEAD "&page=1", NULL,
                                    TMX_STATE_TIMEOUT_S, on_read, k);
}

static void on_confirm_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  start_read(w->data);
}

static void on_waiters_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_link *k = w->data;
  settle(k);
  start_read(k);
}

bool tmx_link_confirm(struct tmx_link *k, double within, tmx_confirm_cb cb, void *arg) {
  if (k->n_waiters >= TMX_USER_QUEUE) return false;
  struct waiter *w = calloc(1, sizeof *w);
  if (!w) return false;
  w->cb = cb;
  w->arg = arg;
  w->asked = tmx_clock_steady();
  w->until = w->asked + within;
  DL_APPEND(k->waiters, w);
  k->n_waiters++;
  start_read(k);
  return true;
}

void tmx_link_hurry(struct tmx_link *k) {
  k->hurry = true;
  ev_timer_stop(k->loop, &k->confirm_t);
  start_read(k);
}

double tmx_link_confirmed(const struct tmx_link *k) { return k->confirmed; }
bool tmx_link_served(const struct tmx_link *k) { return !k->unserved; }
uint64_t tmx_link_inc(const struct tmx_link *k) { return k->inc; }
bool tmx_link_member(const struct tmx_link *k) {
  const struct tmx_member *m = tmx_member_find(k->rep, k->set->node);
  return k->rep->loaded && k->inc && m && m->inc == k->inc;
}
bool tmx_link_leading(const struct tmx_link *k) {
  return tmx_link_member(k) && k->rep->leader_stamp && !strcmp(k->rep->leader, k->set->node) &&
         k->rep->leader_inc == k->inc;
}

/* ------------------------------------------------------------ transactions */

void tmx_txn_if(struct tmx_txn *t, const char *key, uint64_t version) {
  tmx_cbor_put_map(&t->conds, 2);
  tmx_cbor_put_text_field(&t->conds, W_KEY, key);
  tmx_cbor_put_u64_field(&t->conds, W_VERSION, version);
  t->n_conds++;
}
void tmx_txn_put(struct tmx_txn *t, const char *key, const struct tmx_buffer *value,
                 uint64_t lease) {
  tmx_cbor_put_map(&t->ops, lease ? 3 : 2);
  tmx_cbor_put_text_field(&t->ops, W_PUT, key);
  tmx_cbor_put_text(&t->ops, W_VALUE);
  tmx_buffer_append(&t->ops, value->data, value->length);
  if (lease) tmx_cbor_put_u64_field(&t->ops, W_LEASE, lease);
  t->n_ops++;
}
void tmx_txn_drop(struct tmx_txn *t, const char *key) {
  tmx_cbor_put_map(&t->ops, 1);
  tmx_cbor_put_text_field(&t->ops, W_DROP, key);
  t->n_ops++;
}
void tmx_txn_head(struct tmx_txn *t, const char *by) {
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "by", by);
  tmx_txn_put(t, TMX_K_HEAD, &value, 0);
  tmx_buffer_free(&value);
}

/* This controller's share of the puts; the leader, who also folds and records what machines are
 * gone, has two. */
static double put_rate(const struct tmx_link *k) {
  double n = sharers(k);
  double mine = n > 1 && tmx_link_leading(k) ? 2 : 1;
  return k->set->write_rps * TMX_WRITE_SHARE * mine / (n > 1 ? n + 1 : 1);
}

static void refill(struct tmx_link *k) {
  double now = tmx_clock_steady(), rate = put_rate(k), all = k->set->write_rps;
  k->used *= exp(-(now - k->pool_at) / TMX_USED_S);
  k->pool = fmin(fmax(k->pool, -all) + (now - k->pool_at) * all, all);
  k->pool_at = now;
  double burst = fmax(rate * TMX_PUT_BURST_S,
                      TMX_PUT_BURST_LEAST); /* together less than the service's one second */
  k->tokens = fmin(k->tokens + (now - k->tokens_at) * rate, burst);
  k->submits =
      fmin(k->submits + (now - k->tokens_at) * k->set->write_rps * TMX_SUBMIT_SHARE / sharers(k),
           TMX_SUBMIT_BURST);
  k->tokens_at = now;
}

/* So little was put of late, by all, that others are hardly in the way. Taken over seconds: were it
 * the moment's, all would find room at the same moment, and rush. */
bool tmx_link_rich(struct tmx_link *k) {
  refill(k);
  return k->used / TMX_USED_S < k->set->write_rps * TMX_RICH;
}
/* This controller's share, or, while the others leave theirs unused, half of what is free. */
double tmx_link_budget(struct tmx_link *k) {
  refill(k);
  if (!tmx_link_rich(k)) return k->tokens;
  return fmax(k->tokens, (k->pool - k->set->write_rps * TMX_POOL_KEPT) / 2);
}
double tmx_link_budget_in(struct tmx_link *k, double puts) {
  return fmax(0, (puts - tmx_link_budget(k)) / put_rate(k)) + 0.002;
}
bool tmx_link_spare(struct tmx_link *k) {
  refill(k);
  return k->tokens > fmax(put_rate(k) * TMX_PUT_BURST_S, TMX_PUT_BURST_LEAST) * TMX_FOLD_SPARE;
}
/* Puts of the service's rate that all leave unused: this controller's part of them. */
static double unused_puts(struct tmx_link *k) {
  refill(k);
  return fmax(0, (k->pool - k->set->write_rps * TMX_POOL_UNUSED) / 2);
}

/* Takes a put for a submission; false: there is none for it now. What the others leave unused of
 * the service's rate serves as well: a submission that waits for a batch waits for a whole round of
 * turns. */
bool tmx_link_submit(struct tmx_link *k) {
  if (k->submits < 1 && tmx_link_budget(k) >= 1) return true;
  if (k->submits < 1 && unused_puts(k) < 1) return false;
  if (k->submits >= 1) k->submits -= 1;
  k->tokens += 1; /* which the commit takes */
  return true;
}

int tmx_link_extra(struct tmx_link *k, int wanted) {
  int extra = (int)fmin(unused_puts(k), wanted);
  k->tokens += extra; /* which the commit takes */
  return extra;
}

static void on_txn(void *arg, int status, const uint8_t *body, size_t len) {
  struct pending_txn *p = arg;
  int res = TMX_TXN_UNKNOWN;
  uint64_t rev = 0;
  cbor_item_t *map = tmx_cbor_parse(body, len);
  char why[128] = "?";
  if (map) tmx_cbor_get_u64(map, W_REVISION, &rev);
  if (map) tmx_cbor_get_text(map, "error", why, sizeof why);
  tmx_cbor_free(map);
  if (status == 200 && rev)
    res = TMX_TXN_OK;
  else if (status == 409)
    res = TMX_TXN_CONFLICT;
  else if (status == 400 || status == 404 || status == 429 || status == 503 || status == -1)
    res = TMX_TXN_REFUSED;
  if (status == 400 && !strcmp(why, WV_NO_LEASE) && p->lease == p->k->lease) {
    /* nothing can be put with it any more: a new one is asked for at once, not when a renewal fails
     */
    tmx_log(TMX_LOG_INFO, "state: the lease lapsed, registering again");
    p->k->lease = p->k->inc = 0;
    p->k->lease_at = -TMX_LEASE_RENEW_S;
  } else if (status == 400) {
    tmx_log(TMX_LOG_ERROR, "state: a transaction was refused: %s", why);
  }
  if (status == 429) { /* others used more than their share */
    if (p->k->tokens > 0) p->k->tokens = 0;
    p->k->pool = 0;
    tmx_log(TMX_LOG_INFO, "state: too many puts");
  }
  if (p->cb) p->cb(p->arg, res, rev);
  free(p);
}

bool tmx_link_commit(struct tmx_link *k, struct tmx_txn *t, bool urgent, tmx_txn_cb cb, void *arg) {
  struct tmx_buffer buffer = {0};
  bool ok = false;
  refill(k);
  if (urgent || k->tokens >= t->n_ops) {
    k->tokens = fmax(k->tokens - t->n_ops, -put_rate(k));
    tmx_cbor_put_map(&buffer, 2);
    tmx_cbor_put_text(&buffer, W_IF);
    tmx_cbor_put_list(&buffer, (size_t)t->n_conds);
    tmx_buffer_append(&buffer, t->conds.data, t->conds.length);
    tmx_cbor_put_text(&buffer, W_THEN);
    tmx_cbor_put_list(&buffer, (size_t)t->n_ops);
    tmx_buffer_append(&buffer, t->ops.data, t->ops.length);
    struct pending_txn *p = calloc(1, sizeof *p);
    if (!p) abort();
    p->k = k;
    p->cb = cb;
    p->arg = arg;
    p->lease = k->lease;
    ok = tmx_http_client_call(k->calls, "POST", WP_TXN, &buffer, TMX_STATE_TIMEOUT_S, on_txn, p);
    if (!ok) free(p);
    tmx_buffer_free(&buffer);
  }
  tmx_buffer_free(&t->conds);
  tmx_buffer_free(&t->ops);
  return ok;
}

/* ------------------------------------------------------------ lease, node key, leader */

static void on_node_put(void *arg, int res, uint64_t rev) {
  struct tmx_link *k = arg;
  k->node_busy = false;
  if (res == TMX_TXN_OK) {
    k->inc = rev;
    tmx_log(TMX_LOG_INFO, "state: registered as run %llu", (unsigned long long)rev);
  } else if (res == TMX_TXN_REFUSED) {
    k->node_at = tmx_clock_steady();
  }
}

static void on_lease_new(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_link *k = arg;
  k->lease_busy = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t id;
  if (map && tmx_cbor_get_u64(map, W_LEASE, &id)) {
    k->lease = id;
    k->inc = 0;
    k->node_at = 0;
  }
  tmx_cbor_free(map);
  tmx_link_tick(k);
}

static void on_lease_renew(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  struct tmx_link *k = arg;
  k->lease_busy = false;
  if (status == 404) {
    tmx_log(TMX_LOG_INFO, "state: the lease lapsed, registering again");
    k->lease = 0;
    k->inc = 0;
    k->lease_at = 0;
  }
}

static void on_lead(void *arg, int res, uint64_t rev) {
  struct tmx_link *k = arg;
  (void)rev;
  k->lead_busy = false;
  if (res == TMX_TXN_OK) tmx_log(TMX_LOG_INFO, "state: leading now");
}

static void lease_step(struct tmx_link *k, double now) {
  struct tmx_buffer buffer = {0};
  char path[128];
  if (k->lease_busy) return;
  if (!k->lease) {
    if (now - k->lease_at < TMX_STATE_RETRY_S) return;
    k->lease_at = now;
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_u64_field(&buffer, W_TTL, TMX_LEASE_TTL_MS);
    k->lease_busy = tmx_http_client_call(k->calls, "POST", WP_LEASES, &buffer, TMX_STATE_TIMEOUT_S,
                                         on_lease_new, k);
    tmx_buffer_free(&buffer);
    return;
  }
  if (now - k->lease_at < TMX_LEASE_RENEW_S) return;
  k->lease_at = now;
  tmx_cbor_put_map(&buffer, 0);
  snprintf(path, sizeof path, WP_LEASES "/%llu" WP_RENEW, (unsigned long long)k->lease);
  k->lease_busy =
      tmx_http_client_call(k->calls, "POST", path, &buffer, TMX_STATE_TIMEOUT_S, on_lease_renew, k);
  tmx_buffer_free(&buffer);
}

/* A put of this key that got no answer, of this run or the one before it, may be carried out after
 * the one that counts: the key then shows another run, or goes with the other's lease, and no view
 * would ever name this one. */
static bool node_key_lost(const struct tmx_link *k) {
  const struct tmx_replica *r = k->rep;
  if (!k->inc || !r->loaded || r->rev < k->inc) return false;
  for (size_t i = 0; i < r->n_nodes; i++)
    if (!strcmp(r->nodes[i].name, k->set->node)) return r->nodes[i].inc != k->inc;
  return true;
}

static void node_step(struct tmx_link *k, double now) {
  if (!k->node_busy && node_key_lost(k)) {
    tmx_log(TMX_LOG_INFO, "state: the node key is not this run's, registering again");
    k->inc = 0;
  }
  if (!k->lease || k->inc || k->node_busy || now - k->node_at < TMX_STATE_RETRY_S) return;
  struct tmx_txn t = {0};
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "listen", k->set->listen);
  tmx_txn_put(&t, k->node_key, &value, k->lease);
  tmx_buffer_free(&value);
  k->node_at = now;
  k->node_busy = tmx_link_commit(k, &t, true, on_node_put, k);
}

static void lead_step(struct tmx_link *k, double now) {
  struct tmx_replica *r = k->rep;
  if (!r->loaded || !k->inc || k->lead_busy || now - k->lead_at < TMX_STATE_RETRY_S) return;
  if (k->stand_back) return;
  bool mine = !strcmp(r->leader, k->set->node) && r->leader_inc == k->inc;
  bool stale = !strcmp(r->leader, k->set->node) && r->leader_inc != k->inc;
  bool suspect = r->leader_stamp && !strcmp(r->leader, k->suspect);
  if (mine || (r->leader_stamp && !stale && !suspect)) return;
  struct tmx_txn t = {0};
  struct tmx_buffer value = {0};
  tmx_txn_if(&t, TMX_K_LEADER, r->leader_stamp);
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", k->set->node);
  tmx_cbor_put_u64_field(&value, "inc", k->inc);
  tmx_txn_put(&t, TMX_K_LEADER, &value, k->lease);
  tmx_buffer_free(&value);
  k->lead_at = now;
  k->lead_busy = tmx_link_commit(k, &t, true, on_lead, k);
}

void tmx_link_suspect(struct tmx_link *k, const char *node) {
  snprintf(k->suspect, sizeof k->suspect, "%s", node);
}

void tmx_link_stand_back(struct tmx_link *k, bool on) { k->stand_back = on; }

void tmx_link_behind(struct tmx_link *k) {
  if (tmx_clock_steady() - k->last_read < TMX_BEAT_S) return;
  k->last_read = -TMX_CONFIRM_IDLE_S;
  start_read(k);
}

void tmx_link_tick(struct tmx_link *k) {
  double now = tmx_clock_steady();
  lease_step(k, now);
  node_step(k, now);
  lead_step(k, now);
  settle(k);
  start_read(k);
}

struct tmx_link *tmx_link_new(struct ev_loop *loop, const struct tmx_settings *s,
                              struct tmx_replica *r) {
  struct tmx_link *k = calloc(1, sizeof *k);
  if (!k) abort();
  k->loop = loop;
  k->set = s;
  k->rep = r;
  k->watch = tmx_http_client_new(loop, s->state, 2);
  k->calls = tmx_http_client_new(loop, s->state, 24);
  k->tokens_at = k->watch_at = k->pool_at = tmx_clock_steady();
  k->tokens = 4;
  k->last_read = -TMX_CONFIRM_IDLE_S;
  k->lease_at = -TMX_LEASE_RENEW_S;
  k->node_at = k->lead_at = -TMX_STATE_RETRY_S;
  snprintf(k->node_key, sizeof k->node_key, TMX_K_NODE "%s", s->node);
  ev_timer_init(&k->watch_t, on_watch_timer, 0, 0);
  ev_timer_init(&k->confirm_t, on_confirm_timer, 0, 0);
  ev_timer_init(&k->waiters_t, on_waiters_timer, 0.1, 0.1);
  k->watch_t.data = k->confirm_t.data = k->waiters_t.data = k;
  ev_timer_start(loop, &k->watch_t);
  ev_timer_start(loop, &k->waiters_t);
  tmx_link_tick(k);
  return k;
}

void tmx_link_free(struct tmx_link *k) {
  struct waiter *w, *t;
  ev_timer_stop(k->loop, &k->watch_t);
  ev_timer_stop(k->loop, &k->confirm_t);
  ev_timer_stop(k->loop, &k->waiters_t);
  DL_FOREACH_SAFE(k->waiters, w, t) {
    DL_DELETE(k->waiters, w);
    free(w);
  }
  tmx_http_client_free(k->watch);
  tmx_http_client_free(k->calls);
  load_reset(k);
  free(k);
}
