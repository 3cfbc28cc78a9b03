/* The decoder against garbage, with fixed seeds, and the settings. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/settings.h"
#include "net/cbor.h"
#include "replica/replica.h"
#include "tmx/wire.h"
#include "tmx/constants.h"

static void round_trip(void **state) {
  (void)state;
  struct tmx_buffer buffer = {0};
  char text[16];
  uint64_t integer;
  double number;
  bool truth;
  tmx_cbor_put_map(&buffer, 4);
  tmx_cbor_put_text_field(&buffer, "a", "text");
  tmx_cbor_put_u64_field(&buffer, "b", UINT64_MAX);
  tmx_cbor_put_number_field(&buffer, "c", 4.5);
  tmx_cbor_put_bool_field(&buffer, "d", true);
  cbor_item_t *map = tmx_cbor_parse(buffer.data, buffer.length);
  assert_non_null(map);
  assert_true(tmx_cbor_get_text(map, "a", text, sizeof text) && !strcmp(text, "text"));
  assert_true(tmx_cbor_get_u64(map, "b", &integer) && integer == UINT64_MAX);
  assert_true(tmx_cbor_get_number(map, "c", &number) && number == 4.5);
  assert_true(tmx_cbor_get_bool(map, "d", &truth) && truth);
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

static void hostile_bodies(void **state) {
  (void)state;
  /* a list that claims 2^60 members, a text that claims 2^40 bytes, an endless list, a tag */
  static const uint8_t list[] = {0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0, 0x01};
  static const uint8_t map[] = {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01};
  static const uint8_t text[] = {0x7b, 0, 0, 1, 0, 0, 0, 0, 0, 'a'};
  static const uint8_t open[] = {0x9f, 0x01, 0x02};
  static const uint8_t brk[] = {0xff};
  static const uint8_t tag[] = {0xc0, 0x01};
  assert_null(tmx_cbor_parse(list, sizeof list));
  assert_null(tmx_cbor_parse(map, sizeof map));
  assert_null(tmx_cbor_parse(text, sizeof text));
  assert_null(tmx_cbor_parse(open, sizeof open));
  assert_null(tmx_cbor_parse(brk, sizeof brk));
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

static void encode_submission(struct tmx_buffer *buffer,
                              const struct tmx_job_spec *spec) { /* as a user sends it */
  tmx_cbor_put_map(buffer, 18);
  tmx_cbor_put_text_field(buffer, W_ID, "wk-1");
  tmx_cbor_put_number_field(buffer, W_GPUS, spec->gpus);
  tmx_cbor_put_bool_field(buffer, W_ONE_ZONE, spec->same_zone);
  tmx_cbor_put_bool_field(buffer, W_SPREAD, spec->spread);
  tmx_cbor_put_bool_field(buffer, W_SPOT, spec->spot_allowed);
  tmx_cbor_put_text_field(buffer, W_CLASS, spec->class);
  tmx_cbor_put_text_field(buffer, W_TEAM, spec->team);
  tmx_cbor_put_text_field(buffer, W_KIND, WV_ARRAY);
  tmx_cbor_put_text_field(buffer, W_PRIORITY, "high");
  tmx_cbor_put_u64_field(buffer, W_TASKS, spec->tasks);
  tmx_cbor_put_number_field(buffer, W_CPUS, spec->cpus);
  tmx_cbor_put_number_field(buffer, W_MEM, spec->mem_gb);
  tmx_cbor_put_text_field(buffer, W_IMAGE, spec->image);
  tmx_cbor_put_number_field(buffer, W_IMAGE_GB, spec->image_gb);
  tmx_cbor_put_text(buffer, W_TYPES);
  tmx_cbor_put_list(buffer, spec->n_types);
  for (size_t i = 0; i < spec->n_types; i++) tmx_cbor_put_text(buffer, spec->types[i]);
  tmx_cbor_put_number_field(buffer, W_ESTIMATE, spec->estimate_s);
  tmx_cbor_put_number_field(buffer, W_CHECKPOINT, spec->checkpoint_s);
  tmx_cbor_put_number_field(buffer, W_SAVE, spec->checkpoint_save_s);
}

static void fuzzed_bodies(void **state) {
  (void)state;
  gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(random, 7);
  struct tmx_job_spec spec = {.tasks = 3, .cpus = 1, .mem_gb = 2, .deadline_s = 9}, back;
  char id[TMX_ID_MAX];
  struct tmx_buffer buffer = {0};
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  strcpy(spec.types[0], "g8");
  spec.n_types = 1;
  encode_submission(&buffer, &spec);
  cbor_item_t *map = tmx_cbor_parse(buffer.data, buffer.length);
  assert_non_null(map);
  assert_true(tmx_job_spec_parse(map, &back, id, sizeof id));
  assert_int_equal(back.tasks, 3);
  assert_string_equal(back.types[0], "g8");
  tmx_cbor_free(map);
  unsigned parsed = 0;
  for (int i = 0; i < 20000; i++) {
    uint8_t copy[1024];
    memcpy(copy, buffer.data, buffer.length);
    for (unsigned k = 0; k <= gsl_rng_uniform_int(random, 4); k++)
      copy[gsl_rng_uniform_int(random, buffer.length)] = (uint8_t)gsl_rng_uniform_int(random, 256);
    map = tmx_cbor_parse(copy, buffer.length);
    if (map && tmx_job_spec_parse(map, &back, id, sizeof id)) {
      parsed++;
      assert_in_range(back.tasks, 1, TMX_TASKS_MAX);
      assert_true(back.cpus >= 0 && back.mem_gb >= 0);
    }
    tmx_cbor_free(map);
  }
  assert_true(parsed > 0);
  tmx_buffer_free(&buffer);
  gsl_rng_free(random);
}

static const char good[] =
    "{\"host_name\":\"hand-0\",\"location\":\"a\",\"listen\":\"127.0.0.1:0\","
    "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[],\"new_field\":1,"
    "\"services\":{\"cloud\":\"127.0.0.1:1\",\"state\":\"127.0.0.1:2\"},\"cluster\":{"
    "\"zones\":[\"a\"],\"teams\":[{\"name\":\"t\"}],"
    "\"workers\":{\"report_s\":3.0,\"lease_s\":20.0,\"cancel_s\":40.0},"
    "\"state\":{\"rps\":200,\"write_rps\":40,\"value_kb\":16,\"txn_ops\":32},"
    "\"cloud\":{\"rps\":10,\"list_lag_s\":8},"
    "\"quota\":{\"core_share\":0.3,\"ram_mb\":264,\"sockets\":5000},\"clock_off_ms\":5}}";

/* The limits to come: the smaller of both counts, field by field, and each is checked. */
static void next_limits(void) {
  static const struct {
    const char *next, *wrong;
    double write_rps, value_kb;
    int txn_ops;
  } cases[] = {
      {"null", NULL, 40, 16, 32},
      {"{}", NULL, 40, 16, 32},
      {"{\"write_rps\":18,\"value_kb\":2,\"txn_ops\":4}", NULL, 18, 2, 4},
      {"{\"write_rps\":90,\"value_kb\":32,\"txn_ops\":64}", NULL, 40, 16, 32},
      {"{\"value_kb\":2,\"other\":1}", NULL, 40, 2, 32},
      {"7", "state.next", 0, 0, 0},
      {"{\"write_rps\":\"x\"}", "state.next.write_rps", 0, 0, 0},
      {"{\"value_kb\":0.5}", "state.next.value_kb", 0, 0, 0},
      {"{\"txn_ops\":3}", "state.next.txn_ops", 0, 0, 0},
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
    struct tmx_settings settings;
    char err[256], text[2048];
    const char *insert_at = strstr(good, "\"txn_ops\"");
    assert_non_null(insert_at);
    snprintf(text, sizeof text, "%.*s\"next\":%s,%s", (int)(insert_at - good), good, cases[i].next,
             insert_at);
    assert_int_equal(tmx_settings_parse(&settings, text, err, sizeof err), !cases[i].wrong);
    if (cases[i].wrong) {
      assert_non_null(strstr(err, cases[i].wrong));
      continue;
    }
    assert_true(settings.write_rps == cases[i].write_rps && settings.value_kb == cases[i].value_kb);
    assert_int_equal(settings.txn_ops, cases[i].txn_ops);
  }
}

static void settings(void **state) {
  (void)state;
  struct tmx_settings settings;
  char err[256], text[2048];
  assert_true(tmx_settings_parse(&settings, good, err, sizeof err));
  assert_string_equal(settings.node_name, "hand-0");
  assert_int_equal(settings.txn_ops, 32);
  static const char *fields[] = {"host_name", "peer_listen", "zones", "lease_s",
                                 "txn_ops",   "sockets",     "state"};
  for (size_t i = 0; i < sizeof fields / sizeof *fields; i++) {
    char quoted[32];
    snprintf(quoted, sizeof quoted, "\"%s\"", fields[i]);
    strcpy(text, good);
    char *at = strstr(text, quoted);
    assert_non_null(at);
    at[1] = 'X'; /* the field is missing now */
    assert_false(tmx_settings_parse(&settings, text, err, sizeof err));
    assert_non_null(strstr(err, fields[i]));
    assert_null(strchr(err, '\n'));
  }
  next_limits();
  /* so little lies between a lease and a cancellation that no freshness bound is safe: refused, and
   * not clamped; of long leases drifting clocks take their part */
  static const char *tight[] = {"\"lease_s\":37.5,", "\"lease_s\":20.0,", "\"lease_s\":2995.0,"};
  static const char *cancel[] = {"40.0", "40.0", "3000.0"};
  for (int i = 0; i < 3; i++) {
    const char *lease = strstr(good, "\"lease_s\":20.0,"), *rest = strstr(good, "40.0");
    assert_true(lease && rest);
    snprintf(text, sizeof text, "%.*s%s\"cancel_s\":%s%s", (int)(lease - good), good, tight[i],
             cancel[i], rest + 4);
    assert_int_equal(tmx_settings_parse(&settings, text, err, sizeof err), i != 0);
    if (i)
      assert_true(tmx_fresh_bound(&settings) + settings.lease_s * (1 + TMX_CLOCK_DRIFT) <
                  settings.cancel_s);
  }
  /* more than a table holds is refused, not cut short */
  char many[4096];
  const char *at = strstr(good, "\"cluster\"");
  assert_non_null(at);
  at = strchr(at, '{') + 1;
  int length = snprintf(many, sizeof many, "%.*s\"objectives\":[{}", (int)(at - good), good);
  for (int i = 0; i < TMX_OBJECTIVES_MAX; i++)
    length += snprintf(many + length, sizeof many - length, ",{}");
  snprintf(many + length, sizeof many - length, "],%s", at);
  assert_false(tmx_settings_parse(&settings, many, err, sizeof err));
  assert_non_null(strstr(err, "objectives"));
  assert_false(tmx_settings_parse(&settings, "[1]", err, sizeof err));
  assert_false(tmx_settings_parse(&settings, "{", err, sizeof err));
}

static bool operator_file(const char *text, char *err, size_t cap) {
  struct tmx_operator_settings operators;
  char path[] = "/tmp/tmx-op-XXXXXX";
  int fd = mkstemp(path);
  FILE *file = fdopen(fd, "w");
  fputs(text, file);
  fclose(file);
  tmx_operator_defaults(&operators);
  bool loaded = tmx_operator_load(&operators, path, err, cap);
  remove(path);
  return loaded;
}

static void operator_settings(void **state) {
  (void)state;
  char err[512];
  assert_true(operator_file("idle_return_s = 90\nheadroom = 0.2\n", err, sizeof err));
  assert_false(operator_file("idle_retrn_s = 90\n", err, sizeof err));
  assert_non_null(strstr(err, "idle_retrn_s"));
  assert_false(operator_file("headroom = 7.0\n", err, sizeof err));
  assert_non_null(strstr(err, "headroom"));
  assert_false(operator_file("headroom = ", err, sizeof err));
  assert_null(strchr(err, '\n'));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(round_trip),        cmocka_unit_test(hostile_bodies),
      cmocka_unit_test(fuzzed_bodies),     cmocka_unit_test(settings),
      cmocka_unit_test(operator_settings),
  };
  return RUN_TESTS(tests);
}
