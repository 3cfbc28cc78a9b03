/* Recorded forms: what the program sends and stores, written down as text and compared with a file
 * under tests/data/wire-format. CBOR appears twice, as diagnostic notation and as bytes in hex.
 * What differs from run to run is masked in both, and only that:
 *   - times of day of the scripted clock, which stands near 1700000000 s: <time of day>;
 *   - TCP ports on 127.0.0.1, which always have five digits: <port>;
 *   - the value of Retry-After where the program draws it at random, after a check of its range.
 * The encoder, the decoder and the JSON reader here do not use the program's own code. */
#ifndef TMX_RECORDING_H
#define TMX_RECORDING_H
#include "test.h"

#include <stdbool.h>

#include "net/cbor.h"

struct recording {
  char *text;
  size_t length, capacity;
  int retry_from, retry_to; /* range of a random Retry-After, which is masked; 0: it is recorded */
};

void record_line(struct recording *recording, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void record_bytes(struct recording *recording, const char *mark, const uint8_t *bytes,
                  size_t length);
/* One CBOR item, two lines. */
void record_cbor(struct recording *recording, const char *mark, const uint8_t *bytes,
                 size_t length);
/* A request or an answer: its head line by line, and its body. */
void record_http(struct recording *recording, const char *mark, const uint8_t *bytes, size_t size);
/* Compares it with the file and empties it. What was recorded goes to a file of the same name in
 * the build directory if it differs. */
void recording_check(struct recording *recording, const char *file);
/* A JSON text as CBOR: integers as such, numbers with a point as doubles, keys in their order. */
void encode_json(struct tmx_buffer *buffer, const char *text);
#endif
