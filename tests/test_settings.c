/* Tests the settings of a controller and of its operator: missing and invalid fields are refused,
 * with an error that names the field. */
#include "test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "config/settings.h"
#include "tmx/constants.h"

static const char valid_settings[] =
    "{\"host_name\":\"hand-0\",\"location\":\"a\",\"listen\":\"127.0.0.1:0\","
    "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[],\"new_field\":1,"
    "\"services\":{\"cloud\":\"127.0.0.1:1\",\"state\":\"127.0.0.1:2\"},\"cluster\":{"
    "\"zones\":[\"a\"],\"teams\":[{\"name\":\"t\"}],"
    "\"workers\":{\"report_s\":3.0,\"lease_s\":20.0,\"cancel_s\":40.0},"
    "\"state\":{\"rps\":200,\"write_rps\":40,\"value_kb\":16,\"txn_ops\":32},"
    "\"cloud\":{\"rps\":10,\"list_lag_s\":8},"
    "\"quota\":{\"core_share\":0.3,\"ram_mb\":264,\"sockets\":5000},\"clock_off_ms\":5}}";

/* Tests `state.next`, the limits of the store that will apply later. For each field, the smaller of
 * the present and the next limit takes effect. Each next limit is validated. */
static void check_next_limits(void) {
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
    const char *insert_at = strstr(valid_settings, "\"txn_ops\"");
    assert_non_null(insert_at);
    snprintf(text, sizeof text, "%.*s\"next\":%s,%s", (int)(insert_at - valid_settings),
             valid_settings, cases[i].next, insert_at);
    assert_int_equal(tmx_settings_parse(&settings, text, err, sizeof err), !cases[i].wrong);
    if (cases[i].wrong) {
      assert_non_null(strstr(err, cases[i].wrong));
      continue;
    }
    assert_true(settings.write_rps == cases[i].write_rps && settings.value_kb == cases[i].value_kb);
    assert_int_equal(settings.txn_ops, cases[i].txn_ops);
  }
}

static void faulty_settings_are_refused_with_a_reason(void **state) {
  (void)state;
  struct tmx_settings settings;
  char err[256], text[2048];
  assert_true(tmx_settings_parse(&settings, valid_settings, err, sizeof err));
  assert_string_equal(settings.node_name, "hand-0");
  assert_int_equal(settings.txn_ops, 32);
  static const char *fields[] = {"host_name", "peer_listen", "zones", "lease_s",
                                 "txn_ops",   "sockets",     "state"};
  for (size_t i = 0; i < sizeof fields / sizeof *fields; i++) {
    char quoted[32];
    snprintf(quoted, sizeof quoted, "\"%s\"", fields[i]);
    strcpy(text, valid_settings);
    char *at = strstr(text, quoted);
    assert_non_null(at);
    at[1] = 'X'; /* makes the field missing */
    assert_false(tmx_settings_parse(&settings, text, err, sizeof err));
    assert_non_null(strstr(err, fields[i]));
    assert_null(strchr(err, '\n'));
  }
  check_next_limits();
  /* If the time between the end of a lease and the cancellation is too short for any safe bound on
   * the age of the replica, the settings are refused; the bound is not clamped. For long leases the
   * bound leaves room for clock drift. */
  static const char *lease_fields[] = {"\"lease_s\":37.5,", "\"lease_s\":20.0,",
                                       "\"lease_s\":2995.0,"};
  static const char *cancel_values[] = {"40.0", "40.0", "3000.0"};
  for (int i = 0; i < 3; i++) {
    const char *lease = strstr(valid_settings, "\"lease_s\":20.0,"),
               *rest = strstr(valid_settings, "40.0");
    assert_true(lease && rest);
    snprintf(text, sizeof text, "%.*s%s\"cancel_s\":%s%s", (int)(lease - valid_settings),
             valid_settings, lease_fields[i], cancel_values[i], rest + 4);
    assert_int_equal(tmx_settings_parse(&settings, text, err, sizeof err), i != 0);
    if (i)
      assert_true(tmx_renewal_replica_age_max(&settings) +
                      settings.lease_s * (1 + TMX_CLOCK_DRIFT_SHARE_MAX) <
                  settings.cancel_s);
  }
  /* A list that is longer than its table is refused, not truncated. */
  char too_many_objectives[4096];
  const char *at = strstr(valid_settings, "\"cluster\"");
  assert_non_null(at);
  at = strchr(at, '{') + 1;
  size_t length =
      (size_t)snprintf(too_many_objectives, sizeof too_many_objectives, "%.*s\"objectives\":[{}",
                       (int)(at - valid_settings), valid_settings);
  for (int i = 0; i < TMX_OBJECTIVES_MAX; i++)
    length +=
        (size_t)snprintf(too_many_objectives + length, sizeof too_many_objectives - length, ",{}");
  snprintf(too_many_objectives + length, sizeof too_many_objectives - length, "],%s", at);
  assert_false(tmx_settings_parse(&settings, too_many_objectives, err, sizeof err));
  assert_non_null(strstr(err, "objectives"));
  assert_false(tmx_settings_parse(&settings, "[1]", err, sizeof err));
  assert_false(tmx_settings_parse(&settings, "{", err, sizeof err));
}

/* Guards against a write beyond the end of a table: a list that is longer than it is refused. */
static void lists_that_are_too_long_are_refused(void **state) {
  (void)state;
  enum { ZONES = 1000 };
  struct tmx_settings *settings = calloc(1, sizeof *settings);
  char err[256], *text = calloc(1, sizeof valid_settings + (size_t)ZONES * 8);
  assert_non_null(settings);
  assert_non_null(text);
  const char *zones = strstr(valid_settings, "\"a\"],\"teams\"");
  assert_non_null(zones);
  int length = sprintf(text, "%.*s", (int)(zones - valid_settings), valid_settings);
  for (int zone = 0; zone < ZONES; zone++) length += sprintf(text + length, "\"z%d\",", zone);
  strcpy(text + length, zones);
  assert_false(tmx_settings_parse(settings, text, err, sizeof err));
  assert_non_null(strstr(err, "cluster.zones: too long a list"));
  free(text);
  free(settings);
}

static bool load_operator_settings(const char *text, char *err, size_t cap) {
  struct tmx_operator_settings operators;
  char path[] = "/tmp/tmx-op-XXXXXX";
  int fd = mkstemp(path);
  FILE *file = fdopen(fd, "w");
  fputs(text, file);
  fclose(file);
  tmx_operator_settings_set_defaults(&operators);
  bool loaded = tmx_operator_settings_load(&operators, path, err, cap);
  remove(path);
  return loaded;
}

static void faulty_operator_settings_are_refused_with_a_reason(void **state) {
  (void)state;
  char err[512];
  assert_true(load_operator_settings("idle_return_s = 90\nheadroom = 0.2\n", err, sizeof err));
  assert_false(load_operator_settings("idle_retrn_s = 90\n", err, sizeof err));
  assert_non_null(strstr(err, "idle_retrn_s"));
  assert_false(load_operator_settings("headroom = 7.0\n", err, sizeof err));
  assert_non_null(strstr(err, "headroom"));
  assert_false(load_operator_settings("headroom = ", err, sizeof err));
  assert_null(strchr(err, '\n'));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(faulty_settings_are_refused_with_a_reason),
      cmocka_unit_test(lists_that_are_too_long_are_refused),
      cmocka_unit_test(faulty_operator_settings_are_refused_with_a_reason),
  };
  return RUN_TESTS(tests);
}
