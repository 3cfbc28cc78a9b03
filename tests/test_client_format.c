/* What controllers send to the cloud and to the state service, byte for byte as recorded under
 * tests/data/wire-format, with the answers that they read. The cloud's answers are written as on
 * the protocol's page. Masked are times of day and ports: see recording.h. Requests go out on
 * several connections, so their order is not recorded: the first of each kind is. */
#include "recording.h"
#include "relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller;
static struct fake_worker workers[2];
static struct relay store, rental; /* between the controller and the scripted peers */
static struct tmx_http_server *rental_server;

static void through_relays(struct tmx_settings *s) {
  snprintf(s->state, sizeof s->state, "%s", store.address);
  if (rental.address[0]) snprintf(s->cloud, sizeof s->cloud, "%s", rental.address);
  s->operators.idle_return_s = 1;
  s->teams[0].cpus_max = 1000;
}

static int setup(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&workers[0], "n-000001");
  fake_worker_open(&workers[1], "n-000002");
  relay_open(&store, tmx_http_server_port(fake_store.endpoints[0].server));
  fake_adjust_settings = through_relays;
  first_controller = NULL;
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (first_controller) stop_controller(first_controller);
  relay_close(&store);
  relay_close(&rental);
  if (rental_server) tmx_http_server_free(rental_server);
  rental_server = NULL;
  for (int i = 0; i < 2; i++) tmx_http_server_free(workers[i].server);
  fake_stop();
  return 0;
}

static void begin(void) {
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

static void record_exchange(struct recording *r, const char *title, const struct exchange *x) {
  record_line(r, "== %s", title);
  record_http(r, "> ", x->request.data, x->request.length);
  record_http(r, "< ", x->answer.data, x->answer.length);
}

/* ------------------------------------------------------------ cloud */

#define LISTED(id, standing)                                                        \
  "{\"id\":\"" id                                                                   \
  "\",\"addr\":\"10.1.0.9:9000\",\"build\":\"big\",\"yard\":\"a\",\"loaner\":true," \
  "\"standing\":\"" standing "\",\"held_s\":61.5}"

static const struct {
  const char *start, *json;
} rental_answers[] = {
    {"/catalog",
     "{\"builds\":[{\"label\":\"big\",\"cpus\":16,\"gpus\":2,\"mem_gb\":64,\"cache_gb\":200,"
     "\"fetch_gb_per_s\":0.5,\"hourly\":12.0,\"market_price\":4.5,\"boot_s\":45,\"yards\":[\"a\"]}]"
     "}"},
    {"/machines?from=n-000102", "{\"rigs\":[" LISTED("n-000103", "failed") "],\"has_next\":false}"},
    {"/machines?page", "{\"rigs\":[" LISTED("n-000101", "booting") "," LISTED(
                           "n-000102", "running") "],\"has_next\":true}"},
    {"/machines/delete", "{}"},
    {"/machines", "{\"rigs\":[\"n-000201\"]}"},
};

static void on_rental(void *arg, struct tmx_http_request *request) {
  struct tmx_buffer b = {0};
  (void)arg;
  for (size_t i = 0; i < sizeof rental_answers / sizeof *rental_answers; i++) {
    if (strncmp(request->path, rental_answers[i].start, strlen(rental_answers[i].start))) continue;
    encode_json(&b, rental_answers[i].json);
    break;
  }
  tmx_http_reply(request, b.length ? 200 : 404, &b, 0);
  tmx_buffer_free(&b);
}

static void catalog_was_read(void) {
  const struct tmx_machine_type *t = first_controller->catalog.types;
  assert_int_equal(first_controller->catalog.n_types, 1);
  assert_string_equal(t->name, "big");
  assert_true(t->cpus == 16 && t->gpus == 2 && t->mem_gb == 64);
  assert_true(t->cache_gb == 200 && t->fetch_gb_per_s == 0.5);
  assert_true(t->price == 12 && t->spot_price == 4.5 && t->boot_s == 45);
  assert_true(t->zones[0]);
}

static void calls_to_the_cloud(void **st) {
  (void)st;
  struct recording r = {0};
  rental_server = tmx_http_server_new(test_loop, "127.0.0.1:0", 100, 60, on_rental, NULL);
  relay_open(&rental, tmx_http_server_port(rental_server));
  begin();
  record_exchange(&r, "machine types", relay_wait(&rental, NULL, "GET /catalog", NULL));
  catalog_was_read();
  record_exchange(&r, "machines", relay_wait(&rental, NULL, "GET /machines?page", NULL));
  record_exchange(&r, "the next page", relay_wait(&rental, NULL, "GET /machines?from", NULL));
  record_exchange(&r, "a failed machine is deleted",
                  relay_wait(&rental, NULL, "POST /machines/delete", NULL));
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", WV_ARRAY, 40, 8, "t"), 201);
  record_exchange(&r, "machines are rented",
                  relay_wait(&rental, NULL, "POST /machines HTTP", NULL));
  recording_check(&r, "cloud-calls.txt");
}

/* ------------------------------------------------------------ state service */

static void record_call(struct recording *r, const char *title, const char *start,
                        const char *part) {
  record_exchange(r, title, relay_wait(&store, NULL, start, part));
}
/* Only the request: its answer depends on what else happens meanwhile. */
static void record_commit(struct recording *r, const char *title, const char *part) {
  const struct exchange *x = relay_wait(&store, NULL, "POST /commit", part);
  record_line(r, "== %s", title);
  record_http(r, "> ", x->request.data, x->request.length);
}

static bool drop_was_told(void *found) {
  for (const struct exchange *x = store.first; x; x = x->next) {
    const struct tmx_buffer *b = &x->answer;
    if (!http_complete(b) || !memmem(b->data, b->length, "drop", 4)) continue;
    *(const struct exchange **)found = x;
    return true;
  }
  return false;
}

static void calls_at_the_start(void **st) {
  (void)st;
  struct recording r = {0};
  const struct exchange *x;
  struct tmx_buffer v = {0};
  encode_json(&v, "{\"by\":\"hand-9\"}");
  fake_put("t/head", &v);
  v.length = 0;
  encode_json(&v, "{\"mark\":0,\"gen\":0}");
  fake_put("t/fold", &v);
  tmx_buffer_free(&v);
  fake_store.endpoints[0].page_entries_max = 1;
  begin();
  record_call(&r, "the keys are read", "GET /kv?prefix=t/&page", NULL);
  record_call(&r, "the next page", "GET /kv?prefix=t/&from", NULL);
  record_call(&r, "a lease", "POST /holds HTTP", NULL);
  record_call(&r, "the controller's own key", "POST /commit", "t/node/hand-0");
  record_call(&r, "the leader's key", "POST /commit", "t/leader");
  record_call(&r, "the view", "POST /commit", "t/view");
  record_call(&r, "changes are followed", "GET /follow", NULL);
  record_call(&r, "the revision is confirmed", "GET /kv?prefix=t/head", NULL);
  record_call(&r, "the lease is renewed", "POST /holds/", NULL);
  fake_drop("t/fold");
  assert_true(run_loop_until(drop_was_told, &x));
  record_exchange(&r, "a key is dropped", x);
  recording_check(&r, "store-calls-at-the-start.txt");
}

static bool job_done(void *arg) {
  const struct tmx_job *j = tmx_job_find(&first_controller->replica, arg);
  return j && j->outcome == TMX_JOB_DONE;
}

static void report(int i) {
  fake_worker_send_heartbeat(&workers[i], first_controller);
  run_loop_for(0.2);
}

static bool started(void *n) { return workers[0].executed_starts == *(unsigned *)n; }

static void end_task(const char *task) {
  fake_worker_set_task(&workers[0], task, 1, WV_EXITED, WV_DONE);
  report(0);
}

/* One job with three tasks, which ends, and one that awaits it and is cancelled. */
static void commits_of_jobs(struct recording *r) {
  unsigned three = 3;
  for (int i = 0; i < 3; i++) report(0);
  record_commit(r, "a machine is registered", "m n-000001");
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", WV_ARRAY, 3, 1, "t"), 201);
  record_commit(r, "a submission", "t/job/wk-000001");
  assert_true(run_loop_until(started, &three));
  record_commit(r, "placements", "p wk-000001/0");
  end_task("wk-000001/0");
  record_commit(r, "an end", "e wk-000001/0");
  struct tmx_buffer list = {0}, body = {0};
  encode_json(&list, "[\"wk-000001\"]");
  encode_submission_awaiting(&body, "wk-000002", WV_ARRAY, 1, 1, "t", &list);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  record_commit(r, "a submission that awaits another", "t/job/wk-000002");
  tmx_buffer_free(&list);
  tmx_buffer_free(&body);
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  const struct exchange *x = relay_wait(&store, NULL, "POST /commit", "t/job/wk-000002");
  x = relay_wait(&store, x, "POST /commit", "t/job/wk-000002");
  record_line(r, "== a cancellation");
  record_http(r, "> ", x->request.data, x->request.length);
  fake_worker_set_task(&workers[0], "wk-000001/1", 1, WV_EXITED, WV_DONE);
  end_task("wk-000001/2");
  assert_true(run_loop_until(job_done, "wk-000001"));
  record_commit(r, "the last ends, in one line, and the job's final state", "E wk-000001");
}

static bool all_placed(void *arg) {
  const struct tmx_job *j = tmx_job_find(&first_controller->replica, arg);
  return j && j->n_placed == j->spec.tasks;
}

static void commits_of_a_fold(struct recording *r) {
  assert_int_equal(submit_simple_job(first_controller, "wk-000003", WV_ARRAY, 2, 1, "t"), 201);
  assert_true(run_loop_until(all_placed, "wk-000003"));
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  record_commit(r, "pages", "t/page/");
  record_commit(r, "the mark of the fold", "gen");
  uint64_t mark = first_controller->replica.compaction_point;
  report(1); /* something new, so that it folds again */
  report(1);
  report(1);
  for (int i = 0; i < 600 && first_controller->replica.compaction_point == mark; i++)
    run_loop_for(0.02);
  record_commit(r, "pages of the fold before are dropped", "drop");
  tmx_compaction_set_threshold(first_controller->compaction, 1000);
}

static bool returned(void *arg) {
  (void)arg;
  return fake_log_contains("x n-000002");
}

static void commits_of_returned_machines(struct recording *r) {
  for (int i = 0; i < 40 && !returned(NULL); i++) {
    report(0);
    report(1);
  }
  assert_true(run_loop_until(returned, NULL));
  record_commit(r, "an idle machine is to be returned", "d n-000002 1");
  record_commit(r, "it is gone", "x n-000002");
}

static void commits(void **st) {
  (void)st;
  struct recording r = {0};
  begin();
  commits_of_jobs(&r);
  commits_of_a_fold(&r);
  commits_of_returned_machines(&r);
  recording_check(&r, "store-commits.txt");
}

/* Ids of awaited jobs, and then machine types, that find no room in a record. */
static void submit_with_long_lists(void) {
  struct tmx_buffer awaits = {0}, types = {0}, body = {0};
  char id[TMX_ID_MAX];
  tmx_cbor_put_list(&awaits, 20);
  for (unsigned i = 0; i < 20; i++) {
    snprintf(id, sizeof id, "wk-1%05u", i);
    assert_int_equal(submit_simple_job(first_controller, id, WV_ARRAY, 1, 1, "t"), 201);
    tmx_cbor_put_text(&awaits, id);
  }
  tmx_cbor_put_list(&types, 30);
  for (unsigned i = 0; i < 30; i++) {
    snprintf(id, sizeof id, i ? "type-with-a-long-name-%02u" : "big", i);
    tmx_cbor_put_text(&types, id);
  }
  struct fake_job job = {
      .id = "wk-000001", .team = "t", .tasks = 1, .cpus = 1, .awaits = &awaits, .types = &types};
  encode_submission_of(&body, &job);
  assert_int_equal(send_request(first_controller, "POST", WP_JOBS, &body).status, 201);
  tmx_buffer_free(&awaits);
  tmx_buffer_free(&types);
  tmx_buffer_free(&body);
}

static void commits_of_long_lists(void **st) {
  (void)st;
  struct recording r = {0};
  begin();
  first_controller->settings.value_kb = 1.2;
  submit_with_long_lists();
  record_commit(&r, "ids that found no room in the record follow in lines", "w wk-000001");
  first_controller->settings.value_kb =
      0.5; /* lowered meanwhile: its page has no room for all types */
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 600 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  const struct exchange *x = relay_wait(&store, NULL, "POST /commit", "y wk-000001");
  record_line(&r, "== pages with types and ids in lines");
  record_http(&r, "> ", x->request.data, x->request.length);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  x = relay_wait(&store, x, "POST /commit", "t/job/wk-000001");
  record_line(&r, "== its final state is cut down");
  record_http(&r, "> ", x->request.data, x->request.length);
  recording_check(&r, "store-long-lists.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(calls_to_the_cloud, setup, teardown),
      cmocka_unit_test_setup_teardown(calls_at_the_start, setup, teardown),
      cmocka_unit_test_setup_teardown(commits, setup, teardown),
      cmocka_unit_test_setup_teardown(commits_of_long_lists, setup, teardown),
  };
  return RUN_TESTS(tests);
}
