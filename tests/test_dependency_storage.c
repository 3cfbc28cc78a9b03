/* Storage of dependencies in the log: compaction, restarts, long lists of prerequisites and lowered
 * limits of the store. */
#include "dependency_fixture.h"

#include <stdio.h>
#include <string.h>

#include "replica/placement_caps.h"
#include "tmx/wire.h"

/* Encodes a submission that allows `count` machine types, one of them "big". */
static void encode_submission_with_types(struct tmx_buffer *buffer, const char *id, int count) {
  struct tmx_buffer types = {0};
  char type[TMX_ID_BYTES];
  tmx_cbor_put_array(&types, (size_t)count);
  for (int i = 0; i < count; i++) {
    snprintf(type, sizeof type, i ? "a type with a rather long %02d" : "big", i);
    tmx_cbor_put_text(&types, type);
  }
  struct fake_job job = {.id = id, .team = "t", .tasks = 1, .cpus = 2, .types = &types};
  encode_job_submission(buffer, &job);
  tmx_buffer_free(&types);
}

static bool all_outcomes_are_stored(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_replica_prune_unstored_outcomes(&controller->replica);
  return !controller->replica.n_unstored_outcomes;
}

/* The cancellation of a dependent is derived from that of its prerequisite and is then stored as a
 * final state of its own. A restart must find it. */
static void derived_outcomes_survive_compaction_and_restarts(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  assert_true(run_loop_until(all_outcomes_are_stored, first_controller));
  const struct fake_entry *entry = fake_get(TMX_KEY_JOB "wk-000002");
  assert_non_null(entry);
  restart_first_controller();
  assert_true(tmx_job_find(&first_controller->replica, "wk-000002")->outcome_stored);
  assert_string_equal(poll_job(first_controller, "wk-000002").state, WV_CANCELLED);
}

/* When the write budget is short, the final state of a cancelled dependent is not stored for a
 * while. The batch with the dependent's record is overwritten after a compaction. The compaction
 * must therefore keep the job and the ids of its prerequisites, because the cancellation is derived
 * from them. */
static void a_derived_outcome_survives_compaction_before_it_is_stored(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  /* As if the write budget had never sufficed for the final state. */
  first_controller->replica.n_unstored_outcomes = 0;
  /* As if the job had been written in a batch only. */
  fake_delete(TMX_KEY_JOB "wk-000002");
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  run_loop_for(2);
  restart_first_controller();
  assert_string_equal(poll_job(first_controller, "wk-000002").state, WV_CANCELLED);
}

/* The log of a half-finished chain of jobs is compacted and the controller restarted. Finished jobs
 * must count as done, unfinished ones must still block their dependents, and no task may start
 * twice. */
static void half_finished_chains_survive_compaction(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  assert_accepted("wk-000003", "wk-000002");
  assert_accepted("wk-000004", "wk-000003 wk-000001");
  wait_for_starts(1);
  complete_task("wk-000001/0", 1);
  wait_for_starts(2);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  run_loop_for(2);
  double released = tmx_job_find(&first_controller->replica, "wk-000002")->released_at;
  restart_first_controller();
  assert_true(tmx_job_find(&first_controller->replica, "wk-000002")->released_at == released);
  for (int i = 0; i < 10; i++) report_worker_to_owner();
  assert_stays_pending("wk-000003", 2);
  assert_stays_pending("wk-000004", 1);
  complete_task("wk-000002/0", 1);
  wait_for_starts(3);
  complete_task("wk-000003/0", 1);
  wait_for_starts(4);
}

static void end_watch_freeze(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)loop;
  (void)timer;
  (void)events;
  fake_store.endpoints[0].hold_watches = false;
  fake_answer_pending_watches();
}

/* The prerequisite's commit arrives while the request waits for a read of the store. The
 * prerequisites must be validated after that read. */
static void a_dependency_committed_during_the_request_is_accepted(void **state) {
  (void)state;
  ev_timer unfreeze_timer;
  register_worker(&worker);
  fake_store.endpoints[0].hold_watches = true;
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", WV_ARRAY, 1, 2, "t"), 201);
  ev_timer_init(&unfreeze_timer, end_watch_freeze, 0.3, 0);
  ev_timer_start(test_loop, &unfreeze_timer);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000002", "wk-000001").status,
                   201);
}

/* Another controller has just accepted the prerequisite, and this controller has not seen the
 * commit yet. It must not reject the dependent job for an unknown prerequisite. */
static void a_dependency_is_found_before_it_is_replicated(void **state) {
  (void)state;
  register_worker(&worker);
  fake_store.endpoints[0].hold_watches = true;
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", WV_ARRAY, 1, 2, "t"), 201);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000002", "wk-000001").status,
                   503); /* must not be 422, as the prerequisite exists */
  fake_store.endpoints[0].hold_watches = false;
  fake_answer_pending_watches();
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000002", "wk-000001").status,
                   201);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000003", "wk-000777").status,
                   422);
  fake_store.endpoints[0].unavailable = true;
  int status = submit_with_dependencies(first_controller, "wk-000004", "wk-000777").status;
  assert_int_equal(status, 503); /* the store is unreachable, so the id cannot be validated */
}

static int submit_with_list(const struct tmx_buffer *encoded_ids) {
  struct tmx_buffer body = {0};
  encode_submission_with_dependencies(&body, "wk-000009", WV_ARRAY, 1, 2, "t", encoded_ids);
  int status = send_request(first_controller, "POST", WP_JOBS, &body).status;
  tmx_buffer_free(&body);
  return status;
}

static void malformed_dependency_lists_get_400(void **state) {
  (void)state;
  register_worker(&worker);
  struct tmx_buffer list = {0};
  assert_accepted("wk-000001", "");
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", WV_SERVICE, 1, 2, "t"), 201);
  tmx_cbor_put_text(&list, "wk-000001");
  assert_int_equal(submit_with_list(&list), 400);
  list.length = 0;
  tmx_cbor_put_array(&list, 1);
  tmx_cbor_put_u64(&list, 1);
  assert_int_equal(submit_with_list(&list), 400);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000009", "job-1").status, 400);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000009", "wk-000009").status,
                   422);
  assert_int_equal(
      submit_with_dependencies(first_controller, "wk-000009", "wk-000777 wk-000001").status, 422);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000009", "wk-000002").status,
                   422); /* a service never ends */
  list.length = 0;
  tmx_cbor_put_null(&list);
  assert_int_equal(submit_with_list(&list), 201);
  assert_accepted("wk-000003", "wk-000001 wk-000001 wk-000001");
  assert_int_equal(
      tmx_job_find(&first_controller->replica, "wk-000003")->dependencies.prerequisite_ids.count,
      1);
  /* A job that is known already is answered before its prerequisites are validated. */
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000003", "job-1").status, 200);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000003", "wk-000777").status,
                   200);
  tmx_buffer_free(&list);
}

static struct tmx_buffer encode_many_ids(int count) {
  struct tmx_buffer list = {0};
  char id[TMX_ID_BYTES];
  tmx_cbor_put_array(&list, (size_t)count);
  for (int i = 0; i < count; i++) {
    snprintf(id, sizeof id, "wk-%06d", 1000 + i);
    tmx_cbor_put_text(&list, id);
  }
  return list;
}

/* Prerequisites that exceed one value are split over several keys of one transaction; those that
 * exceed a transaction are rejected. A list must never be stored in part. A compaction splits the
 * list as well. */
static void dependencies_may_span_several_values(void **state) {
  (void)state;
  enum { WITHIN_LIMIT = 650, ABOVE_LIMIT = 1300 };
  register_worker(&worker);
  first_controller->settings.value_kb = 1;
  first_controller->settings.txn_ops = 8;
  fake_store.value_json_bytes_max = 1024;
  fake_store.transaction_operations_max = 8;
  for (int i = 0; i < ABOVE_LIMIT; i++) { /* as if another controller had accepted the jobs */
    char id[TMX_ID_BYTES], key[TMX_KEY_MAX];
    struct tmx_job_spec spec = {.tasks = 1, .cpus = 2, .mem_gb = 1, .deadline_s = -1};
    struct tmx_buffer job = {0};
    strcpy(spec.team, "t");
    snprintf(id, sizeof id, "wk-%06d", 1000 + i);
    snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
    tmx_job_encode(&job, id, &spec, 5, TMX_JOB_OPEN);
    fake_put(key, &job);
    tmx_buffer_free(&job);
  }
  run_loop_for(0.5);
  struct tmx_buffer list = encode_many_ids(ABOVE_LIMIT);
  assert_int_equal(submit_with_list(&list), 422);
  tmx_buffer_free(&list);
  list = encode_many_ids(WITHIN_LIMIT);
  /* The write budget is less than the transaction needs; it must still be sent as a whole. */
  first_controller->settings.write_rps = 4;
  assert_int_equal(submit_with_list(&list), 201);
  first_controller->settings.write_rps = 1000;
  tmx_buffer_free(&list);
  const struct tmx_job *pending = tmx_job_find(&first_controller->replica, "wk-000009");
  assert_int_equal(pending->dependencies.n_unfinished, WITHIN_LIMIT);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 3000 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  tmx_compaction_set_threshold(first_controller->compaction, 100000);
  restart_first_controller();
  pending = tmx_job_find(&first_controller->replica, "wk-000009");
  assert_int_equal(pending->dependencies.n_unfinished, WITHIN_LIMIT);
  assert_int_equal(fake_store.oversized_transactions, 0);
}

/* The store lowers its limits without notice while jobs are submitted. The controller keeps to the
 * lower limits from the start, so the store rejects no transaction and all jobs complete. */
static void lowered_store_limits_block_no_job(void **state) {
  (void)state;
  first_controller->settings.value_kb = 1;
  first_controller->settings.txn_ops = 4;
  register_worker(&worker);
  char id[TMX_ID_BYTES], previous_id[TMX_ID_BYTES] = "";
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    assert_accepted(id, previous_id);
    if (i % 3 != 2) strcpy(previous_id, id);
    if (i == 5) {
      fake_store.value_json_bytes_max = 1024;
      fake_store.transaction_operations_max = 4;
    }
  }
  for (int i = 0; i < 400 && tmx_job_find(&first_controller->replica, id)->outcome != TMX_JOB_DONE;
       i++) {
    complete_running_tasks();
    run_loop_for(0.2);
  }
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    wait_for_job_state(id, WV_DONE);
  }
  assert_int_equal(fake_store.oversized_transactions, 0);
}

enum { TYPED_JOBS = 4 };

static void on_accepted(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  assert_int_equal(status, 201);
  ++*(unsigned *)arg;
}

static bool all_accepted(void *arg) { return *(unsigned *)arg == TYPED_JOBS; }

/* The value limit is lowered below the size of a job record with many machine types. The record
 * must not block a compaction, and the job must keep all its types. */
static void a_record_above_a_lowered_limit_is_compacted(void **state) {
  (void)state;
  char type[TMX_ID_BYTES];
  unsigned answered = 0;
  register_worker(&worker);
  struct tmx_http_client *client = new_controller_client(first_controller);
  for (int i = 1; i <= TYPED_JOBS; i++) { /* concurrent submissions are written in a batch */
    struct tmx_buffer body = {0};
    char id[TMX_ID_BYTES];
    snprintf(id, sizeof id, "wk-%06d", i);
    encode_submission_with_types(&body, id, 30);
    assert_true(tmx_http_client_call(client, "POST", WP_JOBS, &body, 5, on_accepted, &answered));
    tmx_buffer_free(&body);
  }
  assert_true(run_loop_until(all_accepted, &answered));
  tmx_http_client_free(client);
  /* The job has no key of its own, only its entry in the batch. */
  assert_null(fake_get(TMX_KEY_JOB "wk-000001"));
  first_controller->settings.value_kb = 1;
  fake_store.value_json_bytes_max = 1024;
  uint64_t previous_point = first_controller->replica.compaction_point;
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 100 && first_controller->replica.compaction_point == previous_point; i++)
    run_loop_for(0.2);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  assert_true(first_controller->replica.compaction_point > previous_point);
  restart_first_controller();
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, "wk-000001");
  assert_int_equal(job->spec.n_types, 30);
  assert_true(tmx_type_allowed(&job->spec, "big"));
  for (int i = 1; i < 30; i++) {
    snprintf(type, sizeof type, "a type with a rather long %02d", i);
    assert_true(tmx_type_allowed(&job->spec, type));
  }
  assert_int_equal(fake_store.oversized_transactions, 0);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(derived_outcomes_survive_compaction_and_restarts,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_derived_outcome_survives_compaction_before_it_is_stored,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(half_finished_chains_survive_compaction, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_dependency_committed_during_the_request_is_accepted,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_dependency_is_found_before_it_is_replicated,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(malformed_dependency_lists_get_400, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(dependencies_may_span_several_values, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(lowered_store_limits_block_no_job, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_record_above_a_lowered_limit_is_compacted,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
