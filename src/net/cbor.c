#include "net/cbor.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tmx/constants.h"

void tmx_buf_add(struct tmx_buf *b, const void *p, size_t n) {
  if (b->n + n > b->cap) {
    size_t cap = b->cap ? b->cap * 2 : 256;
    while (cap < b->n + n) cap *= 2;
    uint8_t *q = realloc(b->p, cap);
    if (!q) abort(); /* out of memory: end and be started again, nothing is half written */
    b->p = q;
    b->cap = cap;
  }
  if (n) memcpy(b->p + b->n, p, n);
  b->n += n;
}

void tmx_buf_free(struct tmx_buf *b) {
  free(b->p);
  memset(b, 0, sizeof *b);
}

void tmx_w_map(struct tmx_buf *b, size_t n) {
  uint8_t t[16];
  tmx_buf_add(b, t, cbor_encode_map_start(n, t, sizeof t));
}
void tmx_w_list(struct tmx_buf *b, size_t n) {
  uint8_t t[16];
  tmx_buf_add(b, t, cbor_encode_array_start(n, t, sizeof t));
}
void tmx_w_str(struct tmx_buf *b, const char *s) {
  uint8_t t[16];
  size_t n = strlen(s);
  tmx_buf_add(b, t, cbor_encode_string_start(n, t, sizeof t));
  tmx_buf_add(b, s, n);
}
void tmx_w_u64(struct tmx_buf *b, uint64_t v) {
  uint8_t t[16];
  tmx_buf_add(b, t, cbor_encode_uint(v, t, sizeof t));
}
void tmx_w_num(struct tmx_buf *b, double v) {
  uint8_t t[16];
  tmx_buf_add(b, t, cbor_encode_double(v, t, sizeof t));
}
void tmx_w_bool(struct tmx_buf *b, bool v) {
  uint8_t t[16];
  tmx_buf_add(b, t, cbor_encode_bool(v, t, sizeof t));
}
void tmx_w_null(struct tmx_buf *b) {
  uint8_t t[16];
  tmx_buf_add(b, t, cbor_encode_null(t, sizeof t));
}
void tmx_w_kstr(struct tmx_buf *b, const char *k, const char *v) {
  tmx_w_str(b, k);
  tmx_w_str(b, v);
}
void tmx_w_ku64(struct tmx_buf *b, const char *k, uint64_t v) {
  tmx_w_str(b, k);
  tmx_w_u64(b, v);
}
void tmx_w_knum(struct tmx_buf *b, const char *k, double v) {
  tmx_w_str(b, k);
  tmx_w_num(b, v);
}
void tmx_w_kbool(struct tmx_buf *b, const char *k, bool v) {
  tmx_w_str(b, k);
  tmx_w_bool(b, v);
}

/* A first pass over the tokens guards the tree builder against two attacks: lists that claim
 * more members than there are bytes (a huge allocation), and nesting (a deep stack). */
struct scan {
  int depth;
  bool bad;
  size_t left;                   /* bytes behind the token at hand */
  uint64_t todo[TMX_CBOR_DEPTH]; /* items missing at each level; UINT64_MAX: indefinite */
};

static void item_done(struct scan *s) {
  while (s->depth > 0 && s->todo[s->depth - 1] != UINT64_MAX) {
    if (--s->todo[s->depth - 1] > 0) return;
    s->depth--;
  }
}
static void open_level(struct scan *s, uint64_t n) {
  if (s->depth >= TMX_CBOR_DEPTH || (n != UINT64_MAX && n > s->left)) {
    s->bad = true;
    return;
  }
  if (n == 0) {
    item_done(s);
    return;
  }
  s->todo[s->depth++] = n;
}
static void on_u8(void *c, uint8_t v) {
  (void)v;
  item_done(c);
}
static void on_u16(void *c, uint16_t v) {
  (void)v;
  item_done(c);
}
static void on_u32(void *c, uint32_t v) {
  (void)v;
  item_done(c);
}
static void on_u64(void *c, uint64_t v) {
  (void)v;
  item_done(c);
}
static void on_f(void *c, float v) {
  (void)v;
  item_done(c);
}
static void on_d(void *c, double v) {
  (void)v;
  item_done(c);
}
static void on_nil(void *c) { item_done(c); }
static void on_b(void *c, bool v) {
  (void)v;
  item_done(c);
}
static void on_s(void *c, cbor_data d, size_t n) {
  (void)d;
  (void)n;
  item_done(c);
}
static void on_arr(void *c, size_t n) { open_level(c, n); }
static void on_map(void *c, size_t n) { open_level(c, n > SIZE_MAX / 4 ? SIZE_MAX / 2 : n * 2); }
static void on_open(void *c) { open_level(c, UINT64_MAX); }
static void on_never(void *c) { ((struct scan *)c)->bad = true; }
static void on_never_b(void *c, cbor_data d, size_t n) {
  (void)d;
  (void)n;
  on_never(c);
}
static void on_never_t(void *c, uint64_t t) {
  (void)t;
  on_never(c);
}
static void on_break(void *c) {
  struct scan *s = c;
  if (s->depth == 0 || s->todo[s->depth - 1] != UINT64_MAX) {
    s->bad = true;
    return;
  }
  s->depth--;
  item_done(s);
}

static bool scan_ok(const uint8_t *p, size_t n) {
  static const struct cbor_callbacks cb = {.uint8 = on_u8,
                                           .uint16 = on_u16,
                                           .uint32 = on_u32,
                                           .uint64 = on_u64,
                                           .negint8 = on_u8,
                                           .negint16 = on_u16,
                                           .negint32 = on_u32,
                                           .negint64 = on_u64,
                                           .byte_string = on_never_b,
                                           .byte_string_start = on_never,
                                           .string = on_s,
                                           .string_start = on_never,
                                           .array_start = on_arr,
                                           .indef_array_start = on_open,
                                           .map_start = on_map,
                                           .indef_map_start = on_open,
                                           .tag = on_never_t,
                                           .float2 = on_f,
                                           .float4 = on_f,
                                           .float8 = on_d,
                                           .null = on_nil,
                                           .undefined = on_nil,
                                           .boolean = on_b,
                                           .indef_break = on_break};
  struct scan s = {.depth = 0};
  size_t at = 0;
  do {
    if (at >= n) return false;
    /* the callback for a token needs the room behind it; its head has at least one byte */
    s.left = n - at;
    struct cbor_decoder_result r = cbor_stream_decode(p + at, n - at, &cb, &s);
    if (r.status != CBOR_DECODER_FINISHED || s.bad) return false;
    at += r.read;
  } while (s.depth > 0);
  return at == n;
}

cbor_item_t *tmx_cbor_parse(const uint8_t *p, size_t n) {
  if (!p || !n || !scan_ok(p, n)) return NULL;
  struct cbor_load_result r;
  return cbor_load(p, n, &r);
}

void tmx_cbor_free(cbor_item_t *it) {
  if (it) cbor_decref(&it);
}

const cbor_item_t *tmx_r_get(const cbor_item_t *map, const char *key) {
  if (!map || !cbor_isa_map(map)) return NULL;
  const struct cbor_pair *pr = cbor_map_handle(map);
  size_t n = cbor_map_size(map), kl = strlen(key);
  for (size_t i = 0; i < n; i++) {
    const cbor_item_t *k = pr[i].key;
    if (!cbor_isa_string(k) || !cbor_string_is_definite(k) || cbor_string_length(k) != kl) continue;
    if (memcmp(cbor_string_handle(k), key, kl)) continue;
    const cbor_item_t *v = pr[i].value;
    if (cbor_isa_float_ctrl(v) && cbor_float_ctrl_is_ctrl(v) && !cbor_is_bool(v)) return NULL;
    return v;
  }
  return NULL;
}

size_t tmx_r_len(const cbor_item_t *l) { return l && cbor_isa_array(l) ? cbor_array_size(l) : 0; }
const cbor_item_t *tmx_r_at(const cbor_item_t *l, size_t i) { return cbor_array_handle(l)[i]; }

bool tmx_r_str(const cbor_item_t *it, char *out, size_t cap) {
  if (!it || !cbor_isa_string(it) || !cbor_string_is_definite(it)) return false;
  size_t n = cbor_string_length(it);
  if (n >= cap || memchr(cbor_string_handle(it), 0, n)) return false;
  if (n) memcpy(out, cbor_string_handle(it), n);
  out[n] = 0;
  return true;
}
bool tmx_r_u64(const cbor_item_t *it, uint64_t *out) {
  if (!it || !cbor_isa_uint(it)) return false;
  *out = cbor_get_int(it);
  return true;
}
bool tmx_r_num(const cbor_item_t *it, double *out) {
  if (!it) return false;
  if (cbor_isa_uint(it)) {
    *out = (double)cbor_get_int(it);
  } else if (cbor_isa_negint(it)) {
    *out = -1.0 - (double)cbor_get_int(it);
  } else if (cbor_isa_float_ctrl(it) && !cbor_float_ctrl_is_ctrl(it)) {
    *out = cbor_float_get_float(it);
  } else {
    return false;
  }
  return isfinite(*out);
}
bool tmx_r_bool(const cbor_item_t *it, bool *out) {
  if (!it || !cbor_isa_float_ctrl(it) || !cbor_float_ctrl_is_ctrl(it) || !cbor_is_bool(it))
    return false;
  *out = cbor_get_bool(it);
  return true;
}
bool tmx_r_kstr(const cbor_item_t *m, const char *k, char *out, size_t cap) {
  return tmx_r_str(tmx_r_get(m, k), out, cap);
}
bool tmx_r_ku64(const cbor_item_t *m, const char *k, uint64_t *out) {
  return tmx_r_u64(tmx_r_get(m, k), out);
}
bool tmx_r_knum(const cbor_item_t *m, const char *k, double *out) {
  return tmx_r_num(tmx_r_get(m, k), out);
}
bool tmx_r_kbool(const cbor_item_t *m, const char *k, bool *out) {
  return tmx_r_bool(tmx_r_get(m, k), out);
}

/* ------------------------------------------------------------ length as JSON */

size_t tmx_json_text(const char *s, size_t n) {
  size_t len = 2;
  for (size_t i = 0; i < n; i++) {
    unsigned char c = (unsigned char)s[i];
    len += c < 0x20 || c >= 0x7f ? 6 : c == '"' || c == '\\' ? 2 : 1;
  }
  return len;
}

static size_t item_len(const cbor_item_t *it) {
  char text[40];
  double num;
  uint64_t whole;
  size_t len = 2;
  if (cbor_isa_string(it))
    return tmx_json_text((const char *)cbor_string_handle(it), cbor_string_length(it));
  if (tmx_r_u64(it, &whole))
    return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)whole);
  if (tmx_r_num(it, &num)) return (size_t)snprintf(text, sizeof text, "%.17g", num);
  if (cbor_isa_array(it)) {
    for (size_t i = 0; i < cbor_array_size(it); i++) len += item_len(cbor_array_handle(it)[i]) + 2;
    return len;
  }
  if (cbor_isa_map(it)) {
    const struct cbor_pair *p = cbor_map_handle(it);
    for (size_t i = 0; i < cbor_map_size(it); i++)
      len += item_len(p[i].key) + item_len(p[i].value) + 4;
    return len;
  }
  return 5; /* false, the longest of the others */
}

size_t tmx_json_len(const struct tmx_buf *b) {
  size_t len = 0;
  for (size_t at = 0; at < b->n;) {
    struct cbor_load_result res;
    cbor_item_t *it = cbor_load(b->p + at, b->n - at, &res);
    if (!it) return SIZE_MAX / 2; /* not ours: larger than any limit */
    len += item_len(it) + 2;
    at += res.read;
    cbor_decref(&it);
  }
  return len;
}
