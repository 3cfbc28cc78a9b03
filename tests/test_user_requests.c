/* Tests the responses to users' requests: validation, refusals, overload, stale replicas and
 * malformed connections. */
#include "controller_fixture.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* A controller whose replica lags returns no stale state, and no 404 for an accepted job. */
static void a_lagging_replica_gives_no_stale_response(void **state) {
  (void)state;
  fake_store.endpoints[1].hold_watches = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  struct fake_response response = poll_job(second_controller, "wk-000001");
  assert_int_equal(response.status, 503);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  assert_int_equal(poll_job(second_controller, "wk-000001").status, 200);
  fake_store.endpoints[1].hold_watches = true;
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  response = poll_job(second_controller, "wk-000001");
  assert_true(response.status == 503 || !strcmp(response.state, WV_CANCELLED));
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_CANCELLED);
  assert_int_equal(poll_job(first_controller, "wk-999999").status, 404);
}

/* Guards against accepting a job twice. The same job id is submitted to two controllers, and the
 * replica of the second one lags. */
static void a_job_id_is_accepted_once_by_two_controllers(void **state) {
  (void)state;
  fake_store.endpoints[1].hold_watches =
      true; /* the second controller does not see what the first one accepts */
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t"), 201);
  assert_int_not_equal(submit_simple_job(second_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", "batch", 1, 2, "t"), 200);
  assert_int_equal(tmx_job_find(&second_controller->replica, "wk-000001")->spec.tasks, 2);
}

/* A controller that cannot reach the store refuses submissions and polls without delay. */
static void requests_are_refused_at_once_without_the_store(void **state) {
  (void)state;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  fake_store.endpoints[0].unavailable = true;
  run_loop_for(1.5);
  double start = tmx_clock_steady();
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 503);
  assert_int_equal(poll_job(first_controller, "wk-000001").status, 503);
  assert_true(tmx_clock_steady() - start < 0.5);
  fake_store.endpoints[0].unavailable = false;
  run_loop_for(1.0);
  assert_int_equal(poll_job(first_controller, "wk-000001").status, 200);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
}

struct response_counts {
  unsigned refused, answered;
};

static void count_response(void *arg, int status, const uint8_t *body, size_t len) {
  struct response_counts *counts = arg;
  (void)body;
  (void)len;
  counts->answered += status == 200;
  counts->refused += status == 503;
}

/* Guards against starvation of polls under overload: if more polls arrive than can be answered, a
 * job whose last response is older takes precedence over one that was answered recently. */
static void polls_take_turns_under_overload(void **state) {
  (void)state;
  struct response_counts repeated = {0, 0}, overdue = {0, 0}, excess = {0, 0};
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  assert_int_equal(poll_job(first_controller, "wk-000001").status, 200);
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(first_controller->server));
  struct tmx_http_client *client = tmx_http_client_new(test_loop, addr, 300);
  assert_non_null(client);
  fake_store.endpoints[0].hold_watches = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000003", "batch", 1, 2, "t"),
                   201); /* the replica lags from here on */
  for (int i = 0; i < TMX_WAITING_REQUESTS_MAX / 2; i++)
    assert_true(tmx_http_client_call(client, "GET", WP_JOBS "/wk-000001", NULL, 5, count_response,
                                     &repeated));
  run_loop_for(0.3);
  assert_int_equal(repeated.refused, 0);
  assert_true(
      tmx_http_client_call(client, "GET", WP_JOBS "/wk-000001", NULL, 5, count_response, &excess));
  assert_true(
      tmx_http_client_call(client, "GET", WP_JOBS "/wk-000002", NULL, 5, count_response, &overdue));
  run_loop_for(0.3);
  assert_int_equal(excess.refused, 1);
  assert_int_equal(overdue.refused, 0);
  fake_store.endpoints[0].hold_watches = false;
  fake_answer_pending_watches();
  for (int i = 0; i < 100 && !overdue.answered; i++) run_loop_for(0.02);
  assert_int_equal(overdue.answered, 1);
  tmx_http_client_free(client);
}

static void submissions_are_validated(void **state) {
  (void)state;
  struct tmx_buffer body = {0};
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 200);
  /* Known ids are answered before any validation. */
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "nonsense", 1, 2, "t"), 200);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 99, "nobody"), 200);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "nonsense", 1, 2, "t"), 400);
  assert_int_equal(submit_simple_job(first_controller, "job-2", "batch", 1, 2, "t"), 400);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 0, 2, "t"), 400);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 100001, 2, "t"), 400);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "nobody"), 422);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 9, "t"),
                   422); /* over the team's limit */
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "service", 5, 2, "t"),
                   422); /* all replicas of a service count */
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 5, 2, "t"), 201);
  tmx_buffer_append(&body, "\xa1\x62", 2);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 400);
  tmx_buffer_free(&body);
  tmx_cbor_put_array(&body, 0);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 400);
  tmx_buffer_free(&body);
  assert_int_equal(send_request(first_controller, "GET", WP_JOBS "/nothing", NULL).status, 404);
  assert_int_equal(send_request(first_controller, "GET", "/elsewhere", NULL).status, 404);
  assert_int_equal(cancel_job(first_controller, "wk-777777").status, 404);
}

/* Sends raw bytes and `fill` bytes of junk. Returns the status code of the response; 0: none. */
static int send_raw(const char *head, size_t fill) {
  struct sockaddr_in server_address = {
      .sin_family = AF_INET,
      .sin_port = htons((uint16_t)tmx_http_server_port(first_controller->server))};
  char buf[512] = "";
  server_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0;
  assert_int_equal(connect(fd, (struct sockaddr *)&server_address, sizeof server_address), 0);
  assert_true(send(fd, head, strlen(head), MSG_NOSIGNAL) > 0);
  char junk[1024];
  memset(junk, 'x', sizeof junk);
  for (size_t i = 0; i < fill; i += sizeof junk) {
    if (send(fd, junk, sizeof junk, MSG_NOSIGNAL | MSG_DONTWAIT) < 0) break;
    run_loop_for(0.001);
  }
  for (int i = 0; i < 200; i++) {
    run_loop_for(0.01);
    if (recv(fd, buf, sizeof buf - 1, MSG_DONTWAIT) > 0) break;
  }
  sscanf(buf, "HTTP/1.1 %d", &status);
  close(fd);
  return status;
}

/* Bytes that are not HTTP and bodies over the size limit are refused. The server continues to
 * answer valid requests. */
static void oversized_and_partial_requests_are_refused(void **state) {
  (void)state;
  assert_int_equal(send_raw("this is not HTTP at all\r\n\r\n", 0), 400);
  assert_int_equal(send_raw("POST /v2/runs HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 2048),
                   413);
  assert_int_equal(
      send_raw("POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n", 131072),
      413);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
}

static void answer_anything(void *arg, struct tmx_http_request *request) {
  (void)arg;
  tmx_http_reply(request, 200, NULL, 0);
}

static void save_status(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  *(int *)arg = status;
}

static int request_once(struct tmx_http_client *client) {
  int status = -2;
  assert_true(tmx_http_client_call(client, "GET", "/", NULL, 1, save_status, &status));
  for (int i = 0; i < 100 && status == -2; i++) run_loop_for(0.01);
  return status;
}

/* Workers that changed to another controller leave idle connections open. If no connection is free,
 * the one that has been idle longest is closed for a new client, but none that was used recently.
 */
static void idle_connections_are_closed_for_new_ones(void **state) {
  (void)state;
  struct tmx_http_server *server =
      tmx_http_server_new(test_loop, "127.0.0.1:0", 2, 60, answer_anything, NULL);
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(server));
  struct tmx_http_client *clients[3];
  for (int i = 0; i < 3; i++) clients[i] = tmx_http_client_new(test_loop, addr, 1);
  assert_int_equal(request_once(clients[0]), 200);
  assert_int_equal(request_once(clients[1]), 200);
  assert_int_not_equal(request_once(clients[2]), 200);
  run_loop_for(TMX_IDLE_CONNECTION_EVICTION_MIN_S + 0.1);
  assert_int_equal(request_once(clients[0]), 200); /* the other connection is now idle longest */
  assert_int_equal(request_once(clients[2]), 200);
  assert_int_equal(request_once(clients[0]), 200);
  for (int i = 0; i < 3; i++) tmx_http_client_free(clients[i]);
  tmx_http_server_free(server);
}

/* A submission that lacks a field is not accepted, with or without an outage of the store, and a
 * known job is never refused for its body. */
static void malformed_submissions_are_never_accepted(void **state) {
  (void)state;
  struct tmx_buffer valid = {0};
  static const char *needed[] = {W_GPUS,  W_ONE_ZONE, W_SPREAD,   W_SPOT,  W_CPUS, W_MEM,
                                 W_IMAGE, W_TASKS,    W_ESTIMATE, W_CLASS, W_TEAM, W_PRIORITY};
  encode_submission(&valid, "wk-000001", "batch", 1, 2, "t");
  for (size_t i = 0; i < sizeof needed / sizeof *needed; i++) {
    struct tmx_buffer bad = {0};
    size_t len = strlen(needed[i]);
    tmx_buffer_append(&bad, valid.data, valid.length);
    uint8_t *field = memmem(bad.data + 1, bad.length - 1, needed[i], len);
    while (field && field[-1] != 0x60 + len) /* the whole name, not a part of another one */
      field = memmem(field + 1, bad.length - (size_t)(field + 1 - bad.data), needed[i], len);
    assert_non_null(field);
    field[0] = 'X'; /* makes the field missing */
    assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &bad).status, 400);
    fake_store.endpoints[0].unavailable = true;
    run_loop_for(0.4);
    assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &bad).status, 503);
    fake_store.endpoints[0].unavailable = false;
    run_loop_for(0.4);
    tmx_buffer_free(&bad);
  }
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &valid).status, 201);
  tmx_buffer_free(&valid);
  /* A known id with a body that is too large for a value of the store. */
  struct tmx_buffer large = {0}, list = {0};
  encode_submission(&valid, "wk-000001", "batch", 1, 2, "t");
  tmx_cbor_put_map(&large, 18);
  tmx_cbor_put_text(&large, W_TYPES);
  tmx_cbor_put_array(&list, TMX_MACHINE_TYPES_MAX);
  for (int i = 0; i < TMX_MACHINE_TYPES_MAX; i++) tmx_cbor_put_text(&list, "big");
  tmx_buffer_append(&large, list.data, list.length);
  tmx_buffer_append(&large, valid.data + 1, valid.length - 1);
  first_controller->settings.value_kb = 0.4;
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &large).status, 200);
  first_controller->settings.value_kb = 16;
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &large).status, 200);
  tmx_buffer_free(&valid);
  tmx_buffer_free(&large);
  tmx_buffer_free(&list);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_lagging_replica_gives_no_stale_response,
                                      setup_two_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_job_id_is_accepted_once_by_two_controllers,
                                      setup_two_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(requests_are_refused_at_once_without_the_store,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(polls_take_turns_under_overload, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(submissions_are_validated, setup_one_controller,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(oversized_and_partial_requests_are_refused,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(idle_connections_are_closed_for_new_ones,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(malformed_submissions_are_never_accepted,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
