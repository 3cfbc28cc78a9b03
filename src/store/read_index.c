/* Linearizable reads. A call completes once the replica has reached a revision that was read from
 * the store after the call. One read of the revision serves all callers that were waiting when it
 * was sent, so a low, paced rate of reads is sufficient. */
#include <stdlib.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "store/store_internal.h"
#include "tmx/wire.h"

/* period of the check for waiters whose deadline has passed, s */
static const double DEADLINE_CHECK_S = 0.1;
/* a read whose pacing delay does not exceed this is sent immediately, s */
static const double PACING_TOLERANCE_S = 0.001;

/** A call of tmx_store_read_index() without an outcome. Owned by the list of waiters. */
struct read_waiter {
  tmx_read_index_cb callback; /**< called exactly once, unless the client is freed first */
  void *arg;
  double requested_at, deadline; /**< steady clock, s */
  /** The revision that the replica must reach; 0: there is no response yet to a read that was sent
   * after the call. */
  uint64_t required_revision;
  struct read_waiter *prev, *next;
};

static bool replica_has_reached(const struct tmx_store *store, uint64_t revision) {
  return store->replica->loaded && store->replica->revision >= revision;
}

static void advance_freshness(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  if (!reads->pending_revision || !replica_has_reached(store, reads->pending_revision)) return;
  if (reads->pending_sent_at > reads->fresh_as_of)
    reads->fresh_as_of = store->replica->fresh_as_of = reads->pending_sent_at;
  reads->pending_revision = 0;
}

void tmx_read_index_complete(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  struct read_waiter *waiter, *next;
  advance_freshness(store);
  DL_FOREACH_SAFE(reads->waiters, waiter, next) {
    bool fresh = waiter->required_revision && replica_has_reached(store, waiter->required_revision);
    if (!fresh && tmx_clock_steady() < waiter->deadline) continue;
    DL_DELETE(reads->waiters, waiter);
    reads->n_waiters--;
    waiter->callback(waiter->arg, fresh);
    free(waiter);
  }
}

/* Only waiters whose call precedes the sending of the read may rely on its revision. */
static void record_revision(struct tmx_read_index *reads, uint64_t revision) {
  struct read_waiter *waiter;
  DL_FOREACH(reads->waiters, waiter) {
    if (!waiter->required_revision && waiter->requested_at <= reads->sent_at)
      waiter->required_revision = revision;
  }
  if (reads->pending_revision) return;
  reads->pending_revision = revision;
  reads->pending_sent_at = reads->sent_at;
  reads->pending_received_at = tmx_clock_steady();
}

/* If the watch's connection breaks without an error, the watch reports a failure only when its poll
 * times out. This function detects the break earlier: it reopens the watch when the store has been
 * ahead of the replica for longer than the delivery of an event takes. */
static void reopen_lagging_watch(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  if (!reads->pending_revision || !store->replica->revision || !store->watch.in_flight) return;
  if (tmx_clock_steady() - reads->pending_received_at <= TMX_WATCH_LAG_MAX_S) return;
  tmx_log(TMX_LOG_INFO, "state: the watch has not reached revision %llu, reopening it",
          (unsigned long long)reads->pending_revision);
  reads->pending_revision = 0;
  tmx_watch_reopen(store);
}

static void on_revision(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_store *store = arg;
  struct tmx_read_index *reads = &store->read_index;
  cbor_item_t *response = status == TMX_STATUS_OK ? tmx_cbor_parse(body, length) : NULL;
  uint64_t revision;
  reads->in_flight = false;
  /* A store that refuses a read because of the request rate is reachable. */
  reads->last_read_failed = status != TMX_STATUS_OK && status != TMX_STATUS_TOO_MANY_REQUESTS;
  if (response && tmx_cbor_get_u64(response, W_REVISION, &revision))
    record_revision(reads, revision);
  tmx_cbor_free(response);
  tmx_read_index_complete(store);
  reopen_lagging_watch(store);
  tmx_read_index_send_if_due(store);
}

static bool is_read_due(const struct tmx_read_index *reads, double now) {
  const struct read_waiter *waiter;
  DL_FOREACH(reads->waiters, waiter) {
    if (!waiter->required_revision) return true;
  }
  double period = reads->last_read_failed ? TMX_STORE_RETRY_DELAY_S : TMX_READ_INDEX_PERIOD_MAX_S;
  return now - reads->last_read_at > period;
}

/* Returns the seconds until this controller's share of the store's request rate allows the next
 * read; not positive if it does so now. */
static double pacing_delay(const struct tmx_store *store, double now) {
  double rate = store->settings->state_rps * TMX_READ_INDEX_REQUEST_RATE_SHARE /
                tmx_store_members_sharing_rates(store);
  return store->read_index.last_read_at + 1 / rate - now;
}

void tmx_read_index_send_if_due(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  double now = tmx_clock_steady();
  if (reads->in_flight || ev_is_active(&reads->pacing_timer) || !is_read_due(reads, now)) return;
  double delay = pacing_delay(store, now);
  if (delay > PACING_TOLERANCE_S && !reads->expedited) {
    ev_timer_set(&reads->pacing_timer, delay, 0);
    ev_timer_start(store->loop, &reads->pacing_timer);
    return;
  }
  reads->expedited = false;
  reads->sent_at = reads->last_read_at = now;
  reads->in_flight = tmx_http_client_call(store->request_connections, "GET",
                                          WP_KV "?prefix=" TMX_KEY_HEAD "&page=1", NULL,
                                          TMX_STORE_TIMEOUT_S, on_revision, store);
}

static void on_pacing_timer(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)loop;
  (void)events;
  tmx_read_index_send_if_due(timer->data);
}

static void on_deadline_timer(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)loop;
  (void)events;
  tmx_read_index_complete(timer->data);
  tmx_read_index_send_if_due(timer->data);
}

void tmx_read_index_init(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  reads->last_read_at = -TMX_READ_INDEX_PERIOD_MAX_S; /* makes the first read due immediately */
  ev_timer_init(&reads->pacing_timer, on_pacing_timer, 0, 0);
  ev_timer_init(&reads->deadline_timer, on_deadline_timer, DEADLINE_CHECK_S, DEADLINE_CHECK_S);
  reads->pacing_timer.data = reads->deadline_timer.data = store;
  ev_timer_start(store->loop, &reads->deadline_timer);
}

void tmx_read_index_free(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  struct read_waiter *waiter, *next;
  ev_timer_stop(store->loop, &reads->pacing_timer);
  ev_timer_stop(store->loop, &reads->deadline_timer);
  DL_FOREACH_SAFE(reads->waiters, waiter, next) {
    DL_DELETE(reads->waiters, waiter);
    free(waiter);
  }
}

bool tmx_store_read_index(struct tmx_store *store, double timeout, tmx_read_index_cb callback,
                          void *arg) {
  struct tmx_read_index *reads = &store->read_index;
  if (reads->n_waiters >= TMX_WAITING_REQUESTS_MAX) return false;
  struct read_waiter *waiter = tmx_allocate(1, sizeof *waiter);
  waiter->callback = callback;
  waiter->arg = arg;
  waiter->requested_at = tmx_clock_steady();
  waiter->deadline = waiter->requested_at + timeout;
  DL_APPEND(reads->waiters, waiter);
  reads->n_waiters++;
  tmx_read_index_send_if_due(store);
  return true;
}

void tmx_store_expedite_read_index(struct tmx_store *store) {
  store->read_index.expedited = true;
  ev_timer_stop(store->loop, &store->read_index.pacing_timer);
  tmx_read_index_send_if_due(store);
}

/* A read of the revision shows whether the watch's connection broke without an error. Each
 * heartbeat of each peer that is ahead causes a call; one read per heartbeat period is enough for
 * all of them. */
void tmx_store_note_peer_ahead(struct tmx_store *store) {
  struct tmx_read_index *reads = &store->read_index;
  if (tmx_clock_steady() - reads->last_read_at < TMX_HEARTBEAT_PERIOD_S) return;
  reads->last_read_at = -TMX_READ_INDEX_PERIOD_MAX_S;
  tmx_read_index_send_if_due(store);
}

double tmx_store_fresh_as_of(const struct tmx_store *store) {
  return store->read_index.fresh_as_of;
}

bool tmx_store_is_reachable(const struct tmx_store *store) {
  return !store->read_index.last_read_failed;
}
