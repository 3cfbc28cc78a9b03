/* Commands, reports and transactions that arrive late or out of order prove nothing wrong. */
#include "controller_fixture.h"

#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* A command that got no answer is fenced by a token or by the end of the session that it was for.
 * The next one may be for a later session: the end of the earlier one says nothing of it. */
static void a_late_command_of_a_later_session_proves_no_end(void **state) {
  (void)state;
  register_worker(&worker);
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t old = worker.token;
  worker.session++;
  fake_worker_send_heartbeat(
      &worker, first_controller); /* a later session: the first command can no longer run */
  worker.token = old;             /* the answer is lost */
  wait_for_placed(0);
  unsigned before = worker.command_requests;
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(before); /* for this session, by a token that it would still accept */
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  worker.token = old;
  fake_worker_send_heartbeat(&worker, first_controller);
  worker.token = old;
  assert_stays_placed(1, 0.6);                           /* it may start yet */
  fake_worker_send_heartbeat(&worker, first_controller); /* this answer arrives: a higher token */
  assert_true(worker.token > old);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
}

/* An attempt failed, and its end was not committed; the lease lapsed, and it was started once more
 * in the next session. To a controller that has just come a copy of the earlier session's report
 * looks new: the end that it names is not this one's. */
static void a_late_report_of_an_earlier_session_proves_no_end(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_starts(1);
  fake_store.endpoints[0].unavailable = true;
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_ERROR);
  struct fake_worker copy = worker;
  copy.sequence = ++worker.sequence;
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
  assert_int_equal(worker.executed_starts, 2); /* it runs, as the same attempt */
  worker.unresponsive = true;
  restart_first_controller();
  fake_worker_send_heartbeat(&copy, first_controller);
  assert_stays_placed(1, 0.8);
  assert_false(fake_log_contains("e wk-000001/0 1 e"));
  worker.unresponsive = false;
  for (int i = 0; i < 4; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.1);
  }
  assert_int_equal(fake_count_placed_tasks(), 1);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_ERROR); /* this one is its own */
  fake_worker_send_heartbeat(&worker, first_controller);
  for (int i = 0; i < 200 && !fake_log_contains("e wk-000001/0 1 e"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("e wk-000001/0 1 e"));
}

/* A probe's answer overtakes a report on its way. The worker still waits for the answer to it: it
 * is not sent elsewhere, its lease is renewed, and what is cancelled is stopped; nothing is started
 * by it. */
static void a_probe_that_overtakes_a_report_proves_no_end(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  struct fake_worker sent = worker;
  uint64_t seq = worker.sequence;
  for (int i = 0; i < 300 && worker.sequence < seq + 3; i++) run_loop_for(0.02);
  assert_true(worker.sequence >= seq + 3);
  worker.fails_commands = true;
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.2);
  fake_worker_send_heartbeat(&sent, first_controller);
  assert_int_equal(sent.report_status, 200);
  assert_true(fake_worker_was_commanded(&sent, WV_STOP, "wk-000001/0", 1));
  sent.session--; /* not so one of an earlier session */
  fake_worker_send_heartbeat(&sent, first_controller);
  assert_int_equal(sent.report_status, 421);
}

/* A batch that got no answer is carried out after newer ones of the same controller: what it rested
 * on is no longer there. */
static void a_batch_committed_late_is_placed_once(void **state) {
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
  /* and so is a cancellation of a job that ended in the meantime */
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

/* The put of a controller's own key got no answer, and is carried out after the one that counts.
 * Its run is then another in the key than here: it registers anew instead of waiting for ever. */
static void a_late_registration_is_repeated(void **state) {
  (void)state;
  register_worker(&worker);
  uint64_t run = tmx_store_incarnation(first_controller->store);
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "listen", first_controller->settings.listen);
  fake_put(TMX_KEY_MEMBER "hand-0", &value);
  tmx_buffer_free(&value);
  run_loop_for(0.1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  assert_true(tmx_store_incarnation(first_controller->store) > run);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  for (int i = 0; i < 100 && !worker.executed_starts; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.05);
  }
  assert_int_equal(worker.executed_starts, 1);
}

/* Refused alone for longer than its lease, it comes back and learns from the first put that the
 * lease is over: it does not try again with it until a renewal says so. */
static void a_controller_registers_anew_after_lease_expiry(void **state) {
  (void)state;
  uint64_t run = tmx_store_incarnation(first_controller->store);
  fake_store.leases_expired_up_to = fake_store.leases_granted;
  fake_delete(TMX_KEY_MEMBER "hand-0");
  run_loop_for(0.3);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  assert_true(tmx_store_incarnation(first_controller->store) > run);
  assert_int_equal(fake_store.expired_lease_refusals, 1);
}

/* A probe's answer may overtake the answer to a report that carries a start: it is no proof that
 * the start will not run. Only the next report is. */
static void a_probe_that_overtakes_an_answer_changes_nothing(void **state) {
  (void)state;
  register_worker_at(first_controller);
  worker.fails_commands = true;
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_is_placed, NULL));
  for (int i = 0; i < 100 && !worker.command_requests; i++) run_loop_for(0.02);
  run_loop_for(0.1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(
      fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1)); /* not executed yet */
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t seq = worker.sequence;
  for (int i = 0; i < 300 && worker.sequence < seq + 2; i++) run_loop_for(0.02);
  assert_true(worker.sequence >= seq + 2); /* probes were answered */
  run_loop_for(0.4);
  assert_int_equal(fake_count_placed_tasks(), 1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(no_task_is_placed, NULL));
}

/* The answer to a commit is lost: no answer says what is not known. A submission is known
 * as soon as the log shows it; the user does not wait for the answer. */
static void a_lost_commit_response_accepts_once(void **state) {
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
  double start = tmx_clock_steady();
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 200);
  assert_true(tmx_clock_steady() - start < TMX_STORE_TIMEOUT_S / 2);
  run_loop_for(TMX_STORE_TIMEOUT_S +
               0.2); /* the commit's own answer is given up on, and changes nothing */
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 200);
}

/* A lost answer to a batch: what it placed is found in the log, once. */
static void a_lost_batch_response_places_once(void **state) {
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
      cmocka_unit_test_setup_teardown(a_late_command_of_a_later_session_proves_no_end,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_of_an_earlier_session_proves_no_end,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_probe_that_overtakes_a_report_proves_no_end,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_batch_committed_late_is_placed_once, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_registration_is_repeated, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_controller_registers_anew_after_lease_expiry,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_probe_that_overtakes_an_answer_changes_nothing,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_lost_commit_response_accepts_once, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_lost_batch_response_places_once, setup_one_controller,
                                      teardown_controllers),
  };
  return RUN_TESTS(tests);
}
