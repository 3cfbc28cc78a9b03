/* Decides from the log whether an error is the fault of the machine or of the job. */
#include "replica_fixture.h"
#include "test.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "replica/machine_faults.h"
#include "replica/replica.h"

static uint64_t version;
static uint32_t attempt;

static void put_line(const char *format, ...) {
  char line[128], number[16];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(line, sizeof line, format, arguments);
  va_end(arguments);
  snprintf(number, sizeof number, "%06u", (unsigned)++version);
  replica_fixture_apply_line(number, version, line);
}

static void put_job(int job) {
  struct tmx_job_spec spec = {.tasks = 100, .cpus = 1, .mem_gb = 1, .deadline_s = -1};
  struct tmx_buffer buffer = {0};
  char id[TMX_ID_BYTES], key[64];
  strcpy(spec.class, "c");
  strcpy(spec.team, "t");
  strcpy(spec.image, "i");
  snprintf(id, sizeof id, "wk-%d", job);
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
  tmx_job_encode(&buffer, id, &spec, 5, TMX_JOB_OPEN);
  replica_fixture_apply(key, ++version, &buffer);
}

enum { MACHINES = 8, JOBS = 8 };

static int setup_unloaded(void **state) {
  (void)state;
  replica_fixture_init();
  version = 0;
  attempt = 0;
  replica.now = 1000;
  for (int job = 1; job <= JOBS; job++) put_job(job);
  for (int i = 1; i <= MACHINES; i++) put_line("m n-%d 127.0.0.1:%d big a 0 0", i, i);
  return 0;
}
static struct tmx_machine *machine(int number) {
  char id[TMX_ID_BYTES];
  snprintf(id, sizeof id, "n-%d", number);
  return tmx_machine_find(&replica, id);
}

static void set_all_usable(bool usable) {
  for (int i = 1; i <= MACHINES; i++) machine(i)->usable = usable;
}

static void advance(double seconds) {
  replica.now += seconds;
  replica.fresh_as_of = replica.now;
}

static int setup(void **state) {
  setup_unloaded(state);
  set_all_usable(true);
  replica.loaded = true;
  return 0;
}
static int teardown(void **state) {
  (void)state;
  tmx_replica_clear(&replica);
  return 0;
}

/* Runs `count` attempts of the job on the machine, all of which end like this. */
static void run_attempts(int job, int on_machine, uint32_t count, char end) {
  for (uint32_t i = 0; i < count; i++) {
    uint32_t task = end == TMX_END_DONE ? 50 + attempt % 50 : 0;
    attempt++;
    put_line("p wk-%d/%u %u n-%d", job, task, attempt, on_machine);
    put_line("e wk-%d/%u %u %c", job, task, attempt, end);
  }
}
static void fail_on(int job, int on_machine, uint32_t count) {
  run_attempts(job, on_machine, count, TMX_END_ERROR);
}
static void complete_on(int job, int on_machine) { run_attempts(job, on_machine, 1, TMX_END_DONE); }

static unsigned count_faulty(void) {
  unsigned count = 0;
  for (int i = 1; i <= MACHINES; i++) {
    tmx_machine_faults_update(&replica, machine(i), replica.now);
    count += machine(i)->condition == TMX_MACHINE_FAULTY;
  }
  return count;
}

/* A faulty machine is found at the fourth error, as soon as a second job fails on it. */
static void a_machine_on_which_several_jobs_fail_is_faulty(void **state) {
  (void)state;
  fail_on(1, 1, 10);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_SOUND);
  fail_on(2, 1, 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
  fail_on(3, 2, 2);
  fail_on(4, 2, 1);
  assert_int_equal(machine(2)->condition, TMX_MACHINE_SOUND);
  fail_on(4, 2, 1);
  assert_int_equal(machine(2)->condition, TMX_MACHINE_FAULTY);
}

/* A job that completes its tasks elsewhere shows a faulty machine alone, but not if some of its
 * tasks fail anywhere. */
static void one_sound_job_shows_a_faulty_machine(void **state) {
  (void)state;
  complete_on(1, 8);
  fail_on(1, 1, 3);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_SOUND);
  fail_on(1, 1, 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
  for (int i = 2; i <= 4; i++) fail_on(1, i, 4);
  assert_int_equal(count_faulty(), 0);
}

/* Four jobs of one task each: each fails on the faulty machine once. */
static void jobs_of_one_task_show_a_faulty_machine(void **state) {
  (void)state;
  for (int job = 1; job <= 4; job++) {
    assert_int_equal(machine(1)->condition, TMX_MACHINE_SOUND);
    fail_on(job, 1, 1);
  }
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
}

/* Guards against machines that count as faulty because of jobs with a mistake (review/3). */
static void jobs_that_fail_everywhere_make_no_machine_faulty(void **state) {
  (void)state;
  for (int job = 1; job <= 3; job++)
    for (int i = 1; i <= MACHINES; i++) fail_on(job, i, 10);
  assert_int_equal(count_faulty(), 0);
}

/* The first machine looks faulty until the jobs have failed elsewhere too. */
static void errors_elsewhere_clear_a_machine(void **state) {
  (void)state;
  fail_on(1, 1, 4);
  fail_on(2, 1, 4);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
  for (int i = 2; i <= 3; i++) {
    fail_on(1, i, 1);
    fail_on(2, i, 1);
  }
  assert_int_equal(count_faulty(), 0);
}

static void a_faulty_machine_is_found_among_jobs_that_fail_everywhere(void **state) {
  (void)state;
  for (int job = 1; job <= 2; job++)
    for (int i = 1; i <= MACHINES; i++) fail_on(job, i, 10);
  fail_on(3, 1, 2);
  assert_int_equal(count_faulty(), 0);
  fail_on(4, 1, 2);
  assert_int_equal(count_faulty(), 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
}

/* Jobs that have completed tasks have no mistake, on however many machines they fail. */
static void several_faulty_machines_are_found(void **state) {
  (void)state;
  complete_on(1, 8);
  complete_on(2, 8);
  for (int i = 1; i <= 7; i++) {
    fail_on(1, i, 2);
    fail_on(2, i, 2);
  }
  assert_int_equal(count_faulty(), 7);
}

static void place_on(int job, uint32_t task, int on_machine) {
  put_line("p wk-%d/%u %u n-%d", job, task, ++attempt, on_machine);
}

/* Several faulty machines take all new tasks of a job, one after the other. Another of its tasks
 * outlasts them, which shows that the job has no mistake. */
static void a_task_that_survives_shows_several_faulty_machines(void **state) {
  (void)state;
  for (int job = 1; job <= 2; job++) {
    place_on(job, 1, 8);
    for (int i = 1; i <= 5; i++) fail_on(job, i, 2);
  }
  advance(TMX_TASK_SURVIVAL_S - 1);
  assert_int_equal(count_faulty(), 0);
  advance(2);
  assert_int_equal(count_faulty(), 5);
  assert_int_equal(machine(8)->condition, TMX_MACHINE_SOUND);
}

/* Tasks whose end may be unknown, as their machine hangs or the store is out, are no survivors. */
static void a_task_that_cannot_be_observed_is_no_survivor(void **state) {
  (void)state;
  for (int job = 1; job <= 2; job++) {
    for (int i = 1; i <= 5; i++) fail_on(job, i, 2);
    place_on(job, 1, 8);
  }
  replica.now += 2 * TMX_TASK_SURVIVAL_S; /* the store is out */
  assert_int_equal(count_faulty(), 0);
  set_all_usable(false);
  advance(2);
  assert_int_equal(count_faulty(), 0);
}

/* A task that waits long for its image and then fails has not survived. */
static void a_task_that_fails_late_is_no_survivor(void **state) {
  (void)state;
  for (int job = 1; job <= 2; job++) {
    for (int i = 1; i <= 4; i++) fail_on(job, i, 2);
    place_on(job, 5, 5);
  }
  advance(TMX_TASK_SURVIVAL_S - 1);
  put_line("e wk-1/5 %u e", attempt - 9);
  put_line("e wk-2/5 %u e", attempt);
  for (int job = 1; job <= 2; job++) place_on(job, 6, 6);
  advance(TMX_TASK_SURVIVAL_S + 1);
  assert_int_equal(count_faulty(), 0);
}

/* Two faulty machines and jobs of one task, each of which fails on both. */
static void jobs_of_one_task_show_two_faulty_machines(void **state) {
  (void)state;
  for (int job = 1; job <= 4; job++) {
    fail_on(job, 1, 1);
    fail_on(job, 2, 1);
  }
  assert_int_equal(count_faulty(), 2);
}

static void a_success_clears_a_machine(void **state) {
  (void)state;
  fail_on(1, 1, 4);
  fail_on(2, 1, 4);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
  complete_on(3, 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_SOUND);
}

/* A machine that has become faulty still completes the tasks that it started before. */
static void tasks_started_before_the_errors_clear_nothing(void **state) {
  (void)state;
  place_on(3, 1, 1);
  uint32_t early_attempt = attempt;
  advance(10);
  fail_on(1, 1, 4);
  put_line("e wk-3/1 %u d", early_attempt);
  fail_on(2, 1, 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
  advance(10);
  complete_on(3, 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_SOUND);
}

static enum tmx_machine_condition condition_after(double seconds) {
  advance(seconds);
  tmx_machine_faults_update(&replica, machine(1), replica.now);
  return machine(1)->condition;
}

/* A machine without errors for a while is tried again. One more error is enough then. */
static void a_faulty_machine_comes_on_probation(void **state) {
  (void)state;
  fail_on(1, 1, 2);
  fail_on(2, 1, 2);
  assert_int_equal(condition_after(TMX_FAULTY_MACHINE_QUARANTINE_S - 1), TMX_MACHINE_FAULTY);
  assert_int_equal(condition_after(2), TMX_MACHINE_ON_PROBATION);
  assert_int_equal(condition_after(1000), TMX_MACHINE_ON_PROBATION);
  fail_on(3, 1, 1);
  assert_int_equal(condition_after(0), TMX_MACHINE_FAULTY);
  assert_int_equal(condition_after(TMX_FAULTY_MACHINE_QUARANTINE_S + 1), TMX_MACHINE_ON_PROBATION);
  complete_on(3, 1);
  assert_int_equal(condition_after(0), TMX_MACHINE_SOUND);
}

/* Errors of a job with a mistake do not keep a machine out of use. */
static void errors_of_a_mistake_do_not_prolong_the_quarantine(void **state) {
  (void)state;
  for (int i = 2; i <= 6; i++) fail_on(3, i, 1);
  fail_on(1, 1, 2);
  fail_on(2, 1, 2);
  advance(TMX_FAULTY_MACHINE_QUARANTINE_S - 1);
  fail_on(3, 1, 5);
  assert_int_equal(condition_after(2), TMX_MACHINE_ON_PROBATION);
}

/* A replica never completes. If it was placed after the errors and stays, the machine is sound. */
static void a_task_that_survives_clears_its_machine(void **state) {
  (void)state;
  place_on(4, 1, 1);
  advance(1);
  fail_on(1, 1, 2);
  fail_on(2, 1, 2);
  assert_int_equal(condition_after(40), TMX_MACHINE_ON_PROBATION);
  place_on(3, 1, 1);
  assert_int_equal(condition_after(TMX_TASK_SURVIVAL_S - 1), TMX_MACHINE_ON_PROBATION);
  assert_int_equal(condition_after(2), TMX_MACHINE_SOUND);
}

/* More jobs than a machine remembers: the oldest are forgotten, and nothing else is. */
static void the_oldest_job_is_forgotten(void **state) {
  (void)state;
  put_job(9);
  for (int job = 1; job <= 9; job++) fail_on(job, 1, 1);
  assert_int_equal(machine(1)->n_errors, TMX_FAILED_JOBS_KEPT);
  assert_string_equal(machine(1)->errors[0].job->id, "wk-2");
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
}

/* A replica that is loaded reaches the same decision from the same log. */
static void a_load_gives_the_same_decision(void **state) {
  (void)state;
  fail_on(3, 1, 2);
  fail_on(4, 1, 2);
  for (int job = 1; job <= 2; job++)
    for (int i = 1; i <= MACHINES; i++) fail_on(job, i, 10);
  replica.load_revision = version;
  tmx_replica_advance_to(&replica, version);
  assert_true(replica.loaded);
  assert_int_equal(count_faulty(), 1);
  assert_int_equal(machine(1)->condition, TMX_MACHINE_FAULTY);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_machine_on_which_several_jobs_fail_is_faulty, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(one_sound_job_shows_a_faulty_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(jobs_of_one_task_show_a_faulty_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(jobs_that_fail_everywhere_make_no_machine_faulty, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(errors_elsewhere_clear_a_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(a_faulty_machine_is_found_among_jobs_that_fail_everywhere,
                                      setup, teardown),
      cmocka_unit_test_setup_teardown(several_faulty_machines_are_found, setup, teardown),
      cmocka_unit_test_setup_teardown(jobs_of_one_task_show_two_faulty_machines, setup, teardown),
      cmocka_unit_test_setup_teardown(a_task_that_survives_shows_several_faulty_machines, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_task_that_cannot_be_observed_is_no_survivor, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_task_that_fails_late_is_no_survivor, setup, teardown),
      cmocka_unit_test_setup_teardown(a_success_clears_a_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(tasks_started_before_the_errors_clear_nothing, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_faulty_machine_comes_on_probation, setup, teardown),
      cmocka_unit_test_setup_teardown(errors_of_a_mistake_do_not_prolong_the_quarantine, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(a_task_that_survives_clears_its_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(the_oldest_job_is_forgotten, setup, teardown),
      cmocka_unit_test_setup_teardown(a_load_gives_the_same_decision, setup_unloaded, teardown),
  };
  return RUN_TESTS(tests);
}
