/* Jobs that depend on others, from the submission to the last end. Each test fails if its guard is
 * taken out. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "tmx/wire.h"

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

/* too_early: no task of a job begins before all that it awaits are done in the log. */
static void no_task_starts_before_its_dependencies_are_done(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "");
  assert_accepted("wk-000003", "wk-000001 wk-000002");
  assert_accepted("wk-000004", "wk-000003");
  wait_for_starts(2);
  complete_task("wk-000001/0", 1);
  wait_for_job_state("wk-000001", WV_DONE);
  assert_stays_pending("wk-000003", 2);
  complete_task("wk-000002/0", 1);
  wait_for_starts(3);
  assert_stays_pending("wk-000004", 1);
  complete_task("wk-000003/0", 1);
  wait_for_starts(4);
  complete_task("wk-000004/0", 1);
  wait_for_job_state("wk-000004", WV_DONE);
}

/* A job waits for its own team's limit only once it is released. */
static void blocked_jobs_use_no_quota(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  wait_for_starts(1);
  for (int i = 2; i < 8; i++) { /* six times 2 CPUs of a limit of 8 */
    char id[TMX_ID_BYTES];
    snprintf(id, sizeof id, "wk-00000%d", i);
    assert_accepted(id, "wk-000001");
  }
  assert_int_equal(submit_simple_job(first_controller, "wk-000009", WV_ARRAY, 3, 2, "t"), 201);
  wait_for_starts(4); /* the limit is full with what may run */
  assert_string_equal(poll_job(first_controller, "wk-000009").state, WV_RUNNING);
}

/* orphaned: at whichever controller a job is cancelled, all that needs it is cancelled with it. */
static void a_cancellation_reaches_all_dependents(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  assert_accepted("wk-000003", "wk-000002");
  wait_for_starts(1);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  for (int i = 0; i < 2; i++) {
    struct tmx_controller *controller = i ? second_controller : first_controller;
    assert_string_equal(poll_job(controller, "wk-000002").state, WV_CANCELLED);
    assert_string_equal(poll_job(controller, "wk-000003").state, WV_CANCELLED);
    assert_string_equal(cancel_job(controller, "wk-000003").state, WV_CANCELLED);
    assert_int_equal(submit_with_dependencies(controller, "wk-000003", "wk-000002").status, 200);
  }
  struct fake_answer late = submit_with_dependencies(second_controller, "wk-000004", "wk-000003");
  assert_int_equal(late.status, 201);
  assert_string_equal(late.state, WV_CANCELLED);
  assert_string_equal(poll_job(first_controller, "wk-000004").state, WV_CANCELLED);
}

/* The leader ends after the last end is in the log and before the next job is placed. */
static void a_released_job_runs_when_the_leader_ends(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  fake_store.endpoints[0].hold_watches = true; /* it will not see its own commit */
  complete_task("wk-000001/0", 1);
  for (int i = 0; i < 200 && !fake_log_contains("e wk-000001/0 1 d"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("e wk-000001/0 1 d"));
  assert_int_equal(worker.executed_starts, 1);
  stop_controller(first_controller);
  fake_store.endpoints[0].hold_watches = false;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  for (int i = 0; i < 40 && worker.executed_starts < 2; i++) {
    report_worker_to_owner();
    fake_worker_execute_commands(&worker);
    run_loop_for(0.2);
  }
  assert_int_equal(worker.executed_starts, 2);
}

/* The cancellation is confirmed, and the store is unreachable from then on: the jobs after it are
 * cancelled for every controller that knows of it, and for one that starts later. */
static void a_cancellation_at_an_outage_reaches_dependents(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.05);
  fake_store.endpoints[0].unavailable = true;
  assert_string_equal(poll_job(first_controller, "wk-000002").state, WV_CANCELLED);
  run_loop_for(3);
  fake_store.endpoints[0].unavailable = false;
  restart_first_controller();
  assert_string_equal(poll_job(first_controller, "wk-000002").state, WV_CANCELLED);
}

/* The answer to a cancellation and the last end meet: whichever is committed first decides for the
 * job after it. */
static void a_cancellation_at_the_end_of_a_dependency_gets_one_answer(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  strcpy(fake_store.endpoints[0].lost_response_key, TMX_KEY_JOB "wk-000001");
  fake_store.endpoints[0].lose_next_response = true;
  complete_task("wk-000001/0", 1);
  for (int i = 0; i < 200 && fake_store.endpoints[0].lose_next_response; i++) run_loop_for(0.005);
  struct fake_answer answer = cancel_job(first_controller, "wk-000001");
  for (int i = 0; i < 20 && answer.status != 200; i++)
    answer = cancel_job(first_controller, "wk-000001");
  assert_string_equal(answer.state, WV_DONE);
  wait_for_starts(2);
  complete_task("wk-000002/0", 1);
  wait_for_job_state("wk-000002", WV_DONE);
}

/* A late copy of a report names an end of the awaited task's earlier attempt: it releases nothing.
 */
static void a_late_report_releases_no_job(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  complete_task("wk-000001/0", 7); /* an attempt that was never made */
  assert_stays_pending("wk-000002", 2);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(no_task_starts_before_its_dependencies_are_done,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(blocked_jobs_use_no_quota, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_reaches_all_dependents,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_released_job_runs_when_the_leader_ends,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_at_an_outage_reaches_dependents,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_at_the_end_of_a_dependency_gets_one_answer,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_releases_no_job, setup_one_controller,
                                      teardown_controllers),
  };
  return RUN_TESTS(tests);
}
