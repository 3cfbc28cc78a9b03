/**
 * @file
 * The client of the consensus-backed key-value store, which the protocol calls the state service.
 *
 * The client loads the store's keys into the replica and watches them for changes. It provides
 * linearizable reads and commits transactions within a write budget. It maintains this controller's
 * lease and registration, and its leadership if it wins the election.
 *
 * All functions must be called on the thread of the event loop, and callbacks run on that thread.
 * No function blocks. The process aborts if memory runs out.
 */
#ifndef TMX_STORE_H
#define TMX_STORE_H
#include <stdbool.h>
#include <stdint.h>

#include "config/settings.h"
#include "net/cbor.h"
#include "net/http.h"
#include "replica/replica.h"

/** A client of the store, with its connections and timers. */
struct tmx_store;

/**
 * Creates the client and starts the initial load, the lease and the registration.
 * @param loop      event loop that runs the client; must outlive the client
 * @param settings  not copied; must outlive the client
 * @param replica   the client loads it and applies changes to it; must outlive the client
 * @return the client; the caller owns it and frees it with tmx_store_free()
 */
struct tmx_store *tmx_store_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                struct tmx_replica *replica);

/** Frees the client. Outstanding callbacks are not called. The lease is not revoked; it expires. */
void tmx_store_free(struct tmx_store *store);

/**
 * Performs the periodic work that is due: renews the lease, registers this controller, runs for
 * leader and completes waiting reads. The owner must call it a few times per second.
 */
void tmx_store_tick(struct tmx_store *store);

/** @name Linearizable reads
 * @{ */

/**
 * Receives the outcome of tmx_store_read_index().
 * @param arg  as passed to tmx_store_read_index()
 * @param ok   true: the replica holds everything that was committed before the call; false: the
 *             replica did not catch up before the timeout
 */
typedef void (*tmx_read_index_cb)(void *arg, bool ok);

/**
 * Calls back once the replica holds everything that was committed before this call, so that reads
 * of the replica are linearizable.
 * @param store     the client whose replica must catch up
 * @param timeout   longest wait, s
 * @param callback  called once, unless the client is freed first
 * @param arg       passed to the callback; not owned
 * @return whether the read was accepted; false: TMX_WAITING_REQUESTS_MAX reads are waiting already,
 * and the callback is not called
 */
bool tmx_store_read_index(struct tmx_store *store, double timeout, tmx_read_index_cb callback,
                          void *arg);

/**
 * Sends the next read of the store's revision without pacing. It is meant for the few callers that
 * have already waited for something else.
 */
void tmx_store_expedite_read_index(struct tmx_store *store);

/**
 * Returns the time up to which the replica is known to be complete (steady clock, s): the time when
 * the client sent the latest read whose revision the replica has reached. 0: none yet.
 */
double tmx_store_fresh_as_of(const struct tmx_store *store);

/**
 * Returns whether the store answered the latest read of its revision. A refusal because of the
 * request rate counts as an answer. Before the first response the result is true.
 */
bool tmx_store_is_reachable(const struct tmx_store *store);

/**
 * Reports that a peer's replica is ahead of this one. The client then reads the store's revision,
 * at most once per heartbeat period, to find out whether the watch's connection broke without an
 * error.
 */
void tmx_store_note_peer_ahead(struct tmx_store *store);

/** @} */
/** @name Registration and leadership
 * @{ */

/** Returns this controller's incarnation, the version of its member key; 0: not registered. */
uint64_t tmx_store_incarnation(const struct tmx_store *store);

/** Returns whether the replica's view contains this controller with its current incarnation. */
bool tmx_store_is_member(const struct tmx_store *store);

/** Returns whether this controller is a member and is the leader according to the replica. */
bool tmx_store_is_leader(const struct tmx_store *store);

/** Sets whether this controller stays out of elections because it is not fit to lead. */
void tmx_store_abstain_from_election(struct tmx_store *store, bool abstains);

/**
 * Sets the peer that is suspected to be down. If that peer is the leader, this controller tries to
 * take over the leadership without waiting for the leader's lease to expire.
 * @param store  the client that runs for leader
 * @param node   the peer's node name, copied; empty: no peer is suspected
 */
void tmx_store_set_suspected_leader(struct tmx_store *store, const char *node);

/** @} */
/** @name Transactions
 * @{ */

/** The result of a transaction. */
enum tmx_transaction_result {
  TMX_TRANSACTION_COMMITTED,    /**< executed, at the revision passed to the callback */
  TMX_TRANSACTION_CONFLICT,     /**< not executed: a condition did not hold */
  TMX_TRANSACTION_NOT_EXECUTED, /**< refused (rate, outage, malformed) or not received */
  TMX_TRANSACTION_UNKNOWN       /**< no usable response: possibly executed, now or later */
};

/**
 * A transaction under construction. The store executes all its operations atomically if all its
 * conditions hold. The owner zero-initializes the struct. tmx_store_commit() frees the buffers; if
 * the transaction is not committed, the owner frees each buffer.
 */
struct tmx_transaction {
  struct tmx_buffer conditions, /**< encoded conditions, concatenated; owned */
      operations;               /**< encoded operations, concatenated; owned */
  int n_conditions,             /**< number of conditions in `conditions` */
      n_operations;             /**< number of operations in `operations` */
};

/**
 * Adds the condition that the key has the given version.
 * @param transaction  receives the condition
 * @param key          copied
 * @param version      0: the key does not exist
 */
void tmx_transaction_require_version(struct tmx_transaction *transaction, const char *key,
                                     uint64_t version);

/**
 * Adds a put of a key.
 * @param transaction  receives the operation
 * @param key          copied
 * @param value        one encoded CBOR item; copied
 * @param lease        the store deletes the key when this lease expires; 0: no lease
 */
void tmx_transaction_put(struct tmx_transaction *transaction, const char *key,
                         const struct tmx_buffer *value, uint64_t lease);

/** Adds a deletion of a key. */
void tmx_transaction_delete(struct tmx_transaction *transaction, const char *key);

/**
 * Adds a put of the head key, whose version changes with each batch of the log.
 * @param transaction  receives the operation
 * @param by           node name of the writing controller; copied
 */
void tmx_transaction_advance_head(struct tmx_transaction *transaction, const char *by);

/**
 * Receives the result of tmx_store_commit().
 * @param arg       as passed to tmx_store_commit()
 * @param result    the result of the transaction
 * @param revision  the revision in the response, at which a committed transaction was executed; 0
 *                  if the response contains none
 */
typedef void (*tmx_transaction_cb)(void *arg, enum tmx_transaction_result result,
                                   uint64_t revision);

/**
 * Sends a transaction. Frees the transaction's buffers even if it could not be sent.
 * @param store        the client that sends the transaction
 * @param transaction  its buffers are freed; the caller keeps the struct
 * @param urgent       true: the transaction is sent even if the write budget is exhausted, and the
 *                     budget goes negative; false: it is sent only if this controller's own share
 *                     of the budget covers all operations
 * @param callback     called once if the transaction was sent, unless the client is freed first;
 *                     may be NULL
 * @param arg          passed to the callback; not owned
 * @return whether the transaction was sent; false: the budget does not cover it or no connection is
 *         available, and the callback is not called
 */
bool tmx_store_commit(struct tmx_store *store, struct tmx_transaction *transaction, bool urgent,
                      tmx_transaction_cb callback, void *arg);

/** @} */
/** @name Write budget
 * The store limits the rate of puts of all controllers combined; see store/write_budget.h.
 * @{ */

/** Returns the number of puts that may be sent now; may be negative. */
double tmx_store_write_budget(struct tmx_store *store);

/** Returns the seconds until `puts` may be sent; always above 0. */
double tmx_store_write_budget_delay(struct tmx_store *store, double puts);

/**
 * Reserves one put for a submission that is committed on its own instead of in a batch. The next
 * commit consumes the put.
 * @return whether the submission may be committed now; if not, it has to wait for the next batch
 */
bool tmx_store_reserve_submission_write(struct tmx_store *store);

/**
 * Reserves puts beyond this controller's share from the part of the store's write rate that all
 * controllers leave unused. It is meant for writes that users or dependent jobs wait for. The next
 * commit consumes the puts.
 * @param store   the client whose budget is used
 * @param wanted  maximum number of puts to reserve
 * @return the number of reserved puts
 */
int tmx_store_reserve_unused_writes(struct tmx_store *store, int wanted);

/** Returns whether the recent write load of all controllers combined is so low that each may
 * commit without waiting for its commit slot. */
bool tmx_store_is_write_load_low(struct tmx_store *store);

/** Returns whether the budget has enough spare puts for housekeeping such as a compaction, which
 * must not delay other writes. */
bool tmx_store_has_housekeeping_budget(struct tmx_store *store);

/** @} */
#endif
