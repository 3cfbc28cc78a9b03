/* Dependencies between jobs, on the replica alone: what the log says of one job is derived for
 * those that await it, at once, after a load and after a compaction. */
#include "test.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/settings.h"
#include "planner/planner.h"
#include "replica/operation_check.h"
#include "replica/replica.h"

static struct tmx_settings settings;
static struct tmx_replica replica;
static uint64_t revision;

static int setup(void **state) {
  (void)state;
  memset(&settings, 0, sizeof settings);
  strcpy(settings.zones[0], "a");
  settings.n_zones = 1;
  strcpy(settings.teams[0].name, "t");
  settings.n_teams = 1;
  revision = 0;
  tmx_replica_init(&replica, &settings);
  replica.loaded = true;
  return 0;
}

static int teardown(void **state) {
  (void)state;
  tmx_replica_clear(&replica);
  return 0;
}

static void apply(const char *key, struct tmx_buffer *buffer) {
  cbor_item_t *value = tmx_cbor_parse(buffer->data, buffer->length);
  assert_non_null(value);
  tmx_replica_apply(&replica, key, ++revision, value);
  tmx_cbor_free(value);
  tmx_buffer_free(buffer);
}

static struct tmx_job_spec plain_spec(void) {
  struct tmx_job_spec spec = {
      .tasks = 1, .cpus = 2, .mem_gb = 1, .deadline_s = -1, .estimate_s = 10};
  spec.priority = TMX_PRIORITY_IDLE;
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  return spec;
}

static const char *job_key(const char *id) {
  static char key[TMX_KEY_MAX];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
  return key;
}

/* A job that awaits the given ids, separated by spaces. */
static void put_spec(const char *id, const struct tmx_job_spec *spec, double submitted,
                     const char *names) {
  struct tmx_job_ids awaits = {.ids = calloc(8, TMX_ID_BYTES)};
  struct tmx_buffer buffer = {0};
  char copy[256], *name[8];
  snprintf(copy, sizeof copy, "%s", names);
  awaits.count = (uint32_t)tmx_log_line_split(copy, name, 8);
  for (uint32_t i = 0; i < awaits.count; i++) snprintf(awaits.ids[i], TMX_ID_BYTES, "%s", name[i]);
  assert_int_equal(tmx_job_encode_open(&buffer, id, spec, submitted, &awaits, 2000), awaits.count);
  tmx_job_ids_free(&awaits);
  apply(job_key(id), &buffer);
}
static void put(const char *id, const char *names) {
  struct tmx_job_spec spec = plain_spec();
  put_spec(id, &spec, 100, names);
}

static struct tmx_job *job(const char *id) {
  struct tmx_job *job = tmx_job_find(&replica, id);
  assert_non_null(job);
  return job;
}

static void end(const char *id, int fin, double ended_at) {
  struct tmx_buffer buffer = {0};
  tmx_job_encode_final(&buffer, job(id), fin, ended_at, 2000);
  apply(job_key(id), &buffer);
}

static void put_lines(const char *line) {
  struct tmx_buffer buffer = {0}, list = {0};
  tmx_cbor_put_text(&list, line);
  tmx_log_value_encode(&buffer, NULL, 0, &list, 1);
  tmx_buffer_free(&list);
  apply(TMX_KEY_BATCH "h/1", &buffer);
}

static bool placeable(const char *id) {
  struct tmx_operation operation = {.kind = TMX_OPERATION_PLACE, .attempt = 1};
  struct tmx_operation_check check;
  snprintf(operation.job, sizeof operation.job, "%s", id);
  strcpy(operation.machine, "n-1");
  put_lines("m n-1 127.0.0.1:1 big a 0 0");
  struct tmx_machine *machine = tmx_machine_find(&replica, "n-1");
  machine->capacity_cpus = machine->capacity_mem_gb = 64;
  tmx_operation_check_begin(&check, &replica);
  return tmx_operation_check_apply(&check, &operation);
}

/* too_early: no line that places a blocked job passes the check, whoever planned it. */
static void a_job_is_blocked_until_all_it_awaits_are_done(void **state) {
  (void)state;
  put("wk-a", "");
  put("wk-b", "");
  put("wk-c", "wk-a wk-b");
  assert_true(tmx_job_is_blocked(job("wk-c")));
  assert_true(replica.waiting_cpus == 4); /* of a and b: c asks for nothing yet */
  assert_false(placeable("wk-c"));
  end("wk-a", TMX_JOB_DONE, 150);
  assert_false(placeable("wk-c"));
  end("wk-b", TMX_JOB_DONE, 170);
  assert_false(tmx_job_is_blocked(job("wk-c")));
  assert_true(job("wk-c")->released_at == 170);
  assert_true(replica.waiting_cpus == 2);
  assert_true(placeable("wk-c"));
}

/* orphaned: one cancellation ends all that needs the job, directly or not, at its own revision. */
static void cancellation_reaches_the_end_of_the_chain(void **state) {
  (void)state;
  put("wk-a", "");
  put("wk-b", "wk-a");
  put("wk-c", "wk-b");
  put("wk-d", "");
  put("wk-e", "wk-c wk-d");
  end("wk-a", TMX_JOB_CANCELLED, 0);
  for (const char **id = (const char *[]){"wk-b", "wk-c", "wk-e", NULL}; *id; id++)
    assert_int_equal(job(*id)->outcome, TMX_JOB_CANCELLED);
  assert_int_equal(job("wk-d")->outcome, TMX_JOB_OPEN);
  assert_true(replica.waiting_cpus == 2);
  assert_int_equal(replica.n_unstored_outcomes, 3);
  end("wk-b", TMX_JOB_CANCELLED, 0);
  tmx_replica_prune_unstored_outcomes(&replica);
  assert_int_equal(replica.n_unstored_outcomes, 2);
  end("wk-d", TMX_JOB_DONE, 160); /* comes too late for the others */
  assert_int_equal(job("wk-e")->outcome, TMX_JOB_CANCELLED);
}

static void a_job_that_awaits_a_cancelled_one_is_cancelled(void **state) {
  (void)state;
  put("wk-a", "");
  put("wk-b", "");
  end("wk-a", TMX_JOB_CANCELLED, 0);
  put("wk-c", "wk-a wk-b");
  assert_int_equal(job("wk-c")->outcome, TMX_JOB_CANCELLED);
  put("wk-d", "wk-c");
  assert_int_equal(job("wk-d")->outcome, TMX_JOB_CANCELLED);
}

/* A cancellation at the last end: the job's key lets one of the two win, and all follow it. */
static void a_done_job_releases_those_that_await_it(void **state) {
  (void)state;
  put("wk-a", "");
  put("wk-b", "wk-a");
  end("wk-a", TMX_JOB_DONE, 150);
  assert_int_equal(job("wk-b")->outcome, TMX_JOB_OPEN);
  assert_false(tmx_job_is_blocked(job("wk-b")));
}

static void load_all(struct tmx_store_entry *items, size_t count) {
  tmx_replica_clear(&replica);
  replica.load_revision = 100;
  tmx_replica_load(&replica, items, count);
  tmx_replica_advance_to(&replica, 100);
  assert_true(replica.loaded);
}

static cbor_item_t *encoded(const char *id, const char *names, int fin, double ended) {
  struct tmx_job_ids awaits = {.ids = calloc(1, TMX_ID_BYTES), .count = names[0] != 0};
  struct tmx_job_spec spec = plain_spec();
  struct tmx_buffer buffer = {0};
  struct tmx_job job = {.spec = spec, .submitted_at = 100};
  snprintf(job.id, sizeof job.id, "%s", id);
  snprintf(awaits.ids[0], TMX_ID_BYTES, "%s", names);
  if (fin)
    tmx_job_encode_final(&buffer, &job, fin, ended, 2000);
  else
    tmx_job_encode_open(&buffer, id, &spec, 100, &awaits, 2000);
  cbor_item_t *value = tmx_cbor_parse(buffer.data, buffer.length);
  tmx_job_ids_free(&awaits);
  tmx_buffer_free(&buffer);
  return value;
}

/* A controller that starts reads keys in another order than they were written. Release and
 * cancellation are the same as on those that saw it happen, the time of the release too. */
static void a_load_derives_the_same_states(void **state) {
  (void)state;
  struct tmx_store_entry items[] = {
      {TMX_KEY_JOB "wk-a", 9, encoded("wk-a", "", TMX_JOB_DONE, 180)},
      {TMX_KEY_JOB "wk-b", 2, encoded("wk-b", "wk-a", 0, 0)},
      {TMX_KEY_JOB "wk-c", 1, encoded("wk-c", "wk-d", 0, 0)},
      {TMX_KEY_JOB "wk-d", 3, encoded("wk-d", "wk-e", 0, 0)},
      {TMX_KEY_JOB "wk-e", 8, encoded("wk-e", "", TMX_JOB_CANCELLED, 0)},
  };
  size_t count = sizeof items / sizeof items[0];
  load_all(items, count);
  assert_false(tmx_job_is_blocked(job("wk-b")));
  assert_true(job("wk-b")->released_at == 180);
  assert_int_equal(job("wk-c")->outcome, TMX_JOB_CANCELLED);
  assert_int_equal(job("wk-d")->outcome, TMX_JOB_CANCELLED);
  assert_int_equal(replica.n_unstored_outcomes, 2);
  for (size_t i = 0; i < count; i++) tmx_cbor_free((cbor_item_t *)items[i].value);
}

/* Ids without room in the record come in lines: until all are there the job is blocked, and lines
 * that are applied again change nothing. */
static void a_job_is_blocked_until_all_its_dependency_lines_are_read(void **state) {
  (void)state;
  struct tmx_job_spec spec = plain_spec();
  struct tmx_job_ids awaits = {.ids = calloc(400, TMX_ID_BYTES), .count = 400};
  struct tmx_buffer buffer = {0};
  char line[TMX_LOG_LINE_BYTES];
  for (uint32_t i = 0; i < 400; i++) {
    snprintf(awaits.ids[i], TMX_ID_BYTES, "wk-%06u", i);
    put(awaits.ids[i], "");
  }
  uint32_t written = tmx_job_encode_open(&buffer, "wk-last", &spec, 100, &awaits, 900);
  assert_true(tmx_json_length(&buffer) <= 900);
  assert_in_range(written, 50, 399);
  apply(job_key("wk-last"), &buffer);
  uint32_t second = written;
  tmx_dependency_line_print(line, sizeof line, "wk-last", &awaits, &second);
  while (written < awaits.count) {
    assert_true(tmx_job_is_blocked(job("wk-last")));
    assert_null(job("wk-last")->dependencies.prerequisites);
    tmx_dependency_line_print(line, sizeof line, "wk-last", &awaits, &written);
    assert_true(strlen(line) < TMX_LOG_LINE_BYTES);
    put_lines(line);
    put_lines(line);
  }
  assert_int_equal(job("wk-last")->dependencies.n_unfinished, 400);
  for (uint32_t i = 0; i < 400; i++) {
    assert_true(tmx_job_is_blocked(job("wk-last")));
    end(awaits.ids[i], TMX_JOB_DONE, 110);
  }
  assert_false(tmx_job_is_blocked(job("wk-last")));
  tmx_job_ids_free(&awaits);
}

/* The last job's priority and deadline count for all before it, less the runs in between, and no
 * more once it is gone. */
static void jobs_inherit_the_urgency_of_those_that_await_them(void **state) {
  (void)state;
  struct tmx_job_spec spec = plain_spec();
  put("wk-a", "");
  put("wk-b", "wk-a");
  spec.priority = TMX_PRIORITY_HIGH;
  spec.deadline_s = 90;
  put_spec("wk-c", &spec, 100, "wk-b");
  assert_int_equal(job("wk-b")->urgency.priority, TMX_PRIORITY_HIGH);
  assert_int_equal(job("wk-a")->urgency.priority, TMX_PRIORITY_HIGH);
  assert_true(job("wk-c")->urgency.due_at == 190);
  assert_true(job("wk-b")->urgency.due_at == 180);
  assert_true(job("wk-a")->urgency.due_at == 170);
  spec.priority = TMX_PRIORITY_NORMAL;
  spec.deadline_s = 120;
  put_spec("wk-d", &spec, 100, "wk-b");
  end("wk-c", TMX_JOB_CANCELLED, 0);
  assert_int_equal(job("wk-b")->urgency.priority, TMX_PRIORITY_NORMAL);
  assert_int_equal(job("wk-a")->urgency.priority, TMX_PRIORITY_NORMAL);
  assert_true(job("wk-a")->urgency.due_at == 200);
  end("wk-d", TMX_JOB_CANCELLED, 0);
  assert_int_equal(job("wk-a")->urgency.priority, TMX_PRIORITY_IDLE);
  assert_true(isinf(job("wk-a")->urgency.due_at));
}

/* Long chains and wide fans cost what they contain, and nothing recurses. */
static void a_cancellation_passes_long_chains_and_wide_fans(void **state) {
  (void)state;
  enum { CHAIN = 20000, FAN = 5000 };
  char id[TMX_ID_BYTES], before[TMX_ID_BYTES] = "";
  for (int i = 0; i < CHAIN; i++) {
    snprintf(id, sizeof id, "wk-c%d", i);
    put(id, before);
    strcpy(before, id);
  }
  for (int i = 0; i < FAN; i++) {
    snprintf(id, sizeof id, "wk-f%d", i);
    put(id, before);
  }
  end("wk-c0", TMX_JOB_CANCELLED, 0);
  assert_int_equal(replica.n_unstored_outcomes, CHAIN - 1 + FAN);
  assert_int_equal(job("wk-f4999")->outcome, TMX_JOB_CANCELLED);
}

/* The version in production reads records of 19 entries: those of jobs that await nothing and are
 * awaited by none must have just these. */
static void records_without_dependencies_keep_the_production_form(void **state) {
  (void)state;
  struct tmx_job_spec spec = plain_spec();
  struct tmx_job_ids none = {0};
  struct tmx_buffer before = {0}, now = {0};
  tmx_job_encode(&before, "wk-a", &spec, 100, TMX_JOB_OPEN);
  tmx_job_encode_open(&now, "wk-a", &spec, 100, &none, 2000);
  assert_int_equal(now.length, before.length);
  assert_memory_equal(now.data, before.data, now.length);
  put("wk-a", "");
  before.length = now.length = 0;
  tmx_job_encode(&before, "wk-a", &spec, 100, TMX_JOB_DONE);
  tmx_job_encode_final(&now, job("wk-a"), TMX_JOB_DONE, 0, 2000);
  assert_int_equal(now.length, before.length);
  assert_memory_equal(now.data, before.data, now.length);
  assert_false(replica.dependencies_in_use);
  tmx_buffer_free(&before);
  tmx_buffer_free(&now);
}

/* A job that was accepted under a larger limit must still come to its final state. */
static void a_final_state_fits_the_smallest_value(void **state) {
  (void)state;
  struct tmx_job job = {.spec = plain_spec(), .submitted_at = 1.7e9 + 0.123456};
  struct tmx_buffer buffer = {0};
  settings.value_kb = 1;
  memset(job.id, 'x', sizeof job.id - 1);
  memset(job.spec.class, 'c', TMX_NAME_BYTES - 1);
  memset(job.spec.team, 't', TMX_NAME_BYTES - 1);
  memset(job.spec.image, 'i', TMX_NAME_BYTES - 1);
  memset(job.spec.zone, 'z', TMX_NAME_BYTES - 1);
  job.spec.n_types = TMX_MACHINE_TYPES_MAX;
  for (size_t i = 0; i < TMX_MACHINE_TYPES_MAX; i++)
    memset(job.spec.types[i], 'y', TMX_ID_BYTES - 1);
  job.spec.cpus = job.spec.mem_gb = job.spec.image_gb = 1.0 / 3;
  tmx_job_encode_final(&buffer, &job, TMX_JOB_DONE, 1.7e9 + 0.654321,
                       tmx_value_json_length_max(&settings));
  assert_true(tmx_json_length(&buffer) <= tmx_value_json_length_max(&settings));
  struct tmx_job_record record;
  cbor_item_t *value = tmx_cbor_parse(buffer.data, buffer.length);
  assert_true(tmx_job_decode(value, &record));
  assert_int_equal(record.outcome, TMX_JOB_DONE);
  assert_string_equal(record.spec.team, job.spec.team);
  assert_true(record.spec.cpus == job.spec.cpus);
  tmx_cbor_free(value);
  tmx_buffer_free(&buffer);
}

/* Operations of one job that share a line mean what they mean each in a line of its own. */
static void append_operation(void *arg, const struct tmx_operation *operation) {
  char line[TMX_LOG_LINE_BYTES], *all = arg;
  tmx_operation_print(line, sizeof line, operation);
  snprintf(all + strlen(all), 512 - strlen(all), "%s;", line);
}
static void a_line_of_several_operations_means_each_of_them(void **state) {
  (void)state;
  char all[512] = "";
  tmx_log_line_for_each_operation("P wk-1 2 0:n-1 7:n-2", append_operation, all);
  tmx_log_line_for_each_operation("E wk-1 2 d 0 3", append_operation, all);
  tmx_log_line_for_each_operation("e wk-1/4 1 l", append_operation, all);
  assert_string_equal(all, "p wk-1/0 2 n-1;p wk-1/7 2 n-2;e wk-1/0 2 d;e wk-1/3 2 d;e wk-1/4 1 l;");
  all[0] = 0; /* a malformed line holds no operation */
  static const char *const malformed[] = {
      "P wk-1 2",     "P wk-1 2 0",  "P wk-1 x 0:n-1", "PP wk-1 2 0:n-1",
      "E wk-1 2 d x", "P wk-1 2 0:", "E wk-1 2 d 1:n"};
  for (size_t i = 0; i < sizeof malformed / sizeof *malformed; i++)
    tmx_log_line_for_each_operation(malformed[i], append_operation, all);
  assert_string_equal(all, "");
  struct tmx_operation operation = {.kind = TMX_OPERATION_PLACE, .task = 7, .attempt = 2}, other;
  strcpy(operation.job, "wk-1");
  strcpy(operation.machine, "n-2");
  int length = tmx_operation_group_head_print(all, sizeof all, &operation);
  tmx_operation_group_item_print(all + length, sizeof all - (size_t)length, &operation);
  assert_string_equal(all, "P wk-1 2 7:n-2");
  other = operation;
  other.attempt = 3;
  assert_false(tmx_operation_same_group(&operation, &other));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_job_is_blocked_until_all_it_awaits_are_done, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(cancellation_reaches_the_end_of_the_chain, setup, teardown),
      cmocka_unit_test_setup_teardown(a_job_that_awaits_a_cancelled_one_is_cancelled, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_done_job_releases_those_that_await_it, setup, teardown),
      cmocka_unit_test_setup_teardown(a_load_derives_the_same_states, setup, teardown),
      cmocka_unit_test_setup_teardown(a_job_is_blocked_until_all_its_dependency_lines_are_read,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(jobs_inherit_the_urgency_of_those_that_await_them, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_cancellation_passes_long_chains_and_wide_fans, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_line_of_several_operations_means_each_of_them, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(records_without_dependencies_keep_the_production_form, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_final_state_fits_the_smallest_value, setup, teardown),
  };
  return RUN_TESTS(tests);
}
