/* The order of a round: aged jobs begin, bounded rounds reach every job, and deltas give the plan
 * of a fresh start. */
#include "planned_cluster.h"
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "planner/planner.h"
#include "tmx/constants.h"

/* However much small work comes, a job that has waited long gets a first task, and then a share. */
static void aged_jobs_begin(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(in, 0, false, 200, 4); /* large, so last in the order */
  add_job(in, 1, false, 200, 2);
  in->in.now_wall = in->in.now_steady = 1000;
  in->jobs[0].released_at = 1000 - TMX_AGED_JOB_S - 1;
  in->jobs[1].released_at = 999;
  in->machines[0].booked_cpus = 12;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_string_equal(output.operations[0].job, "wk-000000");
  free(output.operations);
  in->jobs[0].released_at = 990;
  run_round(in, &output);
  assert_string_equal(output.operations[0].job, "wk-000001");
  free(output.operations);
  /* begun, it still gets its share of what is placed over many rounds */
  in->jobs[0].released_at = 1000 - TMX_AGED_JOB_S - 1;
  in->jobs[0].n_done = 1;
  struct tmx_planner *planner = planner_of(in);
  int large = 0, all = 0;
  for (int i = 0; i < 200; i++) {
    tmx_planner_run_round(planner, &in->in, &output);
    for (size_t k = 0; k < output.n_operations; k++, all++)
      large += !strcmp(output.operations[k].job, "wk-000000");
    free(output.operations);
  }
  assert_true(large >= all * TMX_AGED_JOB_SHARE / 2 && large < all / 2);
  tmx_planner_free(planner);
  free_cluster(in);
}

/* Jobs without room use up a round's bound, each with another shape, round after round: the one
 * that has room, and comes last in the order, is placed all the same, and so are replicas. */
static void bounded_rounds_reach_every_job(void **st) {
  (void)st;
  for (int service = 0; service < 2; service++) {
    struct planned_cluster *in = make_cluster(64, 16, 1);
    for (size_t m = 0; m < 64; m++) in->machines[m].booked_cpus = 15;
    for (size_t k = 0; k < 15; k++)
      add_job(in, k, service, 2, 2 + 0.1 * (double)k)->mem_gb = 60 - (double)k;
    struct tmx_job_spec *spec = add_job(in, 15, service, 2, 1);
    spec->priority--; /* the last */
    in->in.max_visits = 600;
    struct tmx_planner *planner = planner_of(in);
    struct tmx_round_output output;
    bool placed = false, cut = false;
    for (int i = 0; i < 16 && !placed; i++) {
      tmx_planner_run_round(planner, &in->in, &output);
      placed = output.n_operations > 0;
      cut |= output.truncated;
      if (placed) assert_string_equal(output.operations[0].job, "wk-000015");
      free(output.operations);
    }
    assert_true(cut); /* the bound was in the way */
    assert_true(placed);
    tmx_planner_free(planner);
    free_cluster(in);
  }
}

/* What one job finds on the machines speaks for all alike, so many waiting replicas cost no more
 * than a few; not so where only its own replicas are in the way, or only its own controller's part
 * was looked at. */
static void identical_jobs_are_tried_once(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(64, 16, 1);
  struct tmx_round_output output;
  for (size_t m = 0; m < 64; m++) in->machines[m].booked_cpus = 15;
  for (size_t k = 0; k < 16; k++) add_job(in, k, true, 2, 2);
  run_round(in, &output);
  assert_int_equal(output.n_operations, 0);
  assert_in_range(output.visits, 64, 64 * 4);
  free(output.operations);
  /* the first one's replica is on the only machine with room: the others' go there */
  in->machines[7].booked_cpus = 0;
  add_running_task(in, 7, 0, 0, 50, false);
  in->jobs[0].n_placed = 1;
  in->jobs[0].n_waiting = 1;
  in->jobs[0].waiting[0].task = 1;
  run_round(in, &output);
  assert_true(output.n_operations >= 1);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_not_equal(output.operations[i].job, "wk-000000");
  free(output.operations);
  /* who does not lead looks at another's job first, in that one's part: it says nothing of its own
   */
  in->in.leading = false;
  in->jobs[0].planner = 1;
  in->machines[7].owner = 0;
  in->machines[7].n_tasks = 0;
  for (size_t m = 0; m < 64; m++) in->machines[m].owner = m == 7 ? 0 : 1;
  in->jobs[0].n_placed = 0;
  for (size_t k = 1; k < 16; k++) in->jobs[k].planner = 0;
  run_round(in, &output);
  assert_true(output.n_operations >= 1);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_equal(output.operations[i].machine, "n-000007");
  free(output.operations);
  free_cluster(in);
}

/* A planner that is fed with changes plans as one that is told everything anew, round after round,
 * and a round leaves its tables as they were. */
static void deltas_give_the_same_plan_as_a_fresh_start(void **st) {
  (void)st;
  gsl_rng *g = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(g, 42);
  struct planned_cluster *in = make_cluster(40, 12, 2);
  for (size_t k = 0; k < 12; k++) add_job(in, k, false, 20, 2);
  struct tmx_planner *planner = planner_of(in);
  for (int step = 0; step < 300; step++) {
    struct tmx_planner_delta f = {0};
    for (int i = 0; i < 5; i++) {
      size_t m = gsl_rng_uniform_int(g, 40), k = gsl_rng_uniform_int(g, 12);
      struct tmx_plan_machine *x = &in->machines[m];
      x->booked_cpus = 2.0 * (double)gsl_rng_uniform_int(g, 9);
      x->usable = gsl_rng_uniform_int(g, 5) > 0;
      x->draining = gsl_rng_uniform_int(g, 8) == 0;
      x->owner = (int)gsl_rng_uniform_int(g, 2);
      struct tmx_plan_machine *to = tmx_planner_delta_machine(&f);
      *to = *x;
      to->tasks = NULL;
      to->n_tasks = 0;
      struct tmx_plan_job *job = &in->jobs[k], *tj = tmx_planner_delta_job(&f);
      job->n_waiting = gsl_rng_uniform_int(g, 21);
      job->planner = (int)gsl_rng_uniform_int(g, 2);
      *tj = *job;
      tj->spec = NULL; /* as before */
      tj->waiting = calloc(21, sizeof *tj->waiting);
      memcpy(tj->waiting, job->waiting, job->n_waiting * sizeof *job->waiting);
    }
    tmx_planner_apply(planner, &f);
    struct tmx_round_output a, b, c;
    tmx_planner_run_round(planner, &in->in, &a);
    tmx_planner_run_round(planner, &in->in, &b);
    run_round(in, &c);
    assert_int_equal(a.n_operations, b.n_operations);
    for (size_t i = 0; i < a.n_operations; i++)
      assert_memory_equal(&a.operations[i], &b.operations[i], sizeof a.operations[i]);
    assert_int_equal(a.n_operations, c.n_operations);
    assert_int_equal(a.unplaced, c.unplaced);
    free(a.operations);
    free(b.operations);
    free(c.operations);
  }
  tmx_planner_free(planner);
  free_cluster(in);
  gsl_rng_free(g);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(aged_jobs_begin),
      cmocka_unit_test(bounded_rounds_reach_every_job),
      cmocka_unit_test(identical_jobs_are_tried_once),
      cmocka_unit_test(deltas_give_the_same_plan_as_a_fresh_start),
  };
  return RUN_TESTS(tests);
}
