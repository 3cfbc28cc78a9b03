/* Fencing tokens and leases: a former owner or leader changes nothing any more. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* A start of the earlier owner may still be under way: its successor takes no task to be absent
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
  uint64_t before = worker.token;
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.token > before); /* the late command would be refused from here on */
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed_tasks(), 1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(run_loop_until(no_task_is_placed, NULL));
}

/* Two controllers that both act as the leader: every batch was planned on all before it. */
static void a_deposed_leader_places_nothing(void **state) {
  (void)state;
  struct tmx_buffer value = {0};
  char id[32];
  register_worker_at_owner();
  struct tmx_controller *old = tmx_store_is_leader(first_controller->store) ? first_controller
                                                                            : second_controller,
                        *other = old == first_controller ? second_controller : first_controller;
  assert_true(tmx_store_is_leader(old->store));
  fake_store.endpoints[old == first_controller ? 0 : 1].hold_watches = true;
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", other->settings.node_name);
  tmx_cbor_put_u64_field(&value, "inc", tmx_store_incarnation(other->store));
  fake_put(TMX_KEY_LEADER, &value);
  tmx_buffer_free(&value);
  for (int i = 0; i < 300 && !tmx_store_is_leader(other->store); i++) run_loop_for(0.02);
  assert_true(tmx_store_is_leader(other->store) && tmx_store_is_leader(old->store));
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

/* A worker whose lease lapsed has forgotten its tasks; the attempt is started there again. */
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
  /* a late copy of a report of the earlier session says nothing */
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

/* The token of another, newer owner: this controller must not keep the worker. */
static void a_higher_token_is_not_answered_with_200(void **state) {
  (void)state;
  register_worker_at(first_controller);
  worker.token += 1ull << 40;
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 421);
}

/* Two controllers on copies of different age: what they place together stays in the limit. */
static void a_quota_holds_over_two_controllers(void **state) {
  (void)state;
  register_worker_at_owner();
  fake_store.endpoints[1].hold_watches = true; /* b lags from here on */
  char id[32];
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_simple_job(i % 2 ? first_controller : second_controller, id, "batch", 1, 2, "t");
  }
  run_loop_for(0.3);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  for (int i = 0, full = 0; i < 300 && full < 20; i++) {
    run_loop_for(0.03);
    full += fake_count_placed_tasks() == 4;
    assert_in_range(fake_count_placed_tasks(), 0, 4); /* 4 tasks of 2 CPUs are the limit of 8 */
  }
  assert_int_equal(fake_count_placed_tasks(), 4);
}

/* A zone is cut off from everything: its workers' owner is outside, and no view can be written. The
 * controller inside keeps their leases as long as a cancellation elsewhere allows, starts nothing,
 * and stops what it knows to be cancelled. */
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
  struct tmx_controller *inside = first_is_owner ? second_controller : first_controller;
  assert_int_equal(tmx_job_find(&inside->replica, "wk-000002")->outcome, TMX_JOB_CANCELLED);
  fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = true;
  stop_controller(first_is_owner ? first_controller : second_controller);
  if (first_is_owner)
    first_controller = NULL;
  else
    second_controller = NULL;
  run_loop_for(0.3);
  fake_worker_send_heartbeat(&worker, inside);
  assert_int_equal(worker.report_status, 421); /* the owner may be back in a moment */
  tmx_clock_advance(TMX_STORE_UNREACHABLE_S);
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_RUNNING,
                       NULL); /* it has not heard of the cancellation */
  uint64_t token = worker.token;
  fake_worker_send_heartbeat(&worker, inside);
  assert_int_equal(worker.report_status, 200);
  assert_int_equal(worker.response_token, token);
  assert_int_equal(worker.n_commands_received, 1);
  assert_true(fake_worker_was_commanded(&worker, WV_STOP, "wk-000002/0", 1));
  tmx_clock_advance(inside->settings.cancel_s - inside->settings.lease_s - TMX_FRESHNESS_MARGIN_S);
  fake_worker_send_heartbeat(&worker, inside);
  assert_int_equal(worker.report_status, 503);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(late_commands_of_the_former_owner_are_fenced,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_deposed_leader_places_nothing, setup_two_controllers,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_worker_that_lost_its_lease_starts_a_new_session,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_higher_token_is_not_answered_with_200, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_quota_holds_over_two_controllers, setup_two_controllers,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_lease_is_renewed_for_an_unreachable_owner,
                                      setup_two_controllers, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
