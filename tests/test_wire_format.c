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

static int setup(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&worker, "n-000001");
  relay_open(&commands, tmx_http_server_port(worker.server));
  snprintf(worker.address, sizeof worker.address, "%s", commands.address);
  first_controller = NULL;
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (first_controller) stop_controller(first_controller);
  relay_close(&commands);
  tmx_http_server_free(worker.server);
  fake_stop();
  return 0;
}

static void make_controller(int of) {
  first_controller = start_controller(0, of);
  snprintf(address, sizeof address, "127.0.0.1:%d", tmx_http_server_port(first_controller->server));
}
static void begin(void) {
  make_controller(1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

/* ------------------------------------------------------------ users */

static void record_exchange(struct recording *r, const char *title, const struct exchange *x) {
  record_line(r, "== %s", title);
  record_http(r, "> ", x->request.data, x->request.length);
  record_http(r, "< ", x->answer.data, x->answer.length);
}

static void ask(struct recording *r, const char *title, const char *line, const char *json) {
  struct exchange x;
  struct tmx_buffer body = {0};
  if (json) encode_json(&body, json);
  raw_request(address, line, json ? &body : NULL, &x);
  record_exchange(r, title, &x);
  exchange_free(&x);
  tmx_buffer_free(&body);
}

/* Requests that are no CBOR, or no request: only the answer is recorded. */
static void ask_raw(struct recording *r, const char *title, const char *request, size_t n) {
  struct tmx_buffer answer = {0};
  record_line(r, "== %s", title);
  raw_call(address, request, n, &answer);
  record_http(r, "< ", answer.data, answer.length);
  tmx_buffer_free(&answer);
}

#define SUBMISSION(id, outfit, cpus)                                          \
  "{\"id\":\"" id "\",\"crew\":\"train\",\"outfit\":\"" outfit                \
  "\",\"sort\":\"batch\",\"rank\":\"high\",\"loads\":3,\"cpus\":" cpus        \
  ",\"gpus\":0.0,\"mem_gb\":2.0,\"kit\":\"img-07\",\"image_gb\":0.5,"         \
  "\"builds\":[\"big\"],\"yard\":\"a\",\"same_place\":true,\"spread\":false," \
  "\"loaner\":false,\"reckon_s\":240.0,\"tally_s\":30.0,\"stow_s\":4.5,\"due_s\":900.0}"

static void answers_without_the_state(struct recording *r) {
  fake_store.endpoints[0].refuse = true;
  make_controller(1);
  ask(r, "not ready", "GET /ready", NULL);
  ask(r, "a submission while the state is out of reach", "POST /v2/runs",
      SUBMISSION("wk-000001", "t", "2.0"));
  ask(r, "a poll while the state is out of reach", "GET /v2/runs/wk-000001", NULL);
  ask(r, "a cancellation while the state is out of reach", "POST /v2/runs/wk-000001/withdraw",
      NULL);
  fake_store.endpoints[0].refuse = false;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

static void answers_that_refuse(struct recording *r) {
  ask(r, "malformed: a field is missing", "POST /v2/runs", "{\"id\":\"wk-000009\"}");
  ask(r, "malformed: not an id", "POST /v2/runs", SUBMISSION("job-1", "t", "2.0"));
  ask(r, "unknown team", "POST /v2/runs", SUBMISSION("wk-000009", "other", "2.0"));
  ask(r, "more than the team's limit", "POST /v2/runs", SUBMISSION("wk-000009", "t", "9.0"));
  ask(r, "never accepted", "GET /v2/runs/wk-000009", NULL);
  ask(r, "no id", "GET /v2/runs/none", NULL);
  ask(r, "cancellation of an unknown job", "POST /v2/runs/wk-000009/withdraw", NULL);
  ask(r, "another method on the jobs", "GET /v2/runs", NULL);
  ask(r, "another method on a job", "POST /v2/runs/wk-000001", NULL);
  ask(r, "another method on a cancellation", "GET /v2/runs/wk-000001/withdraw", NULL);
  ask(r, "no such path", "GET /v3/runs", NULL);
  static const char no_cbor[] = "POST /v2/runs HTTP/1.1\r\nContent-Length: 2\r\n\r\n\xff\xff";
  ask_raw(r, "malformed: not CBOR", no_cbor, sizeof no_cbor - 1);
  static const char closing[] = "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  ask_raw(r, "the connection is to be closed", closing, sizeof closing - 1);
  static const char no_http[] = "HELLO\r\n\r\n";
  ask_raw(r, "not HTTP", no_http, sizeof no_http - 1);
  static const char large[] = "POST /v2/runs HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
  static char too_large[sizeof large + 65537];
  memcpy(too_large, large, sizeof large - 1);
  ask_raw(r, "a body beyond the limit", too_large, sizeof large - 1 + 65537);
}

static void report_plainly(void) {
  fake_worker_send_heartbeat(&worker, first_controller);
  run_loop_for(0.2);
}

static bool job_done(void *arg) {
  const struct tmx_job *j = tmx_job_find(&first_controller->replica, arg);
  return j && j->outcome == TMX_JOB_DONE;
}

static bool one_done(void *arg) {
  const struct tmx_job *j = tmx_job_find(&first_controller->replica, arg);
  return j && j->n_done == 1;
}

static void answers_about_a_job(struct recording *r) {
  ask(r, "accepted", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  ask(r, "pending", "GET /v2/runs/wk-000001", NULL);
  ask(r, "submitted again", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  for (int i = 0; i < 4; i++) report_plainly();
  assert_int_equal(worker.executed_starts, 3);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  report_plainly();
  assert_true(run_loop_until(one_done, "wk-000001"));
  ask(r, "running", "GET /v2/runs/wk-000001", NULL);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 1, WV_EXITED, WV_DONE);
  report_plainly();
  assert_true(run_loop_until(job_done, "wk-000001"));
  ask(r, "done", "GET /v2/runs/wk-000001", NULL);
  ask(r, "cancelled after it was done", "POST /v2/runs/wk-000001/withdraw", NULL);
  ask(r, "submitted after it was done", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  ask(r, "accepted", "POST /v2/runs", SUBMISSION("wk-000002", "t", "1.0"));
  ask(r, "cancelled", "POST /v2/runs/wk-000002/withdraw", NULL);
  ask(r, "cancelled again", "POST /v2/runs/wk-000002/withdraw", NULL);
  ask(r, "poll of a cancelled job", "GET /v2/runs/wk-000002", NULL);
}

static void answers_to_users(void **st) {
  (void)st;
  struct recording r = {.retry_from = 1, .retry_to = 2};
  answers_without_the_state(&r);
  ask(&r, "ready", "GET /ready", NULL);
  answers_that_refuse(&r);
  answers_about_a_job(&r);
  recording_check(&r, "user-answers.txt");
}

static void with_admission(struct tmx_settings *s) {
  char err[128];
  s->operators.admission.enabled = true;
  s->operators.admission.backlog_s = 10;
  s->operators.admission.capacity_cpus = 16;
  assert_true(tmx_admission_resolve(s, err, sizeof err));
}

/* Retry-After grows with the backlog, up to 20 s, and is spread by as much as half. */
static void answer_of_admission(void **st) {
  (void)st;
  struct recording r = {.retry_from = 1, .retry_to = 30};
  fake_adjust_settings = with_admission;
  begin();
  /* 90 s of the machine each */
  ask(&r, "a class without work", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  ask(&r, "more of its class", "POST /v2/runs", SUBMISSION("wk-000002", "t", "2.0"));
  ask(&r, "what was refused is not known", "GET /v2/runs/wk-000002", NULL);
  recording_check(&r, "admission-answers.txt");
}

/* ------------------------------------------------------------ workers */

static void send_report(struct recording *r, const char *title) {
  struct exchange x;
  struct tmx_buffer body = {0};
  worker.sequence = (worker.sequence / 100 + 1) * 100; /* above those that probes have used up */
  fake_worker_encode_report(&worker, &body);
  raw_request(address, "POST /hello", &body, &x);
  record_exchange(r, title, &x);
  const uint8_t *answer = memmem(x.answer.data, x.answer.length, "\r\n\r\n", 4);
  size_t length = x.answer.length - (size_t)(answer + 4 - x.answer.data);
  fake_worker_take_response(&worker, atoi((const char *)x.answer.data + strlen("HTTP/1.1 ")),
                            answer + 4, length);
  exchange_free(&x);
  tmx_buffer_free(&body);
}

static void put_line(const char *key, const char *line) {
  struct tmx_buffer v = {0}, list = {0};
  tmx_cbor_put_text(&list, line);
  tmx_log_value_encode(&v, NULL, 0, &list, 1);
  fake_put(key, &v);
  tmx_buffer_free(&v);
  tmx_buffer_free(&list);
  run_loop_for(0.3);
}

static void submit_literally(void) {
  struct exchange x;
  struct tmx_buffer body = {0};
  encode_json(&body, SUBMISSION("wk-000001", "t", "1.0"));
  raw_request(address, "POST /v2/runs", &body, &x);
  exchange_free(&x);
  tmx_buffer_free(&body);
}

/* The first request after `at` that holds the text; what the scripted worker says is not recorded.
 */
static const struct exchange *record_command(struct recording *r, const char *title,
                                             const struct exchange *at, const char *start,
                                             const char *part) {
  const struct exchange *x = relay_wait(&commands, at, start, part);
  record_line(r, "== %s", title);
  record_http(r, "> ", x->request.data, x->request.length);
  return x;
}

static bool four_started(void *arg) {
  (void)arg;
  return worker.executed_starts == 4;
}

static void direct_commands(void **st) {
  (void)st;
  struct recording r = {0};
  begin();
  for (int i = 0; i < 3; i++) report_plainly();
  submit_literally();
  const struct exchange *x = record_command(&r, "a job is placed", NULL, "POST /commands", "start");
  put_line("t/batch/hand-9/000000", "s wk-000001/0 1 2");
  x = record_command(&r, "one of its tasks is to save and end", x, "POST /commands", "halt");
  x = record_command(&r, "its end is in the log", x, "POST /commands", "reap");
  assert_true(run_loop_until(four_started, NULL)); /* it was placed again */
  x = record_command(&r, "its next attempt", x, "POST /commands", "start");
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  record_command(&r, "the job is cancelled", x, "POST /commands", "halt");
  record_command(&r, "a probe", NULL, "GET /show", NULL);
  recording_check(&r, "direct-commands.txt");
}

/* The worker does not answer commands, so all go with the answers to its reports. */
static void answers_to_reports(void **st) {
  (void)st;
  struct recording r = {0};
  fake_store.endpoints[0].refuse = true;
  make_controller(1);
  send_report(&r, "the state is out of reach");
  fake_store.endpoints[0].refuse = false;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  send_report(&r, "the first report");
  send_report(&r, "... which shows the token");
  run_loop_for(0.5);
  worker.fails_commands = true;
  submit_literally();
  run_loop_for(0.5);
  send_report(&r, "the command to start got no answer");
  fake_worker_execute_commands(&worker);
  assert_int_equal(worker.executed_starts, 3);
  send_report(&r, "the tasks run");
  run_loop_for(0.5);
  put_line("t/batch/hand-9/000000", "s wk-000001/0 1 2");
  send_report(&r, "a task is to save and end");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_SAVING, NULL);
  send_report(&r, "it saves");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_STOPPED);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  send_report(&r, "tasks have ended");
  run_loop_for(0.5);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.5);
  send_report(&r, "the ends are in the log, and the job is cancelled");
  worker.sequence -= 150;
  send_report(&r, "a report that a later one has overtaken");
  worker.session = 0;
  send_report(&r, "a report of an earlier session");
  worker.session = 1;
  ask(&r, "malformed: a field is missing", "POST /hello", "{\"rig\":\"n-000001\"}");
  ask(&r, "another method", "GET /hello", NULL);
  recording_check(&r, "report-answers.txt");
}

static bool two_members(void *arg) {
  (void)arg;
  return first_controller->replica.view.n_members == 2 &&
         fake_controller_is_ready(first_controller);
}

static void answers_that_send_elsewhere(void **st) {
  (void)st;
  struct recording r = {0};
  struct tmx_buffer v = {0};
  make_controller(2);
  encode_json(&v, "{\"listen\":\"127.0.0.1:1\"}");
  fake_put("t/node/hand-1", &v);
  tmx_buffer_free(&v);
  assert_true(run_loop_until(two_members, NULL));
  strcpy(worker.id, "n-000002");
  send_report(&r, "a machine of another controller");
  assert_string_equal(worker.redirected_to, "hand-1");
  strcpy(worker.id, "n-000006");
  worker.token = 1ull << 40;
  send_report(&r, "a newer owner's token was seen");
  assert_string_equal(worker.redirected_to, "");
  recording_check(&r, "report-answers-elsewhere.txt");
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
