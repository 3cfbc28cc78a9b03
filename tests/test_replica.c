/* Tests the state that the replica derives from the log, from pages that are read at different
 * revisions, and from views. */
#include "replica_fixture.h"
#include "test.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica/operation_check.h"
#include "replica/replica.h"

static int setup(void **state) {
  (void)state;
  replica_fixture_init();
  return 0;
}
/* Compares the running totals with totals computed from all entries, after every test. The rental
 * and return of machines and a new leader's peak demand depend on them. */
static int totals_differ(void) {
  struct tmx_job *job, *next_job;
  struct tmx_machine *machine, *next_machine;
  double booked_cpus = 0, waiting_cpus = 0;
  int differ = 0;
  HASH_ITER(hh, replica.machines, machine, next_machine) {
    double service_cpus = 0, service_gpus = 0, service_mem_gb = 0;
    for (const struct tmx_task *task = machine->tasks; task; task = task->next) {
      if (!task->job->spec.service) continue;
      service_cpus += task->job->spec.cpus;
      service_gpus += task->job->spec.gpus;
      service_mem_gb += task->job->spec.mem_gb;
    }
    booked_cpus += machine->booked_cpus;
    differ |= fabs(service_cpus - machine->service_cpus) > 1e-6;
    differ |= fabs(service_gpus - machine->service_gpus) > 1e-6;
    differ |= fabs(service_mem_gb - machine->service_mem_gb) > 1e-6;
  }
  HASH_ITER(hh, replica.jobs, job, next_job)
  if (!job->outcome)
    waiting_cpus += (job->spec.tasks - job->n_done - job->n_placed) * job->spec.cpus;
  return differ | (replica.loaded && fabs(booked_cpus - replica.booked_cpus) > 1e-6) |
         (replica.loaded && fabs(waiting_cpus - replica.waiting_cpus) > 1e-6);
}
static int teardown(void **state) {
  (void)state;
  int differ = totals_differ();
  tmx_replica_clear(&replica);
  if (differ) return -1;
  return 0;
}

static void put_job(uint64_t version, int outcome) {
  struct tmx_job_spec spec = {.tasks = 3, .cpus = 2, .mem_gb = 1, .deadline_s = -1};
  struct tmx_buffer buffer = {0};
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  tmx_job_encode(&buffer, "wk-1", &spec, 5, outcome);
  replica_fixture_apply(TMX_KEY_JOB "wk-1", version, &buffer);
}
static void put_machine(uint64_t version) {
  replica_fixture_apply_line("m", version, "m n-1 127.0.0.1:1 big a 0 0");
}
static struct tmx_task *task(uint32_t i) { return &tmx_job_find(&replica, "wk-1")->tasks[i]; }

static void the_log_decides_the_state_of_a_task(void **state) {
  (void)state;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  replica_fixture_apply_line("1", 3, "p wk-1/0 1 n-1");
  assert_int_equal(task(0)->state, TMX_TASK_PLACED);
  assert_true(replica.team_usage[0].cpus == 2);
  replica_fixture_apply_line("2", 4, "e wk-1/0 2 d"); /* the end of another attempt is ignored */
  assert_int_equal(task(0)->state, TMX_TASK_PLACED);
  replica_fixture_apply_line("3", 5, "e wk-1/0 1 l");
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  assert_int_equal(task(0)->attempt, 1);
  replica_fixture_apply_line("4", 6, "p wk-1/0 1 n-1"); /* an attempt number is never used twice */
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  replica_fixture_apply_line("5", 7, "p wk-1/0 2 n-1");
  replica_fixture_apply_line("6", 8, "e wk-1/0 2 d");
  assert_int_equal(task(0)->state, TMX_TASK_DONE);
  replica_fixture_apply_line("7", 9,
                             "p wk-1/0 3 n-1"); /* a task that is done is not placed again */
  assert_int_equal(task(0)->state, TMX_TASK_DONE);
  assert_true(replica.team_usage[0].cpus == 0);
}

/* Guards against a machine that is rented in place of one that has just come up: its owner has not
 * checked it yet, so it is not usable. */
static void a_machine_is_joining_right_after_its_registration(void **state) {
  (void)state;
  replica.now = 50;
  put_machine(1);
  const struct tmx_machine *machine = tmx_machine_find(&replica, "n-1");
  assert_false(tmx_machine_is_joining(machine, 50)); /* registered some time before the load */
  tmx_replica_clear(&replica);
  replica.loaded = true;
  replica.now = 100;
  put_machine(1);
  machine = tmx_machine_find(&replica, "n-1");
  assert_true(tmx_machine_is_joining(machine, 100.5));
  assert_false(tmx_machine_is_joining(machine, 100 + TMX_MACHINE_JOIN_S));
  replica.now = 200;
  put_machine(2); /* the line is repeated */
  assert_false(tmx_machine_is_joining(machine, 200.5));
}

static void tasks_of_a_dropped_machine_wait_again(void **state) {
  (void)state;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  replica_fixture_apply_line("1", 3, "p wk-1/0 1 n-1");
  replica_fixture_apply_line("2", 3, "p wk-1/1 1 n-1");
  replica_fixture_apply_line("3", 4, "x n-1");
  assert_int_equal(task(0)->state, TMX_TASK_WAITING);
  assert_int_equal(task(1)->state, TMX_TASK_WAITING);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->n_placed, 0);
  assert_true(replica.team_usage[0].cpus == 0);
  assert_null(tmx_machine_find(&replica, "n-1"));
}

static void cancelled_tasks_count_as_usage_until_they_end(void **state) {
  (void)state;
  replica.loaded = true;
  put_job(1, 0);
  put_machine(2);
  replica_fixture_apply_line("1", 3, "p wk-1/0 1 n-1");
  put_job(4, TMX_JOB_CANCELLED);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->outcome, TMX_JOB_CANCELLED);
  assert_true(replica.team_usage[0].cpus == 2);
  replica_fixture_apply_line("2", 5, "e wk-1/0 1 s");
  assert_true(replica.team_usage[0].cpus == 0);
}

/* The pages of a load are read at different revisions, and the events since the first page are
 * delivered again. */
static void pages_read_at_different_revisions_give_one_state(void **state) {
  (void)state;
  replica.load_revision = 9;
  put_job(1, 0);
  replica_fixture_apply_line("9", 8,
                             "p wk-1/0 2 n-1"); /* from a page that was read at a later revision */
  put_machine(2);
  replica_fixture_apply_line(
      "1", 3, "p wk-1/0 1 n-1"); /* the events since the first page are delivered again */
  replica_fixture_apply_line("2", 5, "e wk-1/0 1 s");
  replica_fixture_apply_line("9", 8, "p wk-1/0 2 n-1");
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
  replica_fixture_apply_line("1", 3,
                             "p wk-1/0 1 n-1"); /* the key that registered its machine is gone */
  replica_fixture_apply_line("2", 4, "p wk-1/1 1 n-1");
  replica_fixture_apply_line("3", 5,
                             "e wk-1/1 1 d"); /* this task was done before its machine was lost */
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
  replica_fixture_apply(TMX_KEY_COMPACTION, version, &buffer);
}

/* Log keys are reused after a compaction, in any order. The batches left from before the compaction
 * point are therefore incomplete: they must not restore a machine whose removal was overwritten. */
static void batches_before_the_compaction_point_do_not_count(void **state) {
  (void)state;
  replica.load_revision = 30;
  put_compaction_point(20, 12);
  put_job(1, 0);
  replica_fixture_apply_line(
      "1", 3, "m n-1 127.0.0.1:1 big a 0 0"); /* its removal, at version 9, was overwritten */
  replica_fixture_apply_line("2", 4, "p wk-1/0 1 n-1");
  replica_fixture_apply_line("3", 25, "m n-2 127.0.0.1:2 big a 0 0");
  replica_fixture_apply_line("4", 26, "p wk-1/1 1 n-2");
  tmx_replica_advance_to(&replica, 30);
  assert_null(tmx_machine_find(&replica, "n-1"));
  /* The batch with the placement is ignored, and no page holds the number of the attempt. */
  assert_int_equal(task(0)->attempt, 0);
  assert_int_equal(task(1)->state, TMX_TASK_PLACED);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->placed_in_zone[0], 1);
}

/* A page holds ranges of tasks with equal state, and the record of a job that has no key of its
 * own. */
static void task_ranges_in_a_page_are_read_and_written(void **state) {
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
  put_compaction_point(6, 4); /* the key of the compaction point is read first */
  replica_fixture_apply(TMX_KEY_PAGE "0000000000000004/00000", 5, &value);
  replica_fixture_apply_line("9", 8, "p wk-1/7 1 n-1");
  tmx_replica_advance_to(&replica, 9);
  struct tmx_job *job = tmx_job_find(&replica, "wk-1");
  assert_int_equal(job->n_done, 4);
  assert_int_equal(job->n_placed, 2);
  assert_int_equal(task(5)->attempt, 3);
  assert_int_equal(task(6)->stop_mode, 2);
  assert_true(tmx_machine_find(&replica, "n-1")->draining &&
              tmx_machine_find(&replica, "n-1")->spot);
  /* the ranges are written as the same lines */
  char line[TMX_LOG_LINE_BYTES];
  int length;
  assert_int_equal(tmx_task_range_line_print(line, sizeof line, job, 0, &length), 4);
  assert_string_equal(line, "t wk-1/0 4 2 d -");
  assert_int_equal(tmx_task_range_line_print(line, sizeof line, job, 8, &length), 1);
  assert_int_equal(length, 0);
}

/* An abandoned compaction leaves pages behind. A task that is placed in them and ended before the
 * compaction point of the next compaction is in no page of that compaction, and the batch with its
 * end is ignored. If the old page counted, the task would stay booked and count towards its team's
 * limit for the life of the replica. */
static void pages_of_an_abandoned_compaction_do_not_count(void **state) {
  (void)state;
  struct tmx_buffer jobs = {0}, lines = {0}, value = {0};
  replica.load_revision = 30;
  put_compaction_point(20, 12);
  put_job(10, TMX_JOB_DONE);
  tmx_cbor_put_text(&lines, "m n-1 127.0.0.1:1 big a 0 0");
  tmx_cbor_put_text(&lines, "t wk-1/0 1 1 p n-1");
  tmx_log_value_encode(&value, &jobs, 0, &lines, 2);
  replica_fixture_apply(TMX_KEY_PAGE "0000000000000005/00000", 7,
                        &value); /* of the abandoned compaction */
  replica_fixture_apply_line("1", 9, "e wk-1/0 1 d");
  value.length = lines.length = 0;
  tmx_cbor_put_text(&lines, "m n-1 127.0.0.1:1 big a 0 0");
  tmx_log_value_encode(&value, &jobs, 0, &lines, 1);
  replica_fixture_apply(TMX_KEY_PAGE "000000000000000c/00000", 14, &value);
  tmx_buffer_free(&lines);
  tmx_replica_advance_to(&replica, 30);
  assert_true(tmx_machine_find(&replica, "n-1")->registered);
  assert_true(tmx_machine_find(&replica, "n-1")->booked_cpus == 0);
  assert_true(replica.team_usage[0].cpus == 0);
  assert_int_equal(tmx_job_find(&replica, "wk-1")->n_placed, 0);
}

/* Estimates of a class that are mostly too low are corrected by the measured run times of that
 * class. A single outlier must have little effect, and other classes must not change. */
static void run_time_estimates_are_corrected_by_class(void **state) {
  (void)state;
  struct tmx_job_spec spec = {.estimate_s = 50}, other_class = {.estimate_s = 50};
  strcpy(spec.class, "c");
  strcpy(other_class.class, "d");
  assert_true(tmx_run_estimate_expected(&replica, &spec) == 50);
  for (int i = 0; i < 100; i++) tmx_run_estimate_observe(&replica, &spec, i % 2 ? 90 : 110);
  tmx_run_estimate_observe(&replica, &spec, 1e6);
  assert_true(tmx_run_estimate_expected(&replica, &spec) > 90 &&
              tmx_run_estimate_expected(&replica, &spec) < 110);
  assert_true(tmx_run_estimate_expected(&replica, &other_class) == 50);
  for (int i = 0; i < 100; i++) { /* the number of classes is bounded */
    snprintf(other_class.class, sizeof other_class.class, "x%d", i);
    tmx_run_estimate_observe(&replica, &other_class, 10);
  }
  assert_int_equal(replica.n_run_estimates, TMX_RUN_ESTIMATES_MAX);
}

static struct tmx_operation operation_of(char kind, uint32_t i, uint32_t attempt,
                                         const char *machine, char reason) {
  struct tmx_operation operation = {.kind = kind, .task = i, .attempt = attempt, .reason = reason};
  strcpy(operation.job, "wk-1");
  strcpy(operation.machine, machine);
  return operation;
}

/* After a transaction conflict, each operation of the batch is checked again on the committed state
 * with the effects of the operations before it. Limits, free capacity and attempt numbers must hold
 * whatever was committed in between. */
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
  /* The first two fill the machine. */
  assert_false(tmx_operation_check_apply(&check, &place_third));
  replica_fixture_apply_line("1", 3,
                             "p wk-1/0 1 n-1"); /* another controller placed the same task first */
  tmx_operation_check_begin(&check, &replica);
  assert_false(tmx_operation_check_apply(&check, &place_first));
  assert_true(tmx_operation_check_apply(&check, &place_second));
  assert_false(tmx_operation_check_apply(&check, &place_third));
  tmx_operation_check_begin(&check, &replica);
  /* An end in the same batch frees capacity. */
  assert_true(tmx_operation_check_apply(&check, &end_of_first));
  assert_true(tmx_operation_check_apply(&check, &place_second));
  assert_true(tmx_operation_check_apply(&check, &place_third));
  assert_false(tmx_operation_check_apply(
      &check, &place_first)); /* the next attempt of that task has another number */
  settings.teams[0].cpus_max = 4;
  tmx_operation_check_begin(&check, &replica);
  assert_true(tmx_operation_check_apply(&check, &place_second));
  tmx_machine_find(&replica, "n-1")->capacity_cpus = 64;
  assert_false(tmx_operation_check_apply(&check, &place_third)); /* exceeds the team's limit */
  replica_fixture_apply_line("2", 4, "d n-1 1");
  tmx_operation_check_begin(&check, &replica);
  assert_false(tmx_operation_check_apply(&check, &place_second)); /* the machine is draining */
  replica_fixture_apply_line("3", 5, "d n-1 0");
  put_job(6, TMX_JOB_CANCELLED);
  tmx_operation_check_begin(&check, &replica);
  assert_false(tmx_operation_check_apply(&check, &place_second));
}

static void put_view(uint64_t version, size_t count, const char *override_owner) {
  struct tmx_owner_override override;
  struct tmx_view view = {.term = version, .n_members = count};
  struct tmx_buffer buffer = {0};
  for (size_t i = 0; i < count; i++) {
    snprintf(view.members[i].name, TMX_NAME_BYTES, "hand-%zu", i);
    view.members[i].incarnation = i + 1;
  }
  if (override_owner) {
    strcpy(override.machine, "n-7");
    strcpy(override.node, override_owner);
    view.overrides = &override;
    view.n_overrides = 1;
  }
  tmx_view_encode(&buffer, &view);
  replica_fixture_apply(TMX_KEY_VIEW, version, &buffer);
}

static void only_machines_of_a_lost_member_change_owner(void **state) {
  (void)state;
  char previous_owner[64][8], id[16];
  int moved = 0, owned[3] = {0};
  assert_null(tmx_machine_owner(&replica, "n-1"));
  put_view(1, 3, NULL);
  for (int i = 0; i < 64; i++) {
    snprintf(id, sizeof id, "n-%06d", i);
    snprintf(previous_owner[i], sizeof previous_owner[i], "%s", tmx_machine_owner(&replica, id));
    owned[previous_owner[i][5] - '0']++;
  }
  for (int i = 0; i < 3; i++) assert_true(owned[i] > 8); /* about a third each */
  put_view(2, 2, NULL); /* hand-2 left: only its machines change owner */
  for (int i = 0; i < 64; i++) {
    snprintf(id, sizeof id, "n-%06d", i);
    bool unchanged = !strcmp(previous_owner[i], tmx_machine_owner(&replica, id));
    assert_true(unchanged || !strcmp(previous_owner[i], "hand-2"));
    moved += !unchanged;
  }
  assert_int_equal(moved, owned[2]);
  put_view(3, 2, "hand-0");
  assert_string_equal(tmx_machine_owner(&replica, "n-7"), "hand-0");
  put_view(4, 2, "hand-2"); /* an override that names a node that left is ignored */
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
      cmocka_unit_test_setup_teardown(a_machine_is_joining_right_after_its_registration, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(tasks_of_a_dropped_machine_wait_again, setup, teardown),
      cmocka_unit_test_setup_teardown(cancelled_tasks_count_as_usage_until_they_end, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(pages_read_at_different_revisions_give_one_state, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_load_releases_tasks_of_lost_machines, setup, teardown),
      cmocka_unit_test_setup_teardown(batches_before_the_compaction_point_do_not_count, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(task_ranges_in_a_page_are_read_and_written, setup, teardown),
      cmocka_unit_test_setup_teardown(pages_of_an_abandoned_compaction_do_not_count, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(run_time_estimates_are_corrected_by_class, setup, teardown),
      cmocka_unit_test_setup_teardown(operations_are_checked_again_after_a_conflict, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(only_machines_of_a_lost_member_change_owner, setup, teardown),
      cmocka_unit_test(an_operation_line_is_read_as_written),
  };
  return RUN_TESTS(tests);
}
