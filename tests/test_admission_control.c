/* Tests admission control in running controllers. They guard against a backlog above the ceilings,
 * and against unnecessary refusals, while load surges, replicas lag, leaders change, the log is
 * compacted and controllers restart. */
#include "fake.h"
#include <stdio.h>
#include <string.h>
#include "tmx/wire.h"
#include "base/clock.h"

static struct tmx_controller *first_controller, *second_controller;

static unsigned next_job;

static void enable_admission(struct tmx_settings *settings) {
  settings->n_teams = 2;
  strcpy(settings->teams[1].name, "u");
  settings->teams[1].cpus_max = 8;
  strcpy(settings->objectives[0].class_name, "c");
  strcpy(settings->objectives[1].class_name, "d");
  settings->n_objectives = 2;
  settings->operators.admission.enabled = true;
  settings->operators.admission.backlog_s = 100;
  settings->operators.admission.capacity_cpus = 16; /* needed because no machine is registered */
  char err[128];
  assert_true(tmx_admission_settings_resolve(settings, err, sizeof err));
}

static void disable_admission(struct tmx_settings *settings) {
  enable_admission(settings);
  settings->operators.admission.enabled = false;
}

/* Starts a controller and waits until it is ready. */
static struct tmx_controller *start_controller_and_wait(int k) {
  struct tmx_controller *controller = start_controller(k, 2);
  assert_true(run_loop_until(fake_controller_is_ready, controller));
  return controller;
}

static int setup(void **state) {
  (void)state;
  fake_start();
  fake_adjust_settings = enable_admission;
  first_controller = start_controller_and_wait(0);
  second_controller = start_controller_and_wait(1);
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

/* Submits a new job of 40 CPU seconds, which is 2.5 s of work for the configured 16 CPUs. */
static int submit_next_job(struct tmx_controller *controller, const char *team,
                           const char *class_name) {
  char id[TMX_ID_BYTES];
  snprintf(id, sizeof id, "wk-%06u", ++next_job);
  struct fake_job job = {.id = id, .class = class_name, .team = team, .tasks = 4, .cpus = 1};
  return submit_job(controller, &job);
}

/* Submits jobs until one is refused. Returns the number of accepted jobs. */
static unsigned submit_until_refused(struct tmx_controller *controller, const char *team,
                                     const char *class_name) {
  unsigned n = 0;
  int status;
  while ((status = submit_next_job(controller, team, class_name)) == 201 && n < 200) n++;
  assert_int_equal(status, 503);
  return n;
}

static double backlog_seconds_of(const struct tmx_controller *controller) {
  struct tmx_resource_rates one_per_s = {{1, 1, 1}};
  return tmx_total_backlog_seconds(controller->replica.backlog, &one_per_s);
}

static void jobs_accepted_by_one_controller_count_at_the_other(void **state) {
  (void)state;
  unsigned n = submit_until_refused(first_controller, "t", "c");
  assert_in_range(n, 5, 30);
  run_loop_for(0.2);
  assert_int_equal(submit_next_job(second_controller, "t", "c"), 503);
  assert_int_equal(submit_next_job(second_controller, "t", "d"),
                   201); /* the other class of the team keeps its reserve */
  assert_int_equal(submit_next_job(second_controller, "u", "c"), 201); /* so does the other team */
  assert_true(backlog_seconds_of(first_controller) == backlog_seconds_of(second_controller));
}

enum { CONCURRENT_SUBMISSIONS = 60 };

struct concurrent_answers {
  unsigned answered, accepted, known;
};

static void count_concurrent_answer(void *arg, int status, const uint8_t *body, size_t len) {
  struct concurrent_answers *answers = arg;
  (void)body;
  (void)len;
  answers->answered++;
  answers->accepted += status == 201;
  answers->known += status == 200;
}

static bool all_concurrent_answered(void *arg) {
  return ((struct concurrent_answers *)arg)->answered == CONCURRENT_SUBMISSIONS;
}

/* Concurrent submissions count against the same ceiling, within one log batch and across the
 * batches of two controllers. */
static void concurrent_submissions_count_against_one_ceiling(void **state) {
  (void)state;
  struct concurrent_answers answers = {0};
  char addr[32], id[TMX_ID_BYTES];
  struct tmx_http_client *clients[2];
  for (int k = 0; k < 2; k++) {
    snprintf(addr, sizeof addr, "127.0.0.1:%d",
             tmx_http_server_port((k ? second_controller : first_controller)->server));
    clients[k] = tmx_http_client_new(test_loop, addr, CONCURRENT_SUBMISSIONS);
  }
  for (int i = 0; i < CONCURRENT_SUBMISSIONS; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    struct fake_job job = {.id = id, .class = "c", .team = "t", .tasks = 4, .cpus = 1};
    struct tmx_buffer body = {0};
    encode_job_submission(&body, &job);
    assert_true(tmx_http_client_call(clients[i % 2], "POST", WP_JOBS, &body, 5,
                                     count_concurrent_answer, &answers));
    tmx_buffer_free(&body);
  }
  double sent_at = tmx_clock_steady();
  assert_true(run_loop_until(all_concurrent_answered, &answers));
  assert_true(tmx_clock_steady() - sent_at <
              1); /* refused as soon as decided, not at the timeout */
  run_loop_for(0.2);
  assert_in_range(answers.accepted, 5, 30);
  assert_int_equal(first_controller->replica.backlog->accounts[0][0].n_open_jobs, answers.accepted);
  unsigned accepted_concurrently = answers.accepted;
  for (unsigned i = 0; i < CONCURRENT_SUBMISSIONS; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    cancel_job(first_controller, id);
  }
  next_job = 100;
  assert_int_equal(submit_until_refused(first_controller, "t", "c"),
                   accepted_concurrently); /* sequential submissions reach the same number */
  for (int k = 0; k < 2; k++) tmx_http_client_free(clients[k]);
}

static void a_lagging_replica_does_not_admit_beyond_the_ceiling(void **state) {
  (void)state;
  fake_store.endpoints[1].hold_watches = true;
  unsigned n = submit_until_refused(first_controller, "t", "c");
  for (unsigned i = 0; i < 10; i++)
    assert_int_equal(submit_next_job(second_controller, "t", "c"), 503);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  run_loop_for(3);
  assert_int_equal(submit_next_job(second_controller, "t", "c"), 503);
  assert_int_equal(first_controller->replica.backlog->accounts[0][0].n_open_jobs, n);
  assert_int_equal(second_controller->replica.backlog->accounts[0][0].n_open_jobs, n);
}

static void retries_polls_and_cancellations_are_always_admitted(void **state) {
  (void)state;
  unsigned n = submit_until_refused(first_controller, "t", "c");
  char id[TMX_ID_BYTES];
  struct fake_job first = {.id = "wk-000001", .class = "c", .team = "t", .tasks = 4, .cpus = 1};
  assert_int_equal(submit_job(first_controller, &first), 200);
  assert_int_equal(submit_job(second_controller, &first), 200);
  snprintf(id, sizeof id, "wk-%06u", n + 1); /* the refused job left no record */
  assert_int_equal(poll_job(first_controller, id).status, 404);
  /* Cancelled jobs free backlog on every controller. */
  for (unsigned i = 1; i <= n; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(cancel_job(second_controller, id).status, 200);
  }
  run_loop_for(0.5);
  assert_true(backlog_seconds_of(first_controller) == 0 &&
              backlog_seconds_of(second_controller) == 0);
  assert_int_equal(submit_next_job(first_controller, "t", "c"), 201);
}

/* A retry reaches a controller whose replica does not hold the job yet and whose class ceiling is
 * reached. The controller waits until its replica is current, and then answers with the known job
 * instead of a refusal. */
static void a_lagging_replica_recognizes_a_known_job(void **state) {
  (void)state;
  struct concurrent_answers answers = {.answered = CONCURRENT_SUBMISSIONS - 1};
  struct tmx_buffer body = {0};
  struct fake_job job = {.id = "wk-900000", .class = "d", .team = "t", .tasks = 1, .cpus = 1};
  submit_until_refused(second_controller, "t", "c");
  run_loop_for(0.5);
  fake_store.endpoints[1].hold_watches = true;
  assert_int_equal(submit_job(first_controller, &job), 201);
  job.class = "c"; /* same id, and a class at its ceiling */
  encode_job_submission(&body, &job);
  struct tmx_http_client *client = new_controller_client(second_controller);
  assert_true(
      tmx_http_client_call(client, "POST", WP_JOBS, &body, 5, count_concurrent_answer, &answers));
  run_loop_for(0.3);
  assert_int_equal(answers.answered, CONCURRENT_SUBMISSIONS - 1);
  fake_store.endpoints[1].hold_watches = false;
  fake_answer_pending_watches();
  assert_true(run_loop_until(all_concurrent_answered, &answers));
  assert_int_equal(answers.known, 1);
  tmx_http_client_free(client);
  tmx_buffer_free(&body);
}

static void decisions_survive_leader_changes_compaction_and_restarts(void **state) {
  (void)state;
  submit_until_refused(first_controller, "t", "c");
  run_loop_for(0.5);
  double before = backlog_seconds_of(first_controller);
  stop_controller(first_controller); /* the leader */
  first_controller = NULL;
  run_loop_for(8);
  assert_int_equal(submit_next_job(second_controller, "t", "c"), 503);
  tmx_compaction_set_threshold(second_controller->compaction, 0);
  run_loop_for(5);
  tmx_compaction_set_threshold(second_controller->compaction, 1000);
  assert_int_equal(submit_next_job(second_controller, "t", "c"), 503);
  stop_controller(second_controller);
  second_controller = NULL;
  first_controller = start_controller_and_wait(0);
  assert_true(backlog_seconds_of(first_controller) == before);
  assert_int_equal(submit_next_job(first_controller, "t", "c"), 503);
  assert_int_equal(submit_next_job(first_controller, "u", "c"), 201);
}

static void nothing_is_admitted_during_a_store_outage(void **state) {
  (void)state;
  for (int i = 0; i < 5; i++) assert_int_equal(submit_next_job(first_controller, "t", "c"), 201);
  for (int k = 0; k < 2; k++) fake_store.endpoints[k].unavailable = true;
  run_loop_for(1);
  assert_int_equal(submit_next_job(first_controller, "t", "c"), 503);
  for (int k = 0; k < 2; k++) fake_store.endpoints[k].unavailable = false;
  run_loop_for(3);
  submit_until_refused(first_controller, "t", "c");
  assert_int_equal(submit_next_job(second_controller, "t", "c"), 503);
  assert_int_equal(submit_next_job(second_controller, "u", "c"), 201);
}

static void jobs_of_a_controller_without_admission_count_at_the_other(void **state) {
  (void)state;
  stop_controller(second_controller);
  fake_adjust_settings = disable_admission;
  second_controller = start_controller_and_wait(1);
  for (int i = 0; i < 60; i++) assert_int_equal(submit_next_job(second_controller, "t", "c"), 201);
  run_loop_for(0.5);
  assert_int_equal(submit_next_job(first_controller, "t", "c"),
                   503); /* jobs accepted by the other controller count */
  assert_int_equal(submit_next_job(first_controller, "u", "c"), 201);
  assert_null(second_controller->replica.backlog);
}

static void with_smaller_bound(struct tmx_settings *settings) {
  enable_admission(settings);
  settings->operators.admission.backlog_s = 20;
}

static void a_lower_bound_keeps_jobs_that_were_admitted_before(void **state) {
  (void)state;
  unsigned n = submit_until_refused(first_controller, "t", "c");
  stop_controller(first_controller);
  stop_controller(second_controller);
  second_controller = NULL;
  fake_adjust_settings = with_smaller_bound;
  first_controller = start_controller_and_wait(0);
  char id[TMX_ID_BYTES];
  for (unsigned i = 1; i < n; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(poll_job(first_controller, id).status, 200); /* admitted jobs stay admitted */
  }
  for (unsigned i = 1; i < n - 2; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(cancel_job(first_controller, id).status, 200);
  }
  assert_int_equal(submit_next_job(first_controller, "t", "c"),
                   503); /* the three remaining jobs exceed the lower ceiling */
}

static void dependents_of_admitted_jobs_are_admitted_within_a_bound(void **state) {
  (void)state;
  submit_until_refused(first_controller, "t", "c");
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
  assert_in_range(n, 10, 40); /* bounded by the team's raised ceiling of 81 s, not by the class's */
  assert_int_equal(submit_next_job(first_controller, "u", "c"), 201);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(jobs_accepted_by_one_controller_count_at_the_other, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(concurrent_submissions_count_against_one_ceiling, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_lagging_replica_does_not_admit_beyond_the_ceiling, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(retries_polls_and_cancellations_are_always_admitted, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_lagging_replica_recognizes_a_known_job, setup, teardown),
      cmocka_unit_test_setup_teardown(decisions_survive_leader_changes_compaction_and_restarts,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(nothing_is_admitted_during_a_store_outage, setup, teardown),
      cmocka_unit_test_setup_teardown(jobs_of_a_controller_without_admission_count_at_the_other,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(a_lower_bound_keeps_jobs_that_were_admitted_before, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(dependents_of_admitted_jobs_are_admitted_within_a_bound,
                                      setup, teardown),
  };
  return RUN_TESTS(tests);
}
