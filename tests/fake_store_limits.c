/* The size limits of the fake store, which measures values by JSON length like the real store. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fake_store_internal.h"
#include "test.h"
#include "tmx/wire.h"

static json_t *as_json(const cbor_item_t *item);

static json_t *array_as_json(const cbor_item_t *item) {
  json_t *array = json_array();
  for (size_t i = 0; i < tmx_cbor_array_length(item); i++)
    json_array_append_new(array, as_json(tmx_cbor_array_at(item, i)));
  return array;
}

static json_t *map_as_json(const cbor_item_t *item) {
  char name[4096];
  json_t *object = json_object();
  const struct cbor_pair *pairs = cbor_map_handle(item);
  for (size_t i = 0; i < cbor_map_size(item); i++)
    if (tmx_cbor_as_text(pairs[i].key, name, sizeof name))
      json_object_set_new(object, name, as_json(pairs[i].value));
  return object;
}

static json_t *as_json(const cbor_item_t *item) {
  char text[4096];
  uint64_t integer;
  double number;
  bool truth;
  if (tmx_cbor_as_text(item, text, sizeof text)) return json_string(text);
  if (tmx_cbor_as_u64(item, &integer)) return json_integer((json_int_t)integer);
  if (tmx_cbor_as_number(item, &number)) return json_real(number);
  if (tmx_cbor_as_bool(item, &truth)) return json_boolean(truth);
  if (cbor_isa_array(item)) return array_as_json(item);
  if (cbor_isa_map(item)) return map_as_json(item);
  return json_null();
}

static size_t json_bytes(const cbor_item_t *item) {
  json_t *json = as_json(item);
  char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);
  assert_non_null(text);
  size_t length = strlen(text);
  free(text);
  json_decref(json);
  return length;
}

bool fake_store_is_oversized(const cbor_item_t *operations) {
  size_t count = tmx_cbor_array_length(operations);
  size_t count_max = fake_store.transaction_operations_max;
  size_t bytes_max = fake_store.value_json_bytes_max;
  if (count_max && count > count_max) return true;
  for (size_t i = 0; bytes_max && i < count; i++) {
    const cbor_item_t *value = tmx_cbor_get(tmx_cbor_array_at(operations, i), W_VALUE);
    if (value && json_bytes(value) > bytes_max) return true;
  }
  return false;
}
