/* What protects the record of a worker from messages that are lost, late or still under way. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "net/http.h"
#include "tmx/wire.h"
#include "worker/worker_table.h"

/* An address in front of `worker` that withholds one request. Every other status request is
 * answered with the worker's report, and other commands with 500. */
struct withholding_server {
  struct tmx_http_server *server;
  const char *path;             /* of the request to withhold; NULL: none */
  struct tmx_http_request *one; /* the request that waits; NULL: none came yet */
};

static struct withholding_server front;

static void answer_with_report(struct tmx_http_request *request) {
  struct tmx_buffer report = {0};
  worker.sequence++;
  fake_worker_encode_report(&worker, &report);
  tmx_http_reply(request, 200, &report, 0);
  tmx_buffer_free(&report);
}

static void on_front_request(void *unused, struct tmx_http_request *request) {
  (void)unused;
  if (front.path && !front.one && !strcmp(request->path, front.path))
    front.one = request;
  else if (!strcmp(request->path, WP_STATUS))
    answer_with_report(request);
  else
    tmx_http_reply(request, 500, NULL, 0);
}

static bool request_is_withheld(void *unused) {
  (void)unused;
  return front.one != NULL;
}

/* The worker gives no answer; to a controller that waits no longer this changes nothing. */
static void refuse_withheld_request(void) {
  tmx_http_reply(front.one, 500, NULL, 0);
  front.one = NULL;
  front.path = NULL;
}

/* What the controller has of `worker`. */
static struct tmx_worker *find_record(void) {
  struct tmx_worker *record = tmx_worker_find(first_controller->workers, worker.id);
  assert_non_null(record);
  return record;
}

/* One controller that knows `worker` by the address that withholds. */
static int setup_withholding_worker(void **state) {
  setup_one_controller(state);
  memset(&front, 0, sizeof front);
  front.server = tmx_http_server_new(test_loop, "127.0.0.1:0", 16, 60, on_front_request, NULL);
  assert_non_null(front.server);
  snprintf(worker.address, sizeof worker.address, "127.0.0.1:%d",
           tmx_http_server_port(front.server));
  register_worker(&worker);
  return 0;
}

static int teardown_withholding_worker(void **state) {
  if (front.one) refuse_withheld_request();
  tmx_http_server_free(front.server);
  return teardown_controllers(state);
}

/* Submits a job whose only task is placed, and whose start is under way to the worker. */
static void withhold_start(void) {
  front.path = WP_COMMANDS;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  assert_true(run_loop_until(request_is_withheld, NULL));
}

/* The start under way may still be executed: the same one in an answer would be a second one. */
static void an_answer_starts_nothing_while_a_command_is_in_flight(void **state) {
  (void)state;
  withhold_start();
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200); /* the lease is renewed nevertheless */
  assert_false(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
  assert_int_equal(worker.n_commands_received, 0);
  refuse_withheld_request();
  run_loop_for(0.1);
  fake_worker_send_heartbeat(&worker, first_controller); /* by a token that rules the first out */
  assert_true(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
}

/* The worker does not report the task yet, and may start it in a moment. */
static void absence_proves_no_end_while_a_command_is_in_flight(void **state) {
  (void)state;
  withhold_start();
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_stays_placed(1, 0.6);
  assert_true(find_record()->commands.in_flight); /* it waits for the answer all this time */
  refuse_withheld_request();
  run_loop_for(0.1);
  fake_worker_send_heartbeat(&worker, first_controller); /* a token that rules the start out */
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
}

/* The worker has seen a raised token of this controller, whose record of it is then lost. By the
 * first token of the view the worker would be sent away for as long as the view stands. */
static void a_new_record_goes_on_from_the_token_that_the_worker_shows(void **state) {
  (void)state;
  register_worker(&worker);
  uint64_t first = worker.token;
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_execute_commands(&worker);
  uint64_t raised = worker.token;
  assert_true(raised > first);
  worker.fails_commands = false;
  tmx_worker_free(find_record());
  run_loop_for(2 * TMX_RECLAIM_PERIOD_S); /* the record is made anew */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200);
  assert_true(worker.response_token > raised);
  /* and the machine is given work by that token */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  wait_for_starts(2);
}

/* A report alone may be a late copy from a machine that is gone; one with a token of the view
 * before may be as well. Only a token of the present view shows that the machine is there. */
static void a_machine_is_registered_only_by_a_token_of_the_present_view(void **state) {
  (void)state;
  struct fake_worker *machine = &other_workers[0];
  register_worker(&worker);
  uint64_t earlier_token = worker.token;
  restart_first_controller();
  for (int i = 0; i < 6; i++) {
    machine->token = i % 2 ? earlier_token : 0; /* the answer before did not arrive */
    fake_worker_send_heartbeat(machine, first_controller);
    assert_int_equal(machine->report_status, 200);
    assert_true(machine->response_token > earlier_token);
    run_loop_for(0.3);
    assert_false(is_registered(first_controller, machine));
  }
  fake_worker_send_heartbeat(machine, first_controller); /* shows the token of the last answer */
  run_loop_for(0.3);
  assert_true(is_registered(first_controller, machine));
}

/* The copy was sent before the task came, and arrives after reports that have it. */
static void a_late_report_of_the_same_session_starts_nothing_again(void **state) {
  (void)state;
  register_worker(&worker);
  struct fake_worker copy = worker;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  run_loop_for(0.1); /* the answer to the start is taken */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.sequence > copy.sequence + 1);
  fake_worker_send_heartbeat(&copy, first_controller);
  assert_int_equal(copy.report_status, 200);
  assert_int_equal(copy.n_commands_received, 0);
  assert_stays_placed(1, 0.3);
  assert_int_equal(worker.executed_starts, 1);
}

/* Until the withheld probe is given up and judged; whether the machine was usable throughout. */
static bool stays_usable_over_a_lost_probe(double loop_late_s) {
  const struct tmx_machine *machine = tmx_machine_find(&first_controller->replica, worker.id);
  bool was_usable = true;
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(2 * TMX_RECLAIM_PERIOD_S);
  assert_true(machine->usable);
  front.path = WP_STATUS;
  assert_true(run_loop_until(request_is_withheld, NULL));
  tmx_clock_advance(loop_late_s);
  double until = tmx_clock_steady() + TMX_PROBE_TIMEOUT_S + 2 * TMX_RECLAIM_PERIOD_S;
  while (tmx_clock_steady() < until) {
    run_loop_for(0.02);
    was_usable = was_usable && machine->usable;
  }
  assert_false(find_record()->probing.in_flight); /* it has given the probe up */
  refuse_withheld_request();
  return was_usable;
}

/* The answer may have waited in a buffer all the while. */
static void a_probe_lost_while_the_loop_was_late_does_not_count(void **state) {
  (void)state;
  assert_true(stays_usable_over_a_lost_probe(2 * TMX_LOOP_LATE_S + TMX_TICK_PERIOD_S));
  assert_false(stays_usable_over_a_lost_probe(0));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(an_answer_starts_nothing_while_a_command_is_in_flight,
                                      setup_withholding_worker, teardown_withholding_worker),
      cmocka_unit_test_setup_teardown(absence_proves_no_end_while_a_command_is_in_flight,
                                      setup_withholding_worker, teardown_withholding_worker),
      cmocka_unit_test_setup_teardown(a_new_record_goes_on_from_the_token_that_the_worker_shows,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_machine_is_registered_only_by_a_token_of_the_present_view,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_of_the_same_session_starts_nothing_again,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_probe_lost_while_the_loop_was_late_does_not_count,
                                      setup_withholding_worker, teardown_withholding_worker),
  };
  return RUN_TESTS(tests);
}
