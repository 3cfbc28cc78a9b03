/* Machines that are silent, cannot be reached or cannot report are replaced, and no others. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* A machine that answers and cannot report renews no lease: it gets nothing new, and is replaced
 * once its lease must be over. When most machines are so, it is this controller that is not
 * reached. */
static void a_machine_that_cannot_report_is_replaced(void **state) {
  (void)state;
  struct fake_worker *all[] = {&worker, &other_workers[0], &other_workers[1]};
  for (int i = 0; i < 3; i++) register_worker(all[i]);
  struct tmx_machine *machine = tmx_machine_find(&first_controller->replica, worker.id);
  run_loop_for(0.5);
  assert_true(machine->usable);
  double step = first_controller->settings.report_s;
  for (int k = 0; k < 3; k++) { /* the others report on */
    tmx_clock_advance(step);
    for (int i = 1; i < 3; i++) fake_worker_send_heartbeat(all[i], first_controller);
    run_loop_for(0.4);
  }
  assert_false(machine->usable);
  assert_true(tmx_machine_find(&first_controller->replica, other_workers[0].id)->usable);
  assert_int_equal(fake_cloud.deletions, 0);
  for (int k = 0; k < 8 && !fake_cloud.deletions; k++) {
    tmx_clock_advance(step);
    for (int i = 1; i < 3; i++) fake_worker_send_heartbeat(all[i], first_controller);
    run_loop_for(0.4);
  }
  for (int i = 0; i < 200 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  for (int k = 0; k < 8; k++) { /* now none of them reports */
    tmx_clock_advance(step);
    run_loop_for(0.3);
  }
  assert_int_equal(fake_cloud.deletions, 1);
}

/* A job bound to a zone and to one place loses its machine: it begins again, as the next attempt,
 * on another one there, and not before the loss is proven. */
static void a_job_of_one_zone_moves_within_its_zone(void **state) {
  (void)state;
  register_worker(&worker);
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 18);
  tmx_cbor_put_text_field(&body, W_ZONE, "a");
  struct tmx_buffer rest = {0};
  encode_submission(&rest, "wk-000001", "batch", 2, 2, "t");
  tmx_buffer_append(&body, rest.data + 1, rest.length - 1); /* all fields of a map of 17 */
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

/* Silence proves nothing: a machine's tasks are placed anew only once its deletion is answered. */
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
  assert_int_equal(fake_count_placed(), 1);
  assert_false(fake_log_contains("x n-000001"));
  fake_cloud.refuse_delete = false;
  /* the clock was moved: to this leader the silence is older than its own time */
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  assert_string_equal(fake_cloud.deleted[0], "n-000001");
}

/* A late copy of a report of a machine that was returned meanwhile brings nothing back, also at a
 * controller that has just started: only a worker that shows our token is registered. */
static void a_late_report_does_not_bring_a_removed_machine_back(void **state) {
  (void)state;
  register_worker_at(first_controller);
  uint64_t seq = worker.sequence, token = worker.token;
  fake_cloud.refuse_delete = false;
  worker.unresponsive = true;
  tmx_clock_advance(12);
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  for (int i = 0; i < 2; i++) {
    worker.sequence = seq - 1; /* the copy, as it was sent long ago */
    worker.token = token;
    fake_worker_send_heartbeat(&worker, first_controller);
    worker.token = token; /* nobody reads the answer */
    run_loop_for(0.3);
    assert_false(worker_is_registered_at(first_controller));
    restart_first_controller();
  }
  worker.sequence = seq - 1;
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(0.3);
  assert_false(worker_is_registered_at(first_controller));
}

/* A machine whose reports arrive while commands and answers do not reach it gets no new work, and
 * is replaced; its task moves only with the proof that it is gone. */
static void a_machine_that_is_heard_and_not_reached_is_replaced(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  worker.fails_commands = worker.unresponsive = true;
  fake_cloud.refuse_delete = true;
  uint64_t token = worker.token;
  for (int i = 0; i < 14; i++) { /* reports keep coming, their answers are lost */
    worker.token = token;
    fake_worker_send_heartbeat(&worker, first_controller);
    worker.token = token;
    run_loop_for(0.25);
  }
  struct tmx_machine *machine = tmx_machine_find(&first_controller->replica, worker.id);
  assert_non_null(machine);
  assert_false(machine->usable);
  submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t");
  run_loop_for(0.4);
  assert_int_equal(fake_count_placed(), 1);
  tmx_clock_advance(first_controller->settings.lease_s);
  fake_cloud.refuse_delete = false;
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) {
    if (i % 20 == 0) {
      worker.token = token;
      fake_worker_send_heartbeat(&worker, first_controller);
    }
    run_loop_for(0.02);
  }
  assert_true(fake_log_contains("x n-000001"));
}

/* A controller that is stopped again and again finds timeouts where answers wait in its buffers:
 * it must not take that for a silent machine. */
static void a_late_loop_suspects_no_machine(void **state) {
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

/* A member that was cut off still reports the machines that it owned before, none of which it
 * could reach. When a view names it again, what it says by the old one must not give them up. */
static void suspicions_of_an_older_view_are_ignored(void **state) {
  (void)state;
  register_worker_at_owner();
  run_loop_for(1); /* they hear each other */
  const char *owner = tmx_machine_owner(&first_controller->replica, worker.id);
  struct tmx_controller *other =
      !strcmp(owner, first_controller->settings.node_name) ? second_controller : first_controller;
  struct tmx_machine *machine = tmx_machine_find(&other->replica, worker.id);
  struct tmx_suspicion says = {.no_contact_s = 60, .consecutive_probes_lost = 9}, suspicion;
  snprintf(says.id, sizeof says.id, "%s", worker.id);
  uint64_t term = other->replica.view.term;
  tmx_workers_record_suspicion(other->workers, owner, term - 1, &says);
  assert_false(tmx_workers_find_suspicion(other->workers, machine, &suspicion));
  tmx_workers_record_suspicion(other->workers, owner, term, &says);
  assert_true(tmx_workers_find_suspicion(other->workers, machine, &suspicion));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_machine_that_cannot_report_is_replaced,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_job_of_one_zone_moves_within_its_zone, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_silent_machine_is_replaced, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_does_not_bring_a_removed_machine_back,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_machine_that_is_heard_and_not_reached_is_replaced,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_loop_suspects_no_machine, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(suspicions_of_an_older_view_are_ignored,
                                      setup_two_controllers, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
