#include "recording.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "recording_internal.h"
#include "test.h"

enum { PORT_DIGITS = 5 };
#define HOST "127.0.0.1:" /* a macro, so that it can be concatenated with string literals */

void recording_append(struct recording *recording, const char *text, size_t length) {
  if (recording->length + length + 1 > recording->capacity) {
    recording->capacity = (recording->length + length + 1) * 2;
    recording->text = realloc(recording->text, recording->capacity);
    assert_non_null(recording->text);
  }
  memcpy(recording->text + recording->length, text, length);
  recording->length += length;
  recording->text[recording->length] = 0;
}

void recording_append_format(struct recording *recording, const char *format, ...) {
  char text[512];
  va_list args;
  va_start(args, format);
  int length = vsnprintf(text, sizeof text, format, args);
  va_end(args);
  assert_in_range(length, 0, sizeof text - 1);
  recording_append(recording, text, (size_t)length);
}

void record_line(struct recording *recording, const char *format, ...) {
  char text[4096];
  va_list args;
  va_start(args, format);
  int length = vsnprintf(text, sizeof text, format, args);
  va_end(args);
  assert_in_range(length, 0, sizeof text - 1);
  recording_append(recording, text, (size_t)length);
  recording_append(recording, "\n", 1);
}

/* Returns PORT_DIGITS if `text` starts with a number of that many digits, which is the length of
 * the ports that the system chooses, and 0 otherwise. */
static size_t match_port(const char *text, const char *end) {
  size_t digits = 0;
  while (text + digits < end && text[digits] >= '0' && text[digits] <= '9') digits++;
  return digits == PORT_DIGITS ? digits : 0;
}

void recording_append_masking_ports(struct recording *recording, const char *text, size_t length,
                                    bool *masked) {
  const char *end = text + length;
  for (const char *at = text; at < end;) {
    size_t host_length = strlen(HOST);
    if ((size_t)(end - at) > host_length && !memcmp(at, HOST, host_length) &&
        match_port(at + host_length, end)) {
      recording_append(recording, HOST "<port>", host_length + strlen("<port>"));
      if (masked) memset(masked + (at - text) + host_length, true, PORT_DIGITS);
      at += host_length + PORT_DIGITS;
    } else {
      recording_append(recording, at++, 1);
    }
  }
}

void recording_append_hex(struct recording *recording, const uint8_t *bytes, const bool *masked,
                          size_t length) {
  for (size_t i = 0; i < length; i++)
    if (masked && masked[i])
      recording_append(recording, "xx", 2);
    else
      recording_append_format(recording, "%02x", bytes[i]);
}

void record_bytes(struct recording *recording, const char *prefix, const uint8_t *bytes,
                  size_t length) {
  recording_append_format(recording, "%s", prefix);
  recording_append_hex(recording, bytes, NULL, length);
  recording_append(recording, "\n", 1);
}

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

static void write_for_comparison(const struct recording *recording, const char *name) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_OUTPUT "/%s", name);
  FILE *file = fopen(path, "w");
  if (!file) return;
  fputs(recording->text, file);
  fclose(file);
  print_message("the recorded text is in %s\n", path);
}

static void print_first_difference(const char *expected, const char *recorded) {
  for (int line = 1;; line++) {
    size_t expected_length = strcspn(expected, "\n"), recorded_length = strcspn(recorded, "\n");
    if (expected_length != recorded_length || memcmp(expected, recorded, expected_length)) {
      print_error("line %d, comment lines not counted\nexpected: %.*s\nrecorded: %.*s\n", line,
                  (int)expected_length, expected, (int)recorded_length, recorded);
      return;
    }
    if (!expected[expected_length] || !recorded[recorded_length]) return;
    expected += expected_length + 1;
    recorded += recorded_length + 1;
  }
}

void recording_check(struct recording *recording, const char *file) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_DATA "/wire-format/%s", file);
  char *text = read_file(path);
  const char *expected = skip_comments(text);
  bool same = !strcmp(expected, recording->text);
  if (!same) {
    print_first_difference(expected, recording->text);
    write_for_comparison(recording, file);
  }
  free(text);
  free(recording->text);
  memset(recording, 0, sizeof *recording);
  if (!same) fail_msg("%s differs from the recorded text", file);
}
