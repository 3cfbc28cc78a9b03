/* Fencing tokens and leases: messages and batches of a former owner or leader have no effect. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* Guards against freeing the capacity of a task that may still start. A start of the former owner
 * may be in flight when its successor takes over. The successor must not treat the attempt as ended
 * before the worker has seen the successor's token. */
static void late_commands_of_the_former_owner_are_fenced(void **state) {
  (void)state;
  register_worker_at(first_controller);
  worker.fails_commands = true;
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_is_placed, NULL));
  for (int i = 0; i < 100 && !worker.command_requests; i++) run_loop_for(0.02);
  assert_true(worker.command_requests > 0);
  stop_controller(first_controller);
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t token_before = worker.token;
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.token > token_before); /* the worker now rejects the late command */
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed_tasks(), 1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(no_task_is_placed, NULL));
}

/* Guards against placements beyond the quota while two controllers both consider themselves the
 * leader. The watch of the deposed leader is frozen, so it does not learn of its successor. A
 * batch must conflict unless the controller that planned it knew all earlier batches. */
static void a_quota_holds_with_two_acting_leaders(void **state) {
  (void)state;
  struct tmx_buffer value = {0};
  char id[32];
  register_worker_at_owner();
  struct tmx_controller *deposed = tmx_store_is_leader(first_controller->store) ? first_controller
                                                                                : second_controller,
                        *successor =
                            deposed == first_controller ? second_controller : first_controller;
  assert_true(tmx_store_is_leader(deposed->store));
  fake_store.endpoints[deposed == first_controller ? 0 : 1].hold_watches = true;
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", successor->settings.node_name);
  tmx_cbor_put_u64_field(&value, "inc", tmx_store_incarnation(successor->store));
  fake_put(TMX_KEY_LEADER, &value);
  tmx_buffer_free(&value);
  for (int i = 0; i < 300 && !tmx_store_is_leader(successor->store); i++) run_loop_for(0.02);
  assert_true(tmx_store_is_leader(successor->store) && tmx_store_is_leader(deposed->store));
  for (int i = 0; i < 6; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_simple_job(i % 2 ? first_controller : second_controller, id, "batch", 1, 2, "t");
  }
  for (int i = 0; i < 300 && fake_count_placed_tasks() < 4; i++) {
    run_loop_for(0.02);
    assert_in_range(fake_count_placed_tasks(), 0, 4);
    if (i == 20) {
      fake_store.endpoints[0].hold_watches = fake_store.endpoints[1].hold_watches = false;
      fake_answer_pending_watches();
    }
  }
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed_tasks(), 4);
  for (size_t i = 0; i < worker.n_tasks; i++) assert_int_equal(worker.tasks[i].attempt, 1);
}

/* A worker whose lease expired has lost its tasks and begins a new session. The same attempt must
 * be started there again, and a late copy of a report of the earlier session must be ignored. */
static void a_worker_that_lost_its_lease_starts_a_new_session(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  worker.session++;
  worker.n_tasks = 0;
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_execute_commands(&worker);
  for (int i = 0; i < 100 && worker.executed_starts < 2; i++) run_loop_for(0.02);
  assert_int_equal(worker.executed_starts, 2);
  /* A late copy of a report of the earlier session. */
  uint64_t session = worker.session, sequence = worker.sequence;
  worker.session = 1;
  worker.sequence = 1;
  worker.n_tasks = 0;
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_not_equal(worker.report_status, 200);
  worker.session = session;
  worker.sequence = sequence;
  assert_int_equal(fake_count_placed_tasks(), 1);
}

/* Guards against two owners that both keep a worker. The higher token shows that the worker has a
 * newer owner, so this controller must redirect the worker. */
static void a_higher_token_is_not_answered_with_200(void **state) {
  (void)state;
  register_worker_at(first_controller);
  worker.token += 1ull << 40;
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 421);
}

/* Guards against placements beyond the quota when two controllers have replicas of different age.
 * The jobs are submitted to both controllers while the watch of one is frozen. */
static void a_quota_holds_across_two_controllers(void **state) {
  (void)state;
  register_worker_at_owner();
  fake_store.endpoints[1].hold_watches = true; /* its replica becomes stale */
  char id[32];
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_simple_job(i % 2 ? first_controller : second_controller, id, "batch", 1, 2, "t");
  }
  run_loop_for(0.3);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  for (int i = 0, rounds_at_quota = 0; i < 300 && rounds_at_quota < 20; i++) {
    run_loop_for(0.03);
    rounds_at_quota += fake_count_placed_tasks() == 4;
    assert_in_range(fake_count_placed_tasks(), 0,
                    4); /* 4 tasks of 2 CPUs use the quota of 8 CPUs */
  }
  assert_int_equal(fake_count_placed_tasks(), 4);
}

/* Guards against the loss of running tasks when a zone is partitioned from the store and from the
 * owner of its workers. No view can be written, so the controller in the zone must renew the leases
 * on behalf of the owner, for as long as they end within cancel_s of a cancellation elsewhere. It
 * must start nothing, and must stop the tasks that it knows to be cancelled. */
static void a_lease_is_renewed_for_an_unreachable_owner(void **state) {
  (void)state;
  register_worker_at_owner();
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t");
  for (int i = 0; i < 100 && worker.executed_starts < 2; i++) run_loop_for(0.02);
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  run_loop_for(0.3);
  bool first_is_owner = !strcmp(tmx_machine_owner(&first_controller->replica, worker.id),
                                first_controller->settings.node_name);
  struct tmx_controller *remaining = first_is_owner ? second_controller : first_controller;
  assert_int_equal(tmx_job_find(&remaining->replica, "wk-000002")->outcome, TMX_JOB_CANCELLED);
  fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = true;
  stop_controller(first_is_owner ? first_controller : second_controller);
  if (first_is_owner)
    first_controller = NULL;
  else
    second_controller = NULL;
  run_loop_for(0.3);
  fake_worker_send_heartbeat(&worker, remaining);
  assert_int_equal(worker.report_status, 421); /* the owner may be unreachable only briefly */
  tmx_clock_advance(TMX_STORE_UNREACHABLE_S);
  /* The worker has not received the stop of the cancelled job. */
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_RUNNING, NULL);
  uint64_t token_before = worker.token;
  fake_worker_send_heartbeat(&worker, remaining);
  assert_int_equal(worker.report_status, 200);
  assert_int_equal(worker.response_token, token_before);
  assert_int_equal(worker.n_commands_received, 1);
  assert_true(fake_worker_was_commanded(&worker, WV_STOP, "wk-000002/0", 1));
  tmx_clock_advance(remaining->settings.cancel_s - remaining->settings.lease_s -
                    TMX_FRESHNESS_MARGIN_S);
  fake_worker_send_heartbeat(&worker, remaining);
  assert_int_equal(worker.report_status, 503);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(late_commands_of_the_former_owner_are_fenced,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_quota_holds_with_two_acting_leaders, setup_two_controllers,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_worker_that_lost_its_lease_starts_a_new_session,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_higher_token_is_not_answered_with_200, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_quota_holds_across_two_controllers, setup_two_controllers,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_lease_is_renewed_for_an_unreachable_owner,
                                      setup_two_controllers, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
