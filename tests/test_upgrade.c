/* Rolling upgrade: this version must continue from data that the version in production wrote. As
 * long as no job has prerequisites, it must write only data that the version in production can
 * read. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "heartbeat.h"
#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller;
static struct fake_worker worker;

static int setup(void **state) {
  (void)state;
  fake_start();
  fake_worker_open(&worker, "n-000001");
  first_controller = NULL;
  return 0;
}
static int teardown(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  tmx_http_server_free(worker.server);
  fake_stop();
  return 0;
}
static void start_controller_and_wait(void) {
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}
static void restart_controller(void) {
  stop_controller(first_controller);
  start_controller_and_wait();
}

static size_t decode_hex(const char *hex, uint8_t *out, size_t capacity) {
  size_t length = 0;
  unsigned byte;
  for (; length < capacity && sscanf(hex + 2 * length, "%2x", &byte) == 1; length++)
    out[length] = (uint8_t)byte;
  return length;
}

static FILE *open_test_data(const char *name) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_DATA "/%s", name);
  FILE *file = fopen(path, "r");
  assert_non_null(file);
  return file;
}

/* Loads the state that the version in production stored into the fake state service, each key at
 * its original version. */
static void load_production_state(void) {
  static char line[16384], hex[16384];
  static uint8_t bytes[8192];
  char key[TMX_KEY_MAX + 1];
  unsigned long long version;
  uint64_t latest_version = 0;
  FILE *file = open_test_data("production-state.txt");
  while (fgets(line, sizeof line, file)) {
    if (line[0] == '#') continue;
    assert_int_equal(sscanf(line, "%200s %llu %16000s", key, &version, hex), 3);
    size_t length = decode_hex(hex, bytes, sizeof bytes);
    struct tmx_buffer buffer = {.data = bytes, .length = length};
    fake_store.revision = version - 1; /* fake_put() increments it */
    fake_put(key, &buffer);
    if (version > latest_version) latest_version = version;
  }
  fclose(file);
  fake_store.revision = latest_version;
}

static void assert_production_state(const struct tmx_replica *replica) {
  static const struct {
    const char *id;
    int outcome;
    uint32_t done, placed;
  } jobs[] = {
      {"wk-000001", TMX_JOB_OPEN, 1, 2}, {"wk-000002", TMX_JOB_OPEN, 0, 1},
      {"wk-000003", TMX_JOB_DONE, 1, 0}, {"wk-000004", TMX_JOB_CANCELLED, 0, 0},
      {"wk-000005", TMX_JOB_OPEN, 0, 0}, {"wk-000006", TMX_JOB_OPEN, 1, 1},
  };
  for (size_t i = 0; i < sizeof jobs / sizeof *jobs; i++) {
    const struct tmx_job *job = tmx_job_find(replica, jobs[i].id);
    assert_non_null(job);
    assert_int_equal(job->outcome, jobs[i].outcome);
    assert_int_equal(job->n_done, jobs[i].done);
    assert_int_equal(job->n_placed, jobs[i].placed);
    assert_false(tmx_job_is_blocked(job));
  }
  assert_int_equal(tmx_job_find(replica, "wk-000001")->tasks[2].attempt, 2);
  assert_false(replica->dependencies_in_use);
}

static void report_production_tasks(void) {
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_RUNNING, "");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_RUNNING, "");
  fake_worker_set_task(&worker, "wk-000001/2", 2, WV_RUNNING, "");
  fake_worker_set_task(&worker, "wk-000006/1", 1, WV_RUNNING, "");
  worker.token = 16777216; /* the first token of the first view */
  worker.sequence = 30;
}

static bool job_is_done(void *arg) {
  struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->outcome == TMX_JOB_DONE;
}

static void data_of_the_production_version_survives_an_upgrade(void **state) {
  (void)state;
  load_production_state();
  start_controller_and_wait();
  assert_production_state(&first_controller->replica);
  /* This version compacts the data, and reads it again after the restart. */
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  uint64_t previous_point = first_controller->replica.compaction_point;
  for (int i = 0; i < 600 && first_controller->replica.compaction_point == previous_point; i++)
    run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > previous_point);
  restart_controller();
  assert_production_state(&first_controller->replica);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  report_production_tasks();
  for (int i = 0; i < 5; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.2);
  }
  assert_int_equal(worker.executed_starts, 0); /* a running task is not started again */
  fake_worker_set_task(&worker, "wk-000006/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(job_is_done, "wk-000006"));
  assert_string_equal(poll_job(first_controller, "wk-000003").state, WV_DONE);
  assert_string_equal(poll_job(first_controller, "wk-000004").state, WV_CANCELLED);
  /* A job may have prerequisites that the version in production accepted. */
  struct tmx_buffer encoded_ids = {0}, body = {0};
  tmx_cbor_put_array(&encoded_ids, 2);
  tmx_cbor_put_text(&encoded_ids, "wk-000003");
  tmx_cbor_put_text(&encoded_ids, "wk-000001");
  encode_submission_with_dependencies(&body, "wk-000007", WV_ARRAY, 1, 1, "t", &encoded_ids);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  run_loop_for(0.5);
  assert_true(tmx_job_is_blocked(tmx_job_find(&first_controller->replica, "wk-000007")));
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 2, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(job_is_done, "wk-000001"));
  assert_false(tmx_job_is_blocked(tmx_job_find(&first_controller->replica, "wk-000007")));
  tmx_buffer_free(&encoded_ids);
  tmx_buffer_free(&body);
}

/* ------------------------------------------------------------ formats that production reads */

enum { PRODUCTION_RECORD_ENTRIES = 19 }; /* entries of a job's record */

static void assert_production_reads_record(const cbor_item_t *job) {
  assert_int_equal(tmx_cbor_array_length(job), PRODUCTION_RECORD_ENTRIES);
}

static void assert_production_reads_line(const char *line) {
  struct tmx_operation operation;
  if (strchr("mdxt", line[0]))
    assert_int_equal(line[1], ' ');
  else
    assert_true(tmx_operation_parse(line, &operation));
}

static void assert_production_reads_value(const cbor_item_t *value) {
  char line[TMX_LOG_LINE_BYTES];
  const cbor_item_t *ops = tmx_cbor_get(value, "ops"), *jobs = tmx_cbor_get(value, "jobs");
  for (size_t i = 0; i < tmx_cbor_array_length(jobs); i++)
    assert_production_reads_record(tmx_cbor_array_at(jobs, i));
  for (size_t i = 0; i < tmx_cbor_array_length(ops); i++) {
    assert_true(tmx_cbor_as_text(tmx_cbor_array_at(ops, i), line, sizeof line));
    assert_production_reads_line(line);
  }
  assert_int_equal(cbor_map_size(value), (jobs != NULL) + (ops != NULL));
}

static bool has_prefix(const char *key, const char *prefix) {
  return !strncmp(key, prefix, strlen(prefix));
}

static void assert_production_reads_store(void) {
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    const struct fake_entry *entry = &fake_store.entries[i];
    cbor_item_t *value = tmx_cbor_parse(entry->value, entry->length);
    if (has_prefix(entry->key, TMX_KEY_JOB))
      assert_production_reads_record(value);
    else if (has_prefix(entry->key, TMX_KEY_BATCH) || has_prefix(entry->key, TMX_KEY_PAGE))
      assert_production_reads_value(value);
    else if (!strcmp(entry->key, TMX_KEY_VIEW))
      assert_int_equal(cbor_map_size(value), 4);
    else
      assert_true(!strcmp(entry->key, TMX_KEY_COMPACTION) || !strcmp(entry->key, TMX_KEY_HEAD) ||
                  !strcmp(entry->key, TMX_KEY_LEADER) || has_prefix(entry->key, TMX_KEY_MEMBER));
    tmx_cbor_free(value);
  }
}

/* Covers placements, task ends of all kinds, final states, a view and a compaction. Without a job
 * with prerequisites, the version in production must be able to read every stored value. */
static void stored_data_without_dependencies_is_readable_by_production(void **state) {
  (void)state;
  start_controller_and_wait();
  for (int i = 0; i < 5; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    run_loop_for(0.1);
  }
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", WV_ARRAY, 3, 1, "t"), 201);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", WV_SERVICE, 1, 1, "t"), 201);
  assert_int_equal(submit_simple_job(first_controller, "wk-000003", WV_ARRAY, 2, 1, "t"), 201);
  run_loop_for(1);
  assert_int_equal(worker.executed_starts, 6);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_ERROR);
  fake_worker_set_task(&worker, "wk-000003/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000003/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(job_is_done, "wk-000003"));
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  assert_production_reads_store();
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  run_loop_for(1);
  assert_production_reads_store();
}

/* XDR records tolerate no added fields. A heartbeat of the version in production must be decoded,
 * and must be encoded to the same bytes. */
static void a_heartbeat_of_production_is_decoded_and_encoded_unchanged(void **state) {
  (void)state;
  char hex[1024];
  uint8_t bytes[512];
  char encoded_again[512];
  FILE *file = open_test_data("production-heartbeat.txt");
  do assert_non_null(fgets(hex, sizeof hex, file));
  while (hex[0] == '#');
  fclose(file);
  size_t length = decode_hex(hex, bytes, sizeof bytes);
  struct tmx_heartbeat heartbeat;
  XDR xdr;
  memset(&heartbeat, 0, sizeof heartbeat);
  xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  assert_true(xdr_tmx_heartbeat(&xdr, &heartbeat));
  assert_int_equal(xdr_getpos(&xdr), length);
  assert_string_equal(heartbeat.node, "hand-1");
  assert_int_equal(heartbeat.revision, 4711);
  assert_int_equal(heartbeat.suspicions.suspicions_len, 2);
  assert_string_equal(heartbeat.zones.zones_val[0].name, "a");
  xdrmem_create(&xdr, encoded_again, sizeof encoded_again, XDR_ENCODE);
  assert_true(xdr_tmx_heartbeat(&xdr, &heartbeat));
  assert_int_equal(xdr_getpos(&xdr), length);
  assert_memory_equal(encoded_again, bytes, length);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&heartbeat);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(data_of_the_production_version_survives_an_upgrade, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(stored_data_without_dependencies_is_readable_by_production,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(a_heartbeat_of_production_is_decoded_and_encoded_unchanged,
                                      setup, teardown),
  };
  return RUN_TESTS(tests);
}
