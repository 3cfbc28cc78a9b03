#include "net/cbor_writer.h"

#include <cbor.h>
#include <string.h>

/* bytes; the longest head of an item has 9 */
enum { HEAD_MAX = 16 };

void tmx_cbor_put_map(struct tmx_buffer *buffer, size_t count) {
  uint8_t head[HEAD_MAX];
  tmx_buffer_append(buffer, head, cbor_encode_map_start(count, head, sizeof head));
}

void tmx_cbor_put_array(struct tmx_buffer *buffer, size_t count) {
  uint8_t head[HEAD_MAX];
  tmx_buffer_append(buffer, head, cbor_encode_array_start(count, head, sizeof head));
}

void tmx_cbor_put_text(struct tmx_buffer *buffer, const char *text) {
  uint8_t head[HEAD_MAX];
  size_t length = strlen(text);
  tmx_buffer_append(buffer, head, cbor_encode_string_start(length, head, sizeof head));
  tmx_buffer_append(buffer, text, length);
}

void tmx_cbor_put_u64(struct tmx_buffer *buffer, uint64_t value) {
  uint8_t head[HEAD_MAX];
  tmx_buffer_append(buffer, head, cbor_encode_uint(value, head, sizeof head));
}

void tmx_cbor_put_double(struct tmx_buffer *buffer, double value) {
  uint8_t head[HEAD_MAX];
  tmx_buffer_append(buffer, head, cbor_encode_double(value, head, sizeof head));
}

void tmx_cbor_put_bool(struct tmx_buffer *buffer, bool value) {
  uint8_t head[HEAD_MAX];
  tmx_buffer_append(buffer, head, cbor_encode_bool(value, head, sizeof head));
}

void tmx_cbor_put_null(struct tmx_buffer *buffer) {
  uint8_t head[HEAD_MAX];
  tmx_buffer_append(buffer, head, cbor_encode_null(head, sizeof head));
}

void tmx_cbor_put_text_field(struct tmx_buffer *buffer, const char *key, const char *value) {
  tmx_cbor_put_text(buffer, key);
  tmx_cbor_put_text(buffer, value);
}

void tmx_cbor_put_u64_field(struct tmx_buffer *buffer, const char *key, uint64_t value) {
  tmx_cbor_put_text(buffer, key);
  tmx_cbor_put_u64(buffer, value);
}

void tmx_cbor_put_double_field(struct tmx_buffer *buffer, const char *key, double value) {
  tmx_cbor_put_text(buffer, key);
  tmx_cbor_put_double(buffer, value);
}

void tmx_cbor_put_bool_field(struct tmx_buffer *buffer, const char *key, bool value) {
  tmx_cbor_put_text(buffer, key);
  tmx_cbor_put_bool(buffer, value);
}
