#include "store/store.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/log.h"
#include "tmx/wire.h"

struct read_waiter {
  tmx_read_index_cb cb;
  void *arg;
  double requested_at, deadline;
  uint64_t required_revision; /* revision to reach; 0: no read has begun after asked */
  struct read_waiter *prev, *next;
};

struct pending_transaction {
  struct tmx_store *store;
  tmx_transaction_cb cb;
  void *arg;
  uint64_t lease_id; /* that stood when it was sent */
};

struct tmx_store {
  struct ev_loop *loop;
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_http_client *watch_connection, *request_connections;
  ev_timer watch_timer, read_index_timer, waiter_timer;
  /* lease */
  uint64_t lease_id, incarnation;
  bool lease_request_in_flight, registration_in_flight, election_in_flight;
  double lease_attempted_at, registration_attempted_at, election_attempted_at; /* last tries */
  char member_key[TMX_NAME_MAX + 16];
  /* loading */
  bool load_in_flight;
  struct tmx_store_entry *items;
  size_t n_items, cap_items;
  cbor_item_t **pages;
  size_t n_pages;
  char load_cursor[TMX_PATH_MAX];
  uint64_t first_page_revision;
  /* watching */
  bool watch_in_flight;
  /* confirming */
  bool read_in_flight, last_read_failed; /* unserved: the latest read was refused or lost */
  bool read_expedited;                   /* the next read does not wait for its turn */
  double read_started_at, last_read_at, fresh_as_of;
  uint64_t pending_revision; /* a read's revision that the replica has not reached */
  double pending_read_started_at, pending_since;
  struct read_waiter *waiters;
  int n_waiters;
  /* write budget */
  double write_tokens, write_tokens_at;
  double submission_tokens; /* puts kept apart for submissions */
  double recent_writes;     /* puts of all over the last TMX_RECENT_WRITES_S, older ones fading */
  double shared_write_tokens,
      shared_write_tokens_at; /* the service's own bucket of puts, as the events of all tell */
  double watch_tokens, watch_tokens_at;
  char suspected_leader[TMX_NAME_MAX];
  bool abstains_from_election;
};

static void start_load(struct tmx_store *store);
static void start_watch(struct tmx_store *store);
static void start_revision_read(struct tmx_store *store);
static void refill_write_budget(struct tmx_store *store);

/* ------------------------------------------------------------ loading */

static void load_reset(struct tmx_store *store) {
  for (size_t i = 0; i < store->n_items; i++) free(store->items[i].key);
  for (size_t i = 0; i < store->n_pages; i++) tmx_cbor_free(store->pages[i]);
  free(store->items);
  free(store->pages);
  store->items = NULL;
  store->pages = NULL;
  store->n_items = store->cap_items = store->n_pages = 0;
  store->load_cursor[0] = 0;
  store->first_page_revision = 0;
}

static void schedule_watch(struct tmx_store *store, double after) {
  ev_timer_stop(store->loop, &store->watch_timer);
  ev_timer_set(&store->watch_timer, after, 0);
  ev_timer_start(store->loop, &store->watch_timer);
}

static void on_page(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_store *store = arg;
  store->load_in_flight = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t revision;
  if (!map || !tmx_cbor_get_u64(map, W_REVISION, &revision)) {
    tmx_cbor_free(map);
    load_reset(store);
    schedule_watch(store, TMX_STORE_RETRY_S);
    return;
  }
  if (!store->first_page_revision) store->first_page_revision = revision;
  store->pages = realloc(store->pages, (store->n_pages + 1) * sizeof *store->pages);
  if (!store->pages) abort();
  store->pages[store->n_pages++] = map;
  const cbor_item_t *items = tmx_cbor_get(map, W_ITEMS);
  for (size_t i = 0; i < tmx_cbor_list_length(items); i++) {
    const cbor_item_t *item = tmx_cbor_list_at(items, i);
    char key[TMX_PATH_MAX];
    uint64_t version;
    if (!tmx_cbor_get_text(item, W_KEY, key, sizeof key) ||
        !tmx_cbor_get_u64(item, W_VERSION, &version))
      continue;
    if (store->n_items == store->cap_items) {
      store->cap_items = store->cap_items ? store->cap_items * 2 : 1024;
      store->items = realloc(store->items, store->cap_items * sizeof *store->items);
      if (!store->items) abort();
    }
    store->items[store->n_items++] = (struct tmx_store_entry){
        .key = strdup(key), .version = version, .value = tmx_cbor_get(item, W_VALUE)};
    snprintf(store->load_cursor, sizeof store->load_cursor, "%s", key);
  }
  bool more = false;
  tmx_cbor_get_bool(map, W_MORE, &more);
  if (more && tmx_cbor_list_length(items)) {
    start_load(store);
    return;
  }
  struct tmx_replica *replica = store->replica;
  tmx_replica_clear(replica);
  replica->now = tmx_clock_steady();
  /* Pages are read at different revisions: the events since the first page's are applied
   * again on top, and only at the last page's revision is the copy consistent. */
  replica->load_revision = revision;
  tmx_replica_load(replica, store->items, store->n_items);
  tmx_log(TMX_LOG_INFO, "state: %zu keys read at revision %llu", store->n_items,
          (unsigned long long)revision);
  uint64_t first = store->first_page_revision;
  load_reset(store);
  tmx_replica_advance_to(replica, first);
  start_watch(store);
}

/* Controllers among which the service's rates are shared. */
static double members_sharing_rates(const struct tmx_store *store) {
  double n = (double)store->replica->view.n_members;
  return n > 0 && store->replica->loaded ? n : store->settings->n_peers + 1.0;
}

static void start_load(struct tmx_store *store) {
  char path[TMX_PATH_MAX + 64];
  if (store->load_in_flight) return;
  snprintf(path, sizeof path, WP_KV "?prefix=" TMX_KEY_PREFIX "%s%s&page=1000",
           store->load_cursor[0] ? "&from=" : "", store->load_cursor);
  store->load_in_flight = tmx_http_client_call(store->request_connections, "GET", path, NULL,
                                               TMX_STORE_TIMEOUT_S * 2, on_page, store);
  if (!store->load_in_flight) {
    load_reset(store);
    schedule_watch(store, TMX_STORE_RETRY_S);
  }
}

/* ------------------------------------------------------------ watching */

static void complete_read_waiters(struct tmx_store *store) {
  struct read_waiter *waiter, *next;
  if (store->pending_revision && store->replica->loaded &&
      store->replica->revision >= store->pending_revision) {
    if (store->pending_read_started_at > store->fresh_as_of)
      store->fresh_as_of = store->replica->fresh_as_of = store->pending_read_started_at;
    store->pending_revision = 0;
  }
  DL_FOREACH_SAFE(store->waiters, waiter, next) {
    bool ok = waiter->required_revision && store->replica->loaded &&
              store->replica->revision >= waiter->required_revision;
    if (!ok && tmx_clock_steady() < waiter->deadline) continue;
    DL_DELETE(store->waiters, waiter);
    store->n_waiters--;
    waiter->cb(waiter->arg, ok);
    free(waiter);
  }
}

static void on_watch(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_store *store = arg;
  store->watch_in_flight = false;
  if (status == 410) {
    tmx_log(TMX_LOG_INFO, "state: the watch fell behind, all keys are read again");
    schedule_watch(store, 0);
    store->replica->loaded = false;
    store->replica->revision = 0;
    return;
  }
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t revision;
  if (!map || !tmx_cbor_get_u64(map, W_REVISION, &revision)) {
    tmx_cbor_free(map);
    schedule_watch(store, TMX_STORE_RETRY_S);
    return;
  }
  const cbor_item_t *events = tmx_cbor_get(map, W_EVENTS);
  uint64_t fold = store->replica->compaction_version;
  bool was_loaded = store->replica->loaded;
  store->replica->now = tmx_clock_steady();
  refill_write_budget(store);
  store->shared_write_tokens -= (double)tmx_cbor_list_length(events);
  store->recent_writes += (double)tmx_cbor_list_length(events);
  for (size_t i = 0; i < tmx_cbor_list_length(events); i++) {
    const cbor_item_t *entry = tmx_cbor_list_at(events, i);
    char key[TMX_PATH_MAX];
    uint64_t version = 0;
    tmx_cbor_get_u64(entry, W_VERSION, &version);
    if (tmx_cbor_get_text(entry, W_PUT, key, sizeof key))
      tmx_replica_apply(store->replica, key, version, tmx_cbor_get(entry, W_VALUE));
    else if (tmx_cbor_get_text(entry, W_DROP, key, sizeof key))
      tmx_replica_apply(store->replica, key, version, NULL);
  }
  tmx_cbor_free(map);
  if (!was_loaded && store->replica->compaction_version != fold) {
    /* The mark moved while keys were read: its pages were passed over, and those of the mark before
     * it may have been dropped already. */
    tmx_log(TMX_LOG_INFO, "state: a fold ended meanwhile, all keys are read again");
    store->replica->revision = 0;
    schedule_watch(store, 0);
    return;
  }
  tmx_replica_advance_to(store->replica, revision);
  complete_read_waiters(store);
  /* Watches are opened at once while there is room for it in this controller's share of requests:
   * whoever lags behind the log loses the race for head. */
  double rate = store->settings->state_rps * TMX_WATCH_SHARE / members_sharing_rates(store),
         now = tmx_clock_steady();
  store->watch_tokens = fmin(store->watch_tokens + rate * (now - store->watch_tokens_at),
                             fmax(rate * TMX_WATCH_BURST_S, 1));
  store->watch_tokens_at = now;
  store->watch_tokens -= 1;
  schedule_watch(store, store->watch_tokens >= 0 ? 0 : -store->watch_tokens / rate);
}

static void start_watch(struct tmx_store *store) {
  char path[256];
  if (store->watch_in_flight) return;
  snprintf(path, sizeof path, WP_WATCH "?prefix=" TMX_KEY_PREFIX "&from=%llu&wait_ms=%d",
           (unsigned long long)store->replica->revision, TMX_WATCH_WAIT_MS);
  store->watch_in_flight = tmx_http_client_call(store->watch_connection, "GET", path, NULL,
                                                TMX_WATCH_WAIT_MS / 1000.0 + 3, on_watch, store);
  if (!store->watch_in_flight) schedule_watch(store, TMX_STORE_RETRY_S);
}

static void on_watch_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_store *store = w->data;
  if (store->replica->revision)
    start_watch(store);
  else
    start_load(store);
}

/* ------------------------------------------------------------ revision reads */

static void on_revision_read(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_store *store = arg;
  store->read_in_flight = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t revision;
  store->last_read_failed = status != 200 && status != 429;
  if (map && tmx_cbor_get_u64(map, W_REVISION, &revision)) {
    struct read_waiter *waiter;
    DL_FOREACH(store->waiters, waiter)
    if (!waiter->required_revision && waiter->requested_at <= store->read_started_at)
      waiter->required_revision = revision;
    if (!store->pending_revision) {
      store->pending_revision = revision;
      store->pending_read_started_at = store->read_started_at;
      store->pending_since = tmx_clock_steady();
    }
  }
  tmx_cbor_free(map);
  complete_read_waiters(store);
  /* a watch that was cut off without a word shows here: the service is ahead of the replica */
  if (store->pending_revision && tmx_clock_steady() - store->pending_since > TMX_WATCH_LAG_S &&
      store->replica->revision && store->watch_in_flight) {
    tmx_log(TMX_LOG_INFO, "state: the watch lags behind revision %llu, opened anew",
            (unsigned long long)store->pending_revision);
    tmx_http_client_free(store->watch_connection);
    store->watch_connection = tmx_http_client_new(store->loop, store->settings->state, 2);
    store->watch_in_flight = false;
    store->pending_revision = 0;
    start_watch(store);
  }
  start_revision_read(store);
}

static void start_revision_read(struct tmx_store *store) {
  if (store->read_in_flight || ev_is_active(&store->read_index_timer)) return;
  struct read_waiter *waiter;
  bool wanted = tmx_clock_steady() - store->last_read_at >
                (store->last_read_failed ? TMX_STORE_RETRY_S : TMX_READ_INDEX_IDLE_S);
  DL_FOREACH(store->waiters, waiter) if (!waiter->required_revision) wanted = true;
  if (!wanted) return;
  double wait = store->last_read_at +
                members_sharing_rates(store) / (store->settings->state_rps * TMX_READ_INDEX_SHARE) -
                tmx_clock_steady();
  if (wait > 0.001 && !store->read_expedited) {
    ev_timer_set(&store->read_index_timer, wait, 0);
    ev_timer_start(store->loop, &store->read_index_timer);
    return;
  }
  store->read_expedited = false;
  store->read_started_at = store->last_read_at = tmx_clock_steady();
  store->read_in_flight = tmx_http_client_call(store->request_connections, "GET",
                                               WP_KV "?prefix=" TMX_KEY_HEAD "&page=1", NULL,
                                               TMX_STORE_TIMEOUT_S, on_revision_read, store);
}

static void on_read_index_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  start_revision_read(w->data);
}

static void on_waiters_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_store *store = w->data;
  complete_read_waiters(store);
  start_revision_read(store);
}

bool tmx_store_read_index(struct tmx_store *store, double within, tmx_read_index_cb cb, void *arg) {
  if (store->n_waiters >= TMX_USER_QUEUE) return false;
  struct read_waiter *waiter = calloc(1, sizeof *waiter);
  if (!waiter) return false;
  waiter->cb = cb;
  waiter->arg = arg;
  waiter->requested_at = tmx_clock_steady();
  waiter->deadline = waiter->requested_at + within;
  DL_APPEND(store->waiters, waiter);
  store->n_waiters++;
  start_revision_read(store);
  return true;
}

void tmx_store_expedite_read_index(struct tmx_store *store) {
  store->read_expedited = true;
  ev_timer_stop(store->loop, &store->read_index_timer);
  start_revision_read(store);
}

double tmx_store_fresh_as_of(const struct tmx_store *store) { return store->fresh_as_of; }
bool tmx_store_is_reachable(const struct tmx_store *store) { return !store->last_read_failed; }
uint64_t tmx_store_incarnation(const struct tmx_store *store) { return store->incarnation; }
bool tmx_store_is_member(const struct tmx_store *store) {
  const struct tmx_member *member = tmx_member_find(store->replica, store->settings->node_name);
  return store->replica->loaded && store->incarnation && member &&
         member->incarnation == store->incarnation;
}
bool tmx_store_is_leader(const struct tmx_store *store) {
  return tmx_store_is_member(store) && store->replica->leader_version &&
         !strcmp(store->replica->leader, store->settings->node_name) &&
         store->replica->leader_incarnation == store->incarnation;
}

/* ------------------------------------------------------------ transactions */

void tmx_transaction_require_version(struct tmx_transaction *transaction, const char *key,
                                     uint64_t version) {
  tmx_cbor_put_map(&transaction->conditions, 2);
  tmx_cbor_put_text_field(&transaction->conditions, W_KEY, key);
  tmx_cbor_put_u64_field(&transaction->conditions, W_VERSION, version);
  transaction->n_conditions++;
}
void tmx_transaction_put(struct tmx_transaction *transaction, const char *key,
                         const struct tmx_buffer *value, uint64_t lease) {
  tmx_cbor_put_map(&transaction->operations, lease ? 3 : 2);
  tmx_cbor_put_text_field(&transaction->operations, W_PUT, key);
  tmx_cbor_put_text(&transaction->operations, W_VALUE);
  tmx_buffer_append(&transaction->operations, value->data, value->length);
  if (lease) tmx_cbor_put_u64_field(&transaction->operations, W_LEASE, lease);
  transaction->n_operations++;
}
void tmx_transaction_delete(struct tmx_transaction *transaction, const char *key) {
  tmx_cbor_put_map(&transaction->operations, 1);
  tmx_cbor_put_text_field(&transaction->operations, W_DROP, key);
  transaction->n_operations++;
}
void tmx_transaction_advance_head(struct tmx_transaction *transaction, const char *by) {
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "by", by);
  tmx_transaction_put(transaction, TMX_KEY_HEAD, &value, 0);
  tmx_buffer_free(&value);
}

/* This controller's share of the puts; the leader, who also folds and records what machines are
 * gone, has two. */
static double member_write_rate(const struct tmx_store *store) {
  double n = members_sharing_rates(store);
  double mine = n > 1 && tmx_store_is_leader(store) ? 2 : 1;
  return store->settings->write_rps * TMX_WRITE_SHARE * mine / (n > 1 ? n + 1 : 1);
}

static void refill_write_budget(struct tmx_store *store) {
  double now = tmx_clock_steady(), rate = member_write_rate(store),
         all = store->settings->write_rps;
  store->recent_writes *= exp(-(now - store->shared_write_tokens_at) / TMX_RECENT_WRITES_S);
  store->shared_write_tokens = fmin(
      fmax(store->shared_write_tokens, -all) + (now - store->shared_write_tokens_at) * all, all);
  store->shared_write_tokens_at = now;
  double burst = fmax(rate * TMX_WRITE_BURST_S,
                      TMX_WRITE_BURST_MIN); /* together less than the service's one second */
  store->write_tokens = fmin(store->write_tokens + (now - store->write_tokens_at) * rate, burst);
  store->submission_tokens = fmin(
      store->submission_tokens + (now - store->write_tokens_at) * store->settings->write_rps *
                                     TMX_SINGLE_SUBMISSION_SHARE / members_sharing_rates(store),
      TMX_SINGLE_SUBMISSION_BURST);
  store->write_tokens_at = now;
}

/* So little was put of late, by all, that others are hardly in the way. Taken over seconds: were it
 * the moment's, all would find room at the same moment, and rush. */
bool tmx_store_is_write_load_low(struct tmx_store *store) {
  refill_write_budget(store);
  return store->recent_writes / TMX_RECENT_WRITES_S <
         store->settings->write_rps * TMX_LOW_WRITE_LOAD_SHARE;
}
/* This controller's share, or, while the others leave theirs unused, half of what is free. */
double tmx_store_write_budget(struct tmx_store *store) {
  refill_write_budget(store);
  if (!tmx_store_is_write_load_low(store)) return store->write_tokens;
  return fmax(
      store->write_tokens,
      (store->shared_write_tokens - store->settings->write_rps * TMX_SHARED_WRITES_KEPT_SHARE) / 2);
}
double tmx_store_write_budget_delay(struct tmx_store *store, double puts) {
  return fmax(0, (puts - tmx_store_write_budget(store)) / member_write_rate(store)) + 0.002;
}
bool tmx_store_has_housekeeping_budget(struct tmx_store *store) {
  refill_write_budget(store);
  return store->write_tokens >
         fmax(member_write_rate(store) * TMX_WRITE_BURST_S, TMX_WRITE_BURST_MIN) *
             TMX_COMPACTION_SPARE_SHARE;
}
/* Puts of the service's rate that all leave unused: this controller's part of them. */
static double unused_shared_writes(struct tmx_store *store) {
  refill_write_budget(store);
  return fmax(0, (store->shared_write_tokens -
                  store->settings->write_rps * TMX_SHARED_WRITES_UNUSED_SHARE) /
                     2);
}

/* Takes a put for a submission; false: there is none for it now. What the others leave unused of
 * the service's rate serves as well: a submission that waits for a batch waits for a whole round of
 * turns. */
bool tmx_store_reserve_submission_write(struct tmx_store *store) {
  if (store->submission_tokens < 1 && tmx_store_write_budget(store) >= 1) return true;
  if (store->submission_tokens < 1 && unused_shared_writes(store) < 1) return false;
  if (store->submission_tokens >= 1) store->submission_tokens -= 1;
  store->write_tokens += 1; /* which the commit takes */
  return true;
}

int tmx_store_reserve_unused_writes(struct tmx_store *store, int wanted) {
  int extra = (int)fmin(unused_shared_writes(store), wanted);
  store->write_tokens += extra; /* which the commit takes */
  return extra;
}

static void on_transaction_response(void *arg, int status, const uint8_t *body, size_t len) {
  struct pending_transaction *pending = arg;
  int res = TMX_TRANSACTION_UNKNOWN;
  uint64_t revision = 0;
  cbor_item_t *map = tmx_cbor_parse(body, len);
  char why[128] = "?";
  if (map) tmx_cbor_get_u64(map, W_REVISION, &revision);
  if (map) tmx_cbor_get_text(map, "error", why, sizeof why);
  tmx_cbor_free(map);
  if (status == 200 && revision)
    res = TMX_TRANSACTION_COMMITTED;
  else if (status == 409)
    res = TMX_TRANSACTION_CONFLICT;
  else if (status == 400 || status == 404 || status == 429 || status == 503 || status == -1)
    res = TMX_TRANSACTION_NOT_EXECUTED;
  if (status == 400 && !strcmp(why, WV_NO_LEASE) && pending->lease_id == pending->store->lease_id) {
    /* nothing can be put with it any more: a new one is asked for at once, not when a renewal fails
     */
    tmx_log(TMX_LOG_INFO, "state: the lease lapsed, registering again");
    pending->store->lease_id = pending->store->incarnation = 0;
    pending->store->lease_attempted_at = -TMX_LEASE_RENEW_S;
  } else if (status == 400) {
    tmx_log(TMX_LOG_ERROR, "state: a transaction was refused: %s", why);
  }
  if (status == 429) { /* others used more than their share */
    if (pending->store->write_tokens > 0) pending->store->write_tokens = 0;
    pending->store->shared_write_tokens = 0;
    tmx_log(TMX_LOG_INFO, "state: too many puts");
  }
  if (pending->cb) pending->cb(pending->arg, res, revision);
  free(pending);
}

bool tmx_store_commit(struct tmx_store *store, struct tmx_transaction *transaction, bool urgent,
                      tmx_transaction_cb cb, void *arg) {
  struct tmx_buffer buffer = {0};
  bool ok = false;
  refill_write_budget(store);
  if (urgent || store->write_tokens >= transaction->n_operations) {
    store->write_tokens =
        fmax(store->write_tokens - transaction->n_operations, -member_write_rate(store));
    tmx_cbor_put_map(&buffer, 2);
    tmx_cbor_put_text(&buffer, W_IF);
    tmx_cbor_put_list(&buffer, (size_t)transaction->n_conditions);
    tmx_buffer_append(&buffer, transaction->conditions.data, transaction->conditions.length);
    tmx_cbor_put_text(&buffer, W_THEN);
    tmx_cbor_put_list(&buffer, (size_t)transaction->n_operations);
    tmx_buffer_append(&buffer, transaction->operations.data, transaction->operations.length);
    struct pending_transaction *pending = calloc(1, sizeof *pending);
    if (!pending) abort();
    pending->store = store;
    pending->cb = cb;
    pending->arg = arg;
    pending->lease_id = store->lease_id;
    ok = tmx_http_client_call(store->request_connections, "POST", WP_TXN, &buffer,
                              TMX_STORE_TIMEOUT_S, on_transaction_response, pending);
    if (!ok) free(pending);
    tmx_buffer_free(&buffer);
  }
  tmx_buffer_free(&transaction->conditions);
  tmx_buffer_free(&transaction->operations);
  return ok;
}

/* ------------------------------------------------------------ lease, node key, leader */

static void on_registered(void *arg, int res, uint64_t revision) {
  struct tmx_store *store = arg;
  store->registration_in_flight = false;
  if (res == TMX_TRANSACTION_COMMITTED) {
    store->incarnation = revision;
    tmx_log(TMX_LOG_INFO, "state: registered as run %llu", (unsigned long long)revision);
  } else if (res == TMX_TRANSACTION_NOT_EXECUTED) {
    store->registration_attempted_at = tmx_clock_steady();
  }
}

static void on_lease_granted(void *arg, int status, const uint8_t *body, size_t len) {
  struct tmx_store *store = arg;
  store->lease_request_in_flight = false;
  cbor_item_t *map = status == 200 ? tmx_cbor_parse(body, len) : NULL;
  uint64_t id;
  if (map && tmx_cbor_get_u64(map, W_LEASE, &id)) {
    store->lease_id = id;
    store->incarnation = 0;
    store->registration_attempted_at = 0;
  }
  tmx_cbor_free(map);
  tmx_store_tick(store);
}

static void on_lease_renewed(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  struct tmx_store *store = arg;
  store->lease_request_in_flight = false;
  if (status == 404) {
    tmx_log(TMX_LOG_INFO, "state: the lease lapsed, registering again");
    store->lease_id = 0;
    store->incarnation = 0;
    store->lease_attempted_at = 0;
  }
}

static void on_election_result(void *arg, int res, uint64_t revision) {
  struct tmx_store *store = arg;
  (void)revision;
  store->election_in_flight = false;
  if (res == TMX_TRANSACTION_COMMITTED) tmx_log(TMX_LOG_INFO, "state: leading now");
}

static void maintain_lease(struct tmx_store *store, double now) {
  struct tmx_buffer buffer = {0};
  char path[128];
  if (store->lease_request_in_flight) return;
  if (!store->lease_id) {
    if (now - store->lease_attempted_at < TMX_STORE_RETRY_S) return;
    store->lease_attempted_at = now;
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_u64_field(&buffer, W_TTL, TMX_LEASE_TTL_MS);
    store->lease_request_in_flight =
        tmx_http_client_call(store->request_connections, "POST", WP_LEASES, &buffer,
                             TMX_STORE_TIMEOUT_S, on_lease_granted, store);
    tmx_buffer_free(&buffer);
    return;
  }
  if (now - store->lease_attempted_at < TMX_LEASE_RENEW_S) return;
  store->lease_attempted_at = now;
  tmx_cbor_put_map(&buffer, 0);
  snprintf(path, sizeof path, WP_LEASES "/%llu" WP_RENEW, (unsigned long long)store->lease_id);
  store->lease_request_in_flight =
      tmx_http_client_call(store->request_connections, "POST", path, &buffer, TMX_STORE_TIMEOUT_S,
                           on_lease_renewed, store);
  tmx_buffer_free(&buffer);
}

/* A put of this key that got no answer, of this run or the one before it, may be carried out after
 * the one that counts: the key then shows another run, or goes with the other's lease, and no view
 * would ever name this one. */
static bool registration_was_overwritten(const struct tmx_store *store) {
  const struct tmx_replica *replica = store->replica;
  if (!store->incarnation || !replica->loaded || replica->revision < store->incarnation)
    return false;
  for (size_t i = 0; i < replica->n_registered_members; i++)
    if (!strcmp(replica->registered_members[i].name, store->settings->node_name))
      return replica->registered_members[i].incarnation != store->incarnation;
  return true;
}

static void maintain_registration(struct tmx_store *store, double now) {
  if (!store->registration_in_flight && registration_was_overwritten(store)) {
    tmx_log(TMX_LOG_INFO, "state: the node key is not this run's, registering again");
    store->incarnation = 0;
  }
  if (!store->lease_id || store->incarnation || store->registration_in_flight ||
      now - store->registration_attempted_at < TMX_STORE_RETRY_S)
    return;
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "listen", store->settings->listen);
  tmx_transaction_put(&transaction, store->member_key, &value, store->lease_id);
  tmx_buffer_free(&value);
  store->registration_attempted_at = now;
  store->registration_in_flight = tmx_store_commit(store, &transaction, true, on_registered, store);
}

static void run_for_leader(struct tmx_store *store, double now) {
  struct tmx_replica *replica = store->replica;
  if (!replica->loaded || !store->incarnation || store->election_in_flight ||
      now - store->election_attempted_at < TMX_STORE_RETRY_S)
    return;
  if (store->abstains_from_election) return;
  bool mine = !strcmp(replica->leader, store->settings->node_name) &&
              replica->leader_incarnation == store->incarnation;
  bool stale = !strcmp(replica->leader, store->settings->node_name) &&
               replica->leader_incarnation != store->incarnation;
  bool suspect = replica->leader_version && !strcmp(replica->leader, store->suspected_leader);
  if (mine || (replica->leader_version && !stale && !suspect)) return;
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_transaction_require_version(&transaction, TMX_KEY_LEADER, replica->leader_version);
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", store->settings->node_name);
  tmx_cbor_put_u64_field(&value, "inc", store->incarnation);
  tmx_transaction_put(&transaction, TMX_KEY_LEADER, &value, store->lease_id);
  tmx_buffer_free(&value);
  store->election_attempted_at = now;
  store->election_in_flight =
      tmx_store_commit(store, &transaction, true, on_election_result, store);
}

void tmx_store_suspect_leader(struct tmx_store *store, const char *node) {
  snprintf(store->suspected_leader, sizeof store->suspected_leader, "%s", node);
}

void tmx_store_abstain_from_election(struct tmx_store *store, bool on) {
  store->abstains_from_election = on;
}

void tmx_store_note_peer_ahead(struct tmx_store *store) {
  if (tmx_clock_steady() - store->last_read_at < TMX_HEARTBEAT_PERIOD_S) return;
  store->last_read_at = -TMX_READ_INDEX_IDLE_S;
  start_revision_read(store);
}

void tmx_store_tick(struct tmx_store *store) {
  double now = tmx_clock_steady();
  maintain_lease(store, now);
  maintain_registration(store, now);
  run_for_leader(store, now);
  complete_read_waiters(store);
  start_revision_read(store);
}

struct tmx_store *tmx_store_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                struct tmx_replica *replica) {
  struct tmx_store *store = calloc(1, sizeof *store);
  if (!store) abort();
  store->loop = loop;
  store->settings = settings;
  store->replica = replica;
  store->watch_connection = tmx_http_client_new(loop, settings->state, 2);
  store->request_connections = tmx_http_client_new(loop, settings->state, 24);
  store->write_tokens_at = store->watch_tokens_at = store->shared_write_tokens_at =
      tmx_clock_steady();
  store->write_tokens = 4;
  store->last_read_at = -TMX_READ_INDEX_IDLE_S;
  store->lease_attempted_at = -TMX_LEASE_RENEW_S;
  store->registration_attempted_at = store->election_attempted_at = -TMX_STORE_RETRY_S;
  snprintf(store->member_key, sizeof store->member_key, TMX_KEY_MEMBER "%s", settings->node_name);
  ev_timer_init(&store->watch_timer, on_watch_timer, 0, 0);
  ev_timer_init(&store->read_index_timer, on_read_index_timer, 0, 0);
  ev_timer_init(&store->waiter_timer, on_waiters_timer, 0.1, 0.1);
  store->watch_timer.data = store->read_index_timer.data = store->waiter_timer.data = store;
  ev_timer_start(loop, &store->watch_timer);
  ev_timer_start(loop, &store->waiter_timer);
  tmx_store_tick(store);
  return store;
}

void tmx_store_free(struct tmx_store *store) {
  struct read_waiter *waiter, *next;
  ev_timer_stop(store->loop, &store->watch_timer);
  ev_timer_stop(store->loop, &store->read_index_timer);
  ev_timer_stop(store->loop, &store->waiter_timer);
  DL_FOREACH_SAFE(store->waiters, waiter, next) {
    DL_DELETE(store->waiters, waiter);
    free(waiter);
  }
  tmx_http_client_free(store->watch_connection);
  tmx_http_client_free(store->request_connections);
  load_reset(store);
  free(store);
}
