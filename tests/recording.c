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

static void add(struct recording *recording, const char *text, size_t length) {
  if (recording->length + length + 1 > recording->capacity) {
    recording->capacity = (recording->length + length + 1) * 2;
    recording->text = realloc(recording->text, recording->capacity);
    assert_non_null(recording->text);
  }
  memcpy(recording->text + recording->length, text, length);
  recording->length += length;
  recording->text[recording->length] = 0;
}

static void add_format(struct recording *recording, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static void add_format(struct recording *recording, const char *format, ...) {
  char text[512];
  va_list args;
  va_start(args, format);
  int length = vsnprintf(text, sizeof text, format, args);
  va_end(args);
  assert_in_range(length, 0, sizeof text - 1);
  add(recording, text, (size_t)length);
}

void record_line(struct recording *recording, const char *format, ...) {
  char text[4096];
  va_list args;
  va_start(args, format);
  int length = vsnprintf(text, sizeof text, format, args);
  va_end(args);
  assert_in_range(length, 0, sizeof text - 1);
  add(recording, text, (size_t)length);
  add(recording, "\n", 1);
}

/* ------------------------------------------------------------ masks */

/* The digits of a port that begins at p; 0: there is none that the system chose. */
static size_t port_digits(const char *text, const char *end) {
  size_t digits = 0;
  while (text + digits < end && text[digits] >= '0' && text[digits] <= '9') digits++;
  return digits == PORT_DIGITS ? digits : 0;
}

/* Adds text with its ports masked; masked, which may be NULL, tells of each byte whether it is. */
static void add_text(struct recording *recording, const char *text, size_t length, bool *masked) {
  const char *end = text + length;
  for (const char *at = text; at < end;) {
    size_t host = strlen(HOST);
    if ((size_t)(end - at) > host && !memcmp(at, HOST, host) && port_digits(at + host, end)) {
      add(recording, HOST "<port>", host + strlen("<port>"));
      if (masked) memset(masked + (at - text) + host, true, PORT_DIGITS);
      at += host + PORT_DIGITS;
    } else {
      add(recording, at++, 1);
    }
  }
}

static void add_hex(struct recording *recording, const uint8_t *bytes, const bool *masked,
                    size_t length) {
  for (size_t i = 0; i < length; i++)
    if (masked && masked[i])
      add(recording, "xx", 2);
    else
      add_format(recording, "%02x", bytes[i]);
}

/* ------------------------------------------------------------ CBOR */

struct reader {
  struct recording *out;
  const uint8_t *bytes;
  bool *masked;
  size_t length, position;
  int depth;
};

static uint64_t read_argument(struct reader *reader, unsigned info) {
  size_t width = info < 24 ? 0 : (size_t)1 << (info - 24);
  uint64_t value = info;
  assert_in_range(info, 0, 27);
  assert_true(width <= reader->length - reader->position);
  for (size_t i = 0; i < width; i++)
    value = (i ? value << 8 : 0) | reader->bytes[reader->position++];
  return value;
}

static void add_double(struct reader *reader, uint64_t bits) {
  double value;
  memcpy(&value, &bits, sizeof value);
  if (value >= TIME_FROM && value < TIME_TO) {
    memset(reader->masked + reader->position - sizeof value, true, sizeof value);
    add_format(reader->out, "<time of day>");
  } else {
    add_format(reader->out, value == (double)(long long)value ? "%.1f" : "%.17g", value);
  }
}

static void add_simple(struct reader *reader, unsigned info) {
  uint64_t value = read_argument(reader, info);
  if (info == 27)
    add_double(reader, value);
  else if (info == 25 || info == 26)
    add_format(reader->out, "float%u(0x%llx)", info == 25 ? 16 : 32, (unsigned long long)value);
  else if (info >= 20 && info <= 22)
    add_format(reader->out, "%s", info == 20 ? "false" : info == 21 ? "true" : "null");
  else
    add_format(reader->out, "simple(%llu)", (unsigned long long)value);
}

static void add_item(struct reader *reader);

static void add_items(struct reader *reader, uint64_t count, bool map) {
  assert_true(++reader->depth < DEPTH_MAX);
  add(reader->out, map ? "{" : "[", 1);
  for (uint64_t i = 0; i < count; i++) {
    if (i) add(reader->out, ", ", 2);
    add_item(reader);
    if (!map) continue;
    add(reader->out, ": ", 2);
    add_item(reader);
  }
  add(reader->out, map ? "}" : "]", 1);
  reader->depth--;
}

static void add_string(struct reader *reader, uint64_t length) {
  assert_true(length <= reader->length - reader->position);
  add(reader->out, "\"", 1);
  add_text(reader->out, (const char *)reader->bytes + reader->position, length,
           reader->masked + reader->position);
  add(reader->out, "\"", 1);
  reader->position += length;
}

static void add_item(struct reader *reader) {
  assert_true(reader->position < reader->length);
  unsigned first = reader->bytes[reader->position++], major = first >> 5, info = first & 31;
  if (major == 7) {
    add_simple(reader, info);
    return;
  }
  uint64_t argument = read_argument(reader, info);
  if (major == 0)
    add_format(reader->out, "%llu", (unsigned long long)argument);
  else if (major == 1)
    add_format(reader->out, "-%llu", (unsigned long long)argument + 1);
  else if (major == 3)
    add_string(reader, argument);
  else if (major == 4 || major == 5)
    add_items(reader, argument, major == 5);
  else
    fail_msg("CBOR of major type %u: nothing here is binary or tagged", major);
}

void record_cbor(struct recording *recording, const char *mark, const uint8_t *bytes,
                 size_t length) {
  struct reader reader = {.out = recording,
                          .bytes = bytes,
                          .length = length,
                          .masked = calloc(length + 1, sizeof(bool))};
  assert_non_null(reader.masked);
  add_format(recording, "%s", mark);
  add_item(&reader);
  assert_int_equal(reader.position, length);
  add_format(recording, "\n%s", mark);
  add_hex(recording, bytes, reader.masked, length);
  add(recording, "\n", 1);
  free(reader.masked);
}

void record_bytes(struct recording *recording, const char *mark, const uint8_t *bytes,
                  size_t length) {
  add_format(recording, "%s", mark);
  add_hex(recording, bytes, NULL, length);
  add(recording, "\n", 1);
}

/* ------------------------------------------------------------ HTTP */

static void record_header(struct recording *recording, const char *mark, const char *line,
                          size_t length) {
  const char retry[] = "Retry-After: ";
  add_format(recording, "%s", mark);
  if (recording->retry_to && length > strlen(retry) && !memcmp(line, retry, strlen(retry))) {
    assert_in_range(atoi(line + strlen(retry)), recording->retry_from, recording->retry_to);
    add_format(recording, "%s<%d to %d>", retry, recording->retry_from, recording->retry_to);
  } else {
    add_text(recording, line, length, NULL);
  }
  add(recording, "\n", 1);
}

void record_http(struct recording *recording, const char *mark, const uint8_t *bytes, size_t size) {
  const char *line = (const char *)bytes, *body = memmem(bytes, size, "\r\n\r\n", 4);
  assert_non_null(body);
  while (line < body + 2) {
    const char *end = memmem(line, (size_t)(body + 4 - line), "\r\n", 2);
    record_header(recording, mark, line, (size_t)(end - line));
    line = end + 2;
  }
  body += 4;
  size_t length = size - (size_t)(body - (const char *)bytes);
  if (length) record_cbor(recording, mark, (const uint8_t *)body, length);
}

/* ------------------------------------------------------------ comparison */

static char *read_file(const char *path) {
  FILE *file = fopen(path, "r");
  char *text = NULL;
  size_t capacity = 0;
  if (!file) return strdup("");
  if (getdelim(&text, &capacity, 0, file) < 0) text[0] = 0;
  fclose(file);
  return text;
}

static const char *skip_comments(const char *text) {
  while (*text == '#') text += strcspn(text, "\n") + 1;
  return text;
}

static void keep_for_comparison(const struct recording *recording, const char *name) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_OUTPUT "/%s", name);
  FILE *file = fopen(path, "w");
  if (!file) return;
  fputs(recording->text, file);
  fclose(file);
  print_message("what was recorded is in %s\n", path);
}

static void say_first_difference(const char *expected, const char *got) {
  for (int line = 1;; line++) {
    size_t expected_length = strcspn(expected, "\n"), got_length = strcspn(got, "\n");
    if (expected_length != got_length || memcmp(expected, got, expected_length)) {
      print_error("line %d (comments apart)\nexpected: %.*s\nrecorded: %.*s\n", line,
                  (int)expected_length, expected, (int)got_length, got);
      return;
    }
    if (!expected[expected_length] || !got[got_length]) return;
    expected += expected_length + 1;
    got += got_length + 1;
  }
}

void recording_check(struct recording *recording, const char *file) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_DATA "/wire-format/%s", file);
  char *text = read_file(path);
  const char *expected = skip_comments(text);
  bool same = !strcmp(expected, recording->text);
  if (!same) {
    say_first_difference(expected, recording->text);
    keep_for_comparison(recording, file);
  }
  free(text);
  free(recording->text);
  memset(recording, 0, sizeof *recording);
  if (!same) fail_msg("%s is not what was recorded", file);
}

/* ------------------------------------------------------------ JSON */

static void add_head(struct tmx_buffer *buffer, unsigned major, uint64_t value) {
  uint8_t head[9];
  int width = value < 24            ? 0
              : value <= UINT8_MAX  ? 1
              : value <= UINT16_MAX ? 2
              : value <= UINT32_MAX ? 4
                                    : 8;
  int info = width == 0 ? (int)value : width == 1 ? 24 : width == 2 ? 25 : width == 4 ? 26 : 27;
  head[0] = (uint8_t)(major << 5 | (unsigned)info);
  for (int i = 0; i < width; i++) head[1 + i] = (uint8_t)(value >> 8 * (width - 1 - i));
  tmx_buffer_append(buffer, head, (size_t)width + 1);
}

static void add_json_text(struct tmx_buffer *buffer, const char *text) {
  add_head(buffer, 3, strlen(text));
  tmx_buffer_append(buffer, text, strlen(text));
}

static void add_json_number(struct tmx_buffer *buffer, double value) {
  uint64_t bits;
  uint8_t out[9] = {0xfb};
  memcpy(&bits, &value, sizeof bits);
  for (int i = 0; i < 8; i++) out[1 + i] = (uint8_t)(bits >> 8 * (7 - i));
  tmx_buffer_append(buffer, out, sizeof out);
}

static void add_json(struct tmx_buffer *buffer, json_t *json) {
  const char *key;
  json_t *value;
  size_t i;
  if (json_is_object(json)) {
    add_head(buffer, 5, json_object_size(json));
    json_object_foreach(json, key, value) {
      add_json_text(buffer, key);
      add_json(buffer, value);
    }
  } else if (json_is_array(json)) {
    add_head(buffer, 4, json_array_size(json));
    json_array_foreach(json, i, value) add_json(buffer, value);
  } else if (json_is_string(json)) {
    add_json_text(buffer, json_string_value(json));
  } else if (json_is_integer(json)) {
    add_head(buffer, 0, (uint64_t)json_integer_value(json));
  } else if (json_is_real(json)) {
    add_json_number(buffer, json_real_value(json));
  } else {
    add_head(buffer, 7, json_is_null(json) ? 22 : json_is_true(json) ? 21 : 20);
  }
}

void encode_json(struct tmx_buffer *buffer, const char *text) {
  json_error_t err;
  json_t *parsed = json_loads(text, 0, &err);
  if (!parsed) fail_msg("%s", err.text);
  add_json(buffer, parsed);
  json_decref(parsed);
}
