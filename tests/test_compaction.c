/* Log compaction preserves the state of jobs and machines, and batches respect the size limit of
 * values. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tmx/wire.h"

static bool compaction_point_is_set(void *arg) {
  (void)arg;
  struct tmx_log_key *key, *next_key;
  if (!first_controller->replica.compaction_point ||
      !HASH_COUNT(first_controller->replica.page_keys))
    return false;
  HASH_ITER(hh, first_controller->replica.batch_keys, key, next_key)
  if (key->version > first_controller->replica.compaction_point) return false;
  return true;
}

/* Guards against state lost in a compaction: a controller that starts from the pages alone must
 * know the attempts, results and placements of all tasks. Otherwise it would start a task twice. */
static void compaction_keeps_jobs_and_placements(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 3, 2, "t");
  for (int i = 0; i < 200 && worker.executed_starts < 3; i++) run_loop_for(0.02);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 1, WV_EXITED, WV_ERROR);
  fake_worker_send_heartbeat(&worker, first_controller);
  for (int i = 0; i < 200 && worker.executed_starts < 4; i++) {
    run_loop_for(0.02);
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
  }
  assert_int_equal(worker.executed_starts, 4);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  assert_true(run_loop_until(compaction_point_is_set, NULL));
  stop_controller(first_controller);
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  struct tmx_job *job = tmx_job_find(&first_controller->replica, "wk-000001");
  assert_int_equal(job->tasks[0].state, TMX_TASK_PLACED);
  assert_int_equal(job->tasks[1].state, TMX_TASK_DONE);
  assert_int_equal(job->tasks[2].attempt, 2);
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_execute_commands(&worker);
  run_loop_for(0.3);
  assert_int_equal(worker.executed_starts, 4);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 2, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(first_controller_knows_outcome, "wk-000001"));
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
  /* From here on log keys are reused. A further restart must still find a complete log. */
  struct tmx_log_key *key, *next_key;
  bool reused = false;
  HASH_ITER(hh, first_controller->replica.batch_keys, key, next_key)
  reused |= key->version > first_controller->replica.compaction_point &&
            strstr(key->key, "/000000") != NULL;
  assert_true(reused);
  restart_first_controller();
  assert_true(worker_is_registered_at(first_controller));
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
  assert_int_equal(tmx_job_find(&first_controller->replica, "wk-000001")->n_placed, 0);
}

static void save_status(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  *(int *)arg = status;
}

/* Many concurrent submissions are written in values up to the state service's size limit. The
 * service measures a value as JSON, where a number is several times as long as in CBOR. A batch
 * that it rejects for its size would be retried forever and block the log. The same limit applies
 * to the pages of a compaction. */
static void many_submissions_respect_the_value_limit(void **state) {
  (void)state;
  enum { SUBMISSIONS = 150 };
  static int status[SUBMISSIONS];
  struct tmx_http_client *clients[SUBMISSIONS];
  char addr[32], id[32];
  first_controller->settings.value_kb = 4;
  fake_store.value_json_bytes_max = 4096;
  tmx_compaction_set_threshold(first_controller->compaction, 3);
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(first_controller->server));
  for (int i = 0; i < SUBMISSIONS; i++) {
    struct tmx_buffer buffer = {0};
    snprintf(id, sizeof id, "wk-%06d", i);
    encode_submission(&buffer, id, "batch", 3, 1.0 / 3, "t");
    clients[i] = tmx_http_client_new(test_loop, addr, 1);
    status[i] = -2;
    assert_true(
        tmx_http_client_call(clients[i], "POST", WP_JOBS, &buffer, 5, save_status, &status[i]));
    tmx_buffer_free(&buffer);
  }
  for (int i = 0, unanswered = 1; i < 400 && unanswered; i++) {
    run_loop_for(0.01);
    unanswered = 0;
    for (int k = 0; k < SUBMISSIONS; k++) unanswered += status[k] == -2;
  }
  for (int i = 0; i < SUBMISSIONS; i++) {
    assert_int_equal(status[i], 201);
    tmx_http_client_free(clients[i]);
  }
  for (int i = 0; i < 400 && !fake_get(TMX_KEY_COMPACTION); i++) run_loop_for(0.02);
  assert_non_null(fake_get(TMX_KEY_COMPACTION));
  assert_int_equal(fake_store.oversized_transactions, 0);
}

static bool is_loaded(void *arg) { return ((struct tmx_controller *)arg)->replica.loaded; }

/* A compaction completes while a starting controller loads the keys. The controller has read the
 * previous compaction point. Before it reads the pages of that point, the pages are deleted and
 * batch keys are overwritten. The controller must read the keys again, or it misses the jobs and
 * placements that these pages and batches held. */
static void keys_are_read_again_when_the_compaction_point_moves(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  uint64_t previous_point = first_controller->replica.compaction_point;
  assert_true(previous_point > 0);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  run_loop_for(3); /* until the keys that the first compaction replaced are deleted */
  struct fake_endpoint *endpoint = &fake_store.endpoints[1];
  endpoint->page_entries_max = 1;
  strcpy(endpoint->hold_reads_from_prefix, TMX_KEY_COMPACTION);
  second_controller = start_controller(1, 2);
  for (int i = 0; i < 400 && !endpoint->held_read; i++) run_loop_for(0.02);
  const struct tmx_http_request *held_request = endpoint->held_read;
  assert_non_null(held_request);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && first_controller->replica.compaction_point == previous_point; i++)
    run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > previous_point);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  run_loop_for(1);
  endpoint->page_entries_max = 0;
  /* The read has not been abandoned in the meantime. */
  assert_ptr_equal(endpoint->held_read, held_request);
  fake_release_held_read(endpoint);
  assert_true(run_loop_until(is_loaded, second_controller));
  assert_int_equal(second_controller->replica.compaction_point,
                   first_controller->replica.compaction_point);
  struct tmx_job *job = tmx_job_find(&second_controller->replica, "wk-000001");
  assert_non_null(job);
  assert_int_equal(job->n_placed, 1);
  assert_non_null(tmx_job_find(&second_controller->replica, "wk-000002"));
  assert_int_equal(poll_job(second_controller, "wk-000001").status, 200);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(compaction_keeps_jobs_and_placements, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(many_submissions_respect_the_value_limit,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(keys_are_read_again_when_the_compaction_point_moves,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
