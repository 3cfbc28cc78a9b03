/* What a controller concludes about a worker while messages are lost, late or still in flight. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "net/http.h"
#include "tmx/wire.h"
#include "worker/worker_table.h"

/* A server that takes the requests to `worker` and withholds one of them. It answers every other
 * status request with the worker's report, and every other request with 500. */
struct withholding_server {
  struct tmx_http_server *server;
  const char *withheld_path;         /* path of the request to withhold; NULL: none */
  struct tmx_http_request *withheld; /* the withheld request; NULL: none has arrived yet */
};

static struct withholding_server front_server;

static void answer_with_report(struct tmx_http_request *request) {
  struct tmx_buffer report = {0};
  worker.sequence++;
  fake_worker_encode_report(&worker, &report);
  tmx_http_reply(request, 200, &report, 0);
  tmx_buffer_free(&report);
}

static void on_worker_request(void *unused, struct tmx_http_request *request) {
  (void)unused;
  if (front_server.withheld_path && !front_server.withheld &&
      !strcmp(request->path, front_server.withheld_path))
    front_server.withheld = request;
  else if (!strcmp(request->path, WP_STATUS))
    answer_with_report(request);
  else
    tmx_http_reply(request, 500, NULL, 0);
}

static bool request_is_withheld(void *unused) {
  (void)unused;
  return front_server.withheld != NULL;
}

/* Answers the withheld request with 500. This has no effect if the controller has given it up. */
static void refuse_withheld_request(void) {
  tmx_http_reply(front_server.withheld, 500, NULL, 0);
  front_server.withheld = NULL;
  front_server.withheld_path = NULL;
}

/* Returns the controller's record of `worker`. */
static struct tmx_worker *find_worker_record(void) {
  struct tmx_worker *record = tmx_worker_find(first_controller->workers, worker.id);
  assert_non_null(record);
  return record;
}

/* One controller that reaches `worker` only through the withholding server. */
static int setup_withholding_worker(void **state) {
  setup_one_controller(state);
  memset(&front_server, 0, sizeof front_server);
  front_server.server =
      tmx_http_server_new(test_loop, "127.0.0.1:0", 16, 60, on_worker_request, NULL);
  assert_non_null(front_server.server);
  snprintf(worker.address, sizeof worker.address, "127.0.0.1:%d",
           tmx_http_server_port(front_server.server));
  register_worker(&worker);
  return 0;
}

static int teardown_withholding_worker(void **state) {
  if (front_server.withheld) refuse_withheld_request();
  tmx_http_server_free(front_server.server);
  return teardown_controllers(state);
}

/* Submits a job with one task, waits until the task is placed, and withholds its start. */
static void withhold_start(void) {
  front_server.withheld_path = WP_COMMANDS;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  assert_true(run_loop_until(request_is_withheld, NULL));
}

/* Guards against starting a task twice. The start in flight may still be executed, so a heartbeat
 * response must not contain the same start. */
static void a_response_starts_nothing_while_a_command_is_in_flight(void **state) {
  (void)state;
  withhold_start();
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200); /* the lease is renewed all the same */
  assert_false(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
  assert_int_equal(worker.n_commands_received, 0);
  refuse_withheld_request();
  run_loop_for(0.1);
  /* This response starts the task with a higher token, which voids the first start. */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
}

/* Guards against freeing the capacity of a task that may still start. The worker does not report
 * the task yet, but the start in flight may still be executed. */
static void absence_proves_no_end_while_a_command_is_in_flight(void **state) {
  (void)state;
  withhold_start();
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_stays_placed(1, 0.6);
  assert_true(find_worker_record()->commands.in_flight); /* the start was in flight throughout */
  refuse_withheld_request();
  run_loop_for(0.1);
  /* The response shows the worker a higher token, which voids the start. */
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
}

/* Guards against redirecting a worker to a newer owner that does not exist. The worker has seen a
 * raised token of this controller, whose record of the worker is then freed and created again. With
 * the first token of the view, the controller would redirect the worker until the view changes. */
static void a_new_worker_record_continues_the_token_sequence(void **state) {
  (void)state;
  register_worker(&worker);
  uint64_t first_token = worker.token;
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_execute_commands(&worker);
  uint64_t raised_token = worker.token;
  assert_true(raised_token > first_token);
  worker.fails_commands = false;
  tmx_worker_free(find_worker_record());
  run_loop_for(2 * TMX_RECLAIM_PERIOD_S); /* the record is created again */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(worker.report_status, 200);
  assert_true(worker.response_token > raised_token);
  /* The machine gets new tasks with that token. */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  wait_for_starts(2);
}

/* Guards against registering a machine that is gone. A report without a token, or with a token of
 * an earlier view, may be a late copy from such a machine. Only a token of the current view proves
 * that the machine is there. */
static void a_machine_is_registered_only_by_a_token_of_the_current_view(void **state) {
  (void)state;
  struct fake_worker *machine = &other_workers[0];
  register_worker(&worker);
  uint64_t earlier_token = worker.token;
  restart_first_controller();
  for (int i = 0; i < 6; i++) {
    machine->token = i % 2 ? earlier_token : 0; /* the previous response was lost */
    fake_worker_send_heartbeat(machine, first_controller);
    assert_int_equal(machine->report_status, 200);
    assert_true(machine->response_token > earlier_token);
    run_loop_for(0.3);
    assert_false(is_registered(first_controller, machine));
  }
  fake_worker_send_heartbeat(machine, first_controller); /* shows the token of the last response */
  run_loop_for(0.3);
  assert_true(is_registered(first_controller, machine));
}

/* Guards against starting a running task again. A late copy of a report that was sent before the
 * task started arrives after reports that contain the task. */
static void a_late_report_of_the_same_session_starts_no_task_again(void **state) {
  (void)state;
  register_worker(&worker);
  struct fake_worker late_copy = worker;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "service", 1, 2, "t"), 201);
  wait_for_starts(1);
  run_loop_for(0.1); /* the controller receives the response to the start */
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.sequence > late_copy.sequence + 1);
  fake_worker_send_heartbeat(&late_copy, first_controller);
  assert_int_equal(late_copy.report_status, 200);
  assert_int_equal(late_copy.n_commands_received, 0);
  assert_stays_placed(1, 0.3);
  assert_int_equal(worker.executed_starts, 1);
}

/* Withholds a probe until it times out. While the probe is in flight, the event loop is late by
 * loop_late_s seconds. Returns whether the machine was usable throughout. */
static bool stays_usable_after_lost_probe(double loop_late_s) {
  const struct tmx_machine *machine = tmx_machine_find(&first_controller->replica, worker.id);
  bool was_usable = true;
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(2 * TMX_RECLAIM_PERIOD_S);
  assert_true(machine->usable);
  front_server.withheld_path = WP_STATUS;
  assert_true(run_loop_until(request_is_withheld, NULL));
  tmx_clock_advance(loop_late_s);
  double end_at = tmx_clock_steady() + TMX_PROBE_TIMEOUT_S + 2 * TMX_RECLAIM_PERIOD_S;
  while (tmx_clock_steady() < end_at) {
    run_loop_for(0.02);
    was_usable = was_usable && machine->usable;
  }
  assert_false(find_worker_record()->probing.in_flight); /* the probe has timed out */
  refuse_withheld_request();
  return was_usable;
}

/* Guards against suspecting a machine because the controller itself is slow. If the event loop was
 * late, the response to a probe may have waited in a socket buffer until the timeout. */
static void a_probe_lost_while_the_event_loop_was_late_does_not_count(void **state) {
  (void)state;
  assert_true(stays_usable_after_lost_probe(2 * TMX_LOOP_LATE_S + TMX_TICK_PERIOD_S));
  assert_false(stays_usable_after_lost_probe(0));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_response_starts_nothing_while_a_command_is_in_flight,
                                      setup_withholding_worker, teardown_withholding_worker),
      cmocka_unit_test_setup_teardown(absence_proves_no_end_while_a_command_is_in_flight,
                                      setup_withholding_worker, teardown_withholding_worker),
      cmocka_unit_test_setup_teardown(a_new_worker_record_continues_the_token_sequence,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_machine_is_registered_only_by_a_token_of_the_current_view,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_report_of_the_same_session_starts_no_task_again,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_probe_lost_while_the_event_loop_was_late_does_not_count,
                                      setup_withholding_worker, teardown_withholding_worker),
  };
  return RUN_TESTS(tests);
}
