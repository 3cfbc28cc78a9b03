#include "net/json_length.h"

#include <cbor.h>
#include <stdint.h>
#include <stdio.h>

#include "net/cbor_reader.h"

/* Characters, at most, of the parts of a JSON text. */
enum {
  BRACKETS = 2,     /* and likewise the two quotes of a text */
  SEPARATOR = 2,    /* a comma or a colon, with a space */
  ESCAPED_CODE = 6, /* \u0000 */
  ESCAPED = 2,      /* \" */
  KEYWORD = 5,      /* false, the longest of them */
  NUMBER = 40,      /* room for the digits of any number */
};

/* What a buffer counts that is not CBOR: larger than any limit, and safe to add to. */
static const size_t UNKNOWN_LENGTH = SIZE_MAX / 2;

static size_t character_length(unsigned char character) {
  if (character < 0x20 || character >= 0x7f) return ESCAPED_CODE;
  return character == '"' || character == '\\' ? ESCAPED : 1;
}

size_t tmx_json_text_length(const char *text, size_t length) {
  size_t total = BRACKETS;
  for (size_t i = 0; i < length; i++) total += character_length((unsigned char)text[i]);
  return total;
}

static size_t item_length(const cbor_item_t *item);

static size_t list_length(const cbor_item_t *list) {
  size_t total = BRACKETS;
  for (size_t i = 0; i < cbor_array_size(list); i++)
    total += item_length(cbor_array_handle(list)[i]) + SEPARATOR;
  return total;
}

static size_t map_length(const cbor_item_t *map) {
  const struct cbor_pair *pairs = cbor_map_handle(map);
  size_t total = BRACKETS;
  for (size_t i = 0; i < cbor_map_size(map); i++) {
    total += item_length(pairs[i].key) + SEPARATOR;
    total += item_length(pairs[i].value) + SEPARATOR;
  }
  return total;
}

/* Recurses only as deep as what this program encoded itself. */
static size_t item_length(const cbor_item_t *item) {
  char text[NUMBER];
  double number;
  uint64_t whole;
  if (cbor_isa_string(item))
    return tmx_json_text_length((const char *)cbor_string_handle(item), cbor_string_length(item));
  if (tmx_cbor_as_u64(item, &whole))
    return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)whole);
  if (tmx_cbor_as_number(item, &number))
    return (size_t)snprintf(text, sizeof text, "%.17g", number);
  if (cbor_isa_array(item)) return list_length(item);
  if (cbor_isa_map(item)) return map_length(item);
  return KEYWORD;
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
