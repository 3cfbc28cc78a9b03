/** @file
 * The length of CBOR as JSON: the state service counts values and transactions that way. Numbers
 * are several times as long as in CBOR. The lengths are upper bounds, not exact: separators count
 * as two characters, and a character that may be escaped counts as escaped. */
#ifndef TMX_JSON_LENGTH_H
#define TMX_JSON_LENGTH_H
#include <stddef.h>

#include "net/buffer.h"

/** Characters of the encoded items that follow one another in `buffer`; a huge number, larger than
 *  any limit, if the buffer does not hold CBOR. */
size_t tmx_json_length(const struct tmx_buffer *buffer);
/** Characters of a text of `length` bytes, with its quotes. */
size_t tmx_json_text_length(const char *text, size_t length);
#endif
