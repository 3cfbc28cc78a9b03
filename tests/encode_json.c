#include "encode_json.h"

#include <jansson.h>
#include <string.h>

#include "test.h"

/* Appends the head of a CBOR item: its major type and its argument in the shortest form. */
static void add_head(struct tmx_buffer *buffer, unsigned major_type, uint64_t value) {
  uint8_t head[9];
  int width = value < 24            ? 0
              : value <= UINT8_MAX  ? 1
              : value <= UINT16_MAX ? 2
              : value <= UINT32_MAX ? 4
                                    : 8;
  int additional_information = width == 0   ? (int)value
                               : width == 1 ? 24
                               : width == 2 ? 25
                               : width == 4 ? 26
                                            : 27;
  head[0] = (uint8_t)(major_type << 5 | (unsigned)additional_information);
  for (int i = 0; i < width; i++) head[1 + i] = (uint8_t)(value >> 8 * (width - 1 - i));
  tmx_buffer_append(buffer, head, (size_t)width + 1);
}

static void add_json_text(struct tmx_buffer *buffer, const char *text) {
  add_head(buffer, 3, strlen(text));
  tmx_buffer_append(buffer, text, strlen(text));
}

static void add_json_number(struct tmx_buffer *buffer, double value) {
  uint64_t bits;
  uint8_t out[9] = {0xfb};
  memcpy(&bits, &value, sizeof bits);
  for (int i = 0; i < 8; i++) out[1 + i] = (uint8_t)(bits >> 8 * (7 - i));
  tmx_buffer_append(buffer, out, sizeof out);
}

static void add_json(struct tmx_buffer *buffer, json_t *json) {
  const char *key;
  json_t *value;
  size_t i;
  if (json_is_object(json)) {
    add_head(buffer, 5, json_object_size(json));
    json_object_foreach(json, key, value) {
      add_json_text(buffer, key);
      add_json(buffer, value);
    }
  } else if (json_is_array(json)) {
    add_head(buffer, 4, json_array_size(json));
    json_array_foreach(json, i, value) add_json(buffer, value);
  } else if (json_is_string(json)) {
    add_json_text(buffer, json_string_value(json));
  } else if (json_is_integer(json)) {
    add_head(buffer, 0, (uint64_t)json_integer_value(json));
  } else if (json_is_real(json)) {
    add_json_number(buffer, json_real_value(json));
  } else {
    add_head(buffer, 7, json_is_null(json) ? 22 : json_is_true(json) ? 21 : 20);
  }
}

void encode_json(struct tmx_buffer *buffer, const char *text) {
  json_error_t error;
  json_t *parsed = json_loads(text, 0, &error);
  if (!parsed) fail_msg("invalid JSON: %s", error.text);
  add_json(buffer, parsed);
  json_decref(parsed);
}
