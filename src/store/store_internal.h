/**
 * @file
 * What the files of the store client share: its state, one struct a module, and the functions by
 * which the modules call each other. Not for other folders; they include store/store.h.
 *
 * Everything here runs on the thread of the event loop.
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

/** Status of a store response: HTTP's, and what the HTTP client reports without a response. */
enum tmx_response_status {
  TMX_STATUS_NOT_CONNECTED = -1,      /**< nobody accepted the connection: nothing was executed */
  TMX_STATUS_OK = 200,                /**< executed */
  TMX_STATUS_BAD_REQUEST = 400,       /**< malformed: not executed */
  TMX_STATUS_NOT_FOUND = 404,         /**< the lease is unknown: it has expired */
  TMX_STATUS_CONFLICT = 409,          /**< a condition of the transaction did not hold */
  TMX_STATUS_GONE = 410,              /**< the revision of a watch is too old */
  TMX_STATUS_TOO_MANY_REQUESTS = 429, /**< refused for its rate: nothing was executed */
  TMX_STATUS_UNAVAILABLE = 503        /**< out of service: nothing was executed */
};

/** The read of all keys, page by page, with which the replica begins. */
struct tmx_initial_load {
  bool in_flight;                  /**< a page was requested and has not arrived */
  struct tmx_store_entry *entries; /**< keys read so far, owned; their values are in `pages` */
  size_t n_entries,                /**< keys in `entries` */
      cap_entries;                 /**< allocated length of `entries` */
  cbor_item_t **pages;             /**< decoded responses, owned until the load ends */
  size_t n_pages,                  /**< responses in `pages` */
      cap_pages;                   /**< allocated length of `pages` */
  char last_key[TMX_PATH_MAX];  /**< the next page begins after this key; empty: at the first key */
  uint64_t first_page_revision; /**< 0: no page has arrived */
};

/** The watch: long polls for the events after the replica's revision. */
struct tmx_watch {
  struct tmx_http_client *connection; /**< its own: a poll holds a connection for seconds */
  ev_timer timer;                     /**< starts the next poll, or the initial load */
  bool in_flight;                     /**< a poll was sent and has no response */
  double tokens;      /**< token bucket of polls; below 0: a poll was made in advance */
  double refilled_at; /**< steady clock, s */
};

/** A caller of tmx_store_read_index() that waits. */
struct read_waiter;

/** Linearizable reads: reads of the store's revision, and callers that wait for the replica. */
struct tmx_read_index {
  ev_timer pacing_timer;   /**< delays the next read to this controller's share of requests */
  ev_timer deadline_timer; /**< periodic: ends waiters whose deadline has passed */
  bool in_flight;          /**< a read was sent and has no response */
  bool last_read_failed;   /**< the latest read was refused or got no response */
  bool expedited;          /**< the next read is not paced */
  double started_at;       /**< steady clock, s: when the read in flight was sent */
  double last_read_at;     /**< steady clock, s: from when the next read is paced */
  double fresh_as_of;      /**< see tmx_store_fresh_as_of() */
  /** A revision that a read returned and the replica has not reached; 0: none. */
  uint64_t pending_revision;
  double pending_started_at;   /**< steady clock, s: when the read of pending_revision was sent */
  double pending_since;        /**< steady clock, s: when its response arrived */
  struct read_waiter *waiters; /**< in the order of their calls, owned */
  int n_waiters;               /**< length of `waiters` */
};

/** The lease to which this controller's keys are attached. */
struct tmx_lease {
  uint64_t id;            /**< 0: none */
  bool request_in_flight; /**< a grant or renewal was sent and has no response */
  double attempted_at;    /**< steady clock, s: the latest grant or renewal that was sent */
};

/** This controller's member key. */
struct tmx_registration {
  /** The member key, with this controller's name. */
  char key[TMX_NAME_MAX + sizeof TMX_KEY_MEMBER];
  uint64_t incarnation; /**< version with which the key was written; 0: not registered */
  bool in_flight;       /**< the write of the key was sent and has no response */
  double attempted_at;  /**< steady clock, s */
};

/** The compare-and-swap on the leader key. */
struct tmx_election {
  bool in_flight;                      /**< the compare-and-swap was sent and has no response */
  double attempted_at;                 /**< steady clock, s */
  bool abstains;                       /**< this controller does not run for leader */
  char suspected_leader[TMX_NAME_MAX]; /**< member to take the leadership from; empty: none */
};

/** The client of the store: one struct for each module. */
struct tmx_store {
  struct ev_loop *loop;                        /**< not owned */
  const struct tmx_settings *settings;         /**< not owned */
  struct tmx_replica *replica;                 /**< not owned */
  struct tmx_http_client *request_connections; /**< for everything but the watch */
  struct tmx_initial_load load;                /**< used until the replica is loaded */
  struct tmx_watch watch;                      /**< follows changes after the initial load */
  struct tmx_read_index read_index;            /**< linearizable reads */
  struct tmx_write_budget write_budget;        /**< use tmx_store_refilled_budget() */
  struct tmx_lease lease;               /**< to which the member and leader keys are attached */
  struct tmx_registration registration; /**< this controller's member key */
  struct tmx_election election;         /**< candidacy for the leader key */
  struct pending_transaction *pending_transactions; /**< sent, without a response */
};

/* store.c */

/** Controllers among which the store's rates are shared; at least 1. */
double tmx_store_members_sharing_rates(const struct tmx_store *store);
/** What determines this controller's share of the write rate now. */
struct tmx_write_share tmx_store_write_share(const struct tmx_store *store);
/** The write budget, refilled up to the present. */
struct tmx_write_budget *tmx_store_refilled_budget(struct tmx_store *store);

/* initial_load.c */

/** Requests the next page, unless one is in flight. The watch starts after the last page. */
void tmx_initial_load_start(struct tmx_store *store);
/** Forgets the pages read so far and frees them. */
void tmx_initial_load_reset(struct tmx_initial_load *load);

/* watch.c */

/** Opens the connection and schedules the initial load. */
void tmx_watch_init(struct tmx_store *store);
/** Stops the timer and closes the connection; the poll in flight is given up. */
void tmx_watch_free(struct tmx_store *store);
/** Sends the next poll, unless one is in flight. */
void tmx_watch_start(struct tmx_store *store);
/** Starts the next poll, or the initial load if the replica has no revision, after `delay` s. */
void tmx_watch_schedule(struct tmx_store *store, double delay);
/** Gives up the poll in flight with its connection, and sends another on a new one. */
void tmx_watch_reopen(struct tmx_store *store);

/* read_index.c */

/** Sets up the timers and starts the check of deadlines. The first read is due at once. */
void tmx_read_index_init(struct tmx_store *store);
/** Frees the waiters without calling them. */
void tmx_read_index_free(struct tmx_store *store);
/** Sends a read of the store's revision if one is due, or schedules it. */
void tmx_read_index_poll(struct tmx_store *store);
/** Calls and frees the waiters that the replica has caught up with, or whose time is up. */
void tmx_read_index_complete(struct tmx_store *store);

/* transaction.c */

/** Forgets the transactions without a response; their callbacks are not called. */
void tmx_transactions_abandon(struct tmx_store *store);

/* lease.c */

/** Makes the first request of a lease due at once. */
void tmx_lease_init(struct tmx_lease *lease);
/** Requests a lease, or its renewal, if that is due. */
void tmx_lease_maintain(struct tmx_store *store, double now);
/** The lease has expired: the registration is lost, and a new lease is requested by the next tick.
 */
void tmx_lease_expire(struct tmx_store *store);

/* registration.c */

/** Sets the member key from this controller's name; its write is due at once. */
void tmx_registration_init(struct tmx_store *store);
/** Writes the member key if there is a lease and the key does not hold this incarnation. */
void tmx_registration_maintain(struct tmx_store *store, double now);
/** There is a new lease: the member key is written with it at once. */
void tmx_registration_restart(struct tmx_registration *registration);

/* election.c */

/** Makes the first attempt to become the leader due at once. */
void tmx_election_init(struct tmx_election *election);
/** Runs for leader if there is none, or if the leadership is to be taken from another member. */
void tmx_election_maintain(struct tmx_store *store, double now);
#endif
