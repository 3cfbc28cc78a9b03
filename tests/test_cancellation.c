/* Cancellations during other failures. A confirmed cancellation is final: the tasks of the job end
 * within cancel_s, and none of them starts again. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* Guards against a lease that is renewed for too long after another controller has confirmed a
 * cancellation. The store refuses the requests of the machine's owner only, the other controller
 * confirms the cancellation, and then the store is unavailable to both for longer than cancel_s.
 * The worker sends heartbeats to both controllers throughout. No lease that a response renews may
 * end later than cancel_s after the confirmation, unless the response stops the tasks, and no task
 * of the job may start. The scenario "gap" covers the same failure with the leader in place of the
 * owner.
 *
 * If read_delay_s is not 0, the store serves the owner in the first part instead of refusing its
 * requests, but responds to its reads after that many seconds, and its watch shows no changes. */
static void check_leases_after_cancellation(double read_delay_s) {
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_for_starts(2);
  bool first_is_owner = !strcmp(tmx_machine_owner(&first_controller->replica, worker.id),
                                first_controller->settings.node_name);
  struct tmx_controller *owner = first_is_owner ? first_controller : second_controller,
                        *other = first_is_owner ? second_controller : first_controller;
  struct fake_endpoint *owner_endpoint = &fake_store.endpoints[first_is_owner ? 0 : 1];
  double lease_s = first_controller->settings.lease_s,
         cancel_s = first_controller->settings.cancel_s;
  worker.fails_commands = true; /* direct commands that stop tasks fail */
  owner_endpoint->read_delay_s = read_delay_s;
  owner_endpoint->unavailable = !read_delay_s;
  owner_endpoint->hold_watches = read_delay_s > 0;
  run_loop_for(0.3);
  unsigned reads_before = owner_endpoint->reads;
  for (int i = 0; read_delay_s && i < 1000 && owner_endpoint->reads == reads_before; i++)
    run_loop_for(0.005);
  assert_string_equal(cancel_job(other, "wk-000001").state, WV_CANCELLED);
  double confirmed_at = tmx_clock_steady(), renewed_at = confirmed_at;
  if (read_delay_s)
    run_loop_for(read_delay_s + 0.3); /* until the response to the read above has arrived */
  fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = true;
  unsigned starts_before = worker.executed_starts, accepted_heartbeats = 0;
  double elapsed_s = 0;
  while (elapsed_s < cancel_s + 5) {
    struct tmx_controller *controllers[] = {owner, other};
    for (int i = 0; i < 2; i++) {
      double sent_at = tmx_clock_steady();
      fake_worker_send_heartbeat(&worker, controllers[i]);
      if (worker.report_status != 200 || worker.response_token < worker.token) continue;
      accepted_heartbeats++;
      assert_false(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
      if (fake_worker_was_commanded(&worker, WV_STOP, "wk-000001/0", 1))
        continue; /* the same response stops the task */
      renewed_at = sent_at;
    }
    run_loop_for(0.12);
    tmx_clock_advance(0.38);
    elapsed_s += 0.5;
  }
  assert_true(accepted_heartbeats > 0); /* running tasks kept their lease for a while */
  assert_true(renewed_at + lease_s * (1 + TMX_CLOCK_DRIFT_SHARE_MAX) < confirmed_at + cancel_s);
  assert_int_equal(worker.executed_starts, starts_before);
}

static void no_lease_outlasts_a_cancellation_in_a_store_outage(void **state) {
  (void)state;
  check_leases_after_cancellation(0);
}

static void no_lease_outlasts_a_cancellation_with_slow_reads(void **state) {
  (void)state;
  /* Just below TMX_STORE_TIMEOUT_S, after which a read fails. */
  check_leases_after_cancellation(1.9);
}

/* Two controllers that do not reach each other. */
static int setup_unreachable_peers(void **state) {
  fake_peers_unreachable = true;
  return setup_two_settled_controllers(state);
}

/* Guards against a delayed start that is executed long after the cancellation. The start of the
 * machine's owner is in flight when the other controller confirms the cancellation. Then the store
 * becomes unreachable and the owner terminates. The other controller renews the lease on behalf of
 * the owner and does not raise the token, so the start can still be executed. It must therefore
 * stop renewing the lease early enough for the lease to end within cancel_s. */
static void no_lease_outlasts_a_cancellation_with_a_delayed_start(void **state) {
  (void)state;
  register_worker(&worker);
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  bool first_is_owner = !strcmp(tmx_machine_owner(&first_controller->replica, worker.id),
                                first_controller->settings.node_name);
  struct tmx_controller *remaining = first_is_owner ? second_controller : first_controller;
  assert_string_equal(cancel_job(remaining, "wk-000001").state, WV_CANCELLED);
  double confirmed_at = tmx_clock_steady();
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
  fake_worker_send_heartbeat(&worker, remaining);
  tmx_clock_advance(TMX_STORE_UNREACHABLE_S);
  fake_worker_send_heartbeat(&worker, remaining);
  assert_int_equal(worker.report_status, 200); /* this lease ends within cancel_s */
  assert_true(tmx_clock_steady() + remaining->settings.lease_s <
              confirmed_at + remaining->settings.cancel_s);
  tmx_clock_advance(7);
  assert_true(tmx_authority_may_act(&remaining->authority));
  fake_worker_send_heartbeat(&worker, remaining);
  assert_int_not_equal(worker.report_status, 200);
}

/* Guards against the start of a cancelled job. A controller whose replica is stale may renew
 * leases but must start nothing, because the job may have been cancelled elsewhere. */
static void nothing_starts_on_a_stale_replica(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  fake_store.endpoints[0].unavailable = true;
  run_loop_for(0.2);
  tmx_clock_advance(TMX_START_REPLICA_AGE_MAX_S);
  /* The lease expired: the worker lost the task, which the log still places on the machine. */
  worker.session++;
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

/* Guards against contradictory answers to users when a job is cancelled while its last task
 * completes. For the first job the transaction with the completion is committed and its response is
 * lost. For the second job the store answers this transaction with an error and executes it after
 * the cancellation. The late transaction must then conflict. Whichever of the two outcomes is first
 * in the log is final: later polls, cancellations and repeated submissions return it, and so does a
 * poll after a restart. */
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
    /* The fault may have hit the transaction of the cancellation instead. The user then retries. */
    struct fake_response response = cancel_job(first_controller, ids[late]);
    for (int i = 0; i < 20 && response.status != 200; i++)
      response = cancel_job(first_controller, ids[late]);
    assert_int_equal(response.status, 200);
    char first_response[16];
    strcpy(first_response, response.state);
    if (!late) assert_string_equal(first_response, WV_DONE);
    if (late) assert_int_equal(fake_execute_late_transaction(endpoint), 409);
    for (int i = 0; i < 5; i++) {
      assert_string_equal(poll_job(first_controller, ids[late]).state, first_response);
      assert_string_equal(cancel_job(first_controller, ids[late]).state, first_response);
      assert_int_equal(submit_simple_job(first_controller, ids[late], "batch", 1, 2, "t"), 200);
      run_loop_for(0.05);
    }
    restart_first_controller();
    assert_string_equal(poll_job(first_controller, ids[late]).state, first_response);
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    wait_for_placed(0);
  }
  assert_int_equal(worker.executed_starts, 2);
}

/* Guards against the start of a cancelled job by the successor of the machine's owner. The owner
 * terminates between the placement and the start, and the successor confirms the cancellation
 * before, while or after it takes over the machine. Nothing of the job may start after the
 * confirmation, and its capacity must become free again. */
static void a_cancellation_holds_while_owners_change(void **state) {
  (void)state;
  static const double delays_s[] = {0, 0.5, 1.5, 3};
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
                               : TMX_KEY_MEMBER "hand-1"); /* as if its store lease had expired */
    stop_controller(owner);
    *(first_is_owner ? &first_controller : &second_controller) = NULL;
    run_loop_for(delays_s[i]);
    struct fake_response response = cancel_job(successor, id);
    for (int k = 0; k < 20 && response.status == 503; k++) response = cancel_job(successor, id);
    assert_string_equal(response.state, WV_CANCELLED);
    unsigned starts_before = worker.executed_starts;
    worker.fails_commands = false;
    for (int k = 0; k < 400 && fake_count_placed_tasks(); k++) {
      run_loop_for(0.05);
      fake_worker_send_heartbeat(&worker, successor);
      fake_worker_execute_commands(&worker);
    }
    assert_int_equal(fake_count_placed_tasks(), 0);
    assert_int_equal(worker.executed_starts, starts_before);
    *(first_is_owner ? &first_controller : &second_controller) =
        start_controller(first_is_owner ? 0 : 1, 2);
    assert_true(run_loop_until(fake_controller_is_ready,
                               first_is_owner ? first_controller : second_controller));
    run_loop_for(1);
    register_worker(&worker);
  }
}

/* Guards against a lease that outlasts a cancellation elsewhere. A controller that cannot reach
 * the store does not learn of cancellations. It may renew a lease only if the lease ends within
 * cancel_s of any cancellation that it may have missed. After that it must reject the requests of
 * users and workers. */
static void a_cancellation_holds_while_the_store_is_unreachable(void **state) {
  (void)state;
  register_worker_at(first_controller);
  fake_store.endpoints[0].unavailable = true;
  run_loop_for(0.2);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200); /* the replica is fresh enough to renew the lease */
  tmx_clock_advance(first_controller->settings.cancel_s - first_controller->settings.lease_s -
                    TMX_FRESHNESS_MARGIN_S + 0.1);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 503);
  struct fake_response response = send_request(first_controller, "GET", WP_READY, NULL);
  assert_int_equal(response.status, 503);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 503);
}

/* The tasks of a cancelled job are stopped, and none of them starts again. */
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
      {"no_lease_outlasts_a_cancellation_with_unreachable_peers",
       no_lease_outlasts_a_cancellation_in_a_store_outage, setup_unreachable_peers,
       teardown_controllers, NULL},
      cmocka_unit_test_setup_teardown(no_lease_outlasts_a_cancellation_with_slow_reads,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(no_lease_outlasts_a_cancellation_with_a_delayed_start,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(nothing_starts_on_a_stale_replica, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_at_the_last_completion_gets_one_answer,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_holds_while_owners_change,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_cancellation_holds_while_the_store_is_unreachable,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(tasks_of_a_cancelled_job_are_stopped, setup_one_controller,
                                      teardown_controllers),
  };
  return RUN_TESTS(tests);
}
