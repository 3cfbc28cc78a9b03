/* The responses of controllers to workers' reports, and the commands that controllers send to
 * workers, must equal the recordings in tests/data/wire-format byte for byte, apart from masked
 * ports, see recording.h. The test guards against accidental changes of the workers' interface, for
 * example by a renamed field. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tmx/wire.h"
#include "wire_fixture.h"

/* Sends and records a report of the worker, and passes the response to the worker. */
static void send_report(struct recording *recording, const char *title) {
  struct exchange exchange;
  struct tmx_buffer body = {0};
  worker.sequence =
      (worker.sequence / 100 + 1) * 100; /* above the numbers that responses to probes used */
  fake_worker_encode_report(&worker, &body);
  raw_request(controller_address, "POST /hello", &body, &exchange);
  record_exchange(recording, title, &exchange);
  const uint8_t *head_end = memmem(exchange.response.data, exchange.response.length, "\r\n\r\n", 4);
  size_t length = exchange.response.length - (size_t)(head_end + 4 - exchange.response.data);
  fake_worker_handle_response(&worker,
                              atoi((const char *)exchange.response.data + strlen("HTTP/1.1 ")),
                              head_end + 4, length);
  exchange_free(&exchange);
  tmx_buffer_free(&body);
}

/* Puts a value with one log line into the store and runs the event loop for 0.3 s. */
static void put_line(const char *key, const char *line) {
  struct tmx_buffer value = {0}, list = {0};
  tmx_cbor_put_text(&list, line);
  tmx_log_value_encode(&value, NULL, 0, &list, 1);
  fake_put(key, &value);
  tmx_buffer_free(&value);
  tmx_buffer_free(&list);
  run_loop_for(0.3);
}

static void submit_with_literal_names(void) {
  struct exchange exchange;
  struct tmx_buffer body = {0};
  encode_json(&body, SUBMISSION("wk-000001", "t", "1.0"));
  raw_request(controller_address, "POST /v2/runs", &body, &exchange);
  exchange_free(&exchange);
  tmx_buffer_free(&body);
}

/* Records the first request after `previous` that starts with `prefix` and contains `substring`,
 * without the response of the fake worker. */
static const struct exchange *record_command(struct recording *recording, const char *title,
                                             const struct exchange *previous, const char *prefix,
                                             const char *substring) {
  const struct exchange *exchange = relay_wait(&command_relay, previous, prefix, substring);
  record_line(recording, "== %s", title);
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
  return exchange;
}

static bool four_started(void *arg) {
  (void)arg;
  return worker.executed_starts == 4;
}

static void direct_commands_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  start_ready_controller();
  for (int i = 0; i < 3; i++) send_unrecorded_heartbeat();
  submit_with_literal_names();
  const struct exchange *exchange =
      record_command(&recording, "a job is placed", NULL, "POST /commands", "start");
  put_line("t/batch/hand-9/000000", "s wk-000001/0 1 2");
  exchange = record_command(&recording, "one of its tasks is to save and end", exchange,
                            "POST /commands", "halt");
  exchange =
      record_command(&recording, "its end is in the log", exchange, "POST /commands", "reap");
  assert_true(run_loop_until(four_started, NULL)); /* the task was placed again */
  exchange = record_command(&recording, "its next attempt", exchange, "POST /commands", "start");
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  record_command(&recording, "the job is cancelled", exchange, "POST /commands", "halt");
  record_command(&recording, "a probe", NULL, "GET /show", NULL);
  recording_check(&recording, "direct-commands-raised-token.txt");
}

/* The worker fails direct commands, so the controller sends all commands in its responses to the
 * worker's reports. */
static void report_responses_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  fake_store.endpoints[0].unavailable = true;
  start_recorded_controller(1);
  send_report(&recording, "the state is out of reach");
  fake_store.endpoints[0].unavailable = false;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  send_report(&recording, "the first report");
  send_report(&recording, "... which shows the token");
  run_loop_for(0.5);
  worker.fails_commands = true;
  submit_with_literal_names();
  run_loop_for(0.5);
  send_report(&recording, "the command to start got no answer");
  fake_worker_execute_commands(&worker);
  assert_int_equal(worker.executed_starts, 3);
  send_report(&recording, "the tasks run");
  run_loop_for(0.5);
  put_line("t/batch/hand-9/000000", "s wk-000001/0 1 2");
  send_report(&recording, "a task is to save and end");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_SAVING, NULL);
  send_report(&recording, "it saves");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_STOPPED);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  send_report(&recording, "tasks have ended");
  run_loop_for(0.5);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.5);
  send_report(&recording, "the ends are in the log, and the job is cancelled");
  worker.sequence -= 150;
  send_report(&recording, "a report that a later one has overtaken");
  worker.session = 0;
  send_report(&recording, "a report of an earlier session");
  worker.session = 1;
  send_and_record(&recording, "malformed: a field is missing", "POST /hello",
                  "{\"rig\":\"n-000001\"}");
  send_and_record(&recording, "another method", "GET /hello", NULL);
  recording_check(&recording, "report-answers.txt");
}

static bool two_members(void *arg) {
  (void)arg;
  return first_controller->replica.view.n_members == 2 &&
         fake_controller_is_ready(first_controller);
}

static void redirections_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_buffer value = {0};
  start_recorded_controller(2);
  encode_json(&value, "{\"listen\":\"127.0.0.1:1\"}");
  fake_put("t/node/hand-1", &value);
  tmx_buffer_free(&value);
  assert_true(run_loop_until(two_members, NULL));
  strcpy(worker.id, "n-000002");
  send_report(&recording, "a machine of another controller");
  assert_string_equal(worker.redirected_to, "hand-1");
  strcpy(worker.id, "n-000006");
  worker.token = 1ull << 40;
  send_report(&recording, "a newer owner's token was seen");
  assert_string_equal(worker.redirected_to, "");
  recording_check(&recording, "report-answers-elsewhere.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(direct_commands_keep_their_format, setup_recorded_peers,
                                      teardown_recorded_peers),
      cmocka_unit_test_setup_teardown(report_responses_keep_their_format, setup_recorded_peers,
                                      teardown_recorded_peers),
      cmocka_unit_test_setup_teardown(redirections_keep_their_format, setup_recorded_peers,
                                      teardown_recorded_peers),
  };
  return RUN_TESTS(tests);
}
