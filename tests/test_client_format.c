/* The requests of controllers to the cloud and to the state service must equal the recordings in
 * tests/data/wire-format byte for byte. Times of day and ports are masked, see recording.h. The
 * test guards against accidental changes of these interfaces, for example by a renamed field. The
 * responses of the fake cloud are written with the literal names of the protocol. Requests are
 * sent on several connections and their order varies, so only the first request of each kind is
 * recorded. */
#include "recording.h"
#include "relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller;
static struct fake_worker workers[2];
static struct relay store, cloud; /* from the controller to the fake peers */
static struct tmx_http_server *cloud_server;

static void use_relays(struct tmx_settings *settings) {
  snprintf(settings->store_address, sizeof settings->store_address, "%s", store.address);
  if (cloud.address[0])
    snprintf(settings->cloud_address, sizeof settings->cloud_address, "%s", cloud.address);
  settings->operators.idle_return_s = 1;
  settings->teams[0].cpus_max = 1000;
}

static int setup(void **state) {
  (void)state;
  fake_start();
  fake_worker_open(&workers[0], "n-000001");
  fake_worker_open(&workers[1], "n-000002");
  relay_open(&store, tmx_http_server_port(fake_store.endpoints[0].server));
  fake_adjust_settings = use_relays;
  first_controller = NULL;
  return 0;
}
static int teardown(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  relay_close(&store);
  relay_close(&cloud);
  if (cloud_server) tmx_http_server_free(cloud_server);
  cloud_server = NULL;
  for (int i = 0; i < 2; i++) tmx_http_server_free(workers[i].server);
  fake_stop();
  return 0;
}

static void start_controller_and_wait(void) {
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

static void record_exchange(struct recording *recording, const char *title,
                            const struct exchange *exchange) {
  record_line(recording, "== %s", title);
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
  record_http(recording, "< ", exchange->response.data, exchange->response.length);
}

/* ------------------------------------------------------------ cloud */

#define LISTED_MACHINE(id, standing)                                                \
  "{\"id\":\"" id                                                                   \
  "\",\"addr\":\"10.1.0.9:9000\",\"build\":\"big\",\"yard\":\"a\",\"loaner\":true," \
  "\"standing\":\"" standing "\",\"held_s\":61.5}"

static const struct {
  const char *path_prefix, *json;
} cloud_responses[] = {
    {"/catalog",
     "{\"builds\":[{\"label\":\"big\",\"cpus\":16,\"gpus\":2,\"mem_gb\":64,\"cache_gb\":200,"
     "\"fetch_gb_per_s\":0.5,\"hourly\":12.0,\"market_price\":4.5,\"boot_s\":45,\"yards\":[\"a\"]}]"
     "}"},
    {"/machines?from=n-000102",
     "{\"rigs\":[" LISTED_MACHINE("n-000103", "failed") "],\"has_next\":false}"},
    {"/machines?page", "{\"rigs\":[" LISTED_MACHINE("n-000101", "booting") "," LISTED_MACHINE(
                           "n-000102", "running") "],\"has_next\":true}"},
    {"/machines/delete", "{}"},
    {"/machines", "{\"rigs\":[\"n-000201\"]}"},
};

static void on_cloud_request(void *arg, struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0};
  (void)arg;
  for (size_t i = 0; i < sizeof cloud_responses / sizeof *cloud_responses; i++) {
    if (strncmp(request->path, cloud_responses[i].path_prefix,
                strlen(cloud_responses[i].path_prefix)))
      continue;
    encode_json(&buffer, cloud_responses[i].json);
    break;
  }
  tmx_http_reply(request, buffer.length ? 200 : 404, &buffer, 0);
  tmx_buffer_free(&buffer);
}

static void assert_catalog_was_read(void) {
  const struct tmx_machine_type *type = first_controller->catalog.types;
  assert_int_equal(first_controller->catalog.n_types, 1);
  assert_string_equal(type->name, "big");
  assert_true(type->cpus == 16 && type->gpus == 2 && type->mem_gb == 64);
  assert_true(type->cache_gb == 200 && type->fetch_gb_per_s == 0.5);
  assert_true(type->price == 12 && type->spot_price == 4.5 && type->boot_s == 45);
  assert_true(type->zones[0]);
}

static void cloud_requests_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  cloud_server = tmx_http_server_new(test_loop, "127.0.0.1:0", 100, 60, on_cloud_request, NULL);
  relay_open(&cloud, tmx_http_server_port(cloud_server));
  start_controller_and_wait();
  record_exchange(&recording, "machine types", relay_wait(&cloud, NULL, "GET /catalog", NULL));
  assert_catalog_was_read();
  record_exchange(&recording, "machines", relay_wait(&cloud, NULL, "GET /machines?page", NULL));
  record_exchange(&recording, "the next page",
                  relay_wait(&cloud, NULL, "GET /machines?from", NULL));
  record_exchange(&recording, "a failed machine is deleted",
                  relay_wait(&cloud, NULL, "POST /machines/delete", NULL));
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", WV_ARRAY, 40, 8, "t"), 201);
  record_exchange(&recording, "machines are rented",
                  relay_wait(&cloud, NULL, "POST /machines HTTP", NULL));
  recording_check(&recording, "cloud-calls.txt");
}

/* ------------------------------------------------------------ state service */

static void record_store_request(struct recording *recording, const char *title, const char *prefix,
                                 const char *substring) {
  record_exchange(recording, title, relay_wait(&store, NULL, prefix, substring));
}
/* Records a transaction without its response, which depends on concurrent events. */
static void record_transaction(struct recording *recording, const char *title,
                               const char *substring) {
  const struct exchange *exchange = relay_wait(&store, NULL, "POST /commit", substring);
  record_line(recording, "== %s", title);
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
}

/* Finds a response of the store that reports a deleted key. */
static bool deletion_was_reported(void *found) {
  for (const struct exchange *exchange = store.first; exchange; exchange = exchange->next) {
    const struct tmx_buffer *buffer = &exchange->response;
    if (!http_message_is_complete(buffer) || !memmem(buffer->data, buffer->length, "drop", 4))
      continue;
    *(const struct exchange **)found = exchange;
    return true;
  }
  return false;
}

static void startup_store_requests_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  const struct exchange *exchange;
  struct tmx_buffer value = {0};
  encode_json(&value, "{\"by\":\"hand-9\"}");
  fake_put("t/head", &value);
  value.length = 0;
  encode_json(&value, "{\"mark\":0,\"gen\":0}");
  fake_put("t/fold", &value);
  tmx_buffer_free(&value);
  fake_store.endpoints[0].page_entries_max = 1;
  start_controller_and_wait();
  record_store_request(&recording, "the keys are read", "GET /kv?prefix=t/&page", NULL);
  record_store_request(&recording, "the next page", "GET /kv?prefix=t/&from", NULL);
  record_store_request(&recording, "a lease", "POST /holds HTTP", NULL);
  record_store_request(&recording, "the controller's own key", "POST /commit", "t/node/hand-0");
  record_store_request(&recording, "the leader's key", "POST /commit", "t/leader");
  record_store_request(&recording, "the view", "POST /commit", "t/view");
  record_store_request(&recording, "changes are followed", "GET /follow", NULL);
  record_store_request(&recording, "the revision is confirmed", "GET /kv?prefix=t/head", NULL);
  record_store_request(&recording, "the lease is renewed", "POST /holds/", NULL);
  fake_delete("t/fold");
  assert_true(run_loop_until(deletion_was_reported, &exchange));
  record_exchange(&recording, "a key is dropped", exchange);
  recording_check(&recording, "store-calls-at-the-start.txt");
}

static bool job_is_done(void *arg) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->outcome == TMX_JOB_DONE;
}

static void send_heartbeat_of(int i) {
  fake_worker_send_heartbeat(&workers[i], first_controller);
  run_loop_for(0.2);
}

static bool tasks_started(void *count) { return workers[0].executed_starts == *(unsigned *)count; }

static void end_task(const char *task) {
  fake_worker_set_task(&workers[0], task, 1, WV_EXITED, WV_DONE);
  send_heartbeat_of(0);
}

/* A job with three tasks runs to its end. A second job depends on it and is cancelled. */
static void record_transactions_of_jobs(struct recording *recording) {
  unsigned three = 3;
  for (int i = 0; i < 3; i++) send_heartbeat_of(0);
  record_transaction(recording, "a machine is registered", "m n-000001");
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", WV_ARRAY, 3, 1, "t"), 201);
  record_transaction(recording, "a submission", "t/job/wk-000001");
  assert_true(run_loop_until(tasks_started, &three));
  record_transaction(recording, "placements", "p wk-000001/0");
  end_task("wk-000001/0");
  record_transaction(recording, "an end", "e wk-000001/0");
  struct tmx_buffer list = {0}, body = {0};
  encode_json(&list, "[\"wk-000001\"]");
  encode_submission_with_dependencies(&body, "wk-000002", WV_ARRAY, 1, 1, "t", &list);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  record_transaction(recording, "a submission that awaits another", "t/job/wk-000002");
  tmx_buffer_free(&list);
  tmx_buffer_free(&body);
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  const struct exchange *exchange = relay_wait(&store, NULL, "POST /commit", "t/job/wk-000002");
  exchange = relay_wait(&store, exchange, "POST /commit", "t/job/wk-000002");
  record_line(recording, "== a cancellation");
  record_http(recording, "> ", exchange->request.data, exchange->request.length);
  fake_worker_set_task(&workers[0], "wk-000001/1", 1, WV_EXITED, WV_DONE);
  end_task("wk-000001/2");
  assert_true(run_loop_until(job_is_done, "wk-000001"));
  record_transaction(recording, "the last ends, in one line, and the job's final state",
                     "E wk-000001");
}

static bool all_tasks_placed(void *arg) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, arg);
  return job && job->n_placed == job->spec.tasks;
}

static void record_transactions_of_compactions(struct recording *recording) {
  assert_int_equal(submit_simple_job(first_controller, "wk-000003", WV_ARRAY, 2, 1, "t"), 201);
  assert_true(run_loop_until(all_tasks_placed, "wk-000003"));
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  record_transaction(recording, "pages", "t/page/");
  record_transaction(recording, "the mark of the fold", "gen");
  uint64_t compaction_point = first_controller->replica.compaction_point;
  send_heartbeat_of(1); /* new log entries, so that the log is compacted again */
  send_heartbeat_of(1);
  send_heartbeat_of(1);
  for (int i = 0; i < 600 && first_controller->replica.compaction_point == compaction_point; i++)
    run_loop_for(0.02);
  record_transaction(recording, "pages of the fold before are dropped", "drop");
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
}

static bool machine_was_returned(void *arg) {
  (void)arg;
  return fake_log_contains("x n-000002");
}

static void record_transactions_of_returned_machines(struct recording *recording) {
  for (int i = 0; i < 40 && !machine_was_returned(NULL); i++) {
    send_heartbeat_of(0);
    send_heartbeat_of(1);
  }
  assert_true(run_loop_until(machine_was_returned, NULL));
  record_transaction(recording, "an idle machine is to be returned", "d n-000002 1");
  record_transaction(recording, "it is gone", "x n-000002");
}

static void transactions_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  start_controller_and_wait();
  record_transactions_of_jobs(&recording);
  record_transactions_of_compactions(&recording);
  record_transactions_of_returned_machines(&recording);
  recording_check(&recording, "store-commits.txt");
}

/* Submits a job with so many prerequisite ids that they do not fit into its record. Its machine
 * types fit at first, and no longer fit after the test lowers the value limit. */
static void submit_with_long_lists(void) {
  struct tmx_buffer prerequisites = {0}, types = {0}, body = {0};
  char id[TMX_ID_BYTES];
  tmx_cbor_put_array(&prerequisites, 20);
  for (unsigned i = 0; i < 20; i++) {
    snprintf(id, sizeof id, "wk-1%05u", i);
    assert_int_equal(submit_simple_job(first_controller, id, WV_ARRAY, 1, 1, "t"), 201);
    tmx_cbor_put_text(&prerequisites, id);
  }
  tmx_cbor_put_array(&types, 30);
  for (unsigned i = 0; i < 30; i++) {
    snprintf(id, sizeof id, i ? "type-with-a-long-name-%02u" : "big", i);
    tmx_cbor_put_text(&types, id);
  }
  struct fake_job job = {.id = "wk-000001",
                         .team = "t",
                         .tasks = 1,
                         .cpus = 1,
                         .dependencies = &prerequisites,
                         .types = &types};
  encode_job_submission(&body, &job);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  tmx_buffer_free(&prerequisites);
  tmx_buffer_free(&types);
  tmx_buffer_free(&body);
}

static void transactions_with_long_lists_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  start_controller_and_wait();
  first_controller->settings.value_kb = 1.2;
  submit_with_long_lists();
  record_transaction(&recording, "ids that found no room in the record follow in lines",
                     "w wk-000001");
  first_controller->settings.value_kb =
      0.5; /* lowered after the submission, so that the record in a page cannot hold all types */
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  const struct exchange *exchange = relay_wait(&store, NULL, "POST /commit", "y wk-000001");
  record_line(&recording, "== pages with types and ids in lines");
  record_http(&recording, "> ", exchange->request.data, exchange->request.length);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  exchange = relay_wait(&store, exchange, "POST /commit", "t/job/wk-000001");
  record_line(&recording, "== its final state is cut down");
  record_http(&recording, "> ", exchange->request.data, exchange->request.length);
  recording_check(&recording, "store-long-lists.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(cloud_requests_keep_their_format, setup, teardown),
      cmocka_unit_test_setup_teardown(startup_store_requests_keep_their_format, setup, teardown),
      cmocka_unit_test_setup_teardown(transactions_keep_their_format, setup, teardown),
      cmocka_unit_test_setup_teardown(transactions_with_long_lists_keep_their_format, setup,
                                      teardown),
  };
  return RUN_TESTS(tests);
}
