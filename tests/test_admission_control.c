/* Admission in running controllers: surges, late replicas, leader changes, compaction and restarts.
 */
#include "fake.h"
#include <stdio.h>
#include <string.h>
#include "tmx/wire.h"
#include "base/clock.h"

static struct tmx_controller *first_controller, *second_controller;

static unsigned next_job;

static void with_admission(struct tmx_settings *settings) {
  settings->n_teams = 2;
  strcpy(settings->teams[1].name, "u");
  settings->teams[1].cpus_max = 8;
  strcpy(settings->objectives[0].class_name, "c");
  strcpy(settings->objectives[1].class_name, "d");
  settings->n_objectives = 2;
  settings->operators.admission.enabled = true;
  settings->operators.admission.backlog_s = 100;
  settings->operators.admission.capacity_cpus = 16; /* no machine is registered */
  char err[128];
  assert_true(tmx_admission_settings_resolve(settings, err, sizeof err));
}

static void without_admission(struct tmx_settings *settings) {
  with_admission(settings);
  settings->operators.admission.enabled = false;
}

static struct tmx_controller *begin(int k) {
  struct tmx_controller *controller = start_controller(k, 2);
  assert_true(run_loop_until(fake_controller_is_ready, controller));
  return controller;
}

static int setup(void **state) {
  (void)state;
  fake_start();
  fake_adjust_settings = with_admission;
  first_controller = begin(0);
  second_controller = begin(1);
  run_loop_for(0.5);
  next_job = 0;
  return 0;
}

static int teardown(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  if (second_controller) stop_controller(second_controller);
  first_controller = second_controller = NULL;
  fake_stop();
  return 0;
}

/* 40 CPU seconds of the class: 2.5 s of the one machine that may be rented. */
static int submit_some(struct tmx_controller *controller, const char *team,
                       const char *class_name) {
  char id[TMX_ID_BYTES];
  snprintf(id, sizeof id, "wk-%06u", ++next_job);
  struct fake_job job = {.id = id, .class = class_name, .team = team, .tasks = 4, .cpus = 1};
  return submit_job(controller, &job);
}

static unsigned flood(struct tmx_controller *controller, const char *team, const char *class_name) {
  unsigned n = 0;
  int status;
  while ((status = submit_some(controller, team, class_name)) == 201 && n < 200) n++;
  assert_int_equal(status, 503);
  return n;
}

static double backlog_of(const struct tmx_controller *controller) {
  struct tmx_resource_rates one_per_s = {{1, 1, 1}};
  return tmx_total_backlog_seconds(controller->replica.backlog, &one_per_s);
}

static void a_surge_at_one_controller_is_known_at_the_other(void **state) {
  (void)state;
  unsigned n = flood(first_controller, "t", "c");
  assert_in_range(n, 5, 30);
  run_loop_for(0.2);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  assert_int_equal(submit_some(second_controller, "t", "d"),
                   201); /* another class of the same team */
  assert_int_equal(submit_some(second_controller, "u", "c"), 201); /* another team */
  assert_true(backlog_of(first_controller) == backlog_of(second_controller));
}

enum { AT_ONCE = 60 };

struct at_once {
  unsigned answered, accepted, known;
};

static void on_one_of_many(void *arg, int status, const uint8_t *body, size_t len) {
  struct at_once *x = arg;
  (void)body;
  (void)len;
  x->answered++;
  x->accepted += status == 201;
  x->known += status == 200;
}

static bool all_answered(void *arg) { return ((struct at_once *)arg)->answered == AT_ONCE; }

/* Submissions of one batch, and of batches of two controllers, count for one another. */
static void submissions_at_once_count_for_one_another(void **state) {
  (void)state;
  struct at_once x = {0};
  char addr[32], id[TMX_ID_BYTES];
  struct tmx_http_client *clients[2];
  for (int k = 0; k < 2; k++) {
    snprintf(addr, sizeof addr, "127.0.0.1:%d",
             tmx_http_server_port((k ? second_controller : first_controller)->server));
    clients[k] = tmx_http_client_new(test_loop, addr, AT_ONCE);
  }
  for (int i = 0; i < AT_ONCE; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    struct fake_job job = {.id = id, .class = "c", .team = "t", .tasks = 4, .cpus = 1};
    struct tmx_buffer body = {0};
    encode_job_submission(&body, &job);
    assert_true(
        tmx_http_client_call(clients[i % 2], "POST", WP_JOBS, &body, 5, on_one_of_many, &x));
    tmx_buffer_free(&body);
  }
  double sent_at = tmx_clock_steady();
  assert_true(run_loop_until(all_answered, &x));
  assert_true(tmx_clock_steady() - sent_at <
              1); /* refused as soon as it is known, not when time is up */
  run_loop_for(0.2);
  assert_in_range(x.accepted, 5, 30);
  assert_int_equal(first_controller->replica.backlog->accounts[0][0].n_open_jobs, x.accepted);
  unsigned alone = x.accepted;
  for (unsigned i = 0; i < AT_ONCE; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    cancel_job(first_controller, id);
  }
  next_job = 100;
  assert_int_equal(flood(first_controller, "t", "c"), alone); /* as many as one after the other */
  for (int k = 0; k < 2; k++) tmx_http_client_free(clients[k]);
}

static void a_lagging_replica_does_not_admit_by_old_shares(void **state) {
  (void)state;
  fake_store.endpoints[1].hold_watches = true;
  unsigned n = flood(first_controller, "t", "c");
  for (unsigned i = 0; i < 10; i++) assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  run_loop_for(3);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  assert_int_equal(first_controller->replica.backlog->accounts[0][0].n_open_jobs, n);
  assert_int_equal(second_controller->replica.backlog->accounts[0][0].n_open_jobs, n);
}

static void retries_polls_and_cancellations_are_always_admitted(void **state) {
  (void)state;
  unsigned n = flood(first_controller, "t", "c");
  char id[TMX_ID_BYTES];
  struct fake_job first = {.id = "wk-000001", .class = "c", .team = "t", .tasks = 4, .cpus = 1};
  assert_int_equal(submit_job(first_controller, &first), 200);
  assert_int_equal(submit_job(second_controller, &first), 200);
  snprintf(id, sizeof id, "wk-%06u", n + 1); /* the one that was refused is not remembered */
  assert_int_equal(poll_job(first_controller, id).status, 404);
  /* what is called off makes room again, on every controller */
  for (unsigned i = 1; i <= n; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(cancel_job(second_controller, id).status, 200);
  }
  run_loop_for(0.5);
  assert_true(backlog_of(first_controller) == 0 && backlog_of(second_controller) == 0);
  assert_int_equal(submit_some(first_controller, "t", "c"), 201);
}

/* Its class has no room at a controller whose copy does not know the job yet: it reads first. */
static void a_lagging_replica_recognizes_a_known_job(void **state) {
  (void)state;
  struct at_once x = {.answered = AT_ONCE - 1};
  struct tmx_buffer body = {0};
  struct fake_job job = {.id = "wk-900000", .class = "d", .team = "t", .tasks = 1, .cpus = 1};
  flood(second_controller, "t", "c");
  run_loop_for(0.5);
  fake_store.endpoints[1].hold_watches = true;
  assert_int_equal(submit_job(first_controller, &job), 201);
  job.class = "c"; /* by another body, of the class that would be refused */
  encode_job_submission(&body, &job);
  struct tmx_http_client *client = new_controller_client(second_controller);
  assert_true(tmx_http_client_call(client, "POST", WP_JOBS, &body, 5, on_one_of_many, &x));
  run_loop_for(0.3);
  assert_int_equal(x.answered, AT_ONCE - 1);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  assert_true(run_loop_until(all_answered, &x));
  assert_int_equal(x.known, 1);
  tmx_http_client_free(client);
  tmx_buffer_free(&body);
}

static void decisions_survive_leader_changes_compaction_and_restarts(void **state) {
  (void)state;
  flood(first_controller, "t", "c");
  run_loop_for(0.5);
  double before = backlog_of(first_controller);
  stop_controller(first_controller); /* the leader */
  first_controller = NULL;
  run_loop_for(8);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  tmx_compaction_set_threshold(second_controller->compaction, 0);
  run_loop_for(5);
  tmx_compaction_set_threshold(second_controller->compaction, 1000);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  stop_controller(second_controller);
  second_controller = NULL;
  first_controller = begin(0);
  assert_true(backlog_of(first_controller) == before);
  assert_int_equal(submit_some(first_controller, "t", "c"), 503);
  assert_int_equal(submit_some(first_controller, "u", "c"), 201);
}

static void an_outage_in_the_surge_admits_nothing(void **state) {
  (void)state;
  for (int i = 0; i < 5; i++) assert_int_equal(submit_some(first_controller, "t", "c"), 201);
  for (int k = 0; k < 2; k++) fake_store.endpoints[k].unavailable = true;
  run_loop_for(1);
  assert_int_equal(submit_some(first_controller, "t", "c"), 503);
  for (int k = 0; k < 2; k++) fake_store.endpoints[k].unavailable = false;
  run_loop_for(3);
  flood(first_controller, "t", "c");
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  assert_int_equal(submit_some(second_controller, "u", "c"), 201);
}

static void a_controller_without_admission_may_run_beside(void **state) {
  (void)state;
  stop_controller(second_controller);
  fake_adjust_settings = without_admission;
  second_controller = begin(1);
  for (int i = 0; i < 60; i++) assert_int_equal(submit_some(second_controller, "t", "c"), 201);
  run_loop_for(0.5);
  assert_int_equal(submit_some(first_controller, "t", "c"),
                   503); /* what the other admitted counts */
  assert_int_equal(submit_some(first_controller, "u", "c"), 201);
  assert_null(second_controller->replica.backlog);
}

static void smaller(struct tmx_settings *settings) {
  with_admission(settings);
  settings->operators.admission.backlog_s = 20;
}

static void settings_may_change_between_restarts(void **state) {
  (void)state;
  unsigned n = flood(first_controller, "t", "c");
  stop_controller(first_controller);
  stop_controller(second_controller);
  second_controller = NULL;
  fake_adjust_settings = smaller;
  first_controller = begin(0);
  char id[TMX_ID_BYTES];
  for (unsigned i = 1; i < n; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(poll_job(first_controller, id).status, 200); /* what was admitted stays so */
  }
  for (unsigned i = 1; i < n - 2; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(cancel_job(first_controller, id).status, 200);
  }
  assert_int_equal(submit_some(first_controller, "t", "c"),
                   503); /* three left: over the new ceiling */
}

static void dependents_of_admitted_jobs_are_admitted_within_a_bound(void **state) {
  (void)state;
  flood(first_controller, "t", "c");
  struct tmx_buffer list = {0};
  char id[TMX_ID_BYTES];
  unsigned n = 0;
  int status = 201;
  tmx_cbor_put_array(&list, 1);
  tmx_cbor_put_text(&list, "wk-000001");
  for (; n < 100 && status == 201; n++) {
    snprintf(id, sizeof id, "wk-%06u", 700000 + n);
    struct fake_job job = {
        .id = id, .class = "c", .team = "t", .tasks = 4, .cpus = 1, .dependencies = &list};
    status = submit_job(first_controller, &job);
  }
  tmx_buffer_free(&list);
  assert_int_equal(status, 503);
  assert_in_range(n, 10,
                  40); /* up to the raised ceiling of the team, 81 s, rather than of the class */
  assert_int_equal(submit_some(first_controller, "u", "c"), 201);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_surge_at_one_controller_is_known_at_the_other, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(submissions_at_once_count_for_one_another, setup, teardown),
      cmocka_unit_test_setup_teardown(a_lagging_replica_does_not_admit_by_old_shares, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(retries_polls_and_cancellations_are_always_admitted, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_lagging_replica_recognizes_a_known_job, setup, teardown),
      cmocka_unit_test_setup_teardown(decisions_survive_leader_changes_compaction_and_restarts,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(an_outage_in_the_surge_admits_nothing, setup, teardown),
      cmocka_unit_test_setup_teardown(a_controller_without_admission_may_run_beside, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(settings_may_change_between_restarts, setup, teardown),
      cmocka_unit_test_setup_teardown(dependents_of_admitted_jobs_are_admitted_within_a_bound,
                                      setup, teardown),
  };
  return RUN_TESTS(tests);
}
