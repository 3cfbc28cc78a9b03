/** @file
 * Recordings of the messages that the program sends and of the values that it stores. A test writes
 * them as text and compares the text with a file under tests/data/wire-format.
 *
 * A CBOR item is recorded on two lines: in diagnostic notation and as bytes in hex. Only values
 * that differ between runs are masked. In a CBOR item they are masked on both lines:
 *    - a time of day of the simulated clock, which starts at 1700000000 s, as <time of day>;
 *    - a TCP port of five digits after 127.0.0.1, as <port>; the ports that the system chooses
 *      always have five digits;
 *    - a random value of Retry-After, as its range, after a check that the value is in the range.
 *
 * The CBOR decoder of the recorder shares no code with the program's own decoder. Each line of
 * bytes, of a CBOR item or of an HTTP message starts with the `prefix` that the caller passes. A
 * recording belongs to the thread of the test. */
#ifndef TMX_RECORDING_H
#define TMX_RECORDING_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "encode_json.h"
#include "test.h"

/** A recording. A zeroed struct is an empty recording; recording_check() frees the text. */
struct recording {
  char *text;                           /**< recorded text; NULL while the recording is empty */
  size_t length, capacity;              /**< used and allocated bytes of `text` */
  int retry_after_min, retry_after_max; /**< range of a random Retry-After, seconds, which is
      masked; if the maximum is 0, the value is recorded */
};

/** Records a formatted line. The test fails if it has 4096 bytes or more. */
void record_line(struct recording *recording, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Records bytes as one line of hex digits. */
void record_bytes(struct recording *recording, const char *prefix, const uint8_t *bytes,
                  size_t length);
/** Records one CBOR item, which must fill all of `bytes`, on two lines. */
void record_cbor(struct recording *recording, const char *prefix, const uint8_t *bytes,
                 size_t length);
/** Records an HTTP request or response: each line of its head, and its body, a CBOR item, if the
 * body is not empty. */
void record_http(struct recording *recording, const char *prefix, const uint8_t *bytes,
                 size_t size);
/** Compares the recording with the file of this name under tests/data/wire-format and empties the
 *  recording. If they differ, writes the recorded text to a file of the same name in the build
 *  directory and fails the test. */
void recording_check(struct recording *recording, const char *file);

#endif
