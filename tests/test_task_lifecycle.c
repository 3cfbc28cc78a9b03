/* A task from its placement to its end, despite lost responses and restarts of its controller. */
#include "controller_fixture.h"

#include "tmx/wire.h"

/* The complete lifecycle of a task: its placement is logged before it is started by a direct
 * command, it is done once its completion is committed, and only then does the worker forget it. */
static void a_task_is_logged_started_completed_and_forgotten(void **state) {
  (void)state;
  register_worker_at(first_controller);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_true(run_loop_until(any_task_was_started, NULL));
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_RUNNING);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_store.endpoints[0].unavailable = true; /* the completion cannot be committed */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_false(fake_worker_was_commanded(&worker, WV_FORGET, "wk-000001/0", 1));
  assert_string_not_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
  fake_store.endpoints[0].unavailable = false;
  assert_true(run_loop_until(first_controller_knows_outcome, "wk-000001"));
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(fake_worker_was_commanded(&worker, WV_FORGET, "wk-000001/0", 1) ||
              worker.n_tasks == 0);
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_DONE);
}

/* Guards against running a completed attempt twice. Once the completion is committed, the attempt
 * is not started again even if reports no longer contain it. */
static void a_forgotten_attempt_is_not_started_again(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(first_controller_knows_outcome, "wk-000001"));
  for (int i = 0; i < 3; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    assert_false(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
    fake_worker_execute_commands(&worker);
  }
  assert_int_equal(worker.executed_starts, 1);
}

/* Guards against freeing the capacity of a task that may still start. A command without a response
 * may be executed minutes later. The controller must therefore raise the token, and must not treat
 * a missing attempt as ended before the worker has seen the higher token. */
static void an_unanswered_command_raises_the_token(void **state) {
  (void)state;
  register_worker_at(first_controller);
  uint64_t response_token_before = worker.response_token;
  worker.fails_commands = true;
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_is_placed, NULL));
  for (int i = 0; i < 100 && !worker.command_requests; i++) run_loop_for(0.02);
  assert_true(worker.command_requests > 0);
  run_loop_for(0.1);
  /* A response with status 500 does not tell whether the command was executed. */
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t token_before = worker.token;
  /* This report lacks the attempt and was sent before the worker saw the higher token. */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.response_token > response_token_before);
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_true(worker.token > token_before);
  /* This report shows the higher token: the worker now rejects the late command. */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(no_task_is_placed, NULL));
}

/* Guards against a task that is never started, or started twice, if the controller restarts between
 * its placement and its start. The new process knows only the log. It must start the placed task
 * that the worker does not report, with a higher token. */
static void a_restart_between_placement_and_start_starts_once(void **state) {
  (void)state;
  register_worker_at(first_controller);
  uint64_t token_before = worker.token;
  worker.fails_commands = true;
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_is_placed, NULL));
  stop_controller(first_controller);
  worker.fails_commands = false;
  worker.executed_starts = 0;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  fake_worker_send_heartbeat(&worker, first_controller);
  if (worker.report_status == 200) fake_worker_execute_commands(&worker);
  assert_true(run_loop_until(any_task_was_started, NULL));
  assert_true(worker.token > token_before);
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_int_equal(worker.tasks[0].attempt, 1);
}

/* Guards against repeated starts after restarts at later steps: with a committed completion that
 * the worker has not been told to forget, with a running task, and with a cancelled job whose tasks
 * still run. */
static void a_restart_after_the_start_repeats_nothing(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t");
  for (int i = 0; i < 200 && worker.executed_starts < 2; i++) run_loop_for(0.02);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  for (int i = 0; i < 200 && fake_count_placed_tasks() > 1; i++) run_loop_for(0.02);
  assert_int_equal(fake_count_placed_tasks(), 1);
  restart_first_controller();
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE); /* not forgotten */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(fake_worker_was_commanded(&worker, WV_FORGET, "wk-000001/0", 1));
  /* The running task continues. */
  assert_false(fake_worker_was_commanded(&worker, WV_STOP, "wk-000001/1", 1));
  fake_worker_execute_commands(&worker);
  assert_int_equal(worker.executed_starts, 2);
  worker.fails_commands = true;
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  restart_first_controller();
  worker.fails_commands = false;
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_execute_commands(&worker);
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_CANCELLED);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(no_task_is_placed, NULL));
  assert_int_equal(worker.executed_starts, 2);
}

/* Guards against a last completion that blocks others. The last completion of a job needs an
 * additional put, for the final state of the job. Under a low write limit it must wait for that put
 * without delaying the completions after it. */
static void last_completions_are_stored_under_a_low_write_limit(void **state) {
  (void)state;
  register_worker_at(first_controller);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 3, 2, "t"), 201);
  for (int i = 0; i < 200 && worker.executed_starts < 4; i++) run_loop_for(0.02);
  assert_int_equal(worker.executed_starts, 4);
  first_controller->settings.write_rps = 3;
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000002/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(first_controller_knows_outcome, "wk-000001"));
  for (int i = 0; i < 200 && tmx_job_find(&first_controller->replica, "wk-000002")->n_done < 2; i++)
    run_loop_for(0.02);
  assert_int_equal(tmx_job_find(&first_controller->replica, "wk-000002")->n_done, 2);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_task_is_logged_started_completed_and_forgotten,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_forgotten_attempt_is_not_started_again,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(an_unanswered_command_raises_the_token, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_restart_between_placement_and_start_starts_once,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_restart_after_the_start_repeats_nothing,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(last_completions_are_stored_under_a_low_write_limit,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
