/* Dependencies between jobs in a replica: the state of a job determines that of its dependents,
 * whether the replica follows the log, loads it or reads compacted keys. */
#include "replica_fixture.h"
#include "test.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/settings.h"
#include "planner/planner.h"
#include "replica/operation_check.h"
#include "replica/replica.h"

static uint64_t revision;

static int setup(void **state) {
  (void)state;
  revision = 0;
  replica_fixture_init();
  replica.loaded = true;
  return 0;
}

static int teardown(void **state) {
  (void)state;
  tmx_replica_clear(&replica);
  return 0;
}

static void apply(const char *key, struct tmx_buffer *buffer) {
  replica_fixture_apply(key, ++revision, buffer);
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

/* Applies the record of a job with the given prerequisites; their ids are separated by spaces. */
static void put_spec(const char *id, const struct tmx_job_spec *spec, double submitted_at,
                     const char *prerequisite_ids) {
  struct tmx_job_ids prerequisites = {.ids = calloc(8, TMX_ID_BYTES)};
  struct tmx_buffer buffer = {0};
  char text[256], *ids[8];
  snprintf(text, sizeof text, "%s", prerequisite_ids);
  prerequisites.count = (uint32_t)tmx_log_line_split(text, ids, 8);
  for (uint32_t i = 0; i < prerequisites.count; i++)
    snprintf(prerequisites.ids[i], TMX_ID_BYTES, "%s", ids[i]);
  assert_int_equal(tmx_job_encode_open(&buffer, id, spec, submitted_at, &prerequisites, 2000),
                   prerequisites.count);
  tmx_job_ids_free(&prerequisites);
  apply(job_key(id), &buffer);
}
static void put(const char *id, const char *prerequisite_ids) {
  struct tmx_job_spec spec = plain_spec();
  put_spec(id, &spec, 100, prerequisite_ids);
}

static struct tmx_job *job(const char *id) {
  struct tmx_job *job = tmx_job_find(&replica, id);
  assert_non_null(job);
  return job;
}

static void end(const char *id, int outcome, double ended_at) {
  struct tmx_buffer buffer = {0};
  tmx_job_encode_final(&buffer, job(id), outcome, ended_at, 2000);
  apply(job_key(id), &buffer);
}

static void put_lines(const char *line) {
  struct tmx_buffer buffer = {0}, list = {0};
  tmx_cbor_put_text(&list, line);
  tmx_log_value_encode(&buffer, NULL, 0, &list, 1);
  tmx_buffer_free(&list);
  apply(TMX_KEY_BATCH "h/1", &buffer);
}

static bool can_be_placed(const char *id) {
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

/* Guards against tasks that start too early: the check of operations must reject every placement of
 * a blocked job, whichever controller planned it. */
static void a_job_is_blocked_until_its_dependencies_are_done(void **state) {
  (void)state;
  put("wk-a", "");
  put("wk-b", "");
  put("wk-c", "wk-a wk-b");
  assert_true(tmx_job_is_blocked(job("wk-c")));
  assert_true(replica.waiting_cpus == 4); /* of wk-a and wk-b; the blocked wk-c is not included */
  assert_false(can_be_placed("wk-c"));
  end("wk-a", TMX_JOB_DONE, 150);
  assert_false(can_be_placed("wk-c"));
  end("wk-b", TMX_JOB_DONE, 170);
  assert_false(tmx_job_is_blocked(job("wk-c")));
  assert_true(job("wk-c")->released_at == 170);
  assert_true(replica.waiting_cpus == 2);
  assert_true(can_be_placed("wk-c"));
}

/* Guards against orphaned dependents: a cancellation must cancel all direct and indirect dependents
 * at the same revision. */
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
  end("wk-d", TMX_JOB_DONE, 160); /* after the cancellation; it must not change the dependents */
  assert_int_equal(job("wk-e")->outcome, TMX_JOB_CANCELLED);
}

static void a_new_dependent_of_a_cancelled_job_is_cancelled(void **state) {
  (void)state;
  put("wk-a", "");
  put("wk-b", "");
  end("wk-a", TMX_JOB_CANCELLED, 0);
  put("wk-c", "wk-a wk-b");
  assert_int_equal(job("wk-c")->outcome, TMX_JOB_CANCELLED);
  put("wk-d", "wk-c");
  assert_int_equal(job("wk-d")->outcome, TMX_JOB_CANCELLED);
}

/* When a cancellation races with the end of the last task, only one of the two is written to the
 * job's key. If the end is first, the dependents are released. */
static void a_done_job_releases_its_dependents(void **state) {
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

static cbor_item_t *encode_job_value(const char *id, const char *prerequisite_id, int outcome,
                                     double ended_at) {
  struct tmx_job_ids prerequisites = {.ids = calloc(1, TMX_ID_BYTES),
                                      .count = prerequisite_id[0] != 0};
  struct tmx_job_spec spec = plain_spec();
  struct tmx_buffer buffer = {0};
  struct tmx_job job = {.spec = spec, .submitted_at = 100};
  snprintf(job.id, sizeof job.id, "%s", id);
  snprintf(prerequisites.ids[0], TMX_ID_BYTES, "%s", prerequisite_id);
  if (outcome)
    tmx_job_encode_final(&buffer, &job, outcome, ended_at, 2000);
  else
    tmx_job_encode_open(&buffer, id, &spec, 100, &prerequisites, 2000);
  cbor_item_t *value = tmx_cbor_parse(buffer.data, buffer.length);
  tmx_job_ids_free(&prerequisites);
  tmx_buffer_free(&buffer);
  return value;
}

/* A starting controller reads keys in another order than they were written. It must derive the same
 * releases, release times and cancellations as the controllers that followed the log. */
static void a_load_derives_the_same_states(void **state) {
  (void)state;
  struct tmx_store_entry items[] = {
      {TMX_KEY_JOB "wk-a", 9, encode_job_value("wk-a", "", TMX_JOB_DONE, 180)},
      {TMX_KEY_JOB "wk-b", 2, encode_job_value("wk-b", "wk-a", 0, 0)},
      {TMX_KEY_JOB "wk-c", 1, encode_job_value("wk-c", "wk-d", 0, 0)},
      {TMX_KEY_JOB "wk-d", 3, encode_job_value("wk-d", "wk-e", 0, 0)},
      {TMX_KEY_JOB "wk-e", 8, encode_job_value("wk-e", "", TMX_JOB_CANCELLED, 0)},
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

/* Prerequisite ids that do not fit into the job's record follow in log lines. The job must be
 * blocked until all ids are read, and a line that is applied twice must change nothing. */
static void a_job_is_blocked_until_all_its_dependency_lines_are_read(void **state) {
  (void)state;
  struct tmx_job_spec spec = plain_spec();
  struct tmx_job_ids prerequisites = {.ids = calloc(400, TMX_ID_BYTES), .count = 400};
  struct tmx_buffer buffer = {0};
  char line[TMX_LOG_LINE_BYTES];
  for (uint32_t i = 0; i < 400; i++) {
    snprintf(prerequisites.ids[i], TMX_ID_BYTES, "wk-%06u", i);
    put(prerequisites.ids[i], "");
  }
  uint32_t written = tmx_job_encode_open(&buffer, "wk-last", &spec, 100, &prerequisites, 900);
  assert_true(tmx_json_length(&buffer) <= 900);
  assert_in_range(written, 50, 399);
  apply(job_key("wk-last"), &buffer);
  uint32_t second = written;
  tmx_dependency_line_print(line, sizeof line, "wk-last", &prerequisites, &second);
  while (written < prerequisites.count) {
    assert_true(tmx_job_is_blocked(job("wk-last")));
    assert_null(job("wk-last")->dependencies.prerequisites);
    tmx_dependency_line_print(line, sizeof line, "wk-last", &prerequisites, &written);
    assert_true(strlen(line) < TMX_LOG_LINE_BYTES);
    put_lines(line);
    put_lines(line);
  }
  assert_int_equal(job("wk-last")->dependencies.n_unfinished, 400);
  for (uint32_t i = 0; i < 400; i++) {
    assert_true(tmx_job_is_blocked(job("wk-last")));
    end(prerequisites.ids[i], TMX_JOB_DONE, 110);
  }
  assert_false(tmx_job_is_blocked(job("wk-last")));
  tmx_job_ids_free(&prerequisites);
}

/* A job inherits the priority and the deadline of its direct and indirect dependents. The inherited
 * deadline is earlier by the estimated run time of each job that must still run after this one. A
 * cancelled dependent must no longer count. */
static void jobs_inherit_the_urgency_of_their_dependents(void **state) {
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

/* The cancellation of a long chain with a wide fan-out must take time in proportion to the number
 * of jobs, and must not recurse, so that a long chain cannot overflow the stack. */
static void a_cancellation_reaches_long_chains_and_wide_fan_outs(void **state) {
  (void)state;
  enum { CHAIN = 20000, FAN_OUT = 5000 };
  char id[TMX_ID_BYTES], previous_id[TMX_ID_BYTES] = "";
  for (int i = 0; i < CHAIN; i++) {
    snprintf(id, sizeof id, "wk-c%d", i);
    put(id, previous_id);
    strcpy(previous_id, id);
  }
  for (int i = 0; i < FAN_OUT; i++) {
    snprintf(id, sizeof id, "wk-f%d", i);
    put(id, previous_id);
  }
  end("wk-c0", TMX_JOB_CANCELLED, 0);
  assert_int_equal(replica.n_unstored_outcomes, CHAIN - 1 + FAN_OUT);
  assert_int_equal(job("wk-f4999")->outcome, TMX_JOB_CANCELLED);
}

/* The version in production reads records of 19 entries. The record of a job without prerequisites
 * and dependents must have exactly these. */
static void records_without_dependencies_keep_the_production_format(void **state) {
  (void)state;
  struct tmx_job_spec spec = plain_spec();
  struct tmx_job_ids none = {0};
  struct tmx_buffer expected = {0}, actual = {0};
  tmx_job_encode(&expected, "wk-a", &spec, 100, TMX_JOB_OPEN);
  tmx_job_encode_open(&actual, "wk-a", &spec, 100, &none, 2000);
  assert_int_equal(actual.length, expected.length);
  assert_memory_equal(actual.data, expected.data, actual.length);
  put("wk-a", "");
  expected.length = actual.length = 0;
  tmx_job_encode(&expected, "wk-a", &spec, 100, TMX_JOB_DONE);
  tmx_job_encode_final(&actual, job("wk-a"), TMX_JOB_DONE, 0, 2000);
  assert_int_equal(actual.length, expected.length);
  assert_memory_equal(actual.data, expected.data, actual.length);
  assert_false(replica.dependencies_in_use);
  tmx_buffer_free(&expected);
  tmx_buffer_free(&actual);
}

/* A job that was accepted under a larger value limit must still get its final state stored. */
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

/* Appends the operation as a line of its own to the text that `arg` points to. */
static void append_operation(void *arg, const struct tmx_operation *operation) {
  char line[TMX_LOG_LINE_BYTES], *lines = arg;
  tmx_operation_print(line, sizeof line, operation);
  snprintf(lines + strlen(lines), 512 - strlen(lines), "%s;", line);
}

/* A group line, which holds several operations of one job, must be equivalent to one line for each
 * operation. */
static void a_group_line_is_equivalent_to_its_operations(void **state) {
  (void)state;
  char lines[512] = "";
  tmx_log_line_for_each_operation("P wk-1 2 0:n-1 7:n-2", append_operation, lines);
  tmx_log_line_for_each_operation("E wk-1 2 d 0 3", append_operation, lines);
  tmx_log_line_for_each_operation("e wk-1/4 1 l", append_operation, lines);
  assert_string_equal(lines,
                      "p wk-1/0 2 n-1;p wk-1/7 2 n-2;e wk-1/0 2 d;e wk-1/3 2 d;e wk-1/4 1 l;");
  lines[0] = 0; /* a malformed line yields no operation */
  static const char *const malformed[] = {
      "P wk-1 2",     "P wk-1 2 0",  "P wk-1 x 0:n-1", "PP wk-1 2 0:n-1",
      "E wk-1 2 d x", "P wk-1 2 0:", "E wk-1 2 d 1:n"};
  for (size_t i = 0; i < sizeof malformed / sizeof *malformed; i++)
    tmx_log_line_for_each_operation(malformed[i], append_operation, lines);
  assert_string_equal(lines, "");
  struct tmx_operation operation = {.kind = TMX_OPERATION_PLACE, .task = 7, .attempt = 2},
                       next_attempt;
  strcpy(operation.job, "wk-1");
  strcpy(operation.machine, "n-2");
  int length = tmx_operation_group_head_print(lines, sizeof lines, &operation);
  tmx_operation_group_item_print(lines + length, sizeof lines - (size_t)length, &operation);
  assert_string_equal(lines, "P wk-1 2 7:n-2");
  next_attempt = operation;
  next_attempt.attempt = 3;
  assert_false(tmx_operation_same_group(&operation, &next_attempt));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_job_is_blocked_until_its_dependencies_are_done, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(cancellation_reaches_the_end_of_the_chain, setup, teardown),
      cmocka_unit_test_setup_teardown(a_new_dependent_of_a_cancelled_job_is_cancelled, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_done_job_releases_its_dependents, setup, teardown),
      cmocka_unit_test_setup_teardown(a_load_derives_the_same_states, setup, teardown),
      cmocka_unit_test_setup_teardown(a_job_is_blocked_until_all_its_dependency_lines_are_read,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(jobs_inherit_the_urgency_of_their_dependents, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_cancellation_reaches_long_chains_and_wide_fan_outs, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_group_line_is_equivalent_to_its_operations, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(records_without_dependencies_keep_the_production_format,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(a_final_state_fits_the_smallest_value, setup, teardown),
  };
  return RUN_TESTS(tests);
}
