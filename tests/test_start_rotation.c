/* Starts by rotation: classes and aged jobs get their turn in a round beside a flood. */
#include "fake.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "planner/planner.h"

enum { FLOOD = 40 };

static void fill_delta(struct tmx_planner_delta *feed, double released, bool flooder, int slot) {
  struct tmx_plan_job *job = tmx_planner_delta_add_job(feed);
  job->slot = slot;
  snprintf(job->id, sizeof job->id, "wk-%06d", slot);
  job->spec = calloc(1, sizeof *job->spec);
  job->spec->tasks = flooder ? 1 : 30;
  job->spec->cpus = 1;
  job->spec->mem_gb = 1;
  job->spec->fetch_tolerance_s = 10;
  job->spec->priority = job->priority = TMX_PRIORITY_NORMAL;
  job->account = flooder ? 0 : 1;
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

struct rotation_case {
  double start_s, since_start; /* of the larger job's class */
  double free_cpus, cpus;      /* of the one machine of 4; what a task of the larger job takes */
  bool leading;
  double
      released; /* time of day of the larger job, which is 1000 now; the flood came 40 s before */
};

/* What is placed beside a flood of small jobs, which stand before the larger one in the order.
 * Returns how many tasks; *larger: the first of them is the larger job's. */
static size_t placed_beside_a_flood(struct rotation_case x, bool *larger) {
  struct tmx_planner *model = tmx_planner_new();
  struct tmx_planner_delta delta = {0};
  struct tmx_round_output output;
  struct tmx_round_input *input = calloc(1, sizeof *input);
  *input = (struct tmx_round_input){
      .n_zones = 1, .leading = x.leading, .max_operations = 400, .max_visits = 400000};
  input->n_teams = 1;
  input->now_steady = input->now_wall = 1000;
  input->start_rotation.start_s = x.start_s;
  input->start_rotation.since_start_s[0][1] = x.since_start;
  struct tmx_plan_machine *machine = tmx_planner_delta_add_machine(&delta);
  strcpy(machine->id, "n-000001");
  strcpy(machine->type, "big");
  machine->usable = true;
  machine->cpus = 4;
  machine->booked_cpus = 4 - x.free_cpus;
  machine->mem_gb = 64;
  for (int i = 0; i < FLOOD; i++) fill_delta(&delta, x.released - 40, true, i);
  fill_delta(&delta, x.released, false, FLOOD);
  delta.jobs[FLOOD].spec->cpus = x.cpus;
  tmx_planner_apply(model, &delta);
  tmx_planner_run_round(model, input, &output);
  size_t n = output.n_operations;
  *larger = false;
  for (size_t i = 0; i < n; i++) *larger |= !strcmp(output.operations[i].job, "wk-000040");
  free(output.operations);
  input->start_rotation.start_s = 0; /* what was kept free is free again in a round without turns */
  tmx_planner_run_round(model, input, &output);
  assert_int_equal(output.n_operations, (size_t)x.free_cpus);
  free(output.operations);
  tmx_planner_delta_clear(&delta);
  tmx_planner_free(model);
  free(input);
  return n;
}

static void a_class_gets_a_start_beside_a_flood(void **state) {
  (void)state;
  static const struct {
    struct rotation_case given;
    bool larger;
  } cases[] = {{{0, TMX_NEVER_S, 1, 1, true, 940}, false},    /* no turns: least work goes first */
               {{45, TMX_NEVER_S, 1, 1, true, 940}, true},    /* it has waited 60 s */
               {{45, 20, 1, 1, true, 940}, false},            /* its class had a start 20 s ago */
               {{100, TMX_NEVER_S, 1, 1, true, 940}, false}}; /* it has not waited that long */
  bool larger;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
    assert_int_equal(placed_beside_a_flood(cases[i].given, &larger), 1);
    assert_int_equal(larger, cases[i].larger);
  }
}

/* Jobs that waited 150 s begin in turns of their classes, the older class first. */
static void aged_jobs_begin_in_rotation(void **state) {
  (void)state;
  bool larger;
  struct rotation_case waited_long = {TMX_NEVER_S, 0, 2, 1, true, 800};
  assert_int_equal(placed_beside_a_flood(waited_long, &larger), 2);
  assert_true(larger);
  waited_long.start_s = 0;
  assert_int_equal(placed_beside_a_flood(waited_long, &larger), 2);
  assert_false(larger);
}

static void a_machine_is_kept_free_for_a_large_task(void **state) {
  (void)state;
  bool larger;
  struct rotation_case wide = {45, TMX_NEVER_S, 2, 4, true, 940};
  assert_int_equal(placed_beside_a_flood(wide, &larger), 0); /* the flood gets none of the 2 free */
  wide.free_cpus = 4;
  assert_int_equal(placed_beside_a_flood(wide, &larger), 1);
  assert_true(larger);
  struct rotation_case not_due = {45, 20, 2, 4, true, 940},
                       follower = {45, TMX_NEVER_S, 2, 4, false, 940};
  assert_int_equal(placed_beside_a_flood(not_due, &larger), 2);
  assert_int_equal(placed_beside_a_flood(follower, &larger), 2);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(a_class_gets_a_start_beside_a_flood),
      cmocka_unit_test(aged_jobs_begin_in_rotation),
      cmocka_unit_test(a_machine_is_kept_free_for_a_large_task),
  };
  return RUN_TESTS(tests);
}
