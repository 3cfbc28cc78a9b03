/** @file
 * Validates the tokens of a CBOR message before libcbor builds a tree. Internal to src/net. */
#ifndef TMX_CBOR_CHECK_INTERNAL_H
#define TMX_CBOR_CHECK_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Checks that the bytes are exactly one well-formed item from which libcbor can safely build a
 * tree. The check protects against two attacks: an array or map that announces more items than the
 * message has bytes left would cause a huge allocation, and deep nesting would exhaust the stack.
 * Byte strings, tags and strings of indefinite length are refused too.
 * @return true if the item is safe to decode
 */
bool tmx_cbor_is_safe(const uint8_t *bytes, size_t length);
#endif
