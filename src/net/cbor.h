/* CBOR through libcbor: a bounded decoder, short accessors and a growing writer. */
#ifndef TMX_CBOR_H
#define TMX_CBOR_H
#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tmx_buffer {
  uint8_t *data;
  size_t length, capacity;
};
void tmx_buffer_append(struct tmx_buffer *buffer, const void *p, size_t n);
void tmx_buffer_free(struct tmx_buffer *buffer);

void tmx_cbor_put_map(struct tmx_buffer *buffer, size_t n);
void tmx_cbor_put_list(struct tmx_buffer *buffer, size_t n);
void tmx_cbor_put_text(struct tmx_buffer *buffer, const char *s);
void tmx_cbor_put_u64(struct tmx_buffer *buffer, uint64_t v);
void tmx_cbor_put_number(struct tmx_buffer *buffer, double v);
void tmx_cbor_put_bool(struct tmx_buffer *buffer, bool v);
void tmx_cbor_put_null(struct tmx_buffer *buffer);
/* key and value in one call */
void tmx_cbor_put_text_field(struct tmx_buffer *buffer, const char *k, const char *v);
void tmx_cbor_put_u64_field(struct tmx_buffer *buffer, const char *k, uint64_t v);
void tmx_cbor_put_number_field(struct tmx_buffer *buffer, const char *k, double v);
void tmx_cbor_put_bool_field(struct tmx_buffer *buffer, const char *k, bool v);

/* What the state service counts: the length as JSON, of encoded items one after the other and of a
 * text. Numbers are several times as long as in CBOR. Separators count as two characters. */
size_t tmx_json_length(const struct tmx_buffer *buffer);
size_t tmx_json_text_length(const char *s, size_t n);

/* NULL for anything that is not exactly one well-formed, shallow item. */
cbor_item_t *tmx_cbor_parse(const uint8_t *p, size_t n);
void tmx_cbor_free(cbor_item_t *item);

const cbor_item_t *tmx_cbor_get(const cbor_item_t *map, const char *key); /* NULL: absent or null */
size_t tmx_cbor_list_length(const cbor_item_t *list);                     /* 0 if not a list */
const cbor_item_t *tmx_cbor_list_at(const cbor_item_t *list, size_t i);
bool tmx_cbor_as_text(const cbor_item_t *item, char *out,
                      size_t cap); /* text that fits, else false */
bool tmx_cbor_as_u64(const cbor_item_t *item, uint64_t *out);
bool tmx_cbor_as_number(const cbor_item_t *item, double *out);
bool tmx_cbor_as_bool(const cbor_item_t *item, bool *out);
bool tmx_cbor_get_text(const cbor_item_t *map, const char *k, char *out, size_t cap);
bool tmx_cbor_get_u64(const cbor_item_t *map, const char *k, uint64_t *out);
bool tmx_cbor_get_number(const cbor_item_t *map, const char *k, double *out);
bool tmx_cbor_get_bool(const cbor_item_t *map, const char *k, bool *out);
#endif
