/** @file
 *  Declarations shared by the source files of the fake store. */
#ifndef TMX_FAKE_STORE_INTERNAL_H
#define TMX_FAKE_STORE_INTERNAL_H
#include "fake_store.h"

#include "net/cbor.h"

/** Looks up a key.
 *  @return the entry, valid until the next change of the store; NULL: no such key */
struct fake_entry *fake_store_find(const char *key);
/** Writes a key at the current revision without completing watches. */
void fake_store_write(const char *key, const uint8_t *value, size_t length, uint64_t lease);
/** Deletes a key at the current revision without completing watches. */
void fake_store_remove(const char *key);
/** Completes the watches that have changes to report. */
void fake_store_serve_watches(void);
/** Appends a key, its value and its version in the form of read and watch responses.
 *  @param field the name of the field that holds the key
 *  @param value CBOR; NULL: the key was deleted */
void fake_store_encode_entry(struct tmx_buffer *buffer, const char *field, const char *stored_key,
                             const uint8_t *value, size_t length, uint64_t version);
/** Whether the operations of a transaction exceed the limits of the store. */
bool fake_store_is_oversized(const cbor_item_t *operations);

/** Grants or renews a lease and responds. */
void fake_store_answer_lease(struct tmx_http_request *request);
/** Whether the lease has expired. */
bool fake_store_lease_expired(uint64_t lease);

/** Runs a transaction and responds.
 *  @param request NULL: the transaction is a late one, whose response was already sent
 *  @return the status; 0: the transaction was stored to run later */
int fake_store_transact(struct fake_endpoint *endpoint, struct tmx_http_request *request,
                        const uint8_t *body, size_t length);

/** Runs a read and responds at once or after the endpoint's delay, or holds the request. */
void fake_store_answer_read(struct fake_endpoint *endpoint, struct tmx_http_request *request);
/** Sends the delayed read responses at once. */
void fake_store_answer_delayed_reads(void);

#endif
