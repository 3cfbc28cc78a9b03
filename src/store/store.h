/**
 * @file
 * The client of the consensus-backed key-value store (the state service of the protocol).
 *
 * It loads the store's keys into the replica and follows their changes, answers linearizable reads,
 * commits transactions within a write budget, and keeps this controller's lease, its registration
 * and, if it wins the election, its leadership.
 *
 * All functions may be called only on the thread of the event loop, and callbacks are called there.
 * Nothing here blocks. Out of memory, the process aborts.
 */
#ifndef TMX_STORE_H
#define TMX_STORE_H
#include <stdbool.h>
#include <stdint.h>

#include "config/settings.h"
#include "net/cbor.h"
#include "net/http.h"
#include "replica/replica.h"

/** One client of the store. */
struct tmx_store;

/**
 * Creates the client and starts the initial load, the lease and the registration.
 * @param loop      runs the client; must outlive it
 * @param settings  not copied; must outlive the client
 * @param replica   is loaded and kept up to date; must outlive the client
 * @return the client, owned by the caller: see tmx_store_free()
 */
struct tmx_store *tmx_store_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                struct tmx_replica *replica);

/** Frees the client. Callbacks that are still due are not called. The lease is left to expire. */
void tmx_store_free(struct tmx_store *store);

/**
 * Does what is due: renews the lease, registers, runs for leader, answers waiting reads. To be
 * called a few times a second.
 */
void tmx_store_tick(struct tmx_store *store);

/** @name Linearizable reads
 * @{ */

/**
 * Tells the caller of tmx_store_read_index() the outcome.
 * @param arg  as passed to tmx_store_read_index()
 * @param ok   true: the replica holds all that was committed before the call; false: it did not
 *             catch up within the time
 */
typedef void (*tmx_read_index_cb)(void *arg, bool ok);

/**
 * Waits until the replica holds everything that was committed before this call, so that an answer
 * from it is linearizable.
 * @param store     the client whose replica is waited for
 * @param timeout   s; how long to wait at most
 * @param callback  called once, unless the store is freed before
 * @param arg       passed to the callback; not owned
 * @return whether the read was accepted; if not, too many reads are waiting already and the
 * callback is not called
 */
bool tmx_store_read_index(struct tmx_store *store, double timeout, tmx_read_index_cb callback,
                          void *arg);

/**
 * Sends the next read of the store's revision without pacing. For callers that have waited for
 * something else before; they are few.
 */
void tmx_store_expedite_read_index(struct tmx_store *store);

/**
 * The time as of which the replica is known to be complete: steady clock, s, when the latest read
 * was sent whose revision the replica has reached; 0: none yet.
 */
double tmx_store_fresh_as_of(const struct tmx_store *store);

/**
 * Whether the store answered the latest read. If not, nothing that needs the store is decided by
 * this controller for now.
 */
bool tmx_store_is_reachable(const struct tmx_store *store);

/**
 * A peer's replica is ahead of this one. A read of the revision is sent soon, which finds out
 * whether the watch was cut silently.
 */
void tmx_store_note_peer_ahead(struct tmx_store *store);

/** @} */
/** @name Registration and leadership
 * @{ */

/** This controller's incarnation: the version of its member key; 0: it is not registered. */
uint64_t tmx_store_incarnation(const struct tmx_store *store);

/** Whether the view of the replica contains this very incarnation of the controller. */
bool tmx_store_is_member(const struct tmx_store *store);

/** Whether this controller is a member and the replica shows it as the leader. */
bool tmx_store_is_leader(const struct tmx_store *store);

/** Sets whether this controller stays out of elections, since it is in no state to lead. */
void tmx_store_abstain_from_election(struct tmx_store *store, bool abstains);

/**
 * Sets the peer whose process is taken to be down. If it is the leader, this controller takes the
 * leadership at once instead of waiting for the lease to expire.
 * @param store  the client that runs for leader
 * @param node   the peer's name, copied; empty: no peer is suspected
 */
void tmx_store_suspect_leader(struct tmx_store *store, const char *node);

/** @} */
/** @name Transactions
 * @{ */

/** What became of a transaction. */
enum tmx_transaction_result {
  TMX_TRANSACTION_COMMITTED,    /**< executed, at the revision that is passed along */
  TMX_TRANSACTION_CONFLICT,     /**< not executed: a condition did not hold */
  TMX_TRANSACTION_NOT_EXECUTED, /**< refused (rate, outage, malformed) or never received */
  TMX_TRANSACTION_UNKNOWN       /**< no usable response: it may be executed, now or later */
};

/**
 * A transaction that is being built: operations that the store executes together if all conditions
 * hold. Begins zeroed; tmx_store_commit() frees the buffers. A transaction that is not committed is
 * freed by its owner, buffer by buffer.
 */
struct tmx_transaction {
  struct tmx_buffer conditions, /**< encoded conditions, one after the other; owned */
      operations;               /**< encoded operations, one after the other; owned */
  int n_conditions,             /**< items in `conditions` */
      n_operations;             /**< items in `operations` */
};

/**
 * Adds the condition that the key has this version.
 * @param transaction  gets the condition
 * @param key          copied
 * @param version      0: the key does not exist
 */
void tmx_transaction_require_version(struct tmx_transaction *transaction, const char *key,
                                     uint64_t version);

/**
 * Adds the write of a key.
 * @param transaction  gets the operation
 * @param key          copied
 * @param value        one encoded item; copied
 * @param lease        the key is deleted when this lease expires; 0: none
 */
void tmx_transaction_put(struct tmx_transaction *transaction, const char *key,
                         const struct tmx_buffer *value, uint64_t lease);

/** Adds the deletion of a key. */
void tmx_transaction_delete(struct tmx_transaction *transaction, const char *key);

/**
 * Adds a write of the head key, whose version changes with each batch of the log.
 * @param transaction  gets the operation
 * @param by           name of the writing controller; copied
 */
void tmx_transaction_advance_head(struct tmx_transaction *transaction, const char *by);

/**
 * Tells the caller of tmx_store_commit() the result.
 * @param arg       as passed to tmx_store_commit()
 * @param result    what became of the transaction
 * @param revision  at which it was committed; 0 if the response names none
 */
typedef void (*tmx_transaction_cb)(void *arg, enum tmx_transaction_result result,
                                   uint64_t revision);

/**
 * Sends a transaction, and frees its buffers whether it was sent or not.
 * @param store     the client that sends it
 * @param transaction  its buffers are freed; the struct stays with the caller
 * @param urgent    true: sent even if the write budget is used up; the puts are then taken from the
 *                  budget in advance. false: not sent if the budget has too few.
 * @param callback  called once if the transaction was sent, unless the store is freed before; may
 *                  be NULL
 * @param arg       passed to the callback; not owned
 * @return whether it was sent; false: the budget does not allow it, or no connection is free, and
 *         the callback is not called
 */
bool tmx_store_commit(struct tmx_store *store, struct tmx_transaction *transaction, bool urgent,
                      tmx_transaction_cb callback, void *arg);

/** @} */
/** @name Write budget
 * The store limits the puts of all controllers together; see store/write_budget.h.
 * @{ */

/** Puts that may be sent now; may be negative. */
double tmx_store_write_budget(struct tmx_store *store);

/** Seconds until so many puts may be sent; always above 0. */
double tmx_store_write_budget_delay(struct tmx_store *store, double puts);

/**
 * Reserves the put of a submission that is committed singly; the commit that follows takes it.
 * @return whether there is a put for it; if not, it goes with the next batch
 */
bool tmx_store_reserve_submission_write(struct tmx_store *store);

/**
 * Reserves puts beyond this controller's share, as far as all controllers leave them unused, for
 * what others wait for; the commit that follows takes them.
 * @param store   the client whose budget is used
 * @param wanted  the most that is reserved
 * @return how many puts were reserved
 */
int tmx_store_reserve_unused_writes(struct tmx_store *store, int wanted);

/** Whether all controllers together have written little of late, so that they need no turns. */
bool tmx_store_is_write_load_low(struct tmx_store *store);

/** Whether the budget has room for housekeeping, which must not delay anything else. */
bool tmx_store_has_housekeeping_budget(struct tmx_store *store);

/** @} */
#endif
