/* Writes CBOR items and HTTP messages as text. */
#include <stdlib.h>
#include <string.h>

#include "recording.h"
#include "recording_internal.h"
#include "test.h"

enum { DEPTH_MAX = 16 };
/* Range of the times of day, seconds since the epoch. The simulated clock starts at the first. */
static const double time_of_day_min = 1.7e9, time_of_day_max = 1.7001e9;

/* Decodes a CBOR item and appends its diagnostic notation to a recording. */
struct reader {
  struct recording *out;
  const uint8_t *bytes;
  bool *masked;            /* one flag for each of `bytes`, true if the byte is masked */
  size_t length, position; /* size of `bytes`, and offset of the next byte to read */
  int depth;               /* number of open arrays and maps */
};

/* Reads the argument of an item head whose low five bits are `info`. */
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
  if (value >= time_of_day_min && value < time_of_day_max) {
    memset(reader->masked + reader->position - sizeof value, true, sizeof value);
    recording_append_format(reader->out, "<time of day>");
  } else {
    recording_append_format(reader->out, value == (double)(long long)value ? "%.1f" : "%.17g",
                            value);
  }
}

static void add_simple(struct reader *reader, unsigned info) {
  uint64_t value = read_argument(reader, info);
  if (info == 27)
    add_double(reader, value);
  else if (info == 25 || info == 26)
    recording_append_format(reader->out, "float%u(0x%llx)", info == 25 ? 16 : 32,
                            (unsigned long long)value);
  else if (info >= 20 && info <= 22)
    recording_append_format(reader->out, "%s", info == 20 ? "false" : info == 21 ? "true" : "null");
  else
    recording_append_format(reader->out, "simple(%llu)", (unsigned long long)value);
}

static void add_item(struct reader *reader);

static void add_items(struct reader *reader, uint64_t count, bool map) {
  assert_true(++reader->depth < DEPTH_MAX);
  recording_append(reader->out, map ? "{" : "[", 1);
  for (uint64_t i = 0; i < count; i++) {
    if (i) recording_append(reader->out, ", ", 2);
    add_item(reader);
    if (!map) continue;
    recording_append(reader->out, ": ", 2);
    add_item(reader);
  }
  recording_append(reader->out, map ? "}" : "]", 1);
  reader->depth--;
}

static void add_string(struct reader *reader, uint64_t length) {
  assert_true(length <= reader->length - reader->position);
  recording_append(reader->out, "\"", 1);
  recording_append_masking_ports(reader->out, (const char *)reader->bytes + reader->position,
                                 length, reader->masked + reader->position);
  recording_append(reader->out, "\"", 1);
  reader->position += length;
}

static void add_item(struct reader *reader) {
  assert_true(reader->position < reader->length);
  unsigned initial_byte = reader->bytes[reader->position++], major_type = initial_byte >> 5,
           info = initial_byte & 31;
  if (major_type == 7) {
    add_simple(reader, info);
    return;
  }
  uint64_t argument = read_argument(reader, info);
  if (major_type == 0)
    recording_append_format(reader->out, "%llu", (unsigned long long)argument);
  else if (major_type == 1)
    recording_append_format(reader->out, "-%llu", (unsigned long long)argument + 1);
  else if (major_type == 3)
    add_string(reader, argument);
  else if (major_type == 4 || major_type == 5)
    add_items(reader, argument, major_type == 5);
  else
    fail_msg("CBOR major type %u: the program uses no byte strings and no tags", major_type);
}

void record_cbor(struct recording *recording, const char *prefix, const uint8_t *bytes,
                 size_t length) {
  struct reader reader = {.out = recording,
                          .bytes = bytes,
                          .length = length,
                          .masked = calloc(length + 1, sizeof(bool))};
  assert_non_null(reader.masked);
  recording_append_format(recording, "%s", prefix);
  add_item(&reader);
  assert_int_equal(reader.position, length);
  recording_append_format(recording, "\n%s", prefix);
  recording_append_hex(recording, bytes, reader.masked, length);
  recording_append(recording, "\n", 1);
  free(reader.masked);
}

static void record_header(struct recording *recording, const char *prefix, const char *line,
                          size_t length) {
  const char retry_after[] = "Retry-After: ";
  recording_append_format(recording, "%s", prefix);
  if (recording->retry_after_max && length > strlen(retry_after) &&
      !memcmp(line, retry_after, strlen(retry_after))) {
    assert_in_range(atoi(line + strlen(retry_after)), recording->retry_after_min,
                    recording->retry_after_max);
    recording_append_format(recording, "%s<%d to %d>", retry_after, recording->retry_after_min,
                            recording->retry_after_max);
  } else {
    recording_append_masking_ports(recording, line, length, NULL);
  }
  recording_append(recording, "\n", 1);
}

void record_http(struct recording *recording, const char *prefix, const uint8_t *bytes,
                 size_t size) {
  const char *line = (const char *)bytes, *body = memmem(bytes, size, "\r\n\r\n", 4);
  assert_non_null(body);
  while (line < body + 2) {
    const char *end = memmem(line, (size_t)(body + 4 - line), "\r\n", 2);
    record_header(recording, prefix, line, (size_t)(end - line));
    line = end + 2;
  }
  body += 4;
  size_t length = size - (size_t)(body - (const char *)bytes);
  if (length) record_cbor(recording, prefix, (const uint8_t *)body, length);
}
