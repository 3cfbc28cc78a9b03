/** What the files of the scripted store share. */
#ifndef TMX_FAKE_STORE_INTERNAL_H
#define TMX_FAKE_STORE_INTERNAL_H
#include "fake_store.h"

#include "net/cbor.h"

/** @return the entry of a key, NULL: there is none */
struct fake_entry *fake_store_find(const char *key);
/** Writes a key at the current revision, without an answer to the watches. */
void fake_store_write(const char *key, const uint8_t *value, size_t length, uint64_t lease);
/** Drops a key at the current revision, without an answer to the watches. */
void fake_store_remove(const char *key);
/** Answers the watches that a change is due to. */
void fake_store_serve_watches(void);
/** Appends a key with its value and version, as reads and watches hold it.
 *  @param name the field that holds the key
 *  @param value NULL: the key was dropped */
void fake_store_encode_entry(struct tmx_buffer *buffer, const char *field, const char *stored_key,
                             const uint8_t *value, size_t length, uint64_t version);
/** Whether a transaction's operations pass the limits of the store. */
bool fake_store_is_oversized(const cbor_item_t *operations);

/** Answers a request for a lease, new or to be renewed. */
void fake_store_answer_lease(struct tmx_http_request *request);
/** Whether the lease has expired. */
bool fake_store_lease_expired(uint64_t lease);

/** Carries out a transaction.
 *  @param request answered; NULL: the transaction is late and nobody waits
 *  @return the status; 0: it was put off to be late */
int fake_store_transact(struct fake_endpoint *endpoint, struct tmx_http_request *request,
                        const uint8_t *body, size_t length);

/** Carries out a read and answers it, now or after the endpoint's delay. */
void fake_store_answer_read(struct fake_endpoint *endpoint, struct tmx_http_request *request);
/** Answers the reads that are delayed still. */
void fake_store_answer_delayed_reads(void);

#endif
