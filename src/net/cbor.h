/* CBOR through libcbor: a bounded decoder, short accessors and a growing writer. */
#ifndef TMX_CBOR_H
#define TMX_CBOR_H
#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tmx_buf {
  uint8_t *p;
  size_t n, cap;
};
void tmx_buf_add(struct tmx_buf *b, const void *p, size_t n);
void tmx_buf_free(struct tmx_buf *b);

void tmx_w_map(struct tmx_buf *b, size_t n);
void tmx_w_list(struct tmx_buf *b, size_t n);
void tmx_w_str(struct tmx_buf *b, const char *s);
void tmx_w_u64(struct tmx_buf *b, uint64_t v);
void tmx_w_num(struct tmx_buf *b, double v);
void tmx_w_bool(struct tmx_buf *b, bool v);
void tmx_w_null(struct tmx_buf *b);
/* key and value in one call */
void tmx_w_kstr(struct tmx_buf *b, const char *k, const char *v);
void tmx_w_ku64(struct tmx_buf *b, const char *k, uint64_t v);
void tmx_w_knum(struct tmx_buf *b, const char *k, double v);
void tmx_w_kbool(struct tmx_buf *b, const char *k, bool v);

/* What the state service counts: the length as JSON, of encoded items one after the other and of a
 * text. Numbers are several times as long as in CBOR. Separators count as two characters. */
size_t tmx_json_len(const struct tmx_buf *b);
size_t tmx_json_text(const char *s, size_t n);

/* NULL for anything that is not exactly one well-formed, shallow item. */
cbor_item_t *tmx_cbor_parse(const uint8_t *p, size_t n);
void tmx_cbor_free(cbor_item_t *it);

const cbor_item_t *tmx_r_get(const cbor_item_t *map, const char *key); /* NULL: absent or null */
size_t tmx_r_len(const cbor_item_t *list);                             /* 0 if not a list */
const cbor_item_t *tmx_r_at(const cbor_item_t *list, size_t i);
bool tmx_r_str(const cbor_item_t *it, char *out, size_t cap); /* text that fits, else false */
bool tmx_r_u64(const cbor_item_t *it, uint64_t *out);
bool tmx_r_num(const cbor_item_t *it, double *out);
bool tmx_r_bool(const cbor_item_t *it, bool *out);
bool tmx_r_kstr(const cbor_item_t *m, const char *k, char *out, size_t cap);
bool tmx_r_ku64(const cbor_item_t *m, const char *k, uint64_t *out);
bool tmx_r_knum(const cbor_item_t *m, const char *k, double *out);
bool tmx_r_kbool(const cbor_item_t *m, const char *k, bool *out);
#endif
