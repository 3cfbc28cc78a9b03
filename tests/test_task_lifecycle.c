/* A task from its placement to its end, through lost answers and restarts of its controller. */
#include "controller_fixture.h"

#include "tmx/wire.h"

/* A whole life: logged first, started directly, done once committed, forgotten after that. */
static void a_task_is_logged_started_completed_and_forgotten(void **state) {
  (void)state;
  register_worker_at(first_controller);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_true(run_loop_until(any_task_was_started, NULL));
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_RUNNING);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_store.endpoints[0].unavailable = true; /* nothing can be committed now */
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

/* After the result is committed the attempt is never started again, whatever a report lacks. */
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

/* A command without an answer may run minutes later: a higher token goes out first, and until
 * the worker has seen it a missing attempt is not taken to be gone. */
static void an_unanswered_command_raises_the_token(void **state) {
  (void)state;
  register_worker_at(first_controller);
  uint64_t before = worker.response_token;
  worker.fails_commands = true;
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_is_placed, NULL));
  for (int i = 0; i < 100 && !worker.command_requests; i++) run_loop_for(0.02);
  assert_true(worker.command_requests > 0);
  run_loop_for(0.1);
  /* (the scripted worker's 500 leaves the command unresolved) */
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t seen = worker.token;
  fake_worker_send_heartbeat(
      &worker, first_controller); /* a report from before the higher token, without the attempt */
  assert_true(worker.response_token > before);
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_true(worker.token > seen);
  fake_worker_send_heartbeat(
      &worker, first_controller); /* the token has been seen: the late command would be refused */
  assert_true(run_loop_until(no_task_is_placed, NULL));
}

/* A successor has nothing but the log: it starts what is placed and absent, with a higher token. */
static void a_restart_between_log_and_start_starts_once(void **state) {
  (void)state;
  register_worker_at(first_controller);
  uint64_t token = worker.token;
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
  assert_true(worker.token > token);
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_int_equal(worker.tasks[0].attempt, 1);
}

/* Restarts at the later steps: with a result in the log that was not reaped, with a task running,
 * and with a cancellation whose tasks still run. */
static void a_restart_at_later_steps_repeats_nothing(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t");
  for (int i = 0; i < 200 && worker.executed_starts < 2; i++) run_loop_for(0.02);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  for (int i = 0; i < 200 && fake_count_placed_tasks() > 1; i++) run_loop_for(0.02);
  assert_int_equal(fake_count_placed_tasks(), 1);
  restart_first_controller();
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE); /* its reap never came */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(fake_worker_was_commanded(&worker, WV_FORGET, "wk-000001/0", 1));
  assert_false(fake_worker_was_commanded(&worker, WV_STOP, "wk-000001/1",
                                         1)); /* the running one continues */
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

/* A job's last end needs a put more than others. With few puts to spend it waits for them, and does
 * not block what comes after it. */
static void last_completions_are_stored_with_few_writes(void **state) {
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
      cmocka_unit_test_setup_teardown(a_restart_between_log_and_start_starts_once,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_restart_at_later_steps_repeats_nothing,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(last_completions_are_stored_with_few_writes,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
