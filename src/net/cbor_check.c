#include <cbor.h>

#include "net/cbor_check_internal.h"
#include "tmx/constants.h"

/* The count of remaining items for an array or map of indefinite length, which ends at a break. */
#define INDEFINITE UINT64_MAX

/* State of the check: the nesting of the maps and arrays that are open at the current token. */
struct token_check {
  int depth; /* number of open maps and arrays */
  bool is_refused;
  size_t bytes_left; /* from the start of the current token to the end of the message */
  uint64_t remaining[TMX_CBOR_DEPTH_MAX]; /* items that each open map or array still needs */
};

/* Counts one complete item. If it is the last one of a map or array of definite length, that map or
 * array is complete too and counts as an item of the level that encloses it. */
static void end_item(struct token_check *check) {
  while (check->depth > 0 && check->remaining[check->depth - 1] != INDEFINITE) {
    if (--check->remaining[check->depth - 1] > 0) return;
    check->depth--;
  }
}

static void open_level(struct token_check *check, uint64_t count) {
  bool is_too_deep = check->depth >= TMX_CBOR_DEPTH_MAX;
  /* Each item has at least one byte, so a larger count cannot be genuine. */
  bool exceeds_message = count != INDEFINITE && count > check->bytes_left;
  if (is_too_deep || exceeds_message)
    check->is_refused = true;
  else if (count == 0)
    end_item(check);
  else
    check->remaining[check->depth++] = count;
}

static void on_uint8(void *context, uint8_t value) {
  (void)value;
  end_item(context);
}

static void on_uint16(void *context, uint16_t value) {
  (void)value;
  end_item(context);
}

static void on_uint32(void *context, uint32_t value) {
  (void)value;
  end_item(context);
}

static void on_uint64(void *context, uint64_t value) {
  (void)value;
  end_item(context);
}

static void on_float(void *context, float value) {
  (void)value;
  end_item(context);
}

static void on_double(void *context, double value) {
  (void)value;
  end_item(context);
}

static void on_null(void *context) { end_item(context); }

static void on_bool(void *context, bool value) {
  (void)value;
  end_item(context);
}

static void on_text(void *context, cbor_data text, size_t length) {
  (void)text;
  (void)length;
  end_item(context);
}

static void on_array(void *context, size_t count) { open_level(context, count); }

/* A map has two items per pair. A count whose double could overflow is replaced by SIZE_MAX / 2,
 * which exceeds the length of any message, so that open_level refuses it. */
static void on_map(void *context, size_t count) {
  open_level(context, count > SIZE_MAX / 4 ? SIZE_MAX / 2 : count * 2);
}

static void on_indefinite_level(void *context) { open_level(context, INDEFINITE); }

static void on_break(void *context) {
  struct token_check *check = context;
  if (check->depth == 0 || check->remaining[check->depth - 1] != INDEFINITE) {
    check->is_refused = true;
    return;
  }
  check->depth--;
  end_item(check);
}

static void refuse(void *context) { ((struct token_check *)context)->is_refused = true; }

static void refuse_bytes(void *context, cbor_data bytes, size_t length) {
  (void)bytes;
  (void)length;
  refuse(context);
}

static void refuse_tag(void *context, uint64_t tag) {
  (void)tag;
  refuse(context);
}

static const struct cbor_callbacks token_callbacks = {.uint8 = on_uint8,
                                                      .uint16 = on_uint16,
                                                      .uint32 = on_uint32,
                                                      .uint64 = on_uint64,
                                                      .negint8 = on_uint8,
                                                      .negint16 = on_uint16,
                                                      .negint32 = on_uint32,
                                                      .negint64 = on_uint64,
                                                      .byte_string = refuse_bytes,
                                                      .byte_string_start = refuse,
                                                      .string = on_text,
                                                      .string_start = refuse,
                                                      .array_start = on_array,
                                                      .indef_array_start = on_indefinite_level,
                                                      .map_start = on_map,
                                                      .indef_map_start = on_indefinite_level,
                                                      .tag = refuse_tag,
                                                      .float2 = on_float,
                                                      .float4 = on_float,
                                                      .float8 = on_double,
                                                      .null = on_null,
                                                      .undefined = on_null,
                                                      .boolean = on_bool,
                                                      .indef_break = on_break};

bool tmx_cbor_is_safe(const uint8_t *bytes, size_t length) {
  struct token_check check = {.depth = 0};
  size_t position = 0;
  do {
    if (position >= length) return false;
    /* The callbacks compare the item count of a map or array with this number. It includes the head
     * of the current token, which has at least one byte. */
    check.bytes_left = length - position;
    struct cbor_decoder_result token =
        cbor_stream_decode(bytes + position, length - position, &token_callbacks, &check);
    if (token.status != CBOR_DECODER_FINISHED || check.is_refused) return false;
    position += token.read;
  } while (check.depth > 0);
  return position == length;
}
