/** @file
 *  A fake of the key-value store, with versioned keys, conditional transactions, leases and
 *  watches. Each controller has its own endpoint, so a test can inject failures for one alone. */
#ifndef TMX_FAKE_STORE_H
#define TMX_FAKE_STORE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "controller/controller_internal.h"
#include "fake_controllers.h"

enum { FAKE_WATCHES_MAX = 32 };

struct fake_store;

/** A key and its value. */
struct fake_entry {
  char key[TMX_KEY_MAX + 1];
  uint8_t *value; /**< CBOR */
  size_t length;  /**< of the value, bytes */
  uint64_t version, lease;
};

/** A change, as it is sent to watches. */
struct fake_event {
  char key[TMX_KEY_MAX + 1];
  uint8_t *value; /**< NULL: the key was deleted */
  size_t length;
  uint64_t version;
};

/** A pending watch request. */
struct fake_watch {
  struct tmx_http_request *request;
  uint64_t from_revision; /**< a change at a higher revision completes the watch */
  int endpoint;           /**< index in fake_store.endpoints */
};

/** The address at which one controller reaches the store, and the failures injected there. */
struct fake_endpoint {
  struct fake_store *store;
  struct tmx_http_server *server;
  bool unavailable;       /**< requests get 503, and watches are held */
  bool hold_watches;      /**< watches get no response when keys change */
  bool expire_next_watch; /**< the next watch gets 410: its revision is too old */

  unsigned reads;          /**< reads so far */
  double read_delay_s;     /**< a read runs at once; its response is sent after this time */
  size_t page_entries_max; /**< maximum number of entries in one response; 0: no limit */
  /** A paged read that continues after a key with this prefix is held until
   *  fake_release_held_read. Empty: no read is held. */
  char hold_reads_from_prefix[64];
  struct tmx_http_request *held_read; /**< NULL: no read is held */

  /** The next transaction that writes a key with the prefix lost_response_key is applied, but its
   *  response is 500, which leaves its outcome unknown to the client. */
  bool lose_next_response;
  char lost_response_key[64];
  bool withhold_lost_response; /**< the client gets no response at all rather than 500 */
  struct tmx_http_request *withheld_request;

  /** The next transaction that writes a key with the prefix late_transaction_key gets 500 and is
   *  stored. fake_execute_late_transaction runs it later. */
  bool next_transaction_is_late;
  char late_transaction_key[64];
  uint8_t *late_transaction_body; /**< the stored transaction; NULL: none */
  size_t late_transaction_length;
};

struct fake_store {
  struct fake_entry *entries; /**< sorted by key */
  size_t n_entries;
  struct fake_event *events; /**< all changes so far, oldest first */
  size_t n_events;
  struct fake_watch watches[FAKE_WATCHES_MAX];
  size_t n_watches;
  uint64_t revision;       /**< revision of the latest change */
  uint64_t leases_granted; /**< the id of the latest lease */
  /** Expiry time of each lease, indexed by its id, in seconds of the steady clock. NULL: leases
   *  expire only through leases_expired_up_to. */
  double *lease_expires_at;
  uint64_t leases_expired_up_to;   /**< this lease and all earlier ones have expired */
  unsigned expired_lease_refusals; /**< transactions rejected because of an expired lease */
  unsigned commits, conflicts;
  size_t value_json_bytes_max;       /**< maximum length of a value, as JSON; 0: no limit */
  size_t transaction_operations_max; /**< operations in a transaction; 0: no limit */
  unsigned oversized_transactions;   /**< transactions rejected for either limit */
  struct fake_endpoint endpoints[FAKE_CONTROLLERS_MAX];
};

extern struct fake_store fake_store;
/** Called for each key that is written; NULL: no callback. */
extern void (*fake_on_write)(const char *key, const uint8_t *value, size_t length);

/** Starts an empty store. Called by fake_start. */
void fake_store_open(void);
/** Responds to pending requests, stops the store and frees its data. Called by fake_stop. */
void fake_store_close(void);

/** Writes a key without conditions, like a write by another client. */
void fake_put(const char *key, const struct tmx_buffer *value);
/** Deletes a key without conditions, like a deletion by another client. */
void fake_delete(const char *key);
/** Looks up a key.
 *  @return the entry, valid until the next change of the store; NULL: no such key */
const struct fake_entry *fake_get(const char *key);
/** Advances the revision and completes the pending watches. Tests call it after they clear
 *  hold_watches or unavailable of an endpoint. */
void fake_answer_pending_watches(void);
/** Deletes one key that belongs to an expired lease, if there is one. The first call starts the
 *  expiry of leases that are not renewed within TMX_LEASE_TTL_MS. */
void fake_enforce_leases(void);

/** Runs the stored late transaction of the endpoint.
 *  @return its status, which no client receives: 200, 400 or 409; 0: there is none */
int fake_execute_late_transaction(struct fake_endpoint *endpoint);
/** Runs the held read of the endpoint and clears hold_reads_from_prefix. */
void fake_release_held_read(struct fake_endpoint *endpoint);

/** Whether a batch in the store contains this line, or an operation that prints as this line. */
bool fake_log_contains(const char *line);
/** The number of placements in the log minus the number of task ends. */
unsigned fake_count_placed_tasks(void);

#endif
