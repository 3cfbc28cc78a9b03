/** Bodies of requests, written in a test as JSON. The encoder does not use the program's own code.
 */
#ifndef TMX_ENCODE_JSON_H
#define TMX_ENCODE_JSON_H
#include "net/cbor.h"

/** Appends a JSON text as CBOR: integers as such, numbers with a point as doubles, keys in their
 *  order. Fails the test if the text is no JSON. */
void encode_json(struct tmx_buffer *buffer, const char *text);

#endif
