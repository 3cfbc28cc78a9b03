#include "net/cbor_reader.h"

#include <math.h>
#include <string.h>

#include "net/cbor_check_internal.h"

cbor_item_t *tmx_cbor_parse(const uint8_t *bytes, size_t length) {
  if (!bytes || !length || !tmx_cbor_is_safe(bytes, length)) return NULL;
  struct cbor_load_result result;
  return cbor_load(bytes, length, &result);
}

void tmx_cbor_free(cbor_item_t *item) {
  if (item) cbor_decref(&item);
}

static bool is_text(const cbor_item_t *item) {
  return cbor_isa_string(item) && cbor_string_is_definite(item);
}

/* Returns whether the item is null or undefined. libcbor represents null, undefined, true, false
 * and floats by one item type. */
static bool is_null(const cbor_item_t *item) {
  return cbor_isa_float_ctrl(item) && cbor_float_ctrl_is_ctrl(item) && !cbor_is_bool(item);
}

const cbor_item_t *tmx_cbor_get(const cbor_item_t *map, const char *key) {
  if (!map || !cbor_isa_map(map)) return NULL;
  const struct cbor_pair *pairs = cbor_map_handle(map);
  size_t count = cbor_map_size(map), length = strlen(key);
  for (size_t i = 0; i < count; i++) {
    const cbor_item_t *name = pairs[i].key;
    if (!is_text(name) || cbor_string_length(name) != length) continue;
    if (memcmp(cbor_string_handle(name), key, length)) continue;
    return is_null(pairs[i].value) ? NULL : pairs[i].value;
  }
  return NULL;
}

size_t tmx_cbor_array_length(const cbor_item_t *array) {
  return array && cbor_isa_array(array) ? cbor_array_size(array) : 0;
}

const cbor_item_t *tmx_cbor_array_at(const cbor_item_t *array, size_t index) {
  return cbor_array_handle(array)[index];
}

bool tmx_cbor_as_text(const cbor_item_t *item, char *out, size_t capacity) {
  if (!item || !is_text(item)) return false;
  size_t length = cbor_string_length(item);
  if (length >= capacity || memchr(cbor_string_handle(item), 0, length)) return false;
  if (length) memcpy(out, cbor_string_handle(item), length);
  out[length] = 0;
  return true;
}

bool tmx_cbor_as_u64(const cbor_item_t *item, uint64_t *out) {
  if (!item || !cbor_isa_uint(item)) return false;
  *out = cbor_get_int(item);
  return true;
}

bool tmx_cbor_as_number(const cbor_item_t *item, double *out) {
  if (!item) return false;
  if (cbor_isa_uint(item)) {
    *out = (double)cbor_get_int(item);
  } else if (cbor_isa_negint(item)) {
    *out = -1.0 - (double)cbor_get_int(item);
  } else if (cbor_isa_float_ctrl(item) && !cbor_float_ctrl_is_ctrl(item)) {
    *out = cbor_float_get_float(item);
  } else {
    return false;
  }
  return isfinite(*out);
}

bool tmx_cbor_as_bool(const cbor_item_t *item, bool *out) {
  if (!item || !cbor_isa_float_ctrl(item) || !cbor_float_ctrl_is_ctrl(item) || !cbor_is_bool(item))
    return false;
  *out = cbor_get_bool(item);
  return true;
}

bool tmx_cbor_get_text(const cbor_item_t *map, const char *key, char *out, size_t capacity) {
  return tmx_cbor_as_text(tmx_cbor_get(map, key), out, capacity);
}

bool tmx_cbor_get_u64(const cbor_item_t *map, const char *key, uint64_t *out) {
  return tmx_cbor_as_u64(tmx_cbor_get(map, key), out);
}

bool tmx_cbor_get_number(const cbor_item_t *map, const char *key, double *out) {
  return tmx_cbor_as_number(tmx_cbor_get(map, key), out);
}

bool tmx_cbor_get_bool(const cbor_item_t *map, const char *key, bool *out) {
  return tmx_cbor_as_bool(tmx_cbor_get(map, key), out);
}
