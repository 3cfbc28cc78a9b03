/* Dependencies in the log: compaction, restarts, long lists and lowered limits of the store. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "replica/placement_caps.h"
#include "tmx/wire.h"

/* A submission that allows so many types, "big" among them. */
static void encode_submission_with_types(struct tmx_buffer *buffer, const char *id, int count) {
  struct tmx_buffer types = {0};
  char type[TMX_ID_BYTES];
  tmx_cbor_put_list(&types, (size_t)count);
  for (int i = 0; i < count; i++) {
    snprintf(type, sizeof type, i ? "a type with a rather long %02d" : "big", i);
    tmx_cbor_put_text(&types, type);
  }
  struct fake_job job = {.id = id, .team = "t", .tasks = 1, .cpus = 2, .types = &types};
  encode_job_submission(buffer, &job);
  tmx_buffer_free(&types);
}

/* A list of ids, each a text, set apart by spaces in `names`. */
static struct fake_answer submit_with_dependencies(struct tmx_controller *controller,
                                                   const char *id, const char *names) {
  struct tmx_buffer list = {0}, body = {0};
  char copy[256], *name[8];
  snprintf(copy, sizeof copy, "%s", names);
  size_t count = tmx_log_line_split(copy, name, 8);
  tmx_cbor_put_list(&list, count);
  for (size_t i = 0; i < count; i++) tmx_cbor_put_text(&list, name[i]);
  encode_submission_with_dependencies(&body, id, WV_ARRAY, 1, 2, "t", &list);
  struct fake_answer answer = send_request(controller, "POST", WP_JOBS, &body);
  tmx_buffer_free(&list);
  tmx_buffer_free(&body);
  return answer;
}

static void assert_accepted(const char *id, const char *names) {
  struct fake_answer answer = submit_with_dependencies(first_controller, id, names);
  assert_int_equal(answer.status, 201);
  assert_string_equal(answer.state, WV_PENDING);
}

static void assert_stays_pending(const char *id, double duration_s) {
  unsigned begun = worker.executed_starts;
  double passed = 0;
  while (passed < duration_s) {
    run_loop_for(0.2);
    report_worker_to_owner();
    assert_string_equal(poll_job(first_controller, id).state, WV_PENDING);
    passed += 0.2;
  }
  assert_int_equal(worker.executed_starts, begun);
}

static bool all_outcomes_are_stored(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_replica_prune_unstored_outcomes(&controller->replica);
  return !controller->replica.n_unstored_outcomes;
}

/* What follows from a cancellation gets a final state of its own; a compaction in between keeps it.
 */
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

/* While puts are scarce nobody writes that final state. A compaction meanwhile keeps the job and
 * the names that it was derived from, as the batch that held them is written over. */
static void a_derived_outcome_survives_compaction_before_it_is_stored(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  first_controller->replica.n_unstored_outcomes = 0; /* as if no put were ever to spare for it */
  fake_delete(TMX_KEY_JOB "wk-000002");              /* as if it had come with a batch */
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  run_loop_for(2);
  restart_first_controller();
  assert_string_equal(poll_job(first_controller, "wk-000002").state, WV_CANCELLED);
}

/* The log of a chain that is half done is compacted, and the controller restarted: what is done
 * counts, what is not done blocks, and nothing starts twice. */
static void chains_survive_compaction_half_done(void **state) {
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

/* The commit is seen while the request waits for a read of the state: the names are judged then. */
static void a_dependency_is_known_when_named_at_once(void **state) {
  (void)state;
  ev_timer thaw;
  register_worker(&worker);
  fake_store.endpoints[0].hold_watches = true;
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", WV_ARRAY, 1, 2, "t"), 201);
  ev_timer_init(&thaw, end_watch_freeze, 0.3, 0);
  ev_timer_start(test_loop, &thaw);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000002", "wk-000001").status,
                   201);
}

/* Accepted a moment ago at another controller, whose commit has not been seen here. */
static void a_dependency_is_found_before_it_is_replicated(void **state) {
  (void)state;
  register_worker(&worker);
  fake_store.endpoints[0].hold_watches = true;
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", WV_ARRAY, 1, 2, "t"), 201);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000002", "wk-000001").status,
                   503); /* never a 422 */
  fake_store.endpoints[0].hold_watches = false;
  fake_answer_pending_watches();
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000002", "wk-000001").status,
                   201);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000003", "wk-000777").status,
                   422);
  fake_store.endpoints[0].unavailable = true;
  int status = submit_with_dependencies(first_controller, "wk-000004", "wk-000777").status;
  assert_int_equal(status, 503); /* it cannot be decided now */
}

static int submit_with_list(const struct tmx_buffer *list) {
  struct tmx_buffer body = {0};
  encode_submission_with_dependencies(&body, "wk-000009", WV_ARRAY, 1, 2, "t", list);
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
  tmx_cbor_put_list(&list, 1);
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
  /* what is known is answered before anything is judged */
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000003", "job-1").status, 200);
  assert_int_equal(submit_with_dependencies(first_controller, "wk-000003", "wk-000777").status,
                   200);
  tmx_buffer_free(&list);
}

static struct tmx_buffer encode_many_ids(int count) {
  struct tmx_buffer list = {0};
  char id[TMX_ID_BYTES];
  tmx_cbor_put_list(&list, (size_t)count);
  for (int i = 0; i < count; i++) {
    snprintf(id, sizeof id, "wk-%06d", 1000 + i);
    tmx_cbor_put_text(&list, id);
  }
  return list;
}

/* More names than a value holds are split over the keys of one transaction; more than a
 * transaction holds are refused. Neither is ever half there, and a compaction splits them as well.
 */
static void dependencies_may_span_several_values(void **state) {
  (void)state;
  enum { SOME = 650, FAR_TOO_MANY = 1300 };
  register_worker(&worker);
  first_controller->settings.value_kb = 1;
  first_controller->settings.txn_ops = 8;
  fake_store.value_json_bytes_max = 1024;
  fake_store.transaction_operations_max = 8;
  for (int i = 0; i < FAR_TOO_MANY; i++) { /* as another controller would have accepted them */
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
  struct tmx_buffer list = encode_many_ids(FAR_TOO_MANY);
  assert_int_equal(submit_with_list(&list), 422);
  tmx_buffer_free(&list);
  list = encode_many_ids(SOME);
  first_controller->settings.write_rps =
      4; /* fewer puts available than it needs: it is sent whole all the same */
  assert_int_equal(submit_with_list(&list), 201);
  first_controller->settings.write_rps = 1000;
  tmx_buffer_free(&list);
  const struct tmx_job *pending = tmx_job_find(&first_controller->replica, "wk-000009");
  assert_int_equal(pending->dependencies.n_unfinished, SOME);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 3000 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  tmx_compaction_set_threshold(first_controller->compaction, 100000);
  restart_first_controller();
  pending = tmx_job_find(&first_controller->replica, "wk-000009");
  assert_int_equal(pending->dependencies.n_unfinished, SOME);
  assert_int_equal(fake_store.oversized_transactions, 0);
}

/* The limits fall without notice while work is under way. Everything keeps within the smaller ones
 * from the start, so nothing is refused, and all comes to its end. */
static void lowered_limits_hold_up_nothing(void **state) {
  (void)state;
  first_controller->settings.value_kb = 1;
  first_controller->settings.txn_ops = 4;
  register_worker(&worker);
  char id[TMX_ID_BYTES], before[TMX_ID_BYTES] = "";
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    assert_accepted(id, before);
    if (i % 3 != 2) strcpy(before, id);
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

/* A job whose record names more types than the lowered limit leaves room for does not block a
 * compaction, and keeps all of its types. */
static void a_record_above_a_lowered_limit_is_compacted(void **state) {
  (void)state;
  char type[TMX_ID_BYTES];
  unsigned answered = 0;
  register_worker(&worker);
  struct tmx_http_client *client = new_controller_client(first_controller);
  for (int i = 1; i <= TYPED_JOBS; i++) { /* so many at once go with a batch */
    struct tmx_buffer body = {0};
    char id[TMX_ID_BYTES];
    snprintf(id, sizeof id, "wk-%06d", i);
    encode_submission_with_types(&body, id, 30);
    assert_true(tmx_http_client_call(client, "POST", WP_JOBS, &body, 5, on_accepted, &answered));
    tmx_buffer_free(&body);
  }
  assert_true(run_loop_until(all_accepted, &answered));
  tmx_http_client_free(client);
  assert_null(fake_get(TMX_KEY_JOB "wk-000001")); /* it has no key of its own to be read from */
  first_controller->settings.value_kb = 1;
  fake_store.value_json_bytes_max = 1024;
  uint64_t folded = first_controller->replica.compaction_point;
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 100 && first_controller->replica.compaction_point == folded; i++)
    run_loop_for(0.2);
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
  assert_true(first_controller->replica.compaction_point > folded);
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
      cmocka_unit_test_setup_teardown(chains_survive_compaction_half_done, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_dependency_is_known_when_named_at_once,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_dependency_is_found_before_it_is_replicated,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(malformed_dependency_lists_get_400, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(dependencies_may_span_several_values, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(lowered_limits_hold_up_nothing, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_record_above_a_lowered_limit_is_compacted,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
