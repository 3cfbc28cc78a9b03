/** @file
 * Decodes untrusted CBOR from the network. A message is one well-formed item of bounded depth. The
 * accessors accept NULL for a missing item, so that a chain of accessors needs a single check at
 * its end. */
#ifndef TMX_CBOR_READER_H
#define TMX_CBOR_READER_H
#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Decodes `length` bytes, which must be exactly one well-formed item with at most
 * TMX_CBOR_DEPTH_MAX nested levels. Byte strings, tags and strings of indefinite length are refused
 * because no message uses them.
 * @return the item, which the caller frees with tmx_cbor_free, or NULL if the bytes are refused
 */
cbor_item_t *tmx_cbor_parse(const uint8_t *bytes, size_t length);
/** Frees an item and the items that it contains. NULL is allowed. */
void tmx_cbor_free(cbor_item_t *item);

/** Returns the value of `key`, owned by the map. Returns NULL if the key is absent, if its value is
 *  null or undefined, or if `map` is NULL or not a map. */
const cbor_item_t *tmx_cbor_get(const cbor_item_t *map, const char *key);
/** Returns the number of items in `array`, or 0 if `array` is NULL or not an array. */
size_t tmx_cbor_array_length(const cbor_item_t *array);
/** Returns the item at `index`, owned by the array. `index` must be below the array's length. */
const cbor_item_t *tmx_cbor_array_at(const cbor_item_t *array, size_t index);

/** Copies a text string into `out` and adds a zero byte. Returns false if the item is not a text
 *  string, contains a zero byte, or has `capacity` bytes or more. */
bool tmx_cbor_as_text(const cbor_item_t *item, char *out, size_t capacity);
/** Reads an unsigned integer. Returns false if the item is anything else. */
bool tmx_cbor_as_u64(const cbor_item_t *item, uint64_t *out);
/** Reads an integer or a float. Returns false if the item is not a number or not finite; `*out` may
 *  have been written in that case. */
bool tmx_cbor_as_number(const cbor_item_t *item, double *out);
/** Reads a boolean. Returns false if the item is anything else. */
bool tmx_cbor_as_bool(const cbor_item_t *item, bool *out);

/** Like tmx_cbor_as_text for the value of `key` in `map`. Returns false if the key is absent. */
bool tmx_cbor_get_text(const cbor_item_t *map, const char *key, char *out, size_t capacity);
/** Like tmx_cbor_as_u64 for the value of `key` in `map`. Returns false if the key is absent. */
bool tmx_cbor_get_u64(const cbor_item_t *map, const char *key, uint64_t *out);
/** Like tmx_cbor_as_number for the value of `key` in `map`. Returns false if the key is absent. */
bool tmx_cbor_get_number(const cbor_item_t *map, const char *key, double *out);
/** Like tmx_cbor_as_bool for the value of `key` in `map`. Returns false if the key is absent. */
bool tmx_cbor_get_bool(const cbor_item_t *map, const char *key, bool *out);
#endif
