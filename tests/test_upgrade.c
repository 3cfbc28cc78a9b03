/* An upgrade while the service runs: data that the version in production left is gone on with, and
 * until a job awaits others nothing is written that it would not read. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "heartbeat.h"
#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller;
static struct fake_worker worker;

static int setup(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&worker, "n-000001");
  first_controller = NULL;
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (first_controller) stop_controller(first_controller);
  tmx_http_server_free(worker.server);
  fake_stop();
  return 0;
}
static void begin(void) {
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}
static void restart(void) {
  stop_controller(first_controller);
  begin();
}

static size_t from_hex(const char *hex, uint8_t *out, size_t cap) {
  size_t n = 0;
  unsigned byte;
  for (; n < cap && sscanf(hex + 2 * n, "%2x", &byte) == 1; n++) out[n] = (uint8_t)byte;
  return n;
}

static FILE *data(const char *name) {
  char path[512];
  snprintf(path, sizeof path, TMX_TEST_DATA "/%s", name);
  FILE *f = fopen(path, "r");
  assert_non_null(f);
  return f;
}

/* Puts what production left into the state service, at the versions that it had there. */
static void load_production_state(void) {
  static char line[16384], hex[16384];
  static uint8_t bytes[8192];
  char key[TMX_KEY_MAX + 1];
  unsigned long long version;
  uint64_t last = 0;
  FILE *f = data("production-state.txt");
  while (fgets(line, sizeof line, f)) {
    if (line[0] == '#') continue;
    assert_int_equal(sscanf(line, "%200s %llu %16000s", key, &version, hex), 3);
    size_t n = from_hex(hex, bytes, sizeof bytes);
    struct tmx_buffer buffer = {.data = bytes, .length = n};
    fake_store.revision = version - 1; /* which the put counts up */
    fake_put(key, &buffer);
    if (version > last) last = version;
  }
  fclose(f);
  fake_store.revision = last;
}

static void as_production_left_it(const struct tmx_replica *replica) {
  static const struct {
    const char *id;
    int fin;
    uint32_t done, placed;
  } jobs[] = {
      {"wk-000001", TMX_JOB_OPEN, 1, 2}, {"wk-000002", TMX_JOB_OPEN, 0, 1},
      {"wk-000003", TMX_JOB_DONE, 1, 0}, {"wk-000004", TMX_JOB_CANCELLED, 0, 0},
      {"wk-000005", TMX_JOB_OPEN, 0, 0}, {"wk-000006", TMX_JOB_OPEN, 1, 1},
  };
  for (size_t i = 0; i < sizeof jobs / sizeof *jobs; i++) {
    const struct tmx_job *job = tmx_job_find(replica, jobs[i].id);
    assert_non_null(job);
    assert_int_equal(job->outcome, jobs[i].fin);
    assert_int_equal(job->n_done, jobs[i].done);
    assert_int_equal(job->n_placed, jobs[i].placed);
    assert_false(tmx_job_is_blocked(job));
  }
  assert_int_equal(tmx_job_find(replica, "wk-000001")->tasks[2].attempt, 2);
  assert_false(replica->dependencies_in_use);
}

static void machine_as_production_left_it(void) {
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_RUNNING, "");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_RUNNING, "");
  fake_worker_set_task(&worker, "wk-000001/2", 2, WV_RUNNING, "");
  fake_worker_set_task(&worker, "wk-000006/1", 1, WV_RUNNING, "");
  worker.token = 16777216; /* of its first view */
  worker.sequence = 30;
}

static bool job_done(void *arg) {
  struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->outcome == TMX_JOB_DONE;
}

static void production_data_is_gone_on_with(void **st) {
  (void)st;
  load_production_state();
  begin();
  as_production_left_it(&first_controller->replica);
  tmx_compaction_set_threshold(first_controller->compaction,
                               0); /* folded by this version, and read again */
  uint64_t mark = first_controller->replica.compaction_point;
  for (int i = 0; i < 600 && first_controller->replica.compaction_point == mark; i++)
    run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > mark);
  restart();
  as_production_left_it(&first_controller->replica);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  machine_as_production_left_it();
  for (int i = 0; i < 5; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.2);
  }
  assert_int_equal(worker.executed_starts, 0); /* what runs is not started once more */
  fake_worker_set_task(&worker, "wk-000006/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(job_done, "wk-000006"));
  assert_string_equal(poll_job(first_controller, "wk-000003").state, WV_DONE);
  assert_string_equal(poll_job(first_controller, "wk-000004").state, WV_CANCELLED);
  /* and jobs may await those that production accepted */
  struct tmx_buffer list = {0}, body = {0};
  tmx_cbor_put_list(&list, 2);
  tmx_cbor_put_text(&list, "wk-000003");
  tmx_cbor_put_text(&list, "wk-000001");
  encode_submission_with_dependencies(&body, "wk-000007", WV_ARRAY, 1, 1, "t", &list);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  run_loop_for(0.5);
  assert_true(tmx_job_is_blocked(tmx_job_find(&first_controller->replica, "wk-000007")));
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 2, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(job_done, "wk-000001"));
  assert_false(tmx_job_is_blocked(tmx_job_find(&first_controller->replica, "wk-000007")));
  tmx_buffer_free(&list);
  tmx_buffer_free(&body);
}

/* ------------------------------------------------------------ what production reads */

enum { PRODUCTION_RECORD = 19 }; /* entries of a job's record */

static void record_as_production_reads(const cbor_item_t *job) {
  assert_int_equal(tmx_cbor_list_length(job), PRODUCTION_RECORD);
}

static void line_as_production_reads(const char *line) {
  struct tmx_operation operation;
  if (strchr("mdxt", line[0]))
    assert_int_equal(line[1], ' ');
  else
    assert_true(tmx_operation_parse(line, &operation));
}

static void lines_as_production_reads(const cbor_item_t *value) {
  char line[TMX_LOG_LINE_BYTES];
  const cbor_item_t *ops = tmx_cbor_get(value, "ops"), *jobs = tmx_cbor_get(value, "jobs");
  for (size_t i = 0; i < tmx_cbor_list_length(jobs); i++)
    record_as_production_reads(tmx_cbor_list_at(jobs, i));
  for (size_t i = 0; i < tmx_cbor_list_length(ops); i++) {
    assert_true(tmx_cbor_as_text(tmx_cbor_list_at(ops, i), line, sizeof line));
    line_as_production_reads(line);
  }
  assert_int_equal(cbor_map_size(value), (jobs != NULL) + (ops != NULL));
}

static bool is_under(const char *key, const char *prefix) {
  return !strncmp(key, prefix, strlen(prefix));
}

static void all_as_production_reads(void) {
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    const struct fake_entry *e = &fake_store.entries[i];
    cbor_item_t *value = tmx_cbor_parse(e->value, e->length);
    if (is_under(e->key, TMX_KEY_JOB))
      record_as_production_reads(value);
    else if (is_under(e->key, TMX_KEY_BATCH) || is_under(e->key, TMX_KEY_PAGE))
      lines_as_production_reads(value);
    else if (!strcmp(e->key, TMX_KEY_VIEW))
      assert_int_equal(cbor_map_size(value), 4);
    else
      assert_true(!strcmp(e->key, TMX_KEY_COMPACTION) || !strcmp(e->key, TMX_KEY_HEAD) ||
                  !strcmp(e->key, TMX_KEY_LEADER) || is_under(e->key, TMX_KEY_MEMBER));
    tmx_cbor_free(value);
  }
}

/* Placements, ends of all kinds, final states, a view, a fold: without a job that awaits others
 * every form is one that production reads. */
static void forms_before_the_first_pipeline(void **st) {
  (void)st;
  begin();
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
  assert_true(run_loop_until(job_done, "wk-000003"));
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  all_as_production_reads();
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  run_loop_for(1);
  all_as_production_reads();
}

/* XDR records tolerate no added fields: a heartbeat of production is read, and the same is sent. */
static void heartbeat_of_production(void **st) {
  (void)st;
  char hex[1024];
  uint8_t bytes[512];
  char again[512];
  FILE *f = data("production-heartbeat.txt");
  do assert_non_null(fgets(hex, sizeof hex, f));
  while (hex[0] == '#');
  fclose(f);
  size_t n = from_hex(hex, bytes, sizeof bytes);
  struct tmx_heartbeat beat;
  XDR x;
  memset(&beat, 0, sizeof beat);
  xdrmem_create(&x, (char *)bytes, (u_int)n, XDR_DECODE);
  assert_true(xdr_tmx_heartbeat(&x, &beat));
  assert_int_equal(xdr_getpos(&x), n);
  assert_string_equal(beat.node, "hand-1");
  assert_int_equal(beat.revision, 4711);
  assert_int_equal(beat.suspicions.suspicions_len, 2);
  assert_string_equal(beat.zones.zones_val[0].name, "a");
  xdrmem_create(&x, again, sizeof again, XDR_ENCODE);
  assert_true(xdr_tmx_heartbeat(&x, &beat));
  assert_int_equal(xdr_getpos(&x), n);
  assert_memory_equal(again, bytes, n);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&beat);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(production_data_is_gone_on_with, setup, teardown),
      cmocka_unit_test_setup_teardown(forms_before_the_first_pipeline, setup, teardown),
      cmocka_unit_test_setup_teardown(heartbeat_of_production, setup, teardown),
  };
  return RUN_TESTS(tests);
}
