/** The scripted store: keys with versions, conditional transactions, leases and watches. Each
 *  controller has an endpoint of its own, so that one of them alone can meet a failure. */
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
  size_t len;     /**< of the value, bytes */
  uint64_t version, lease;
};

/** A change, as watches tell of it. */
struct fake_event {
  char key[TMX_KEY_MAX + 1];
  uint8_t *value; /**< NULL: the key was dropped */
  size_t length;
  uint64_t version;
};

/** A watch that waits for its answer. */
struct fake_watch {
  struct tmx_http_request *request;
  uint64_t from_revision; /**< later changes answer it */
  int endpoint;
};

/** Where one controller reaches the store, with the failures that it meets there. */
struct fake_endpoint {
  struct fake_store *store;
  struct tmx_http_server *server;
  bool refuse;            /**< 503 to everything; watches wait */
  bool freeze_watch;      /**< watches wait, whatever changes */
  bool expire_next_watch; /**< the next watch is told that its revision is too old */

  unsigned reads;           /**< so far */
  double read_delay_s;      /**< reads are carried out at once and answered after this */
  size_t page_entries_max;  /**< entries in one answer; 0: all */
  char hold_reads_from[64]; /**< a read from such a key on waits for fake_release_held_read */
  struct tmx_http_request *held_read;

  /** The next transaction that writes a key with the prefix lost_response_key is applied, and its
   *  response is lost: the answer is 500. */
  bool lose_next_response;
  char lost_response_key[64];
  bool withhold_lost_response; /**< the lost response is no answer at all rather than 500 */
  struct tmx_http_request *withheld_request;

  /** The next transaction that writes a key with the prefix late_transaction_key is answered with
   *  500 and applied only by fake_execute_late_transaction. */
  bool next_transaction_is_late;
  char late_transaction_key[64];
  uint8_t *late_transaction; /**< its body; NULL: there is none */
  size_t late_transaction_length;
};

struct fake_store {
  struct fake_entry *entries; /**< in the order of their keys */
  size_t n_entries;
  struct fake_event *events; /**< all changes so far */
  size_t n_events;
  struct fake_watch watches[FAKE_WATCHES_MAX];
  size_t n_watches;
  uint64_t revision;       /**< of the latest change */
  uint64_t leases_granted; /**< the number of the latest lease */
  /** When each lease expires, in s of the steady clock, by its number; NULL: leases expire only
   *  when a test says so. */
  double *lease_expires_at;
  uint64_t leases_expired_up_to;   /**< this lease and the earlier ones have expired */
  unsigned expired_lease_refusals; /**< transactions refused for an expired lease */
  unsigned commits, conflicts;
  size_t value_json_bytes_max;       /**< of one value, as JSON; 0: no limit */
  size_t transaction_operations_max; /**< 0: no limit */
  unsigned oversized_transactions;   /**< refused for one of these limits */
  struct fake_endpoint endpoints[FAKE_NODES];
};

extern struct fake_store fake_store;
/** Called for every key that is written; NULL: not. */
extern void (*fake_on_write)(const char *key, const uint8_t *value, size_t length);

/** Starts the store, empty. Part of fake_start. */
void fake_store_open(void);
/** Stops it: requests that still wait are answered, and everything is freed. Part of fake_stop. */
void fake_store_close(void);

/** Writes a key, as another client would. */
void fake_put(const char *key, const struct tmx_buffer *value);
/** Drops a key, as another client would. */
void fake_drop(const char *key);
/** @return the entry, which the next change moves; NULL: there is none */
const struct fake_entry *fake_get(const char *key);
/** Answers the watches that wait, at a new revision. For the end of a freeze or a refusal. */
void fake_free_watches(void);
/** From the first call on, leases expire when they are not renewed in time. Every call drops one
 *  key of an expired lease, if there is one. */
void fake_enforce_leases(void);

/** Applies the late transaction of the endpoint.
 *  @return the status that nobody sees: 200, 400 or 409; 0: there is no late transaction */
int fake_execute_late_transaction(struct fake_endpoint *endpoint);
/** Carries out the held read of the endpoint, and holds no further ones. */
void fake_release_held_read(struct fake_endpoint *endpoint);

/** Whether a batch in the store holds this line, or this operation as a line of its own. */
bool fake_log_contains(const char *line);
/** Counts the placements in the log less the ends. */
unsigned fake_count_placed(void);

#endif
