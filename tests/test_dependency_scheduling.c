/* Scheduling of jobs with prerequisites, from the submission to the end of the last task. Each test
 * fails if the check that it covers is removed from the code. */
#include "dependency_fixture.h"

#include <stdio.h>
#include <string.h>

#include "tmx/wire.h"

/* Guards against tasks that start too early: no task of a job may start before the log shows all
 * prerequisites of the job as done. */
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

/* A blocked job must not count towards its team's limit. If it did, the team's runnable jobs would
 * have to wait for a job that cannot start. */
static void blocked_jobs_use_no_quota(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  wait_for_starts(1);
  for (int i = 2; i < 8; i++) { /* six times 2 CPUs; the team's limit is 8 */
    char id[TMX_ID_BYTES];
    snprintf(id, sizeof id, "wk-00000%d", i);
    assert_accepted(id, "wk-000001");
  }
  assert_int_equal(submit_simple_job(first_controller, "wk-000009", WV_ARRAY, 3, 2, "t"), 201);
  wait_for_starts(4); /* the runnable tasks use the whole limit */
  assert_string_equal(poll_job(first_controller, "wk-000009").state, WV_RUNNING);
}

/* Guards against orphaned dependents: when a job is cancelled, every controller must report all its
 * direct and indirect dependents as cancelled. */
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
  struct fake_response late_submission =
      submit_with_dependencies(second_controller, "wk-000004", "wk-000003");
  assert_int_equal(late_submission.status, 201);
  assert_string_equal(late_submission.state, WV_CANCELLED);
  assert_string_equal(poll_job(first_controller, "wk-000004").state, WV_CANCELLED);
}

/* The leader stops after the end of the prerequisite is committed and before the dependent job is
 * placed. After its restart it must place that job. */
static void a_released_job_runs_after_the_leader_restarts(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  fake_store.endpoints[0].hold_watches = true; /* the controller does not see its own commit */
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

/* The store becomes unreachable right after a cancellation is confirmed. The controller that knows
 * of the cancellation, and one that starts later, must still report the dependents as cancelled. */
static void a_cancellation_reaches_dependents_despite_a_store_outage(void **state) {
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

/* A cancellation races with the end of the job's last task. Whichever is committed first determines
 * the outcome, also for the dependent job. Here the end is committed but the store's response to it
 * is lost. */
static void a_cancellation_that_races_with_completion_has_one_outcome(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  strcpy(fake_store.endpoints[0].lost_response_key, TMX_KEY_JOB "wk-000001");
  fake_store.endpoints[0].lose_next_response = true;
  complete_task("wk-000001/0", 1);
  for (int i = 0; i < 200 && fake_store.endpoints[0].lose_next_response; i++) run_loop_for(0.005);
  struct fake_response response = cancel_job(first_controller, "wk-000001");
  for (int i = 0; i < 20 && response.status != 200; i++)
    response = cancel_job(first_controller, "wk-000001");
  assert_string_equal(response.state, WV_DONE);
  wait_for_starts(2);
  complete_task("wk-000002/0", 1);
  wait_for_job_state("wk-000002", WV_DONE);
}

/* A late report that names another attempt of the prerequisite's task must not release the
 * dependent job. */
static void a_late_report_releases_no_job(void **state) {
  (void)state;
  register_worker(&worker);
  assert_accepted("wk-000001", "");
  assert_accepted("wk-000002", "wk-000001");
  wait_for_starts(1);
  complete_task("wk-000001/0", 7); /* no such attempt was started */
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
      cmocka_unit_test_setup_teardown(a_released_job_runs_after_the_leader_restarts,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_reaches_dependents_despite_a_store_outage,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_that_races_with_completion_has_one_outcome,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_releases_no_job, setup_one_controller,
                                      teardown_controllers),
  };
  return RUN_TESTS(tests);
}
