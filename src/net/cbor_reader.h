/** @file
 * Reads CBOR that comes from the network: one well-formed item of bounded depth. The accessors take
 * NULL for an item that is not there, so that a chain of them needs one check at its end. */
#ifndef TMX_CBOR_READER_H
#define TMX_CBOR_READER_H
#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Decodes `length` bytes.
 * @return the item, which the caller frees with tmx_cbor_free, or NULL for anything that is not
 *         exactly one well-formed item of at most TMX_CBOR_DEPTH_MAX levels. Byte strings, tags and
 *         strings in parts are refused too: no message uses them.
 */
cbor_item_t *tmx_cbor_parse(const uint8_t *bytes, size_t length);
/** Frees an item and what it contains; NULL is allowed. */
void tmx_cbor_free(cbor_item_t *item);

/** The value of `key`, owned by the map; NULL if it is absent or null, or `map` is no map. */
const cbor_item_t *tmx_cbor_get(const cbor_item_t *map, const char *key);
/** 0 if `list` is no list. */
size_t tmx_cbor_list_length(const cbor_item_t *list);
/** The item at `index`, owned by the list; `index` must be below the length. */
const cbor_item_t *tmx_cbor_list_at(const cbor_item_t *list, size_t index);

/** Copies a text. false: not a text, or one with a zero byte or of `capacity` bytes or more. */
bool tmx_cbor_as_text(const cbor_item_t *item, char *out, size_t capacity);
/** false: not a whole number of 0 or more. */
bool tmx_cbor_as_u64(const cbor_item_t *item, uint64_t *out);
/** false: not a number, or not a finite one; `*out` may have been written then. */
bool tmx_cbor_as_number(const cbor_item_t *item, double *out);
/** false: neither true nor false. */
bool tmx_cbor_as_bool(const cbor_item_t *item, bool *out);

/** Reads the value of `key` in `map` as tmx_cbor_as_text does; false also if it is absent. */
bool tmx_cbor_get_text(const cbor_item_t *map, const char *key, char *out, size_t capacity);
/** Reads the value of `key` in `map` as tmx_cbor_as_u64 does; false also if it is absent. */
bool tmx_cbor_get_u64(const cbor_item_t *map, const char *key, uint64_t *out);
/** Reads the value of `key` in `map` as tmx_cbor_as_number does; false also if it is absent. */
bool tmx_cbor_get_number(const cbor_item_t *map, const char *key, double *out);
/** Reads the value of `key` in `map` as tmx_cbor_as_bool does; false also if it is absent. */
bool tmx_cbor_get_bool(const cbor_item_t *map, const char *key, bool *out);
#endif
