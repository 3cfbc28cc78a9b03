#include "net/cbor.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tmx/constants.h"

void tmx_buffer_append(struct tmx_buffer *buffer, const void *p, size_t n) {
  if (buffer->length + n > buffer->capacity) {
    size_t cap = buffer->capacity ? buffer->capacity * 2 : 256;
    while (cap < buffer->length + n) cap *= 2;
    uint8_t *q = realloc(buffer->data, cap);
    if (!q) abort(); /* out of memory: end and be started again, nothing is half written */
    buffer->data = q;
    buffer->capacity = cap;
  }
  if (n) memcpy(buffer->data + buffer->length, p, n);
  buffer->length += n;
}

void tmx_buffer_free(struct tmx_buffer *buffer) {
  free(buffer->data);
  memset(buffer, 0, sizeof *buffer);
}

void tmx_cbor_put_map(struct tmx_buffer *buffer, size_t n) {
  uint8_t t[16];
  tmx_buffer_append(buffer, t, cbor_encode_map_start(n, t, sizeof t));
}
void tmx_cbor_put_list(struct tmx_buffer *buffer, size_t n) {
  uint8_t t[16];
  tmx_buffer_append(buffer, t, cbor_encode_array_start(n, t, sizeof t));
}
void tmx_cbor_put_text(struct tmx_buffer *buffer, const char *s) {
  uint8_t t[16];
  size_t n = strlen(s);
  tmx_buffer_append(buffer, t, cbor_encode_string_start(n, t, sizeof t));
  tmx_buffer_append(buffer, s, n);
}
void tmx_cbor_put_u64(struct tmx_buffer *buffer, uint64_t v) {
  uint8_t t[16];
  tmx_buffer_append(buffer, t, cbor_encode_uint(v, t, sizeof t));
}
void tmx_cbor_put_number(struct tmx_buffer *buffer, double v) {
  uint8_t t[16];
  tmx_buffer_append(buffer, t, cbor_encode_double(v, t, sizeof t));
}
void tmx_cbor_put_bool(struct tmx_buffer *buffer, bool v) {
  uint8_t t[16];
  tmx_buffer_append(buffer, t, cbor_encode_bool(v, t, sizeof t));
}
void tmx_cbor_put_null(struct tmx_buffer *buffer) {
  uint8_t t[16];
  tmx_buffer_append(buffer, t, cbor_encode_null(t, sizeof t));
}
void tmx_cbor_put_text_field(struct tmx_buffer *buffer, const char *k, const char *v) {
  tmx_cbor_put_text(buffer, k);
  tmx_cbor_put_text(buffer, v);
}
void tmx_cbor_put_u64_field(struct tmx_buffer *buffer, const char *k, uint64_t v) {
  tmx_cbor_put_text(buffer, k);
  tmx_cbor_put_u64(buffer, v);
}
void tmx_cbor_put_number_field(struct tmx_buffer *buffer, const char *k, double v) {
  tmx_cbor_put_text(buffer, k);
  tmx_cbor_put_number(buffer, v);
}
void tmx_cbor_put_bool_field(struct tmx_buffer *buffer, const char *k, bool v) {
  tmx_cbor_put_text(buffer, k);
  tmx_cbor_put_bool(buffer, v);
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

void tmx_cbor_free(cbor_item_t *item) {
  if (item) cbor_decref(&item);
}

const cbor_item_t *tmx_cbor_get(const cbor_item_t *map, const char *key) {
  if (!map || !cbor_isa_map(map)) return NULL;
  const struct cbor_pair *pr = cbor_map_handle(map);
  size_t n = cbor_map_size(map), kl = strlen(key);
  for (size_t i = 0; i < n; i++) {
    const cbor_item_t *k = pr[i].key;
    if (!cbor_isa_string(k) || !cbor_string_is_definite(k) || cbor_string_length(k) != kl) continue;
    if (memcmp(cbor_string_handle(k), key, kl)) continue;
    const cbor_item_t *value = pr[i].value;
    if (cbor_isa_float_ctrl(value) && cbor_float_ctrl_is_ctrl(value) && !cbor_is_bool(value))
      return NULL;
    return value;
  }
  return NULL;
}

size_t tmx_cbor_list_length(const cbor_item_t *list) {
  return list && cbor_isa_array(list) ? cbor_array_size(list) : 0;
}
const cbor_item_t *tmx_cbor_list_at(const cbor_item_t *list, size_t i) {
  return cbor_array_handle(list)[i];
}

bool tmx_cbor_as_text(const cbor_item_t *item, char *out, size_t cap) {
  if (!item || !cbor_isa_string(item) || !cbor_string_is_definite(item)) return false;
  size_t n = cbor_string_length(item);
  if (n >= cap || memchr(cbor_string_handle(item), 0, n)) return false;
  if (n) memcpy(out, cbor_string_handle(item), n);
  out[n] = 0;
  return true;
}
bool tmx_cbor_as_u64(const cbor_item_t *item, uint64_t *out) {
  if (!item || !cbor_isa_uint(item)) return false;
  *out = cbor_get_int(item);
  return true;
}
bool tmx_cbor_as_number(const cbor_item_t *item, double *out) {
  if (!item) return false;
  if (cbor_isa_uint(item)) {
    *out = (double)cbor_get_int(item);
  } else if (cbor_isa_negint(item)) {
    *out = -1.0 - (double)cbor_get_int(item);
  } else if (cbor_isa_float_ctrl(item) && !cbor_float_ctrl_is_ctrl(item)) {
    *out = cbor_float_get_float(item);
  } else {
    return false;
  }
  return isfinite(*out);
}
bool tmx_cbor_as_bool(const cbor_item_t *item, bool *out) {
  if (!item || !cbor_isa_float_ctrl(item) || !cbor_float_ctrl_is_ctrl(item) || !cbor_is_bool(item))
    return false;
  *out = cbor_get_bool(item);
  return true;
}
bool tmx_cbor_get_text(const cbor_item_t *map, const char *k, char *out, size_t cap) {
  return tmx_cbor_as_text(tmx_cbor_get(map, k), out, cap);
}
bool tmx_cbor_get_u64(const cbor_item_t *map, const char *k, uint64_t *out) {
  return tmx_cbor_as_u64(tmx_cbor_get(map, k), out);
}
bool tmx_cbor_get_number(const cbor_item_t *map, const char *k, double *out) {
  return tmx_cbor_as_number(tmx_cbor_get(map, k), out);
}
bool tmx_cbor_get_bool(const cbor_item_t *map, const char *k, bool *out) {
  return tmx_cbor_as_bool(tmx_cbor_get(map, k), out);
}

/* ------------------------------------------------------------ length as JSON */

size_t tmx_json_text_length(const char *s, size_t n) {
  size_t len = 2;
  for (size_t i = 0; i < n; i++) {
    unsigned char c = (unsigned char)s[i];
    len += c < 0x20 || c >= 0x7f ? 6 : c == '"' || c == '\\' ? 2 : 1;
  }
  return len;
}

static size_t item_len(const cbor_item_t *item) {
  char text[40];
  double num;
  uint64_t whole;
  size_t len = 2;
  if (cbor_isa_string(item))
    return tmx_json_text_length((const char *)cbor_string_handle(item), cbor_string_length(item));
  if (tmx_cbor_as_u64(item, &whole))
    return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)whole);
  if (tmx_cbor_as_number(item, &num)) return (size_t)snprintf(text, sizeof text, "%.17g", num);
  if (cbor_isa_array(item)) {
    for (size_t i = 0; i < cbor_array_size(item); i++)
      len += item_len(cbor_array_handle(item)[i]) + 2;
    return len;
  }
  if (cbor_isa_map(item)) {
    const struct cbor_pair *p = cbor_map_handle(item);
    for (size_t i = 0; i < cbor_map_size(item); i++)
      len += item_len(p[i].key) + item_len(p[i].value) + 4;
    return len;
  }
  return 5; /* false, the longest of the others */
}

size_t tmx_json_length(const struct tmx_buffer *buffer) {
  size_t len = 0;
  for (size_t at = 0; at < buffer->length;) {
    struct cbor_load_result res;
    cbor_item_t *item = cbor_load(buffer->data + at, buffer->length - at, &res);
    if (!item) return SIZE_MAX / 2; /* not ours: larger than any limit */
    len += item_len(item) + 2;
    at += res.read;
    cbor_decref(&item);
  }
  return len;
}
