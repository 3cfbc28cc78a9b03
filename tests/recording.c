/* Text of recorded forms, and its comparison with the files. */
#include "recording.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { PORT_DIGITS = 5, DEPTH_MAX = 16 };
#define HOST "127.0.0.1:"
#define TIME_FROM 1.7e9 /* s of the epoch: the scripted clock begins there */
#define TIME_TO 1.7001e9

static void add(struct recording *r, const char *s, size_t n) {
  if (r->length + n + 1 > r->capacity) {
    r->capacity = (r->length + n + 1) * 2;
    r->text = realloc(r->text, r->capacity);
    assert_non_null(r->text);
  }
  memcpy(r->text + r->length, s, n);
  r->length += n;
  r->text[r->length] = 0;
}

static void add_format(struct recording *r, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static void add_format(struct recording *r, const char *format, ...) {
  char s[512];
  va_list args;
  va_start(args, format);
  int n = vsnprintf(s, sizeof s, format, args);
  va_end(args);
  assert_in_range(n, 0, sizeof s - 1);
  add(r, s, (size_t)n);
}

void record_line(struct recording *r, const char *format, ...) {
  char s[4096];
  va_list args;
  va_start(args, format);
  int n = vsnprintf(s, sizeof s, format, args);
  va_end(args);
  assert_in_range(n, 0, sizeof s - 1);
  add(r, s, (size_t)n);
  add(r, "\n", 1);
}

/* ------------------------------------------------------------ masks */

/* The digits of a port that begins at p; 0: there is none that the system chose. */
static size_t port_digits(const char *p, const char *end) {
  size_t n = 0;
  while (p + n < end && p[n] >= '0' && p[n] <= '9') n++;
  return n == PORT_DIGITS ? n : 0;
}

/* Adds text with its ports masked; masked, which may be NULL, tells of each byte whether it is. */
static void add_text(struct recording *r, const char *s, size_t n, bool *masked) {
  const char *end = s + n;
  for (const char *p = s; p < end;) {
    size_t host = strlen(HOST);
    if ((size_t)(end - p) > host && !memcmp(p, HOST, host) && port_digits(p + host, end)) {
      add(r, HOST "<port>", host + strlen("<port>"));
      if (masked) memset(masked + (p - s) + host, true, PORT_DIGITS);
      p += host + PORT_DIGITS;
    } else {
      add(r, p++, 1);
    }
  }
}

static void add_hex(struct recording *r, const uint8_t *p, const bool *masked, size_t n) {
  for (size_t i = 0; i < n; i++)
    if (masked && masked[i])
      add(r, "xx", 2);
    else
      add_format(r, "%02x", p[i]);
}

/* ------------------------------------------------------------ CBOR */

struct reader {
  struct recording *out;
  const uint8_t *p;
  bool *masked;
  size_t n, at;
  int depth;
};

static uint64_t read_argument(struct reader *c, unsigned info) {
  size_t width = info < 24 ? 0 : (size_t)1 << (info - 24);
  uint64_t v = info;
  assert_in_range(info, 0, 27);
  assert_true(width <= c->n - c->at);
  for (size_t i = 0; i < width; i++) v = (i ? v << 8 : 0) | c->p[c->at++];
  return v;
}

static void add_double(struct reader *c, uint64_t bits) {
  double v;
  memcpy(&v, &bits, sizeof v);
  if (v >= TIME_FROM && v < TIME_TO) {
    memset(c->masked + c->at - sizeof v, true, sizeof v);
    add_format(c->out, "<time of day>");
  } else {
    add_format(c->out, v == (double)(long long)v ? "%.1f" : "%.17g", v);
  }
}

static void add_simple(struct reader *c, unsigned info) {
  uint64_t v = read_argument(c, info);
  if (info == 27)
    add_double(c, v);
  else if (info == 25 || info == 26)
    add_format(c->out, "float%u(0x%llx)", info == 25 ? 16 : 32, (unsigned long long)v);
  else if (info >= 20 && info <= 22)
    add_format(c->out, "%s", info == 20 ? "false" : info == 21 ? "true" : "null");
  else
    add_format(c->out, "simple(%llu)", (unsigned long long)v);
}

static void add_item(struct reader *c);

static void add_items(struct reader *c, uint64_t n, bool map) {
  assert_true(++c->depth < DEPTH_MAX);
  add(c->out, map ? "{" : "[", 1);
  for (uint64_t i = 0; i < n; i++) {
    if (i) add(c->out, ", ", 2);
    add_item(c);
    if (!map) continue;
    add(c->out, ": ", 2);
    add_item(c);
  }
  add(c->out, map ? "}" : "]", 1);
  c->depth--;
}

static void add_string(struct reader *c, uint64_t n) {
  assert_true(n <= c->n - c->at);
  add(c->out, "\"", 1);
  add_text(c->out, (const char *)c->p + c->at, n, c->masked + c->at);
  add(c->out, "\"", 1);
  c->at += n;
}

static void add_item(struct reader *c) {
  assert_true(c->at < c->n);
  unsigned first = c->p[c->at++], major = first >> 5, info = first & 31;
  if (major == 7) {
    add_simple(c, info);
    return;
  }
  uint64_t v = read_argument(c, info);
  if (major == 0)
    add_format(c->out, "%llu", (unsigned long long)v);
  else if (major == 1)
    add_format(c->out, "-%llu", (unsigned long long)v + 1);
  else if (major == 3)
    add_string(c, v);
  else if (major == 4 || major == 5)
    add_items(c, v, major == 5);
  else
    fail_msg("CBOR of major type %u: nothing here is binary or tagged", major);
}

void record_cbor(struct recording *r, const char *mark, const uint8_t *p, size_t n) {
  struct reader c = {.out = r, .p = p, .n = n, .masked = calloc(n + 1, sizeof(bool))};
  assert_non_null(c.masked);
  add_format(r, "%s", mark);
  add_item(&c);
  assert_int_equal(c.at, n);
  add_format(r, "\n%s", mark);
  add_hex(r, p, c.masked, n);
  add(r, "\n", 1);
  free(c.masked);
}

void record_bytes(struct recording *r, const char *mark, const uint8_t *p, size_t n) {
  add_format(r, "%s", mark);
  add_hex(r, p, NULL, n);
  add(r, "\n", 1);
}

/* ------------------------------------------------------------ HTTP */

static void record_header(struct recording *r, const char *mark, const char *line, size_t n) {
  const char retry[] = "Retry-After: ";
  add_format(r, "%s", mark);
  if (r->retry_to && n > strlen(retry) && !memcmp(line, retry, strlen(retry))) {
    assert_in_range(atoi(line + strlen(retry)), r->retry_from, r->retry_to);
    add_format(r, "%s<%d to %d>", retry, r->retry_from, r->retry_to);
  } else {
    add_text(r, line, n, NULL);
  }
  add(r, "\n", 1);
}

void record_http(struct recording *r, const char *mark, const uint8_t *p, size_t n) {
  const char *at = (const char *)p, *body = memmem(p, n, "\r\n\r\n", 4);
  assert_non_null(body);
  while (at < body + 2) {
    const char *end = memmem(at, (size_t)(body + 4 - at), "\r\n", 2);
    record_header(r, mark, at, (size_t)(end - at));
    at = end + 2;
  }
  body += 4;
  size_t length = n - (size_t)(body - (const char *)p);
  if (length) record_cbor(r, mark, (const uint8_t *)body, length);
}

/* ------------------------------------------------------------ comparison */

static char *read_file(const char *path) {
  FILE *f = fopen(path, "r");
  char *text = NULL;
  size_t capacity = 0;
  if (!f) return strdup("");
  if (getdelim(&text, &capacity, 0, f) < 0) text[0] = 0;
  fclose(f);
  return text;
}

static const char *skip_comments(const char *text) {
  while (*text == '#') text += strcspn(text, "\n") + 1;
  return text;
}

static void keep_for_comparison(const struct recording *r, const char *file) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_OUTPUT "/%s", file);
  FILE *f = fopen(path, "w");
  if (!f) return;
  fputs(r->text, f);
  fclose(f);
  print_message("what was recorded is in %s\n", path);
}

static void say_first_difference(const char *expected, const char *got) {
  for (int line = 1;; line++) {
    size_t a = strcspn(expected, "\n"), b = strcspn(got, "\n");
    if (a != b || memcmp(expected, got, a)) {
      print_error("line %d (comments apart)\nexpected: %.*s\nrecorded: %.*s\n", line, (int)a,
                  expected, (int)b, got);
      return;
    }
    if (!expected[a] || !got[b]) return;
    expected += a + 1;
    got += b + 1;
  }
}

void recording_check(struct recording *r, const char *file) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_DATA "/wire-format/%s", file);
  char *text = read_file(path);
  const char *expected = skip_comments(text);
  bool same = !strcmp(expected, r->text);
  if (!same) {
    say_first_difference(expected, r->text);
    keep_for_comparison(r, file);
  }
  free(text);
  free(r->text);
  memset(r, 0, sizeof *r);
  if (!same) fail_msg("%s is not what was recorded", file);
}

/* ------------------------------------------------------------ JSON */

static void add_head(struct tmx_buffer *b, unsigned major, uint64_t v) {
  uint8_t head[9];
  int width = v < 24 ? 0 : v <= UINT8_MAX ? 1 : v <= UINT16_MAX ? 2 : v <= UINT32_MAX ? 4 : 8;
  int info = width == 0 ? (int)v : width == 1 ? 24 : width == 2 ? 25 : width == 4 ? 26 : 27;
  head[0] = (uint8_t)(major << 5 | (unsigned)info);
  for (int i = 0; i < width; i++) head[1 + i] = (uint8_t)(v >> 8 * (width - 1 - i));
  tmx_buffer_append(b, head, (size_t)width + 1);
}

static void add_json_text(struct tmx_buffer *b, const char *s) {
  add_head(b, 3, strlen(s));
  tmx_buffer_append(b, s, strlen(s));
}

static void add_json_number(struct tmx_buffer *b, double v) {
  uint64_t bits;
  uint8_t out[9] = {0xfb};
  memcpy(&bits, &v, sizeof bits);
  for (int i = 0; i < 8; i++) out[1 + i] = (uint8_t)(bits >> 8 * (7 - i));
  tmx_buffer_append(b, out, sizeof out);
}

static void add_json(struct tmx_buffer *b, json_t *j) {
  const char *key;
  json_t *value;
  size_t i;
  if (json_is_object(j)) {
    add_head(b, 5, json_object_size(j));
    json_object_foreach(j, key, value) {
      add_json_text(b, key);
      add_json(b, value);
    }
  } else if (json_is_array(j)) {
    add_head(b, 4, json_array_size(j));
    json_array_foreach(j, i, value) add_json(b, value);
  } else if (json_is_string(j)) {
    add_json_text(b, json_string_value(j));
  } else if (json_is_integer(j)) {
    add_head(b, 0, (uint64_t)json_integer_value(j));
  } else if (json_is_real(j)) {
    add_json_number(b, json_real_value(j));
  } else {
    add_head(b, 7, json_is_null(j) ? 22 : json_is_true(j) ? 21 : 20);
  }
}

void encode_json(struct tmx_buffer *b, const char *json) {
  json_error_t err;
  json_t *j = json_loads(json, 0, &err);
  if (!j) fail_msg("%s", err.text);
  add_json(b, j);
  json_decref(j);
}
