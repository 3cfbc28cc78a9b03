/** @file
 * A first pass over the tokens of a CBOR message, before libcbor builds a tree. Internal to
 * src/net. */
#ifndef TMX_CBOR_CHECK_INTERNAL_H
#define TMX_CBOR_CHECK_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether the bytes are exactly one well-formed item that is safe to build. The check guards the
 * tree builder against two attacks: lists that claim more members than there are bytes (a huge
 * allocation), and nesting (a deep stack).
 */
bool tmx_cbor_is_safe(const uint8_t *bytes, size_t length);
#endif
