/* CBOR and HTTP as text. */
#include <stdlib.h>
#include <string.h>

#include "recording.h"
#include "recording_internal.h"
#include "test.h"

enum { DEPTH_MAX = 16 };
/* Times of day, s of the epoch: the scripted clock begins at the first. */
static const double time_from = 1.7e9, time_to = 1.7001e9;

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
  if (value >= time_from && value < time_to) {
    memset(reader->masked + reader->position - sizeof value, true, sizeof value);
    recording_add_format(reader->out, "<time of day>");
  } else {
    recording_add_format(reader->out, value == (double)(long long)value ? "%.1f" : "%.17g", value);
  }
}

static void add_simple(struct reader *reader, unsigned info) {
  uint64_t value = read_argument(reader, info);
  if (info == 27)
    add_double(reader, value);
  else if (info == 25 || info == 26)
    recording_add_format(reader->out, "float%u(0x%llx)", info == 25 ? 16 : 32,
                         (unsigned long long)value);
  else if (info >= 20 && info <= 22)
    recording_add_format(reader->out, "%s", info == 20 ? "false" : info == 21 ? "true" : "null");
  else
    recording_add_format(reader->out, "simple(%llu)", (unsigned long long)value);
}

static void add_item(struct reader *reader);

static void add_items(struct reader *reader, uint64_t count, bool map) {
  assert_true(++reader->depth < DEPTH_MAX);
  recording_add(reader->out, map ? "{" : "[", 1);
  for (uint64_t i = 0; i < count; i++) {
    if (i) recording_add(reader->out, ", ", 2);
    add_item(reader);
    if (!map) continue;
    recording_add(reader->out, ": ", 2);
    add_item(reader);
  }
  recording_add(reader->out, map ? "}" : "]", 1);
  reader->depth--;
}

static void add_string(struct reader *reader, uint64_t length) {
  assert_true(length <= reader->length - reader->position);
  recording_add(reader->out, "\"", 1);
  recording_add_text(reader->out, (const char *)reader->bytes + reader->position, length,
                     reader->masked + reader->position);
  recording_add(reader->out, "\"", 1);
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
    recording_add_format(reader->out, "%llu", (unsigned long long)argument);
  else if (major == 1)
    recording_add_format(reader->out, "-%llu", (unsigned long long)argument + 1);
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
  recording_add_format(recording, "%s", mark);
  add_item(&reader);
  assert_int_equal(reader.position, length);
  recording_add_format(recording, "\n%s", mark);
  recording_add_hex(recording, bytes, reader.masked, length);
  recording_add(recording, "\n", 1);
  free(reader.masked);
}

static void record_header(struct recording *recording, const char *mark, const char *line,
                          size_t length) {
  const char retry[] = "Retry-After: ";
  recording_add_format(recording, "%s", mark);
  if (recording->retry_to && length > strlen(retry) && !memcmp(line, retry, strlen(retry))) {
    assert_in_range(atoi(line + strlen(retry)), recording->retry_from, recording->retry_to);
    recording_add_format(recording, "%s<%d to %d>", retry, recording->retry_from,
                         recording->retry_to);
  } else {
    recording_add_text(recording, line, length, NULL);
  }
  recording_add(recording, "\n", 1);
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
