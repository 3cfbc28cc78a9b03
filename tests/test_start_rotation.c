/* Tests the rotation of starts. It guards against starvation: without it, many small jobs, which
 * come first in the order of a round, take all capacity that becomes free. */
#include "fake.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "planner/planner.h"

enum { SMALL_JOBS = 40 };

static void add_delta_job(struct tmx_planner_delta *delta, double released, bool small, int slot) {
  struct tmx_plan_job *job = tmx_planner_delta_add_job(delta);
  job->slot = slot;
  snprintf(job->id, sizeof job->id, "wk-%06d", slot);
  job->spec = calloc(1, sizeof *job->spec);
  job->spec->tasks = small ? 1 : 30;
  job->spec->cpus = 1;
  job->spec->mem_gb = 1;
  job->spec->fetch_tolerance_s = 10;
  job->spec->priority = job->priority = TMX_PRIORITY_NORMAL;
  job->account = small ? 0 : 1;
  job->required_zone = -1;
  job->released_at = released;
  job->unplaced_since = 1;
  job->completion_target_s = job->next_completion_target_s = 600;
  job->expected_run_s = 10;
  job->open = true;
  job->n_waiting = job->spec->tasks;
  job->waiting = calloc(job->n_waiting, sizeof *job->waiting);
  for (uint32_t i = 0; i < job->n_waiting; i++)
    job->waiting[i] = (struct tmx_plan_waiting_task){i, 1};
}

/* The cluster, the times and the settings of a round. */
struct rotation_case {
  double start_s;     /* interval at which a class gets a start, s; 0: no rotation */
  double since_start; /* time since the last start of the larger job's class, s */
  double free_cpus;   /* free CPUs of the only machine, which has 4 */
  double cpus;        /* CPUs of a task of the larger job */
  bool leading;
  double released; /* release time of the larger job; now is 1000, the small jobs are 40 s older */
};

/* Runs a round with one larger job and many small ones, which come first in the order. Returns the
 * number of placed tasks. Sets *larger if a task of the larger job is among them. */
static size_t tasks_placed_among_small_jobs(struct rotation_case input_case, bool *larger) {
  struct tmx_planner *planner = tmx_planner_new();
  struct tmx_planner_delta delta = {0};
  struct tmx_round_output output;
  struct tmx_round_input *input = calloc(1, sizeof *input);
  *input = (struct tmx_round_input){
      .n_zones = 1, .leading = input_case.leading, .max_operations = 400, .max_visits = 400000};
  input->n_teams = 1;
  input->now_steady = input->now_wall = 1000;
  input->start_rotation.start_s = input_case.start_s;
  input->start_rotation.since_start_s[0][1] = input_case.since_start;
  struct tmx_plan_machine *machine = tmx_planner_delta_add_machine(&delta);
  strcpy(machine->id, "n-000001");
  strcpy(machine->type, "big");
  machine->usable = true;
  machine->cpus = 4;
  machine->booked_cpus = 4 - input_case.free_cpus;
  machine->mem_gb = 64;
  for (int i = 0; i < SMALL_JOBS; i++) add_delta_job(&delta, input_case.released - 40, true, i);
  add_delta_job(&delta, input_case.released, false, SMALL_JOBS);
  delta.jobs[SMALL_JOBS].spec->cpus = input_case.cpus;
  tmx_planner_apply(planner, &delta);
  tmx_planner_run_round(planner, input, &output);
  size_t n = output.n_operations;
  *larger = false;
  for (size_t i = 0; i < n; i++) *larger |= !strcmp(output.operations[i].job, "wk-000040");
  free(output.operations);
  input->start_rotation.start_s = 0; /* reserved capacity is free in a round without rotation */
  tmx_planner_run_round(planner, input, &output);
  assert_int_equal(output.n_operations, (size_t)input_case.free_cpus);
  free(output.operations);
  tmx_planner_delta_clear(&delta);
  tmx_planner_free(planner);
  free(input);
  return n;
}

static void a_waiting_class_gets_a_start_among_many_small_jobs(void **state) {
  (void)state;
  static const struct {
    struct rotation_case given;
    bool larger;
  } cases[] = {{{0, TMX_NEVER_S, 1, 1, true, 940}, false},    /* no rotation: least work first */
               {{45, TMX_NEVER_S, 1, 1, true, 940}, true},    /* the job has waited 60 s */
               {{45, 20, 1, 1, true, 940}, false},            /* the class had a start 20 s ago */
               {{100, TMX_NEVER_S, 1, 1, true, 940}, false}}; /* the job has not waited 100 s */
  bool larger;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
    assert_int_equal(tasks_placed_among_small_jobs(cases[i].given, &larger), 1);
    assert_int_equal(larger, cases[i].larger);
  }
}

/* Jobs that have waited for at least 150 s without a started task are tried in rotation of their
 * classes: first the oldest job of each class, then the second oldest. With start_s 0 there is no
 * rotation. */
static void aged_jobs_start_in_rotation_of_their_classes(void **state) {
  (void)state;
  bool larger;
  struct rotation_case aged = {TMX_NEVER_S, 0, 2, 1, true, 800};
  assert_int_equal(tasks_placed_among_small_jobs(aged, &larger), 2);
  assert_true(larger);
  aged.start_s = 0;
  assert_int_equal(tasks_placed_among_small_jobs(aged, &larger), 2);
  assert_false(larger);
}

static void a_machine_is_kept_free_for_a_large_task(void **state) {
  (void)state;
  bool larger;
  struct rotation_case wide = {45, TMX_NEVER_S, 2, 4, true, 940};
  assert_int_equal(tasks_placed_among_small_jobs(wide, &larger),
                   0); /* the small jobs get none of the 2 free CPUs */
  wide.free_cpus = 4;
  assert_int_equal(tasks_placed_among_small_jobs(wide, &larger), 1);
  assert_true(larger);
  struct rotation_case not_due = {45, 20, 2, 4, true, 940},
                       follower = {45, TMX_NEVER_S, 2, 4, false, 940};
  assert_int_equal(tasks_placed_among_small_jobs(not_due, &larger), 2);
  assert_int_equal(tasks_placed_among_small_jobs(follower, &larger), 2);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(a_waiting_class_gets_a_start_among_many_small_jobs),
      cmocka_unit_test(aged_jobs_start_in_rotation_of_their_classes),
      cmocka_unit_test(a_machine_is_kept_free_for_a_large_task),
  };
  return RUN_TESTS(tests);
}
