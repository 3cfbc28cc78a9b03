#include "recording.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "recording_internal.h"
#include "test.h"

enum { PORT_DIGITS = 5 };
#define HOST "127.0.0.1:" /* joined with other literals */

void recording_add(struct recording *recording, const char *text, size_t length) {
  if (recording->length + length + 1 > recording->capacity) {
    recording->capacity = (recording->length + length + 1) * 2;
    recording->text = realloc(recording->text, recording->capacity);
    assert_non_null(recording->text);
  }
  memcpy(recording->text + recording->length, text, length);
  recording->length += length;
  recording->text[recording->length] = 0;
}

void recording_add_format(struct recording *recording, const char *format, ...) {
  char text[512];
  va_list args;
  va_start(args, format);
  int length = vsnprintf(text, sizeof text, format, args);
  va_end(args);
  assert_in_range(length, 0, sizeof text - 1);
  recording_add(recording, text, (size_t)length);
}

void record_line(struct recording *recording, const char *format, ...) {
  char text[4096];
  va_list args;
  va_start(args, format);
  int length = vsnprintf(text, sizeof text, format, args);
  va_end(args);
  assert_in_range(length, 0, sizeof text - 1);
  recording_add(recording, text, (size_t)length);
  recording_add(recording, "\n", 1);
}

/* Counts the digits of a port at `text`; 0: there is none that the system chose. */
static size_t port_digits(const char *text, const char *end) {
  size_t digits = 0;
  while (text + digits < end && text[digits] >= '0' && text[digits] <= '9') digits++;
  return digits == PORT_DIGITS ? digits : 0;
}

void recording_add_text(struct recording *recording, const char *text, size_t length,
                        bool *masked) {
  const char *end = text + length;
  for (const char *at = text; at < end;) {
    size_t host = strlen(HOST);
    if ((size_t)(end - at) > host && !memcmp(at, HOST, host) && port_digits(at + host, end)) {
      recording_add(recording, HOST "<port>", host + strlen("<port>"));
      if (masked) memset(masked + (at - text) + host, true, PORT_DIGITS);
      at += host + PORT_DIGITS;
    } else {
      recording_add(recording, at++, 1);
    }
  }
}

void recording_add_hex(struct recording *recording, const uint8_t *bytes, const bool *masked,
                       size_t length) {
  for (size_t i = 0; i < length; i++)
    if (masked && masked[i])
      recording_add(recording, "xx", 2);
    else
      recording_add_format(recording, "%02x", bytes[i]);
}

void record_bytes(struct recording *recording, const char *mark, const uint8_t *bytes,
                  size_t length) {
  recording_add_format(recording, "%s", mark);
  recording_add_hex(recording, bytes, NULL, length);
  recording_add(recording, "\n", 1);
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
