#include "net/json_length.h"

#include <cbor.h>
#include <stdint.h>
#include <stdio.h>

#include "net/cbor_reader.h"

/* Maximum lengths of JSON syntax elements, in bytes. */
enum {
  DELIMITERS = 2,     /* the brackets of an array or object, or the quotes of a string */
  SEPARATOR = 2,      /* a comma or colon and a space */
  UNICODE_ESCAPE = 6, /* \u0000 */
  SHORT_ESCAPE = 2,   /* \" */
  KEYWORD_MAX = 5,    /* false is the longest keyword */
  NUMBER_MAX = 40,    /* buffer size that holds any formatted number */
};

/* Returned for a buffer that does not hold valid CBOR. It exceeds every limit, and a caller can add
 * to it without an overflow. */
static const size_t UNKNOWN_LENGTH = SIZE_MAX / 2;

static size_t character_length(unsigned char character) {
  if (character < 0x20 || character >= 0x7f) return UNICODE_ESCAPE;
  return character == '"' || character == '\\' ? SHORT_ESCAPE : 1;
}

size_t tmx_json_text_length(const char *text, size_t length) {
  size_t total = DELIMITERS;
  for (size_t i = 0; i < length; i++) total += character_length((unsigned char)text[i]);
  return total;
}

static size_t item_length(const cbor_item_t *item);

static size_t array_length(const cbor_item_t *array) {
  size_t total = DELIMITERS;
  for (size_t i = 0; i < cbor_array_size(array); i++)
    total += item_length(cbor_array_handle(array)[i]) + SEPARATOR;
  return total;
}

static size_t map_length(const cbor_item_t *map) {
  const struct cbor_pair *pairs = cbor_map_handle(map);
  size_t total = DELIMITERS;
  for (size_t i = 0; i < cbor_map_size(map); i++) {
    total += item_length(pairs[i].key) + SEPARATOR;
    total += item_length(pairs[i].value) + SEPARATOR;
  }
  return total;
}

/* The recursion depth is bounded because this program itself encoded the items. */
static size_t item_length(const cbor_item_t *item) {
  char text[NUMBER_MAX];
  double number;
  uint64_t integer;
  if (cbor_isa_string(item))
    return tmx_json_text_length((const char *)cbor_string_handle(item), cbor_string_length(item));
  if (tmx_cbor_as_u64(item, &integer))
    return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)integer);
  if (tmx_cbor_as_number(item, &number))
    return (size_t)snprintf(text, sizeof text, "%.17g", number);
  if (cbor_isa_array(item)) return array_length(item);
  if (cbor_isa_map(item)) return map_length(item);
  return KEYWORD_MAX;
}

size_t tmx_json_length(const struct tmx_buffer *buffer) {
  size_t total = 0;
  for (size_t position = 0; position < buffer->length;) {
    struct cbor_load_result result;
    cbor_item_t *item = cbor_load(buffer->data + position, buffer->length - position, &result);
    if (!item) return UNKNOWN_LENGTH;
    total += item_length(item) + SEPARATOR;
    position += result.read;
    cbor_decref(&item);
  }
  return total;
}
