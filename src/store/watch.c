/* The watch: receives the events of all keys with long polls and applies them to the replica. */
#include <math.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"
#include "store/store_internal.h"
#include "tmx/wire.h"

enum { WATCH_CONNECTIONS = 2 };

/* added to the wait that a poll requests, s: the poll times out after the sum */
static const double RESPONSE_MARGIN_S = 3;

static void schedule_reload(struct tmx_store *store) {
  store->replica->loaded = false;
  store->replica->revision = 0;
  tmx_watch_schedule(store, 0);
}

static void apply_event(struct tmx_replica *replica, const cbor_item_t *event) {
  char key[TMX_PATH_BYTES];
  uint64_t version = 0;
  tmx_cbor_get_u64(event, W_VERSION, &version);
  if (tmx_cbor_get_text(event, W_PUT, key, sizeof key))
    tmx_replica_apply(replica, key, version, tmx_cbor_get(event, W_VALUE));
  else if (tmx_cbor_get_text(event, W_DELETE, key, sizeof key))
    tmx_replica_apply(replica, key, version, NULL);
}

static void apply_events(struct tmx_store *store, const cbor_item_t *events) {
  size_t n_events = tmx_cbor_array_length(events);
  store->replica->now = tmx_clock_steady();
  tmx_write_budget_record_events(tmx_store_refill_write_budget(store), (double)n_events);
  for (size_t i = 0; i < n_events; i++) apply_event(store->replica, tmx_cbor_array_at(events, i));
}

/* The next poll is sent immediately if this controller's share of the request rate allows it,
 * because a controller whose replica lags behind the log has conflicts on the head key. */
static void schedule_next_poll(struct tmx_store *store) {
  struct tmx_watch *watch = &store->watch;
  double now = tmx_clock_steady();
  double rate = store->settings->state_rps * TMX_WATCH_REQUEST_RATE_SHARE /
                tmx_store_members_sharing_rates(store);
  double burst = fmax(rate * TMX_WATCH_BURST_S, 1);
  watch->tokens = fmin(watch->tokens + rate * (now - watch->refilled_at), burst) - 1;
  watch->refilled_at = now;
  tmx_watch_schedule(store, watch->tokens >= 0 ? 0 : -watch->tokens / rate);
}

static void on_events(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_store *store = arg;
  struct tmx_replica *replica = store->replica;
  store->watch.in_flight = false;
  if (status == TMX_STATUS_GONE) {
    tmx_log(TMX_LOG_INFO, "state: the revision of the watch is too old, reading all keys again");
    schedule_reload(store);
    return;
  }
  cbor_item_t *response = status == TMX_STATUS_OK ? tmx_cbor_parse(body, length) : NULL;
  uint64_t revision;
  if (!response || !tmx_cbor_get_u64(response, W_REVISION, &revision)) {
    tmx_cbor_free(response);
    tmx_watch_schedule(store, TMX_STORE_RETRY_DELAY_S);
    return;
  }
  bool was_loaded = replica->loaded;
  uint64_t compaction_version = replica->compaction_version;
  apply_events(store, tmx_cbor_get(response, W_EVENTS));
  tmx_cbor_free(response);
  if (!was_loaded && replica->compaction_version != compaction_version) {
    /* The compaction point moved while the keys were read. The load skipped the snapshot pages of
     * the new point, and the pages of the previous point may have been deleted already. */
    tmx_log(TMX_LOG_INFO,
            "state: a compaction completed during the initial load, reading all keys again");
    schedule_reload(store);
    return;
  }
  tmx_replica_advance_to(replica, revision);
  tmx_read_index_complete(store);
  schedule_next_poll(store);
}

void tmx_watch_poll(struct tmx_store *store) {
  struct tmx_watch *watch = &store->watch;
  char path[256];
  if (watch->in_flight) return;
  snprintf(path, sizeof path, WP_WATCH "?prefix=" TMX_KEY_PREFIX "&from=%llu&wait_ms=%d",
           (unsigned long long)store->replica->revision, TMX_WATCH_WAIT_MS);
  watch->in_flight =
      tmx_http_client_call(watch->connection, "GET", path, NULL,
                           TMX_WATCH_WAIT_MS / 1000.0 + RESPONSE_MARGIN_S, on_events, store);
  if (!watch->in_flight) tmx_watch_schedule(store, TMX_STORE_RETRY_DELAY_S);
}

void tmx_watch_schedule(struct tmx_store *store, double delay) {
  ev_timer_stop(store->loop, &store->watch.timer);
  ev_timer_set(&store->watch.timer, delay, 0);
  ev_timer_start(store->loop, &store->watch.timer);
}

static void open_connection(struct tmx_store *store) {
  store->watch.connection =
      tmx_http_client_new(store->loop, store->settings->store_address, WATCH_CONNECTIONS);
}

void tmx_watch_reopen(struct tmx_store *store) {
  tmx_http_client_free(store->watch.connection);
  open_connection(store);
  store->watch.in_flight = false;
  tmx_watch_poll(store);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)loop;
  (void)events;
  struct tmx_store *store = timer->data;
  if (store->replica->revision)
    tmx_watch_poll(store);
  else
    tmx_initial_load_request_page(store);
}

void tmx_watch_init(struct tmx_store *store) {
  struct tmx_watch *watch = &store->watch;
  open_connection(store);
  watch->refilled_at = tmx_clock_steady();
  ev_timer_init(&watch->timer, on_timer, 0, 0);
  watch->timer.data = store;
  ev_timer_start(store->loop, &watch->timer);
}

void tmx_watch_free(struct tmx_store *store) {
  ev_timer_stop(store->loop, &store->watch.timer);
  tmx_http_client_free(store->watch.connection);
}
