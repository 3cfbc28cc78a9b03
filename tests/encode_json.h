/** @file
 * Encodes request bodies that a test writes as JSON. The encoder is independent of the program's
 * own encoder. */
#ifndef TMX_ENCODE_JSON_H
#define TMX_ENCODE_JSON_H
#include "net/cbor.h"

/** Appends a JSON text as CBOR. Integers, which must not be negative, become unsigned integers,
 *  numbers with a decimal point become doubles, and keys keep their order. Fails the test if the
 *  text is not valid JSON.
 *  @param buffer receives the CBOR at its end; owned by the caller */
void encode_json(struct tmx_buffer *buffer, const char *text);

#endif
