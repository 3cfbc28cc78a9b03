/* The responses of controllers to users must equal the recordings in tests/data/wire-format byte
 * for byte, apart from masked ports and random values of Retry-After, see recording.h. The test
 * guards against accidental changes of the users' interface, for example by a renamed field. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission_policy.h"
#include "tmx/wire.h"
#include "wire_fixture.h"

/* Sends the bytes of a request, which need not be valid CBOR or HTTP, and records only the
 * response. */
static void record_raw_response(struct recording *recording, const char *title, const char *request,
                                size_t length) {
  struct tmx_buffer response = {0};
  record_line(recording, "== %s", title);
  raw_call(controller_address, request, length, &response);
  record_http(recording, "< ", response.data, response.length);
  tmx_buffer_free(&response);
}

static void record_responses_without_the_state(struct recording *recording) {
  fake_store.endpoints[0].unavailable = true;
  start_recorded_controller(1);
  send_and_record(recording, "not ready", "GET /ready", NULL);
  send_and_record(recording, "a submission while the state is out of reach", "POST /v2/runs",
                  SUBMISSION("wk-000001", "t", "2.0"));
  send_and_record(recording, "a poll while the state is out of reach", "GET /v2/runs/wk-000001",
                  NULL);
  send_and_record(recording, "a cancellation while the state is out of reach",
                  "POST /v2/runs/wk-000001/withdraw", NULL);
  fake_store.endpoints[0].unavailable = false;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

static void record_rejections(struct recording *recording) {
  send_and_record(recording, "malformed: a field is missing", "POST /v2/runs",
                  "{\"id\":\"wk-000009\"}");
  send_and_record(recording, "malformed: not an id", "POST /v2/runs",
                  SUBMISSION("job-1", "t", "2.0"));
  send_and_record(recording, "unknown team", "POST /v2/runs",
                  SUBMISSION("wk-000009", "other", "2.0"));
  send_and_record(recording, "more than the team's limit", "POST /v2/runs",
                  SUBMISSION("wk-000009", "t", "9.0"));
  send_and_record(recording, "never accepted", "GET /v2/runs/wk-000009", NULL);
  send_and_record(recording, "no id", "GET /v2/runs/none", NULL);
  send_and_record(recording, "cancellation of an unknown job", "POST /v2/runs/wk-000009/withdraw",
                  NULL);
  send_and_record(recording, "another method on the jobs", "GET /v2/runs", NULL);
  send_and_record(recording, "another method on a job", "POST /v2/runs/wk-000001", NULL);
  send_and_record(recording, "another method on a cancellation", "GET /v2/runs/wk-000001/withdraw",
                  NULL);
  send_and_record(recording, "no such path", "GET /v3/runs", NULL);
  static const char invalid_cbor[] = "POST /v2/runs HTTP/1.1\r\nContent-Length: 2\r\n\r\n\xff\xff";
  record_raw_response(recording, "malformed: not CBOR", invalid_cbor, sizeof invalid_cbor - 1);
  static const char closing[] = "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  record_raw_response(recording, "the connection is to be closed", closing, sizeof closing - 1);
  static const char invalid_http[] = "HELLO\r\n\r\n";
  record_raw_response(recording, "not HTTP", invalid_http, sizeof invalid_http - 1);
  static const char head_of_large_request[] =
      "POST /v2/runs HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
  static char large_request[sizeof head_of_large_request + 65537];
  memcpy(large_request, head_of_large_request, sizeof head_of_large_request - 1);
  record_raw_response(recording, "a body beyond the limit", large_request,
                      sizeof head_of_large_request - 1 + 65537);
}

static bool job_is_done(void *arg) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->outcome == TMX_JOB_DONE;
}

static bool one_done(void *arg) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->n_done == 1;
}

static void record_responses_about_a_job(struct recording *recording) {
  send_and_record(recording, "accepted", "POST /v2/runs", SUBMISSION("wk-000001", "t", "2.0"));
  send_and_record(recording, "pending", "GET /v2/runs/wk-000001", NULL);
  send_and_record(recording, "submitted again", "POST /v2/runs",
                  SUBMISSION("wk-000001", "t", "2.0"));
  for (int i = 0; i < 4; i++) send_unrecorded_heartbeat();
  assert_int_equal(worker.executed_starts, 3);
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  send_unrecorded_heartbeat();
  assert_true(run_loop_until(one_done, "wk-000001"));
  send_and_record(recording, "running", "GET /v2/runs/wk-000001", NULL);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&worker, "wk-000001/2", 1, WV_EXITED, WV_DONE);
  send_unrecorded_heartbeat();
  assert_true(run_loop_until(job_is_done, "wk-000001"));
  send_and_record(recording, "done", "GET /v2/runs/wk-000001", NULL);
  send_and_record(recording, "cancelled after it was done", "POST /v2/runs/wk-000001/withdraw",
                  NULL);
  send_and_record(recording, "submitted after it was done", "POST /v2/runs",
                  SUBMISSION("wk-000001", "t", "2.0"));
  send_and_record(recording, "accepted", "POST /v2/runs", SUBMISSION("wk-000002", "t", "1.0"));
  send_and_record(recording, "cancelled", "POST /v2/runs/wk-000002/withdraw", NULL);
  send_and_record(recording, "cancelled again", "POST /v2/runs/wk-000002/withdraw", NULL);
  send_and_record(recording, "poll of a cancelled job", "GET /v2/runs/wk-000002", NULL);
}

static void user_responses_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {.retry_after_min = 1, .retry_after_max = 2};
  record_responses_without_the_state(&recording);
  send_and_record(&recording, "ready", "GET /ready", NULL);
  record_rejections(&recording);
  record_responses_about_a_job(&recording);
  recording_check(&recording, "user-answers.txt");
}

static void enable_admission(struct tmx_settings *settings) {
  char err[128];
  settings->operators.admission.enabled = true;
  settings->operators.admission.backlog_s = 10;
  settings->operators.admission.capacity_cpus = 16;
  assert_true(tmx_admission_settings_resolve(settings, err, sizeof err));
}

/* Retry-After is a wait that grows with the backlog, up to 20 s, plus a random jitter of at most
 * half of that wait. */
static void admission_responses_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {.retry_after_min = 1, .retry_after_max = 30};
  fake_adjust_settings = enable_admission;
  start_ready_controller();
  /* each submission holds work for 90 s of the whole capacity */
  send_and_record(&recording, "a class without work", "POST /v2/runs",
                  SUBMISSION("wk-000001", "t", "2.0"));
  send_and_record(&recording, "more of its class", "POST /v2/runs",
                  SUBMISSION("wk-000002", "t", "2.0"));
  send_and_record(&recording, "what was refused is not known", "GET /v2/runs/wk-000002", NULL);
  recording_check(&recording, "admission-answers.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(user_responses_keep_their_format, setup_recorded_peers,
                                      teardown_recorded_peers),
      cmocka_unit_test_setup_teardown(admission_responses_keep_their_format, setup_recorded_peers,
                                      teardown_recorded_peers),
  };
  return RUN_TESTS(tests);
}
