/* Cancellations during other failures: a confirmed cancellation is final, whatever fails. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* The scenario "gap": the store refuses the leader alone, another controller confirms a
 * cancellation, then the store is down for all, for longer than cancel_s, and the worker keeps
 * reporting to its old owner. Whatever any of them answers, no lease outlasts the time of the
 * cancellation, and nothing of the job starts. slow_s: in place of the refusal the owner's reads
 * are answered so late, and its watch shows no change. */
static void play_gap(double slow_s) {
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_for_starts(2);
  bool first_is_owner = !strcmp(tmx_machine_owner(&first_controller->replica, worker.id),
                                first_controller->settings.node_name);
  struct tmx_controller *owner = first_is_owner ? first_controller : second_controller,
                        *other = first_is_owner ? second_controller : first_controller;
  struct fake_endpoint *endpoint = &fake_store.endpoints[first_is_owner ? 0 : 1];
  double lease = first_controller->settings.lease_s, cancel = first_controller->settings.cancel_s;
  worker.fails_commands = true; /* stops sent by command do not arrive */
  endpoint->read_delay_s = slow_s;
  endpoint->unavailable = !slow_s;
  endpoint->hold_watches = slow_s > 0;
  run_loop_for(0.3);
  unsigned reads = endpoint->reads;
  for (int i = 0; slow_s && i < 1000 && endpoint->reads == reads; i++) run_loop_for(0.005);
  assert_string_equal(cancel_job(other, "wk-000001").state, WV_CANCELLED);
  double confirmed = tmx_clock_steady(), renewed = confirmed;
  if (slow_s) run_loop_for(slow_s + 0.3); /* the read that began just before is answered only now */
  fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = true;
  unsigned begun = worker.executed_starts, answered = 0;
  double passed = 0;
  while (passed < cancel + 5) {
    struct tmx_controller *asked[] = {owner, other};
    for (int i = 0; i < 2; i++) {
      double sent = tmx_clock_steady();
      fake_worker_send_heartbeat(&worker, asked[i]);
      if (worker.report_status != 200 || worker.response_token < worker.token) continue;
      answered++;
      assert_false(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
      if (fake_worker_was_commanded(&worker, WV_STOP, "wk-000001/0", 1))
        continue; /* executed with the same answer */
      renewed = sent;
    }
    run_loop_for(0.12);
    tmx_clock_advance(0.38);
    passed += 0.5;
  }
  assert_true(answered > 0); /* running work went on for a while */
  assert_true(renewed + lease * (1 + TMX_CLOCK_DRIFT_SHARE_MAX) < confirmed + cancel);
  assert_int_equal(worker.executed_starts, begun);
}

static void no_lease_outlasts_a_cancellation_in_a_store_outage(void **state) {
  (void)state;
  play_gap(0);
}

static void no_lease_outlasts_a_cancellation_with_slow_reads(void **state) {
  (void)state;
  play_gap(1.9); /* just before they are given up */
}

/* The same, and the leader does not reach the other controllers either. */
static int setup_unreachable_peers(void **state) {
  fake_peers_unreachable = true;
  return setup_two_settled_controllers(state);
}

/* The owner's start is held up on its way, the job is cancelled through another controller, which
 * knows it, and then the store is unreachable and the owner ends. A controller that renews the
 * lease for the owner raises no token: the start may still be executed, and must not outlast the
 * cancellation. */
static void no_lease_is_kept_for_a_delayed_start(void **state) {
  (void)state;
  register_worker(&worker);
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  bool first_is_owner = !strcmp(tmx_machine_owner(&first_controller->replica, worker.id),
                                first_controller->settings.node_name);
  struct tmx_controller *keeper = first_is_owner ? second_controller : first_controller;
  assert_string_equal(cancel_job(keeper, "wk-000001").state, WV_CANCELLED);
  double confirmed = tmx_clock_steady();
  run_loop_for(0.3);
  tmx_clock_advance(9);
  run_loop_for(0.5);
  worker.unresponsive = true;
  fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = true;
  stop_controller(first_is_owner ? first_controller : second_controller);
  if (first_is_owner)
    first_controller = NULL;
  else
    second_controller = NULL;
  run_loop_for(0.2);
  assert_int_equal(fake_count_placed_tasks(), 1);
  fake_worker_send_heartbeat(&worker, keeper);
  tmx_clock_advance(TMX_STORE_UNREACHABLE_S);
  fake_worker_send_heartbeat(&worker, keeper);
  assert_int_equal(worker.report_status, 200); /* a lease from now on ends in time */
  assert_true(tmx_clock_steady() + keeper->settings.lease_s <
              confirmed + keeper->settings.cancel_s);
  tmx_clock_advance(7);
  assert_true(tmx_authority_may_act(&keeper->authority));
  fake_worker_send_heartbeat(&worker, keeper);
  assert_int_not_equal(worker.report_status, 200);
}

/* Without the state nothing starts, though leases are renewed: somebody may have cancelled the job.
 */
static void nothing_starts_on_a_stale_replica(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  fake_store.endpoints[0].unavailable = true;
  run_loop_for(0.2);
  tmx_clock_advance(TMX_START_REPLICA_AGE_MAX_S);
  worker.session++; /* its lease lapsed: the task is missing, and the log says that it belongs there
                     */
  worker.n_tasks = 0;
  for (int i = 0; i < 3; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    assert_int_equal(worker.report_status, 200);
    fake_worker_execute_commands(&worker);
    run_loop_for(0.1);
  }
  assert_int_equal(worker.executed_starts, 1);
  fake_store.endpoints[0].unavailable = false;
  for (int i = 0; i < 40 && worker.executed_starts < 2; i++) {
    run_loop_for(0.1);
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
  }
  assert_int_equal(worker.executed_starts, 2);
}

/* A cancellation, a question and a repeated submission meet the last task's end, whose transaction
 * is carried out without an answer, or late, or not at all. The first of the two in the log is
 * final. */
static void a_cancellation_at_the_last_completion_gets_one_answer(void **state) {
  (void)state;
  static const char *ids[] = {"wk-000001", "wk-000002"};
  char task[48];
  register_worker(&worker);
  for (unsigned late = 0; late < 2; late++) {
    struct fake_endpoint *endpoint = &fake_store.endpoints[0];
    assert_int_equal(submit_simple_job(first_controller, ids[late], "batch", 1, 2, "t"), 201);
    wait_for_starts(late + 1);
    char key[64];
    snprintf(key, sizeof key, TMX_KEY_JOB "%s", ids[late]);
    strcpy(late ? endpoint->late_transaction_key : endpoint->lost_response_key, key);
    if (late)
      endpoint->next_transaction_is_late = true;
    else
      endpoint->lose_next_response = true;
    snprintf(task, sizeof task, "%s/0", ids[late]);
    fake_worker_set_task(&worker, task, 1, WV_EXITED, WV_DONE);
    fake_worker_send_heartbeat(&worker, first_controller);
    for (int i = 0;
         i < 200 && (late ? !endpoint->late_transaction_body : endpoint->lose_next_response); i++)
      run_loop_for(0.005);
    /* the cancellation's own key may have been the one that was held: it is repeated then */
    struct fake_answer answer = cancel_job(first_controller, ids[late]);
    for (int i = 0; i < 20 && answer.status != 200; i++)
      answer = cancel_job(first_controller, ids[late]);
    assert_int_equal(answer.status, 200);
    char first_answer[16];
    strcpy(first_answer, answer.state);
    if (!late) assert_string_equal(first_answer, WV_DONE);
    if (late) assert_int_equal(fake_execute_late_transaction(endpoint), 409);
    for (int i = 0; i < 5; i++) {
      assert_string_equal(poll_job(first_controller, ids[late]).state, first_answer);
      assert_string_equal(cancel_job(first_controller, ids[late]).state, first_answer);
      assert_int_equal(submit_simple_job(first_controller, ids[late], "batch", 1, 2, "t"), 200);
      run_loop_for(0.05);
    }
    restart_first_controller();
    assert_string_equal(poll_job(first_controller, ids[late]).state, first_answer);
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    wait_for_placed(0);
  }
  assert_int_equal(worker.executed_starts, 2);
}

/* A job is cancelled while another controller takes over from its owner: the owner ends between
 * the placement and the start, and the other controller confirms the cancellation before, while or
 * after it takes the machine. Nothing of the job starts after the confirmation, and its place is
 * free again. */
static void a_cancellation_holds_while_owners_change(void **state) {
  (void)state;
  static const double after[] = {0, 0.5, 1.5, 3};
  char id[32];
  register_worker(&worker);
  for (unsigned i = 0; i < 4; i++) {
    bool first_is_owner = !strcmp(tmx_machine_owner(&first_controller->replica, worker.id),
                                  first_controller->settings.node_name);
    struct tmx_controller *owner = first_is_owner ? first_controller : second_controller,
                          *successor = first_is_owner ? second_controller : first_controller;
    worker.fails_commands = true;
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(submit_simple_job(successor, id, "batch", 2, 2, "t"), 201);
    wait_for_placed(2);
    fake_delete(first_is_owner ? TMX_KEY_MEMBER "hand-0"
                               : TMX_KEY_MEMBER "hand-1"); /* its lease is over */
    stop_controller(owner);
    *(first_is_owner ? &first_controller : &second_controller) = NULL;
    run_loop_for(after[i]);
    struct fake_answer answer = cancel_job(successor, id);
    for (int k = 0; k < 20 && answer.status == 503; k++) answer = cancel_job(successor, id);
    assert_string_equal(answer.state, WV_CANCELLED);
    unsigned begun = worker.executed_starts;
    worker.fails_commands = false;
    for (int k = 0; k < 400 && fake_count_placed_tasks(); k++) {
      run_loop_for(0.05);
      fake_worker_send_heartbeat(&worker, successor);
      fake_worker_execute_commands(&worker);
    }
    assert_int_equal(fake_count_placed_tasks(), 0);
    assert_int_equal(worker.executed_starts, begun);
    *(first_is_owner ? &first_controller : &second_controller) =
        start_controller(first_is_owner ? 0 : 1, 2);
    assert_true(run_loop_until(fake_controller_is_ready,
                               first_is_owner ? first_controller : second_controller));
    run_loop_for(1);
    register_worker(&worker);
  }
}

/* A controller that the state service refuses renews leases only as long as a cancellation
 * elsewhere allows, and sends workers away at once when it knows that others are served. */
static void a_cancellation_holds_while_the_store_is_cut_off(void **state) {
  (void)state;
  register_worker_at(first_controller);
  fake_store.endpoints[0].unavailable = true;
  run_loop_for(0.2);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200); /* fresh enough: running work goes on */
  tmx_clock_advance(first_controller->settings.cancel_s - first_controller->settings.lease_s -
                    TMX_FRESHNESS_MARGIN_S + 0.1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 503);
  struct fake_answer answer = send_request(first_controller, "GET", WP_READY, NULL);
  assert_int_equal(answer.status, 503);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 503);
}

/* Cancelled: stopped, and nothing of it starts again. */
static void tasks_of_a_cancelled_job_are_stopped(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "service", 2, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  for (int i = 0; i < 100 && worker.n_tasks && strcmp(worker.tasks[0].state, WV_EXITED); i++)
    run_loop_for(0.02);
  assert_string_equal(worker.tasks[0].state, WV_EXITED);
  unsigned starts = worker.executed_starts;
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_execute_commands(&worker);
  assert_true(run_loop_until(no_task_is_placed, NULL));
  assert_int_equal(worker.executed_starts, starts);
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_CANCELLED);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(no_lease_outlasts_a_cancellation_in_a_store_outage,
                                      setup_two_settled_controllers, teardown_controllers),
      {"gap_without_peers", no_lease_outlasts_a_cancellation_in_a_store_outage,
       setup_unreachable_peers, teardown_controllers, NULL},
      cmocka_unit_test_setup_teardown(no_lease_outlasts_a_cancellation_with_slow_reads,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(no_lease_is_kept_for_a_delayed_start,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(nothing_starts_on_a_stale_replica, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_at_the_last_completion_gets_one_answer,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_holds_while_owners_change,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_holds_while_the_store_is_cut_off,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(tasks_of_a_cancelled_job_are_stopped, setup_one_controller,
                                      teardown_controllers),
  };
  return RUN_TESTS(tests);
}
