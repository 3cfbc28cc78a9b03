/* The CBOR encoder and decoder. Encoded fields decode to the same values. The decoder rejects
 * truncated, oversized, deeply nested and otherwise malformed bodies. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <string.h>

#include "net/cbor.h"
#include "replica/replica.h"
#include "tmx/wire.h"

static void encoded_fields_decode_to_the_same_values(void **state) {
  (void)state;
  struct tmx_buffer buffer = {0};
  char text[16];
  uint64_t integer;
  double number;
  bool boolean;
  tmx_cbor_put_map(&buffer, 4);
  tmx_cbor_put_text_field(&buffer, "a", "text");
  tmx_cbor_put_u64_field(&buffer, "b", UINT64_MAX);
  tmx_cbor_put_double_field(&buffer, "c", 4.5);
  tmx_cbor_put_bool_field(&buffer, "d", true);
  cbor_item_t *map = tmx_cbor_parse(buffer.data, buffer.length);
  assert_non_null(map);
  assert_true(tmx_cbor_get_text(map, "a", text, sizeof text) && !strcmp(text, "text"));
  assert_true(tmx_cbor_get_u64(map, "b", &integer) && integer == UINT64_MAX);
  assert_true(tmx_cbor_get_number(map, "c", &number) && number == 4.5);
  assert_true(tmx_cbor_get_bool(map, "d", &boolean) && boolean);
  assert_false(tmx_cbor_get_text(map, "a", text, 4)); /* does not fit */
  assert_false(tmx_cbor_get_u64(map, "a", &integer));
  assert_null(tmx_cbor_get(map, "e"));
  tmx_cbor_free(map);
  for (size_t i = 0; i < buffer.length; i++)
    assert_null(tmx_cbor_parse(buffer.data, i)); /* truncated */
  tmx_buffer_append(&buffer, "x", 1);
  assert_null(tmx_cbor_parse(buffer.data, buffer.length)); /* more than one item */
  tmx_buffer_free(&buffer);
}

static void malformed_bodies_are_rejected(void **state) {
  (void)state;
  /* The bodies are, in this order: an array head that claims 2^60 items, a map head that claims
   * almost 2^64 pairs, a text head that claims 2^40 bytes, an array of indefinite length without an
   * end, a break outside an array, and a tag. */
  static const uint8_t array[] = {0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0, 0x01};
  static const uint8_t map[] = {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01};
  static const uint8_t text[] = {0x7b, 0, 0, 1, 0, 0, 0, 0, 0, 'a'};
  static const uint8_t unterminated[] = {0x9f, 0x01, 0x02};
  static const uint8_t break_code[] = {0xff};
  static const uint8_t tag[] = {0xc0, 0x01};
  assert_null(tmx_cbor_parse(array, sizeof array));
  assert_null(tmx_cbor_parse(map, sizeof map));
  assert_null(tmx_cbor_parse(text, sizeof text));
  assert_null(tmx_cbor_parse(unterminated, sizeof unterminated));
  assert_null(tmx_cbor_parse(break_code, sizeof break_code));
  assert_null(tmx_cbor_parse(tag, sizeof tag));
  assert_null(tmx_cbor_parse(NULL, 0));
  uint8_t deep[4096];
  memset(deep, 0x81, sizeof deep);
  deep[sizeof deep - 1] = 0x01;
  assert_null(tmx_cbor_parse(deep, sizeof deep));
  cbor_item_t *shallow = tmx_cbor_parse(deep + sizeof deep - 8, 8);
  assert_non_null(shallow);
  tmx_cbor_free(shallow);
}

/* Encodes a submission as a user would send it. */
static void encode_submission(struct tmx_buffer *buffer, const struct tmx_job_spec *spec) {
  tmx_cbor_put_map(buffer, 18);
  tmx_cbor_put_text_field(buffer, W_ID, "wk-1");
  tmx_cbor_put_double_field(buffer, W_GPUS, spec->gpus);
  tmx_cbor_put_bool_field(buffer, W_ONE_ZONE, spec->same_zone);
  tmx_cbor_put_bool_field(buffer, W_SPREAD, spec->spread);
  tmx_cbor_put_bool_field(buffer, W_SPOT, spec->spot_allowed);
  tmx_cbor_put_text_field(buffer, W_CLASS, spec->class);
  tmx_cbor_put_text_field(buffer, W_TEAM, spec->team);
  tmx_cbor_put_text_field(buffer, W_KIND, WV_ARRAY);
  tmx_cbor_put_text_field(buffer, W_PRIORITY, "high");
  tmx_cbor_put_u64_field(buffer, W_TASKS, spec->tasks);
  tmx_cbor_put_double_field(buffer, W_CPUS, spec->cpus);
  tmx_cbor_put_double_field(buffer, W_MEM, spec->mem_gb);
  tmx_cbor_put_text_field(buffer, W_IMAGE, spec->image);
  tmx_cbor_put_double_field(buffer, W_IMAGE_GB, spec->image_gb);
  tmx_cbor_put_text(buffer, W_TYPES);
  tmx_cbor_put_array(buffer, spec->n_types);
  for (size_t i = 0; i < spec->n_types; i++) tmx_cbor_put_text(buffer, spec->types[i]);
  tmx_cbor_put_double_field(buffer, W_ESTIMATE, spec->estimate_s);
  tmx_cbor_put_double_field(buffer, W_CHECKPOINT, spec->checkpoint_s);
  tmx_cbor_put_double_field(buffer, W_CHECKPOINT_SAVE, spec->checkpoint_save_s);
}

/* Sets up to four random bytes of a valid submission to random values, with a fixed seed. The
 * decoder either rejects the result or returns a job within the limits. */
static void a_fuzzed_submission_is_rejected_or_within_limits(void **state) {
  (void)state;
  gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(random, 7);
  struct tmx_job_spec spec = {.tasks = 3, .cpus = 1, .mem_gb = 2, .deadline_s = 9}, decoded;
  char id[TMX_ID_BYTES];
  struct tmx_buffer buffer = {0};
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  strcpy(spec.types[0], "g8");
  spec.n_types = 1;
  encode_submission(&buffer, &spec);
  cbor_item_t *map = tmx_cbor_parse(buffer.data, buffer.length);
  assert_non_null(map);
  assert_true(tmx_job_spec_parse(map, &decoded, id, sizeof id));
  assert_int_equal(decoded.tasks, 3);
  assert_string_equal(decoded.types[0], "g8");
  tmx_cbor_free(map);
  unsigned parsed = 0;
  for (int i = 0; i < 20000; i++) {
    uint8_t copy[1024];
    memcpy(copy, buffer.data, buffer.length);
    for (unsigned changed = 0; changed <= gsl_rng_uniform_int(random, 4); changed++)
      copy[gsl_rng_uniform_int(random, buffer.length)] = (uint8_t)gsl_rng_uniform_int(random, 256);
    map = tmx_cbor_parse(copy, buffer.length);
    if (map && tmx_job_spec_parse(map, &decoded, id, sizeof id)) {
      parsed++;
      assert_in_range(decoded.tasks, 1, TMX_JOB_TASKS_MAX);
      assert_true(decoded.cpus >= 0 && decoded.mem_gb >= 0);
    }
    tmx_cbor_free(map);
  }
  assert_true(parsed > 0);
  tmx_buffer_free(&buffer);
  gsl_rng_free(random);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(encoded_fields_decode_to_the_same_values),
      cmocka_unit_test(malformed_bodies_are_rejected),
      cmocka_unit_test(a_fuzzed_submission_is_rejected_or_within_limits),
  };
  return RUN_TESTS(tests);
}
