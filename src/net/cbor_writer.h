/** @file
 * Appends CBOR to a buffer. The head of a map or array states the number of its members, which the
 * caller appends next; nothing checks that the number is right. */
#ifndef TMX_CBOR_WRITER_H
#define TMX_CBOR_WRITER_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"

/** Appends the head of a map. The caller must then append `count` pairs of a key and its value. */
void tmx_cbor_put_map(struct tmx_buffer *buffer, size_t count);
/** Appends the head of an array. The caller must then append `count` items. */
void tmx_cbor_put_array(struct tmx_buffer *buffer, size_t count);
/** Appends a text string. `text` is zero-terminated; the terminator is not written. */
void tmx_cbor_put_text(struct tmx_buffer *buffer, const char *text);
/** Appends an unsigned integer in its shortest encoding. */
void tmx_cbor_put_u64(struct tmx_buffer *buffer, uint64_t value);
/** Appends a double-precision float of 8 bytes, also for integral values. */
void tmx_cbor_put_double(struct tmx_buffer *buffer, double value);
/** Appends true or false. */
void tmx_cbor_put_bool(struct tmx_buffer *buffer, bool value);
/** Appends null. */
void tmx_cbor_put_null(struct tmx_buffer *buffer);

/** Appends a map key and its value, a text string. */
void tmx_cbor_put_text_field(struct tmx_buffer *buffer, const char *key, const char *value);
/** Appends a map key and its value, an unsigned integer. */
void tmx_cbor_put_u64_field(struct tmx_buffer *buffer, const char *key, uint64_t value);
/** Appends a map key and its value, a double-precision float of 8 bytes. */
void tmx_cbor_put_double_field(struct tmx_buffer *buffer, const char *key, double value);
/** Appends a map key and its value, true or false. */
void tmx_cbor_put_bool_field(struct tmx_buffer *buffer, const char *key, bool value);
#endif
