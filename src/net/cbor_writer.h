/** @file
 * Writes CBOR at the end of a buffer. A map or list is written by its length first and its members
 * after it; the caller answers for the count. */
#ifndef TMX_CBOR_WRITER_H
#define TMX_CBOR_WRITER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"

/** The head of a map; `count` keys, each with its value, must follow. */
void tmx_cbor_put_map(struct tmx_buffer *buffer, size_t count);
/** The head of a list; `count` items must follow. */
void tmx_cbor_put_list(struct tmx_buffer *buffer, size_t count);
/** Appends a text string; `text` ends with a zero byte, which is not written. */
void tmx_cbor_put_text(struct tmx_buffer *buffer, const char *text);
/** Appends an unsigned integer in its shortest encoding. */
void tmx_cbor_put_u64(struct tmx_buffer *buffer, uint64_t value);
/** Always a double of eight bytes, also for whole numbers. */
void tmx_cbor_put_number(struct tmx_buffer *buffer, double value);
/** Appends true or false. */
void tmx_cbor_put_bool(struct tmx_buffer *buffer, bool value);
/** Appends null. */
void tmx_cbor_put_null(struct tmx_buffer *buffer);

/** Appends a key of a map and its value, a text string. */
void tmx_cbor_put_text_field(struct tmx_buffer *buffer, const char *key, const char *value);
/** Appends a key of a map and its value, an unsigned integer. */
void tmx_cbor_put_u64_field(struct tmx_buffer *buffer, const char *key, uint64_t value);
/** Appends a key of a map and its value, a double of eight bytes. */
void tmx_cbor_put_number_field(struct tmx_buffer *buffer, const char *key, double value);
/** Appends a key of a map and its value, true or false. */
void tmx_cbor_put_bool_field(struct tmx_buffer *buffer, const char *key, bool value);
#endif
