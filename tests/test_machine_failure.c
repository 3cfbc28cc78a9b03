/* Only machines that are silent, unreachable or unable to send heartbeats are replaced. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* Guards against keeping a machine that responds to probes but sends no heartbeats. Its lease is
 * not renewed, so it must get no new tasks, and it must be replaced once its lease has expired. If
 * most machines send no heartbeats, the controller itself is unreachable and must delete none. */
static void a_responsive_machine_without_heartbeats_is_replaced(void **state) {
  (void)state;
  struct fake_worker *workers[] = {&worker, &other_workers[0], &other_workers[1]};
  for (int i = 0; i < 3; i++) register_worker(workers[i]);
  struct tmx_machine *machine = tmx_machine_find(&first_controller->replica, worker.id);
  run_loop_for(0.5);
  assert_true(machine->usable);
  double heartbeat_period_s = first_controller->settings.report_s;
  for (int k = 0; k < 3; k++) { /* only the first machine sends no heartbeats */
    tmx_clock_advance(heartbeat_period_s);
    for (int i = 1; i < 3; i++) fake_worker_send_heartbeat(workers[i], first_controller);
    run_loop_for(0.4);
  }
  assert_false(machine->usable);
  assert_true(tmx_machine_find(&first_controller->replica, other_workers[0].id)->usable);
  assert_int_equal(fake_cloud.deletions, 0);
  for (int k = 0; k < 8 && !fake_cloud.deletions; k++) {
    tmx_clock_advance(heartbeat_period_s);
    for (int i = 1; i < 3; i++) fake_worker_send_heartbeat(workers[i], first_controller);
    run_loop_for(0.4);
  }
  for (int i = 0; i < 200 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  for (int k = 0; k < 8; k++) { /* no machine sends heartbeats */
    tmx_clock_advance(heartbeat_period_s);
    run_loop_for(0.3);
  }
  assert_int_equal(fake_cloud.deletions, 1);
}

/* Guards against tasks that run twice after the loss of a machine. The tasks of a job that is bound
 * to a zone must start on another machine of that zone, as the next attempt, but only after the
 * deletion of the lost machine is confirmed. */
static void a_job_of_one_zone_moves_within_its_zone(void **state) {
  (void)state;
  register_worker(&worker);
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 18);
  tmx_cbor_put_text_field(&body, W_ZONE, "a");
  struct tmx_buffer rest = {0};
  encode_submission(&rest, "wk-000001", "batch", 2, 2, "t");
  /* Appends the 17 fields of the submission without the one-byte header of its map. */
  tmx_buffer_append(&body, rest.data + 1, rest.length - 1);
  tmx_buffer_free(&rest);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  tmx_buffer_free(&body);
  wait_for_starts(2);
  register_worker(&other_workers[0]);
  worker.unresponsive = true;
  fake_cloud.refuse_delete = true;
  tmx_clock_advance(12);
  run_loop_for(2);
  assert_int_equal(other_workers[0].executed_starts, 0);
  fake_cloud.refuse_delete = false;
  for (int i = 0; i < 800 && other_workers[0].executed_starts < 2; i++) {
    if (i % 20 == 0) fake_worker_send_heartbeat(&other_workers[0], first_controller);
    run_loop_for(0.02);
  }
  assert_int_equal(other_workers[0].executed_starts, 2);
  for (size_t i = 0; i < other_workers[0].n_tasks; i++)
    assert_int_equal(other_workers[0].tasks[i].attempt, 2);
}

/* Guards against tasks that run twice because a machine was silent. Silence does not prove that the
 * tasks have ended, so they may be placed elsewhere only after the cloud has confirmed the deletion
 * of the machine. */
static void a_silent_machine_is_replaced(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  fake_cloud.refuse_delete = true;
  worker.unresponsive = true;
  tmx_clock_advance(12);
  run_loop_for(3.5);
  tmx_clock_advance(12);
  run_loop_for(1.5);
  assert_int_equal(fake_count_placed_tasks(), 1);
  assert_false(fake_log_contains("x n-000001"));
  fake_cloud.refuse_delete = false;
  /* The clock was advanced, so the machine seems to have been silent since before this controller
   * became the leader. Such a machine is deleted only after a longer silence. */
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  assert_string_equal(fake_cloud.deleted[0], "n-000001");
}

/* Guards against registering a machine that was deleted. A late copy of one of its reports must not
 * register it again, even at a controller that has just started: a worker is registered only after
 * it has shown a token of this controller. */
static void a_late_report_does_not_bring_a_removed_machine_back(void **state) {
  (void)state;
  register_worker_at(first_controller);
  uint64_t old_sequence = worker.sequence, old_token = worker.token;
  fake_cloud.refuse_delete = false;
  worker.unresponsive = true;
  tmx_clock_advance(12);
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  for (int i = 0; i < 2; i++) {
    worker.sequence = old_sequence - 1; /* a late copy of an earlier report */
    worker.token = old_token;
    fake_worker_send_heartbeat(&worker, first_controller);
    worker.token = old_token; /* the response does not reach the worker */
    run_loop_for(0.3);
    assert_false(worker_is_registered_at(first_controller));
    restart_first_controller();
  }
  worker.sequence = old_sequence - 1;
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(0.3);
  assert_false(worker_is_registered_at(first_controller));
}

/* Guards against keeping a machine whose heartbeats arrive while no commands and no responses reach
 * it. Such a machine must get no new tasks and must be replaced. Its tasks may move only after the
 * deletion of the machine is confirmed. */
static void an_unresponsive_machine_that_sends_heartbeats_is_replaced(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  worker.fails_commands = worker.unresponsive = true;
  fake_cloud.refuse_delete = true;
  uint64_t old_token = worker.token;
  for (int i = 0; i < 14; i++) { /* heartbeats arrive, their responses are lost */
    worker.token = old_token;
    fake_worker_send_heartbeat(&worker, first_controller);
    worker.token = old_token;
    run_loop_for(0.25);
  }
  struct tmx_machine *machine = tmx_machine_find(&first_controller->replica, worker.id);
  assert_non_null(machine);
  assert_false(machine->usable);
  submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t");
  run_loop_for(0.4);
  assert_int_equal(fake_count_placed_tasks(), 1);
  tmx_clock_advance(first_controller->settings.lease_s);
  fake_cloud.refuse_delete = false;
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) {
    if (i % 20 == 0) {
      worker.token = old_token;
      fake_worker_send_heartbeat(&worker, first_controller);
    }
    run_loop_for(0.02);
  }
  assert_true(fake_log_contains("x n-000001"));
}

/* Guards against suspecting a machine because the controller itself is slow. If its process is
 * suspended repeatedly, probes time out although their responses wait in the socket buffers. These
 * timeouts must not count against the machine. */
static void a_late_event_loop_suspects_no_machine(void **state) {
  (void)state;
  register_worker_at(first_controller);
  for (int i = 0; i < 10; i++) {
    ev_run(test_loop, EVRUN_NOWAIT);
    usleep((useconds_t)((TMX_PROBE_TIMEOUT_S + 0.1) * 1e6));
  }
  run_loop_for(0.4);
  assert_int_equal(fake_cloud.deletions, 0);
  assert_false(fake_log_contains("x n-000001"));
}

/* Guards against deleting machines on outdated suspicions. A partitioned member reaches none of the
 * machines that it owns by its older view, and still reports them when the partition ends. After a
 * new view names the member again, its suspicions with the older term must be ignored. */
static void suspicions_of_an_older_view_are_ignored(void **state) {
  (void)state;
  register_worker_at_owner();
  run_loop_for(1); /* until the controllers have received each other's heartbeats */
  const char *owner = tmx_machine_owner(&first_controller->replica, worker.id);
  struct tmx_controller *other =
      !strcmp(owner, first_controller->settings.node_name) ? second_controller : first_controller;
  struct tmx_machine *machine = tmx_machine_find(&other->replica, worker.id);
  struct tmx_suspicion reported = {.no_contact_s = 60, .consecutive_probes_lost = 9}, found;
  snprintf(reported.id, sizeof reported.id, "%s", worker.id);
  uint64_t term = other->replica.view.term;
  tmx_workers_record_suspicion(other->workers, owner, term - 1, &reported);
  assert_false(tmx_workers_find_suspicion(other->workers, machine, &found));
  tmx_workers_record_suspicion(other->workers, owner, term, &reported);
  assert_true(tmx_workers_find_suspicion(other->workers, machine, &found));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_responsive_machine_without_heartbeats_is_replaced,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_job_of_one_zone_moves_within_its_zone, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_silent_machine_is_replaced, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_does_not_bring_a_removed_machine_back,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(an_unresponsive_machine_that_sends_heartbeats_is_replaced,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_event_loop_suspects_no_machine, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(suspicions_of_an_older_view_are_ignored,
                                      setup_two_controllers, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
