/** @file
 * Computes the length of CBOR data as JSON, because the limits of the state service on values and
 * transactions apply to their JSON form. Numbers are several times as long there as in CBOR. The
 * lengths are upper bounds: each separator counts as two bytes, and each character that JSON may
 * escape counts as escaped. */
#ifndef TMX_JSON_LENGTH_H
#define TMX_JSON_LENGTH_H
#include <stddef.h>

#include "net/buffer.h"

/** Returns an upper bound in bytes for the JSON form of the CBOR items in `buffer`, which follow
 * one another. Returns a number that exceeds every limit if the buffer does not hold valid CBOR. */
size_t tmx_json_length(const struct tmx_buffer *buffer);
/** Returns an upper bound in bytes for the JSON string of a text of `length` bytes, with quotes. */
size_t tmx_json_text_length(const char *text, size_t length);
#endif
