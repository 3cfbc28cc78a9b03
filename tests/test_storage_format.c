/* The stored formats of the log, the snapshot pages and the view. The encoded bytes must equal the
 * recordings in tests/data/wire-format/storage-*.txt, and must decode to the values that were
 * encoded. The test guards against accidental changes of a format, for example by a renamed field,
 * after which the program could not read a store that an earlier version wrote. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "recording.h"
#include "replica/replica.h"
#include "sample_jobs.h"
#include "test.h"

static struct tmx_settings settings;
static struct tmx_replica replica;

static int setup(void **state) {
  (void)state;
  memset(&settings, 0, sizeof settings);
  strcpy(settings.zones[0], "a");
  strcpy(settings.zones[1], "b");
  settings.n_zones = 2;
  strcpy(settings.teams[0].name, "vision");
  settings.n_teams = 1;
  settings.ram_mb = 128;
  settings.value_kb = 16;
  tmx_replica_init(&replica, &settings);
  return 0;
}
static int teardown(void **state) {
  (void)state;
  tmx_replica_clear(&replica);
  return 0;
}

static struct tmx_operation make_operation(char letter, uint32_t task, char reason) {
  struct tmx_operation operation = {.kind = letter, .task = task, .attempt = 2, .reason = reason};
  strcpy(operation.job, "wk-000008");
  if (letter == 'p') snprintf(operation.machine, sizeof operation.machine, "n-%06u", task + 1);
  return operation;
}

static void assert_operations_equal(const struct tmx_operation *expected,
                                    const struct tmx_operation *actual) {
  assert_int_equal(expected->kind, actual->kind);
  assert_string_equal(expected->job, actual->job);
  assert_int_equal(expected->task, actual->task);
  assert_int_equal(expected->attempt, actual->attempt);
  assert_string_equal(expected->machine, actual->machine);
  assert_int_equal(expected->reason, actual->reason);
}

static void record_operation(struct recording *recording, char letter, char reason) {
  struct tmx_operation operation = make_operation(letter, 12, reason), parsed;
  char line[TMX_LOG_LINE_BYTES];
  int length = tmx_operation_print(line, sizeof line, &operation);
  assert_int_equal(length, strlen(line));
  record_line(recording, "%s", line);
  assert_true(tmx_operation_parse(line, &parsed));
  assert_operations_equal(&parsed, &operation);
}

/* The operations that a group line must contain, and the number of those compared so far. */
struct expected_group {
  const struct tmx_operation *ops;
  size_t compared;
};
static void compare_with_group(void *arg, const struct tmx_operation *operation) {
  struct expected_group *group = arg;
  assert_operations_equal(operation, &group->ops[group->compared++]);
}

static void record_group(struct recording *recording, char letter, char reason) {
  struct tmx_operation ops[3];
  char line[TMX_LOG_LINE_BYTES];
  size_t length = 0;
  for (uint32_t i = 0; i < 3; i++) {
    ops[i] = make_operation(letter, i * 7, reason);
    assert_true(tmx_operation_same_group(&ops[0], &ops[i]));
    if (!i) length += (size_t)tmx_operation_group_head_print(line, sizeof line, &ops[0]);
    length += (size_t)tmx_operation_group_item_print(line + length, sizeof line - length, &ops[i]);
  }
  record_line(recording, "%s", line);
  struct expected_group group = {.ops = ops};
  tmx_log_line_for_each_operation(line, compare_with_group, &group);
  assert_int_equal(group.compared, 3);
}

/* The test passes literal letters to the program and records the values of the constants, because
 * the letters are part of the format. */
static void operation_lines_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  record_operation(&recording, 'p', 0);
  record_operation(&recording, 's', '1');
  record_operation(&recording, 's', '2');
  for (const char *reason = "dserl"; *reason; reason++) record_operation(&recording, 'e', *reason);
  record_group(&recording, 'p', 0);
  for (const char *reason = "dserl"; *reason; reason++) record_group(&recording, 'e', *reason);
  record_line(&recording, "ends: %c %c %c %c %c", TMX_END_DONE, TMX_END_STOPPED, TMX_END_ERROR,
              TMX_END_REFUSED, TMX_END_LOST);
  record_line(&recording, "lines: %c %c %c %c %c %c %c %c %c %c %c", TMX_OPERATION_PLACE,
              TMX_OPERATION_STOP, TMX_OPERATION_END, TMX_OPERATION_GROUP_PLACE,
              TMX_OPERATION_GROUP_END, TMX_LINE_MACHINE, TMX_LINE_MACHINE_DRAINING,
              TMX_LINE_MACHINE_REMOVED, TMX_LINE_TASK_RANGE, TMX_LINE_PERMITTED_TYPE,
              TMX_LINE_DEPENDENCIES);
  recording_check(&recording, "storage-operations.txt");
}

static void apply(const char *key, uint64_t version, const struct tmx_buffer *buffer) {
  cbor_item_t *value = tmx_cbor_parse(buffer->data, buffer->length);
  assert_non_null(value);
  tmx_replica_apply(&replica, key, version, value);
  tmx_cbor_free(value);
}

static void encode_lines(struct tmx_buffer *value, const char *const *lines, size_t count,
                         const struct tmx_buffer *jobs, size_t n_jobs) {
  struct tmx_buffer list = {0};
  for (size_t i = 0; i < count; i++) tmx_cbor_put_text(&list, lines[i]);
  tmx_log_value_encode(value, jobs, n_jobs, &list, count);
  tmx_buffer_free(&list);
}

/* Records the log lines that snapshot pages would contain for the replica. */
static void record_replica(struct recording *recording) {
  char line[TMX_LOG_LINE_BYTES];
  struct tmx_machine *machine, *next_machine;
  struct tmx_job *job, *next_job;
  HASH_ITER(hh, replica.machines, machine, next_machine) {
    tmx_machine_line_print(line, sizeof line, &replica, machine);
    record_line(recording, "%s", line);
  }
  HASH_ITER(hh, replica.jobs, job, next_job) {
    record_line(recording, "%s state %d types %zu done %u placed %u", job->id, job->outcome,
                job->spec.n_types, job->n_done, job->n_placed);
    for (uint32_t index = 0; job->dependencies.prerequisite_ids.count &&
                             index < job->dependencies.prerequisite_ids.count;) {
      tmx_dependency_line_print(line, sizeof line, job->id, &job->dependencies.prerequisite_ids,
                                &index);
      record_line(recording, "%s", line);
    }
    for (uint32_t index = 0; job->tasks && index < job->spec.tasks;) {
      int length;
      index += tmx_task_range_line_print(line, sizeof line, job, index, &length);
      if (length) record_line(recording, "%s", line);
    }
  }
}

static size_t encode_two_jobs(struct tmx_buffer *jobs) {
  struct tmx_job_spec spec = sample_job();
  struct tmx_job_ids ids;
  spec.tasks = 10;
  strcpy(spec.types[spec.n_types++], "g8");
  tmx_job_encode(jobs, "wk-000008", &spec, sample_submitted_at, TMX_JOB_OPEN);
  sample_dependencies(&ids, 1);
  strcpy(ids.ids[0], "wk-000008");
  spec.tasks = 1;
  tmx_job_encode_open(jobs, "wk-000009", &spec, sample_submitted_at, &ids,
                      0); /* the limit of 0 leaves the id to a log line */
  tmx_job_ids_free(&ids);
  return 2;
}

static void batches_and_pages_keep_their_format(void **state) {
  (void)state;
  static const char *const batch[] = {"w wk-000009 0 000008",
                                      "y wk-000008 big machine",
                                      "m n-000001 10.1.0.1:9000 g8 a 0 0",
                                      "m n-000002 10.1.0.2:9000 g8 b 1 0",
                                      "m n-000003 10.1.0.3:9000 big - 0 1",
                                      "p wk-000008/0 1 n-000001",
                                      "P wk-000008 1 1:n-000001 2:n-000002 3:n-000002 4:n-000002",
                                      "s wk-000008/1 1 1",
                                      "s wk-000008/2 1 2",
                                      "e wk-000008/3 1 d",
                                      "E wk-000008 1 e 4",
                                      "d n-000002 1",
                                      "x n-000003"};
  static const char *const page[] = {"m n-000004 10.1.0.4:9000 g8 a 0 0", "t wk-000008/5 2 3 d -",
                                     "t wk-000008/7 1 2 w -", "t wk-000008/8 1 4 p n-000004",
                                     "t wk-000008/9 1 5 2 n-000004"};
  struct recording recording = {0};
  struct tmx_buffer jobs = {0}, value = {0};
  size_t n_jobs = encode_two_jobs(&jobs);
  encode_lines(&value, batch, sizeof batch / sizeof *batch, &jobs, n_jobs);
  record_line(&recording, "== a batch");
  record_cbor(&recording, "", value.data, value.length);
  apply("t/batch/hand-0/000000", 10, &value);
  value.length = 0;
  encode_lines(&value, page, sizeof page / sizeof *page, &jobs, 0);
  record_line(&recording, "== a page");
  record_cbor(&recording, "", value.data, value.length);
  struct tmx_buffer mark = {0};
  encode_json(&mark, "{\"mark\":9,\"gen\":10}");
  apply("t/fold", 12, &mark);
  assert_int_equal(replica.compaction_point, 9);
  apply("t/page/000000000000000a/00000", 11, &value);
  tmx_buffer_free(&mark);
  value.length = 0;
  encode_lines(&value, NULL, 0, &jobs, n_jobs);
  record_line(&recording, "== a batch of jobs alone");
  record_cbor(&recording, "", value.data, value.length);
  tmx_replica_advance_to(&replica, 12);
  record_line(&recording, "== both, read back");
  record_replica(&recording);
  assert_true(tmx_machine_was_removed(&replica, "n-000003"));
  tmx_buffer_free(&jobs);
  tmx_buffer_free(&value);
  recording_check(&recording, "storage-values.txt");
}

static void record_view(struct recording *recording, const char *title,
                        const struct tmx_view *view) {
  struct tmx_buffer buffer = {0}, encoded_again = {0};
  record_line(recording, "== %s", title);
  tmx_view_encode(&buffer, view);
  record_cbor(recording, "", buffer.data, buffer.length);
  apply("t/view", 20, &buffer);
  assert_int_equal(replica.view.version, 20);
  tmx_view_encode(&encoded_again, &replica.view);
  assert_int_equal(encoded_again.length, buffer.length);
  assert_memory_equal(encoded_again.data, buffer.data, buffer.length);
  tmx_buffer_free(&buffer);
  tmx_buffer_free(&encoded_again);
}

static void views_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_owner_override overrides[3] = {{.machine = "n-000001", .node = "hand-1"},
                                            {.machine = "n-000002", .node = "hand-0"},
                                            {.machine = "n-000003", .node = "hand-1"}};
  struct tmx_view view = {.term = 7, .n_members = 2};
  strcpy(view.members[0].name, "hand-0");
  strcpy(view.members[1].name, "hand-1");
  view.members[0].incarnation = 3;
  view.members[1].incarnation = 70000;
  record_view(&recording, "a view", &view);
  view.zones_partitioned = true;
  record_view(&recording, "... with each zone by itself", &view);
  view.zones_partitioned = false;
  view.overrides = overrides;
  view.n_overrides = 2;
  record_view(&recording, "... with exceptions", &view);
  view.n_overrides = 3; /* encoded by node: the third override follows the first */
  struct tmx_buffer buffer = {0};
  tmx_view_encode(&buffer, &view);
  record_line(&recording, "== ... of which two are one node's");
  record_cbor(&recording, "", buffer.data, buffer.length);
  apply("t/view", 21, &buffer);
  assert_string_equal(tmx_machine_owner(&replica, "n-000003"), "hand-1");
  assert_string_equal(tmx_machine_owner(&replica, "n-000002"), "hand-0");
  record_line(&recording, "== owners without exceptions, by hash");
  view.n_overrides = 0;
  buffer.length = 0;
  tmx_view_encode(&buffer, &view);
  apply("t/view", 22, &buffer);
  for (int i = 0; i < 16; i++) {
    char id[TMX_ID_BYTES];
    snprintf(id, sizeof id, "n-%06d", i);
    record_line(&recording, "%s %s", id, tmx_machine_owner(&replica, id));
  }
  tmx_buffer_free(&buffer);
  recording_check(&recording, "storage-views.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(operation_lines_keep_their_format, setup, teardown),
      cmocka_unit_test_setup_teardown(batches_and_pages_keep_their_format, setup, teardown),
      cmocka_unit_test_setup_teardown(views_keep_their_format, setup, teardown),
  };
  return RUN_TESTS(tests);
}
