/* Commands, reports and transactions that arrive late or out of order, or whose responses are lost,
 * lead to no wrong conclusion. */
#include "controller_fixture.h"

#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* Guards against freeing the capacity of a task that may still start. A command without a response
 * becomes void once the worker has seen a higher token, or once the session for which it was sent
 * has ended. If a second command without a response was sent for a later session, the end of the
 * earlier session does not void it. */
static void a_session_end_does_not_void_a_later_command(void **state) {
  (void)state;
  register_worker(&worker);
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t old_token = worker.token;
  worker.session++;
  /* The end of the session voids the first command. The response is lost, so that the worker does
   * not see the higher token. */
  fake_worker_send_heartbeat(&worker, first_controller);
  worker.token = old_token;
  wait_for_placed(0);
  unsigned requests_before = worker.command_requests;
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  /* The second command is for this session, and the worker would still accept its token. */
  wait_for_unanswered_command(requests_before);
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  worker.token = old_token;
  fake_worker_send_heartbeat(&worker, first_controller);
  worker.token = old_token;
  assert_stays_placed(1, 0.6); /* the second command may still be executed */
  fake_worker_send_heartbeat(&worker, first_controller); /* this response arrives */
  assert_true(worker.token > old_token);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
}

/* Guards against a late copy of a report that ends a running attempt. The attempt failed and its
 * end was not committed. Then the lease expired and the same attempt was started again in the next
 * session. To a controller that has just started, a copy of the earlier session's report looks new.
 * The failure in it belongs to the earlier session and must not end the running attempt. */
static void a_late_report_of_an_earlier_session_ends_no_attempt(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_starts(1);
  fake_store.endpoints[0].unavailable = true;
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_ERROR);
  struct fake_worker late_copy = worker;
  late_copy.sequence = ++worker.sequence;
  stop_controller(first_controller);
  fake_store.endpoints[0].unavailable = false;
  worker.session++;
  worker.n_tasks = 0;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  for (int i = 0; i < 40 && worker.executed_starts < 2; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.05);
  }
  assert_int_equal(worker.executed_starts, 2); /* the attempt was started again */
  worker.unresponsive = true;
  restart_first_controller();
  fake_worker_send_heartbeat(&late_copy, first_controller);
  assert_stays_placed(1, 0.8);
  assert_false(fake_log_contains("e wk-000001/0 1 e"));
  worker.unresponsive = false;
  for (int i = 0; i < 4; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.1);
  }
  assert_int_equal(fake_count_placed_tasks(), 1);
  /* The failure of the running attempt itself must be logged. */
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_ERROR);
  fake_worker_send_heartbeat(&worker, first_controller);
  for (int i = 0; i < 200 && !fake_log_contains("e wk-000001/0 1 e"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("e wk-000001/0 1 e"));
}

/* Guards against a lost lease when the response to a probe overtakes a heartbeat in flight. The
 * heartbeat then carries an older report, but the worker still awaits its response. The response
 * must renew the lease and stop cancelled tasks, and must neither redirect the worker nor start
 * anything. A heartbeat of an earlier session is redirected instead. */
static void a_report_overtaken_by_a_probe_renews_the_lease(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  struct fake_worker delayed = worker;
  uint64_t sequence_before = worker.sequence;
  for (int i = 0; i < 300 && worker.sequence < sequence_before + 3; i++) run_loop_for(0.02);
  assert_true(worker.sequence >= sequence_before + 3);
  worker.fails_commands = true;
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.2);
  fake_worker_send_heartbeat(&delayed, first_controller);
  assert_int_equal(delayed.report_status, 200);
  assert_true(fake_worker_was_commanded(&delayed, WV_STOP, "wk-000001/0", 1));
  delayed.session--; /* as a late copy of an earlier session */
  fake_worker_send_heartbeat(&delayed, first_controller);
  assert_int_equal(delayed.report_status, 421);
}

/* Guards against placing tasks twice, and against a cancellation of a job that is already done. A
 * batch without a response is executed after newer batches of the same controller. Its conditions
 * no longer hold, so the store must reject it. */
static void late_transactions_are_rejected_as_conflicts(void **state) {
  (void)state;
  register_worker(&worker);
  struct fake_endpoint *endpoint = &fake_store.endpoints[0];
  strcpy(endpoint->late_transaction_key, TMX_KEY_BATCH);
  endpoint->next_transaction_is_late = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_for_starts(2);
  assert_non_null(endpoint->late_transaction_body);
  assert_int_equal(fake_execute_late_transaction(endpoint), 409);
  assert_stays_placed(2, 0.3);
  /* The same for a cancellation of a job that completes before the transaction is executed. */
  strcpy(endpoint->late_transaction_key, TMX_KEY_JOB "wk-000001");
  endpoint->next_transaction_is_late = true;
  assert_int_equal(cancel_job(first_controller, "wk-000001").status, 503);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_job_state("wk-000001", WV_DONE);
  assert_int_equal(fake_execute_late_transaction(endpoint), 409);
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
}

/* Guards against a controller that waits forever to become a member. A put of its member key got no
 * response and is executed after the put that set its incarnation. The key then shows another
 * incarnation, so the controller must register again. */
static void a_controller_registers_again_after_a_late_registration(void **state) {
  (void)state;
  register_worker(&worker);
  uint64_t incarnation = tmx_store_incarnation(first_controller->store);
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "listen", first_controller->settings.listen);
  fake_put(TMX_KEY_MEMBER "hand-0", &value);
  tmx_buffer_free(&value);
  run_loop_for(0.1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  assert_true(tmx_store_incarnation(first_controller->store) > incarnation);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  for (int i = 0; i < 100 && !worker.executed_starts; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.05);
  }
  assert_int_equal(worker.executed_starts, 1);
}

/* Guards against repeated puts under an expired lease. The store lease of the controller expires
 * without its knowledge. The first put that the store refuses must tell the controller so: it must
 * replace the lease and register again, without another put under the expired lease. */
static void a_controller_registers_again_after_lease_expiry(void **state) {
  (void)state;
  uint64_t incarnation = tmx_store_incarnation(first_controller->store);
  fake_store.leases_expired_up_to = fake_store.leases_granted;
  fake_delete(TMX_KEY_MEMBER "hand-0");
  run_loop_for(0.3);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  assert_true(tmx_store_incarnation(first_controller->store) > incarnation);
  assert_int_equal(fake_store.expired_lease_refusals, 1);
}

/* Guards against freeing the capacity of a task that may still start. The response to a probe can
 * overtake the response to a heartbeat that carries a start. The probe therefore does not prove
 * that the start was dropped; only the next heartbeat does. */
static void a_probe_that_overtakes_a_response_ends_no_attempt(void **state) {
  (void)state;
  register_worker_at(first_controller);
  worker.fails_commands = true;
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_is_placed, NULL));
  for (int i = 0; i < 100 && !worker.command_requests; i++) run_loop_for(0.02);
  run_loop_for(0.1);
  fake_worker_send_heartbeat(&worker, first_controller);
  /* The response carries the start, which the worker has not executed yet. */
  assert_true(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t sequence_before = worker.sequence;
  for (int i = 0; i < 300 && worker.sequence < sequence_before + 2; i++) run_loop_for(0.02);
  assert_true(worker.sequence >= sequence_before + 2); /* the worker responded to probes */
  run_loop_for(0.4);
  assert_int_equal(fake_count_placed_tasks(), 1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(no_task_is_placed, NULL));
}

/* Guards against wrong answers to users when the response to a commit is lost. While the outcome is
 * unknown the answer is 503, and a retry finds the job. If there is no response at all, the
 * submission is confirmed as soon as the log shows it, without waiting for the response. */
static void a_job_is_accepted_once_if_the_commit_response_is_lost(void **state) {
  (void)state;
  fake_store.endpoints[0].lose_next_response = true;
  strcpy(fake_store.endpoints[0].lost_response_key, TMX_KEY_JOB);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 503);
  assert_non_null(fake_get(TMX_KEY_JOB "wk-000001"));
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 200);
  fake_store.endpoints[0].lose_next_response = true;
  assert_int_equal(cancel_job(first_controller, "wk-000001").status, 503);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  fake_store.endpoints[0].lose_next_response = fake_store.endpoints[0].withhold_lost_response =
      true;
  double submitted_at = tmx_clock_steady();
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 200);
  assert_true(tmx_clock_steady() - submitted_at < TMX_STORE_TIMEOUT_S / 2);
  /* The timeout of the commit must change nothing. */
  run_loop_for(TMX_STORE_TIMEOUT_S + 0.2);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 200);
}

/* Guards against placing tasks twice when the response to a batch is lost. The controller must find
 * the placements of the batch in the log. */
static void a_batch_is_placed_once_if_its_response_is_lost(void **state) {
  (void)state;
  register_worker_at(first_controller);
  fake_store.endpoints[0].lose_next_response = true;
  strcpy(fake_store.endpoints[0].lost_response_key, TMX_KEY_BATCH);
  submit_simple_job(first_controller, "wk-000001", "batch", 3, 2, "t");
  for (int i = 0; i < 200 && worker.executed_starts < 3; i++) run_loop_for(0.02);
  assert_int_equal(worker.executed_starts, 3);
  assert_int_equal(fake_count_placed_tasks(), 3);
  for (size_t i = 0; i < worker.n_tasks; i++) assert_int_equal(worker.tasks[i].attempt, 1);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_session_end_does_not_void_a_later_command,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_of_an_earlier_session_ends_no_attempt,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_report_overtaken_by_a_probe_renews_the_lease,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(late_transactions_are_rejected_as_conflicts,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_controller_registers_again_after_a_late_registration,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_controller_registers_again_after_lease_expiry,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_probe_that_overtakes_a_response_ends_no_attempt,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_job_is_accepted_once_if_the_commit_response_is_lost,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_batch_is_placed_once_if_its_response_is_lost,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
