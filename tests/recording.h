/** Recorded forms: what the program sends and stores, written as text and compared with a file
 * under tests/data/wire-format. CBOR appears twice, as diagnostic notation and as bytes in hex.
 * What differs from run to run is masked in both, and only that:
 *    - times of day of the scripted clock, which begins at 1700000000 s: <time of day>;
 *    - TCP ports on 127.0.0.1, which always have five digits: <port>;
 *    - the value of Retry-After where the program draws it at random, after a check of its range.
 *  The decoder here does not use the program's own code. A line that is recorded begins with the
 *  `mark` that the caller gives. */
#ifndef TMX_RECORDING_H
#define TMX_RECORDING_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "encode_json.h"
#include "test.h"

/** A recording, empty when all is 0; recording_check frees it. */
struct recording {
  char *text;
  size_t length, capacity;
  int retry_from, retry_to; /**< range of a random Retry-After, which is masked; 0: recorded */
};

/** Records a formatted line of less than 4096 bytes. */
void record_line(struct recording *recording, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Records bytes in hex, one line. */
void record_bytes(struct recording *recording, const char *mark, const uint8_t *bytes,
                  size_t length);
/** Records one CBOR item, two lines. */
void record_cbor(struct recording *recording, const char *mark, const uint8_t *bytes,
                 size_t length);
/** Records a request or an answer: its head line by line, and its body. */
void record_http(struct recording *recording, const char *mark, const uint8_t *bytes, size_t size);
/** Compares the recording with the file of that name, empties it, and fails the test if they
 *  differ. The recorded text is then in a file of the same name in the build directory. */
void recording_check(struct recording *recording, const char *file);

#endif
