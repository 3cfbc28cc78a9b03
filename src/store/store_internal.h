/**
 * @file
 * Internal declarations of the store client: its state, with one struct per module, and the
 * functions that the modules call in each other. Code outside src/store includes store/store.h.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_STORE_INTERNAL_H
#define TMX_STORE_INTERNAL_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"
#include "net/cbor.h"
#include "net/http.h"
#include "replica/replica.h"
#include "store/store.h"
#include "store/write_budget.h"
#include "tmx/constants.h"

/** Status of a store response: an HTTP status, or a code of enum tmx_http_failure. */
enum tmx_response_status {
  TMX_STATUS_NOT_CONNECTED = -1,      /**< connecting failed: not executed */
  TMX_STATUS_OK = 200,                /**< executed */
  TMX_STATUS_BAD_REQUEST = 400,       /**< malformed: not executed */
  TMX_STATUS_NOT_FOUND = 404,         /**< the lease does not exist: it has expired */
  TMX_STATUS_CONFLICT = 409,          /**< a condition of the transaction did not hold */
  TMX_STATUS_GONE = 410,              /**< the revision of a watch is too old */
  TMX_STATUS_TOO_MANY_REQUESTS = 429, /**< over the rate limit: not executed */
  TMX_STATUS_UNAVAILABLE = 503        /**< the store is out of service: not executed */
};

/** The initial load: a paginated read of all keys that fills the replica. */
struct tmx_initial_load {
  bool in_flight;                  /**< a page was requested, and there is no response yet */
  struct tmx_store_entry *entries; /**< keys read so far, owned; values belong to `pages` */
  size_t n_entries,                /**< used length of `entries` */
      cap_entries;                 /**< allocated length of `entries` */
  cbor_item_t **pages;             /**< decoded responses, owned until the load ends */
  size_t n_pages,                  /**< used length of `pages` */
      cap_pages;                   /**< allocated length of `pages` */
  char
      last_key[TMX_PATH_BYTES]; /**< the next page starts after this key; empty: at the first key */
  uint64_t first_page_revision; /**< revision at which the first page was read; 0: no page yet */
};

/** The watch: long polls for the events that follow the replica's revision. */
struct tmx_watch {
  struct tmx_http_client *connection; /**< separate, as a poll occupies a connection for seconds */
  ev_timer timer;                     /**< sends the next poll or starts the initial load */
  bool in_flight;                     /**< a poll was sent, and there is no response yet */
  double tokens;      /**< token bucket that limits polls; negative: the next poll must wait */
  double refilled_at; /**< steady clock, s: when `tokens` was last refilled */
};

/** A call of tmx_store_read_index() that waits for its outcome. */
struct read_waiter;

/** Linearizable reads: reads of the store's revision, and the callers waiting for the replica. */
struct tmx_read_index {
  ev_timer pacing_timer;   /**< delays the next read to keep to this controller's request rate */
  ev_timer deadline_timer; /**< periodic: fails waiters whose deadline has passed */
  bool in_flight;          /**< a read was sent, and there is no response yet */
  bool last_read_failed;   /**< the latest read failed for a reason other than its rate */
  bool expedited;          /**< the next read is sent without pacing */
  double sent_at;          /**< steady clock, s: when the latest read was sent */
  double last_read_at;     /**< steady clock, s: start of the pacing interval; equals `sent_at`
                              unless it was reset to make the next read due */
  double fresh_as_of;      /**< see tmx_store_fresh_as_of() */
  /** A revision that a read returned and that the replica has not reached yet; 0: none. */
  uint64_t pending_revision;
  double pending_sent_at;      /**< steady clock, s: when the read of `pending_revision` was sent */
  double pending_received_at;  /**< steady clock, s: when the response to that read arrived */
  struct read_waiter *waiters; /**< list in the order of the calls, owned */
  int n_waiters;               /**< length of `waiters` */
};

/** The lease to which this controller's member and leader keys are attached. */
struct tmx_lease {
  uint64_t id;            /**< 0: there is no lease */
  bool request_in_flight; /**< a grant or renewal was requested, and there is no response yet */
  double attempted_at;    /**< steady clock, s: latest attempt to request a grant or renewal */
};

/** The registration: this controller's member key. */
struct tmx_registration {
  /** Name of the member key, which contains this controller's node name. */
  char key[TMX_NAME_BYTES + sizeof TMX_KEY_MEMBER];
  uint64_t incarnation; /**< revision at which the key was written; 0: not registered */
  bool in_flight;       /**< a put of the key was sent, and there is no response yet */
  double attempted_at;  /**< steady clock, s: start of the retry interval */
};

/** The election: a compare-and-swap on the leader key. */
struct tmx_election {
  bool in_flight;                        /**< a compare-and-swap was sent, no response yet */
  double attempted_at;                   /**< steady clock, s: latest attempt */
  bool abstains;                         /**< this controller does not run for leader */
  char suspected_leader[TMX_NAME_BYTES]; /**< its leadership may be taken over; empty: none */
};

/** The client of the store, with one struct per module. */
struct tmx_store {
  struct ev_loop *loop;                        /**< not owned */
  const struct tmx_settings *settings;         /**< not owned */
  struct tmx_replica *replica;                 /**< not owned */
  struct tmx_http_client *request_connections; /**< for all requests except those of the watch */
  struct tmx_initial_load load;                /**< used until all keys have been read */
  struct tmx_watch watch;                      /**< receives changes after the initial load */
  struct tmx_read_index read_index;            /**< linearizable reads */
  struct tmx_write_budget write_budget;        /**< see tmx_store_refill_write_budget() */
  struct tmx_lease lease;                      /**< the member and leader keys are attached to it */
  struct tmx_registration registration;        /**< this controller's member key */
  struct tmx_election election; /**< this controller's attempts to become the leader */
  struct pending_transaction *pending_transactions; /**< transactions without a response, owned */
};

/* store.c */

/** Returns the number of controllers among which the store's rate limits are divided; at least 1.
 */
double tmx_store_members_sharing_rates(const struct tmx_store *store);
/** Returns the current parameters of this controller's share of the write rate. */
struct tmx_write_share tmx_store_write_share(const struct tmx_store *store);
/** Refills the write budget up to the present and returns it. */
struct tmx_write_budget *tmx_store_refill_write_budget(struct tmx_store *store);

/* initial_load.c */

/** Requests the next page, unless a request is in flight. After the last page the replica is filled
 * and the watch starts. */
void tmx_initial_load_request_page(struct tmx_store *store);
/** Frees the pages read so far; the next request starts from the first key. */
void tmx_initial_load_reset(struct tmx_initial_load *load);

/* watch.c */

/** Creates the watch's HTTP client and schedules the initial load. */
void tmx_watch_init(struct tmx_store *store);
/** Stops the timer and frees the watch's HTTP client, which aborts a poll in flight. */
void tmx_watch_free(struct tmx_store *store);
/** Sends the next long poll, unless one is in flight. */
void tmx_watch_poll(struct tmx_store *store);
/** After `delay` s, sends the next poll, or requests the next page of the initial load if the
 * replica has no revision. */
void tmx_watch_schedule(struct tmx_store *store, double delay);
/** Replaces the watch's HTTP client, which aborts a poll in flight, and sends a poll on a new
 * connection. */
void tmx_watch_reopen(struct tmx_store *store);

/* read_index.c */

/** Initializes the timers and starts the periodic deadline check. The first read is due
 * immediately. */
void tmx_read_index_init(struct tmx_store *store);
/** Stops the timers and frees the waiters without calling their callbacks. */
void tmx_read_index_free(struct tmx_store *store);
/** If a read of the store's revision is due and none is in flight, sends it or, if it exceeds this
 * controller's request rate, schedules it. */
void tmx_read_index_send_if_due(struct tmx_store *store);
/** Calls back and frees the waiters whose revision the replica has reached or whose deadline has
 * passed. */
void tmx_read_index_complete(struct tmx_store *store);

/* transaction.c */

/** Frees the records of transactions without a response; their callbacks are not called. The HTTP
 * client that sent them must have been freed. */
void tmx_transactions_discard(struct tmx_store *store);

/* lease.c */

/** Makes the next request of the lease due immediately. */
void tmx_lease_init(struct tmx_lease *lease);
/** Requests a lease or its renewal if that is due. */
void tmx_lease_maintain(struct tmx_store *store, double now);
/** Handles the expiry of the lease: clears the registration and makes the request of a new lease
 * due at the next tick. */
void tmx_lease_handle_expiry(struct tmx_store *store);

/* registration.c */

/** Derives the member key from this controller's node name and makes its write due immediately. */
void tmx_registration_init(struct tmx_store *store);
/** Writes the member key if there is a lease and this controller is not registered. Registers again
 * if the replica does not show the current incarnation. */
void tmx_registration_maintain(struct tmx_store *store, double now);
/** Clears the incarnation and makes the write of the member key due immediately, for a new lease.
 */
void tmx_registration_restart(struct tmx_registration *registration);

/* election.c */

/** Makes the first attempt to become the leader due immediately. */
void tmx_election_init(struct tmx_election *election);
/** Tries to become the leader if there is none or if the leadership may be taken over. */
void tmx_election_maintain(struct tmx_store *store, double now);
#endif
