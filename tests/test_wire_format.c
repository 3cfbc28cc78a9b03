/* What controllers answer to users and workers, and the commands that they send to workers, byte
 * for byte as recorded under tests/data/wire-format. Requests of users are written as on the
 * protocol's page, not with the program's own names. Masked are ports and, where the program draws
 * it, the value of Retry-After: see recording.h. */
#include "recording.h"
#include "relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission_policy.h"
#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller;
static struct fake_worker worker;
static struct relay commands; /* between the controller and the worker's server */
static char address[32];      /* of the controller */

static int setup(void **state) {
  (void)state;
  fake_start();
  fake_worker_open(&worker, "n-000001");
  relay_open(&commands, tmx_http_server_port(worker.server));
  snprintf(worker.address, sizeof worker.address, "%s", commands.address);
  first_controller = NULL;
  return 0;
}
static int teardown(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  relay_close(&commands);
  tmx_http_server_free(worker.server);
  fake_stop();
  return 0;
}

static void make_controller(int count) {
  first_controller = start_controller(0, count);
  snprintf(address, sizeof address, "127.0.0.1:%d", tmx_http_server_port(first_controller->server));
}
static void begin(void) {
  make_controller(1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

/* ------------------------------------------------------------ users */

static void record_exchange(struct recording *recording, const char *title,
                            const struct exchange *exchange) {
  record_line(recording, "== %s", title);
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
  record_http(recording, "< ", exchange->answer.data, exchange->answer.length);
}

static void ask(struct recording *recording, const char *title, const char *line,
                const char *json) {
  struct exchange exchange;
  struct tmx_buffer body = {0};
  if (json) encode_json(&body, json);
  raw_request(address, line, json ? &body : NULL, &exchange);
  record_exchange(recording, title, &exchange);
  exchange_free(&exchange);
  tmx_buffer_free(&body);
}

/* Requests that are no CBOR, or no request: only the answer is recorded. */
static void ask_raw(struct recording *recording, const char *title, const char *request,
                    size_t length) {
  struct tmx_buffer answer = {0};
  record_line(recording, "== %s", title);
  raw_call(address, request, length, &answer);
  record_http(recording, "< ", answer.data, answer.length);
  tmx_buffer_free(&answer);
}

#define SUBMISSION(id, outfit, cpus)                                          \
  "{\"id\":\"" id "\",\"crew\":\"train\",\"outfit\":\"" outfit                \
  "\",\"sort\":\"batch\",\"rank\":\"high\",\"loads\":3,\"cpus\":" cpus        \
  ",\"gpus\":0.0,\"mem_gb\":2.0,\"kit\":\"img-07\",\"image_gb\":0.5,"         \
  "\"builds\":[\"big\"],\"yard\":\"a\",\"same_place\":true,\"spread\":false," \
  "\"loaner\":false,\"reckon_s\":240.0,\"tally_s\":30.0,\"stow_s\":4.5,\"due_s\":900.0}"

static void answers_without_the_state(struct recording *recording) {
  fake_store.endpoints[0].refuse = true;
  make_controller(1);
  ask(recording, "not ready", "GET /ready", NULL);
  ask(recording, "a submission while the state is out of reach", "POST /v2/runs",
      SUBMISSION("wk-000001", "t", "2.0"));
  ask(recording, "a poll while the state is out of reach", "GET /v2/runs/wk-000001", NULL);
  ask(recording, "a cancellation while the state is out of reach",
      "POST /v2/runs/wk-000001/withdraw", NULL);
  fake_store.endpoints[0].refuse = false;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

static void answers_that_refuse(struct recording *recording) {
  ask(recording, "malformed: a field is missing", "POST /v2/runs", "{\"id\":\"wk-000009\"}");
  ask(recording, "malformed: not an id", "POST /v2/runs", SUBMISSION("job-1", "t", "2.0"));
  ask(recording, "unknown team", "POST /v2/runs", SUBMISSION("wk-000009", "other", "2.0"));
  ask(recording, "more than the team's limit", "POST /v2/runs",
      SUBMISSION("wk-000009", "t", "9.0"));
  ask(recording, "never accepted", "GET /v2/runs/wk-000009", NULL);
  ask(recording, "no id", "GET /v2/runs/none", NULL);
  ask(recording, "cancellation of an unknown job", "POST /v2/runs/wk-000009/withdraw", NULL);
  ask(recording, "another method on the jobs", "GET /v2/runs", NULL);
  ask(recording, "another method on a job", "POST /v2/runs/wk-000001", NULL);
  ask(recording, "another method on a cancellation", "GET /v2/runs/wk-000001/withdraw", NULL);
  ask(recording, "no such path", "GET /v3/runs", NULL);
  static const char no_cbor[] = "POST /v2/runs HTTP/1.1\r\nContent-Length: 2\r\n\r\n\xff\xff";
  ask_raw(recording, "malformed: not CBOR", no_cbor, sizeof no_cbor - 1);
  static const char closing[] = "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  ask_raw(recording, "the connection is to be closed", closing, sizeof closing - 1);
  static const char no_http[] = "HELLO\r\n\r\n";
  ask_raw(recording, "not HTTP", no_http, sizeof no_http - 1);
  static const char large[] = "POST /v2/runs HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
  static char too_large[sizeof large + 65537];
  memcpy(too_large, large, sizeof large - 1);
  ask_raw(recording, "a body beyond the limit", too_large, sizeof large - 1 + 65537);
}

static void report_plainly(void) {
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(0.2);
}

static bool job_done(void *arg) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->outcome == TMX_JOB_DONE;
}

static bool one_done(void *arg) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->n_done == 1;
}

static void answers_about_a_job(struct recording *recording) {
  ask(recording, "accepted", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  ask(recording, "pending", "GET /v2/runs/wk-000001", NULL);
  ask(recording, "submitted again", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  for (int i = 0; i < 4; i++) report_plainly();
  assert_int_equal(worker.executed_starts, 3);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  report_plainly();
  assert_true(run_loop_until(one_done, "wk-000001"));
  ask(recording, "running", "GET /v2/runs/wk-000001", NULL);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 1, WV_EXITED, WV_DONE);
  report_plainly();
  assert_true(run_loop_until(job_done, "wk-000001"));
  ask(recording, "done", "GET /v2/runs/wk-000001", NULL);
  ask(recording, "cancelled after it was done", "POST /v2/runs/wk-000001/withdraw", NULL);
  ask(recording, "submitted after it was done", "POST /v2/runs",
      SUBMISSION("wk-000001", "t", "2.0"));
  ask(recording, "accepted", "POST /v2/runs", SUBMISSION("wk-000002", "t", "1.0"));
  ask(recording, "cancelled", "POST /v2/runs/wk-000002/withdraw", NULL);
  ask(recording, "cancelled again", "POST /v2/runs/wk-000002/withdraw", NULL);
  ask(recording, "poll of a cancelled job", "GET /v2/runs/wk-000002", NULL);
}

static void answers_to_users(void **state) {
  (void)state;
  struct recording recording = {.retry_from = 1, .retry_to = 2};
  answers_without_the_state(&recording);
  ask(&recording, "ready", "GET /ready", NULL);
  answers_that_refuse(&recording);
  answers_about_a_job(&recording);
  recording_check(&recording, "user-answers.txt");
}

static void with_admission(struct tmx_settings *settings) {
  char err[128];
  settings->operators.admission.enabled = true;
  settings->operators.admission.backlog_s = 10;
  settings->operators.admission.capacity_cpus = 16;
  assert_true(tmx_admission_resolve(settings, err, sizeof err));
}

/* Retry-After grows with the backlog, up to 20 s, and is spread by as much as half. */
static void answer_of_admission(void **state) {
  (void)state;
  struct recording recording = {.retry_from = 1, .retry_to = 30};
  fake_adjust_settings = with_admission;
  begin();
  /* 90 s of the machine each */
  ask(&recording, "a class without work", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  ask(&recording, "more of its class", "POST /v2/runs", SUBMISSION("wk-000002", "t", "2.0"));
  ask(&recording, "what was refused is not known", "GET /v2/runs/wk-000002", NULL);
  recording_check(&recording, "admission-answers.txt");
}

/* ------------------------------------------------------------ workers */

static void send_report(struct recording *recording, const char *title) {
  struct exchange exchange;
  struct tmx_buffer body = {0};
  worker.sequence = (worker.sequence / 100 + 1) * 100; /* above those that probes have used up */
  fake_worker_encode_report(&worker, &body);
  raw_request(address, "POST /hello", &body, &exchange);
  record_exchange(recording, title, &exchange);
  const uint8_t *answer = memmem(exchange.answer.data, exchange.answer.length, "\r\n\r\n", 4);
  size_t length = exchange.answer.length - (size_t)(answer + 4 - exchange.answer.data);
  fake_worker_take_response(&worker, atoi((const char *)exchange.answer.data + strlen("HTTP/1.1 ")),
                            answer + 4, length);
  exchange_free(&exchange);
  tmx_buffer_free(&body);
}

static void put_line(const char *key, const char *line) {
  struct tmx_buffer value = {0}, list = {0};
  tmx_cbor_put_text(&list, line);
  tmx_log_value_encode(&value, NULL, 0, &list, 1);
  fake_put(key, &value);
  tmx_buffer_free(&value);
  tmx_buffer_free(&list);
  run_loop_for(0.3);
}

static void submit_literally(void) {
  struct exchange exchange;
  struct tmx_buffer body = {0};
  encode_json(&body, SUBMISSION("wk-000001", "t", "1.0"));
  raw_request(address, "POST /v2/runs", &body, &exchange);
  exchange_free(&exchange);
  tmx_buffer_free(&body);
}

/* Records the first request after `previous` that has the text, without the scripted answer. */
static const struct exchange *record_command(struct recording *recording, const char *title,
                                             const struct exchange *previous, const char *start,
                                             const char *part) {
  const struct exchange *exchange = relay_wait(&commands, previous, start, part);
  record_line(recording, "== %s", title);
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
  return exchange;
}

static bool four_started(void *arg) {
  (void)arg;
  return worker.executed_starts == 4;
}

static void direct_commands(void **state) {
  (void)state;
  struct recording recording = {0};
  begin();
  for (int i = 0; i < 3; i++) report_plainly();
  submit_literally();
  const struct exchange *exchange =
      record_command(&recording, "a job is placed", NULL, "POST /commands", "start");
  put_line("t/batch/hand-9/000000", "s wk-000001/0 1 2");
  exchange = record_command(&recording, "one of its tasks is to save and end", exchange,
                            "POST /commands", "halt");
  exchange =
      record_command(&recording, "its end is in the log", exchange, "POST /commands", "reap");
  assert_true(run_loop_until(four_started, NULL)); /* it was placed again */
  exchange = record_command(&recording, "its next attempt", exchange, "POST /commands", "start");
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  record_command(&recording, "the job is cancelled", exchange, "POST /commands", "halt");
  record_command(&recording, "a probe", NULL, "GET /show", NULL);
  recording_check(&recording, "direct-commands.txt");
}

/* The worker does not answer commands, so all go with the answers to its reports. */
static void answers_to_reports(void **state) {
  (void)state;
  struct recording recording = {0};
  fake_store.endpoints[0].refuse = true;
  make_controller(1);
  send_report(&recording, "the state is out of reach");
  fake_store.endpoints[0].refuse = false;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  send_report(&recording, "the first report");
  send_report(&recording, "... which shows the token");
  run_loop_for(0.5);
  worker.fails_commands = true;
  submit_literally();
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
  ask(&recording, "malformed: a field is missing", "POST /hello", "{\"rig\":\"n-000001\"}");
  ask(&recording, "another method", "GET /hello", NULL);
  recording_check(&recording, "report-answers.txt");
}

static bool two_members(void *arg) {
  (void)arg;
  return first_controller->replica.view.n_members == 2 &&
         fake_controller_is_ready(first_controller);
}

static void answers_that_send_elsewhere(void **state) {
  (void)state;
  struct recording recording = {0};
  struct tmx_buffer value = {0};
  make_controller(2);
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
      cmocka_unit_test_setup_teardown(answers_to_users, setup, teardown),
      cmocka_unit_test_setup_teardown(answer_of_admission, setup, teardown),
      cmocka_unit_test_setup_teardown(direct_commands, setup, teardown),
      cmocka_unit_test_setup_teardown(answers_to_reports, setup, teardown),
      cmocka_unit_test_setup_teardown(answers_that_send_elsewhere, setup, teardown),
  };
  return RUN_TESTS(tests);
}
