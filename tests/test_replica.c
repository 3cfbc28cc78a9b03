/* The replica: what it makes of the log, of a load at several revisions and of views. */
#include "test.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica/operation_check.h"
#include "replica/replica.h"

static struct tmx_settings settings;
static struct tmx_replica replica;

static int setup(void **state) {
  (void)state;
  memset(&settings, 0, sizeof settings);
  strcpy(settings.zones[0], "a");
  settings.n_zones = 1;
  strcpy(settings.teams[0].name, "t");
  settings.n_teams = 1;
  tmx_replica_init(&replica, &settings);
  return 0;
}
/* What is kept as sums is what a count of everything gives, after every test: renting, returning
 * and a new leader's view of the peak rest on it. */
static int sums_are_off(void) {
  struct tmx_job *job, *next_job;
  struct tmx_machine *machine, *next_machine;
  double booked = 0, asked = 0;
  int off = 0;
  HASH_ITER(hh, replica.machines, machine, next_machine) {
    double services = 0;
    for (const struct tmx_task *task = machine->tasks; task; task = task->next)
      if (task->job->spec.service) services += task->job->spec.cpus;
    booked += machine->booked_cpus;
    off |= fabs(services - machine->service_cpus) > 1e-6;
  }
  HASH_ITER(hh, replica.jobs, job, next_job)
  if (!job->outcome) asked += (job->spec.tasks - job->n_done - job->n_placed) * job->spec.cpus;
  return off | (replica.loaded && fabs(booked - replica.booked_cpus) > 1e-6) |
         (replica.loaded && fabs(asked - replica.waiting_cpus) > 1e-6);
}
static int teardown(void **state) {
  (void)state;
  int off = sums_are_off();
  tmx_replica_clear(&replica);
  if (off) return -1;
  return 0;
}

static void put(const char *key, uint64_t version, struct tmx_buffer *buffer) {
  cbor_item_t *value = tmx_cbor_parse(buffer->data, buffer->length);
  assert_non_null(value);
  tmx_replica_apply(&replica, key, version, value);
  tmx_cbor_free(value);
  tmx_buffer_free(buffer);
}
static void put_job(uint64_t version, int fin) {
  struct tmx_job_spec spec = {.tasks = 3, .cpus = 2, .mem_gb = 1, .deadline_s = -1};
  struct tmx_buffer buffer = {0};
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  tmx_job_encode(&buffer, "wk-1", &spec, 5, fin);
  put(TMX_KEY_JOB "wk-1", version, &buffer);
}
static void put_machine(uint64_t version) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_text(&buffer, "ops");
  tmx_cbor_put_array(&buffer, 1);
  tmx_cbor_put_text(&buffer, "m n-1 127.0.0.1:1 big a 0 0");
  put(TMX_KEY_BATCH "h/m", version, &buffer);
}
static void put_batch(const char *seq, uint64_t version, const char *line) {
  struct tmx_buffer buffer = {0};
  char key[64];
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_text(&buffer, "ops");
  tmx_cbor_put_array(&buffer, 1);
  tmx_cbor_put_text(&buffer, line);
  snprintf(key, sizeof key, TMX_KEY_BATCH "h/%s", seq);
  put(key, version, &buffer);
}
static struct tmx_task *task(uint32_t i) { return &tmx_job_find(&replica, "wk-1")->tasks[i]; }

static void the_log_decides_the_state_of_a_task(void **state) {
  (void)state;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  put_batch("1", 3, "p wk-1/0 1 n-1");
  assert_int_equal(task(0)->state, TMX_TASK_PLACED);
  assert_true(replica.team_usage[0].cpus == 2);
  put_batch("2", 4, "e wk-1/0 2 d"); /* another attempt's end says nothing of this one */
  assert_int_equal(task(0)->state, TMX_TASK_PLACED);
  put_batch("3", 5, "e wk-1/0 1 l");
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  assert_int_equal(task(0)->attempt, 1);
  put_batch("4", 6, "p wk-1/0 1 n-1"); /* a used attempt is never placed again */
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  put_batch("5", 7, "p wk-1/0 2 n-1");
  put_batch("6", 8, "e wk-1/0 2 d");
  assert_int_equal(task(0)->state, TMX_TASK_DONE);
  put_batch("7", 9, "p wk-1/0 3 n-1"); /* nor is a done task */
  assert_int_equal(task(0)->state, TMX_TASK_DONE);
  assert_true(replica.team_usage[0].cpus == 0);
}

static void tasks_of_a_dropped_machine_wait_again(void **state) {
  (void)state;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  put_batch("1", 3, "p wk-1/0 1 n-1");
  put_batch("2", 3, "p wk-1/1 1 n-1");
  put_batch("3", 4, "x n-1");
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  assert_int_equal(task(1)->state, TMX_TASK_WAITING);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->n_placed, 0);
  assert_true(replica.team_usage[0].cpus == 0);
  assert_null(tmx_machine_find(&replica, "n-1"));
}

static void cancelled_work_counts_until_its_end(void **state) {
  (void)state;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  put_batch("1", 3, "p wk-1/0 1 n-1");
  put_job(4, TMX_JOB_CANCELLED);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->outcome, TMX_JOB_CANCELLED);
  assert_true(replica.team_usage[0].cpus == 2);
  put_batch("2", 5, "e wk-1/0 1 s");
  assert_true(replica.team_usage[0].cpus == 0);
}

/* Pages of a load are read at different revisions, and the events in between come again. */
static void pages_read_at_different_revisions_give_one_state(void **state) {
  (void)state;
  replica.load_revision = 9;
  put_job(1, 0);
  put_batch("9", 8, "p wk-1/0 2 n-1"); /* of a later page: read early */
  put_machine(2);
  put_batch("1", 3, "p wk-1/0 1 n-1"); /* the events since the first page come again */
  put_batch("2", 5, "e wk-1/0 1 s");
  put_batch("9", 8, "p wk-1/0 2 n-1");
  tmx_replica_advance_to(&replica, 9);
  assert_true(replica.loaded);
  assert_int_equal(task(0)->state, TMX_TASK_PLACED);
  assert_int_equal(task(0)->attempt, 2);
  assert_true(replica.team_usage[0].cpus == 2);
}

static void a_load_releases_tasks_of_lost_machines(void **state) {
  (void)state;
  replica.load_revision = 9;
  put_job(1, 0);
  put_batch("1", 3, "p wk-1/0 1 n-1"); /* its machine's key is gone */
  put_batch("2", 4, "p wk-1/1 1 n-1");
  put_batch("3", 5, "e wk-1/1 1 d"); /* but this one was done before */
  assert_false(replica.loaded);
  tmx_replica_advance_to(&replica, 9);
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  assert_int_equal(task(1)->state, TMX_TASK_DONE);
}

static void put_compaction_point(uint64_t version, uint64_t point) {
  struct tmx_buffer buffer = {0};
  tmx_cbor_put_map(&buffer, 2);
  tmx_cbor_put_u64_field(&buffer, "mark", point);
  tmx_cbor_put_u64_field(&buffer, "gen", point);
  put(TMX_KEY_COMPACTION, version, &buffer);
}

/* Log keys are written over after a compaction, in any order: what is left of the old batches is
 * incomplete, and must not bring a machine back whose end was written over. */
static void batches_before_the_compaction_point_do_not_count(void **state) {
  (void)state;
  replica.load_revision = 30;
  put_compaction_point(20, 12);
  put_job(1, 0);
  put_batch("1", 3, "m n-1 127.0.0.1:1 big a 0 0"); /* its end, at 9, is written over */
  put_batch("2", 4, "p wk-1/0 1 n-1");
  put_batch("3", 25, "m n-2 127.0.0.1:2 big a 0 0");
  put_batch("4", 26, "p wk-1/1 1 n-2");
  tmx_replica_advance_to(&replica, 30);
  assert_null(tmx_machine_find(&replica, "n-1"));
  assert_int_equal(task(0)->attempt, 0); /* the page says what it is, and there is none here */
  assert_int_equal(task(1)->state, TMX_TASK_PLACED);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->placed_in_zone[0], 1);
}

/* Runs of tasks in a page, and a job that has no key of its own. */
static void runs_of_tasks_in_a_page_are_read_and_written(void **state) {
  (void)state;
  struct tmx_job_spec spec = {.tasks = 9, .cpus = 2, .mem_gb = 1, .deadline_s = -1};
  struct tmx_buffer jobs = {0}, lines = {0}, value = {0};
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  replica.load_revision = 9;
  tmx_job_encode(&jobs, "wk-1", &spec, 5, 0);
  tmx_cbor_put_text(&lines, "m n-1 127.0.0.1:1 big a 1 1");
  tmx_cbor_put_text(&lines, "t wk-1/0 4 2 d -");
  tmx_cbor_put_text(&lines, "t wk-1/4 2 3 w -");
  tmx_cbor_put_text(&lines, "t wk-1/6 1 1 2 n-1");
  tmx_log_value_encode(&value, &jobs, 1, &lines, 4);
  tmx_buffer_free(&jobs);
  tmx_buffer_free(&lines);
  put_compaction_point(6, 4); /* its key is read first */
  put(TMX_KEY_PAGE "0000000000000004/00000", 5, &value);
  put_batch("9", 8, "p wk-1/7 1 n-1");
  tmx_replica_advance_to(&replica, 9);
  struct tmx_job *job = tmx_job_find(&replica, "wk-1");
  assert_int_equal(job->n_done, 4);
  assert_int_equal(job->n_placed, 2);
  assert_int_equal(task(5)->attempt, 3);
  assert_int_equal(task(6)->stop_mode, 2);
  assert_true(tmx_machine_find(&replica, "n-1")->draining &&
              tmx_machine_find(&replica, "n-1")->spot);
  /* and back into lines */
  char line[TMX_LOG_LINE_BYTES];
  int len;
  assert_int_equal(tmx_task_range_line_print(line, sizeof line, job, 0, &len), 4);
  assert_string_equal(line, "t wk-1/0 4 2 d -");
  assert_int_equal(tmx_task_range_line_print(line, sizeof line, job, 8, &len), 1);
  assert_int_equal(len, 0);
}

/* A compaction that was given up leaves pages behind. A job that was placed in them and ended
 * before the compaction point of the next one is in no page of that one, and its end's batch counts
 * no more: the place would stay booked, and its team nearer to its limit, for as long as this copy
 * lives. */
static void pages_of_an_abandoned_compaction_do_not_count(void **state) {
  (void)state;
  struct tmx_buffer jobs = {0}, lines = {0}, value = {0};
  replica.load_revision = 30;
  put_compaction_point(20, 12);
  put_job(10, TMX_JOB_DONE);
  tmx_cbor_put_text(&lines, "m n-1 127.0.0.1:1 big a 0 0");
  tmx_cbor_put_text(&lines, "t wk-1/0 1 1 p n-1");
  tmx_log_value_encode(&value, &jobs, 0, &lines, 2);
  put(TMX_KEY_PAGE "0000000000000005/00000", 7, &value); /* of the one given up */
  put_batch("1", 9, "e wk-1/0 1 d");
  value.length = lines.length = 0;
  tmx_cbor_put_text(&lines, "m n-1 127.0.0.1:1 big a 0 0");
  tmx_log_value_encode(&value, &jobs, 0, &lines, 1);
  put(TMX_KEY_PAGE "000000000000000c/00000", 14, &value);
  tmx_buffer_free(&lines);
  tmx_replica_advance_to(&replica, 30);
  assert_true(tmx_machine_find(&replica, "n-1")->registered);
  assert_true(tmx_machine_find(&replica, "n-1")->booked_cpus == 0);
  assert_true(replica.team_usage[0].cpus == 0);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->n_placed, 0);
}

/* Estimates that are mostly too low are corrected by the class's own runs; one far-off task hardly
 * counts, and other classes are not touched. */
static void run_times_are_learned_by_class(void **state) {
  (void)state;
  struct tmx_job_spec spec = {.estimate_s = 50}, other = {.estimate_s = 50};
  strcpy(spec.class, "c");
  strcpy(other.class, "d");
  assert_true(tmx_run_estimate_expected(&replica, &spec) == 50);
  for (int i = 0; i < 100; i++) tmx_run_estimate_observe(&replica, &spec, i % 2 ? 90 : 110);
  tmx_run_estimate_observe(&replica, &spec, 1e6);
  assert_true(tmx_run_estimate_expected(&replica, &spec) > 90 &&
              tmx_run_estimate_expected(&replica, &spec) < 110);
  assert_true(tmx_run_estimate_expected(&replica, &other) == 50);
  for (int i = 0; i < 100; i++) { /* memory is bounded */
    snprintf(other.class, sizeof other.class, "x%d", i);
    tmx_run_estimate_observe(&replica, &other, 10);
  }
  assert_int_equal(replica.n_run_estimates, TMX_RUN_ESTIMATES_MAX);
}

static struct tmx_operation operation_of(char kind, uint32_t i, uint32_t attempt,
                                         const char *machine, char how) {
  struct tmx_operation operation = {.kind = kind, .task = i, .attempt = attempt, .reason = how};
  strcpy(operation.job, "wk-1");
  strcpy(operation.machine, machine);
  return operation;
}

/* A batch whose transaction met a conflict is checked line by line on what won, each line after
 * those before it: limits, room and attempts are kept, whatever was committed in between. */
static void operations_are_checked_again_after_a_conflict(void **state) {
  (void)state;
  struct tmx_operation_check check;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  tmx_machine_find(&replica, "n-1")->capacity_cpus = 4;
  tmx_machine_find(&replica, "n-1")->capacity_mem_gb = 16;
  settings.teams[0].cpus_max = 100;
  struct tmx_operation place_first = operation_of(TMX_OPERATION_PLACE, 0, 1, "n-1", 0),
                       place_second = operation_of(TMX_OPERATION_PLACE, 1, 1, "n-1", 0),
                       place_third = operation_of(TMX_OPERATION_PLACE, 2, 1, "n-1", 0),
                       end_of_first = operation_of(TMX_OPERATION_END, 0, 1, "", 'l');
  tmx_operation_check_begin(&check, &replica);
  assert_true(tmx_operation_check_apply(&check, &place_first));
  assert_true(tmx_operation_check_apply(&check, &place_second));
  assert_false(
      tmx_operation_check_apply(&check, &place_third)); /* the machine is full with those two */
  put_batch("1", 3, "p wk-1/0 1 n-1");                  /* another came first with the same task */
  tmx_operation_check_begin(&check, &replica);
  assert_false(tmx_operation_check_apply(&check, &place_first));
  assert_true(tmx_operation_check_apply(&check, &place_second));
  assert_false(tmx_operation_check_apply(&check, &place_third));
  tmx_operation_check_begin(&check, &replica);
  assert_true(
      tmx_operation_check_apply(&check, &end_of_first)); /* an end in the same batch makes room */
  assert_true(tmx_operation_check_apply(&check, &place_second));
  assert_true(tmx_operation_check_apply(&check, &place_third));
  assert_false(tmx_operation_check_apply(
      &check, &place_first)); /* but that task's next attempt is not this one */
  settings.teams[0].cpus_max = 4;
  tmx_operation_check_begin(&check, &replica);
  assert_true(tmx_operation_check_apply(&check, &place_second));
  tmx_machine_find(&replica, "n-1")->capacity_cpus = 64;
  assert_false(tmx_operation_check_apply(&check, &place_third)); /* its team's limit */
  put_batch("2", 4, "d n-1 1");
  tmx_operation_check_begin(&check, &replica);
  assert_false(
      tmx_operation_check_apply(&check, &place_second)); /* the machine is to be returned */
  put_batch("3", 5, "d n-1 0");
  put_job(6, TMX_JOB_CANCELLED);
  tmx_operation_check_begin(&check, &replica);
  assert_false(tmx_operation_check_apply(&check, &place_second));
}

static void put_view(uint64_t version, size_t count, const char *taken_by) {
  struct tmx_owner_override override;
  struct tmx_view view = {.term = version, .n_members = count};
  struct tmx_buffer buffer = {0};
  for (size_t i = 0; i < count; i++) {
    snprintf(view.members[i].name, TMX_NAME_BYTES, "hand-%zu", i);
    view.members[i].incarnation = i + 1;
  }
  if (taken_by) {
    strcpy(override.machine, "n-7");
    strcpy(override.node, taken_by);
    view.overrides = &override;
    view.n_overrides = 1;
  }
  tmx_view_encode(&buffer, &view);
  put(TMX_KEY_VIEW, version, &buffer);
}

static void only_machines_of_a_lost_member_change_owner(void **state) {
  (void)state;
  char before[64][8], id[16];
  int moved = 0, owned[3] = {0};
  assert_null(tmx_machine_owner(&replica, "n-1"));
  put_view(1, 3, NULL);
  for (int i = 0; i < 64; i++) {
    snprintf(id, sizeof id, "n-%06d", i);
    snprintf(before[i], sizeof before[i], "%s", tmx_machine_owner(&replica, id));
    owned[before[i][5] - '0']++;
  }
  for (int i = 0; i < 3; i++) assert_true(owned[i] > 8); /* about a third each */
  put_view(2, 2, NULL);                                  /* hand-2 left: only its machines move */
  for (int i = 0; i < 64; i++) {
    snprintf(id, sizeof id, "n-%06d", i);
    bool same = !strcmp(before[i], tmx_machine_owner(&replica, id));
    assert_true(same || !strcmp(before[i], "hand-2"));
    moved += !same;
  }
  assert_int_equal(moved, owned[2]);
  put_view(3, 2, "hand-0");
  assert_string_equal(tmx_machine_owner(&replica, "n-7"), "hand-0");
  put_view(4, 2, "hand-2"); /* an exception for one that left does not count */
  assert_string_not_equal(tmx_machine_owner(&replica, "n-7"), "hand-2");
}

static void an_operation_line_is_read_as_written(void **state) {
  (void)state;
  struct tmx_operation operation = {.kind = TMX_OPERATION_PLACE, .task = 99999, .attempt = 7},
                       parsed;
  char line[128];
  strcpy(operation.job, "wk-000412");
  strcpy(operation.machine, "n-000231");
  tmx_operation_print(line, sizeof line, &operation);
  assert_true(tmx_operation_parse(line, &parsed));
  assert_string_equal(parsed.machine, "n-000231");
  assert_int_equal(parsed.task, 99999);
  assert_false(tmx_operation_parse("p wk-1 1 n-1", &parsed));
  assert_false(tmx_operation_parse("x wk-1/0 1 n-1", &parsed));
  assert_false(tmx_operation_parse("p wk-1/0", &parsed));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(the_log_decides_the_state_of_a_task, setup, teardown),
      cmocka_unit_test_setup_teardown(tasks_of_a_dropped_machine_wait_again, setup, teardown),
      cmocka_unit_test_setup_teardown(cancelled_work_counts_until_its_end, setup, teardown),
      cmocka_unit_test_setup_teardown(pages_read_at_different_revisions_give_one_state, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_load_releases_tasks_of_lost_machines, setup, teardown),
      cmocka_unit_test_setup_teardown(batches_before_the_compaction_point_do_not_count, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(runs_of_tasks_in_a_page_are_read_and_written, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(pages_of_an_abandoned_compaction_do_not_count, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(run_times_are_learned_by_class, setup, teardown),
      cmocka_unit_test_setup_teardown(operations_are_checked_again_after_a_conflict, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(only_machines_of_a_lost_member_change_owner, setup, teardown),
      cmocka_unit_test(an_operation_line_is_read_as_written),
  };
  return RUN_TESTS(tests);
}
