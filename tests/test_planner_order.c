/* Tests the order in which a round tries jobs. The tests guard against two kinds of starvation: of
 * large jobs by small ones, and of late jobs by the bound on the visits of a round. They also guard
 * against a planner state that diverges when it is updated by deltas. */
#include "planned_cluster.h"
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "planner/planner.h"
#include "tmx/constants.h"

/* Guards against starvation of a large job by a stream of small ones: a job that has waited long
 * gets a first task, and then a share of all placements. */
static void aged_jobs_get_a_share_of_the_placements(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, false, 200, 4); /* most work, so last in the order */
  add_job(cluster, 1, false, 200, 2);
  cluster->input.now_wall = cluster->input.now_steady = 1000;
  cluster->jobs[0].released_at = 1000 - TMX_AGED_JOB_WAIT_S - 1;
  cluster->jobs[1].released_at = 999;
  cluster->machines[0].booked_cpus = 12;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 1);
  assert_string_equal(output.operations[0].job, "wk-000000");
  free(output.operations);
  cluster->jobs[0].released_at = 990;
  run_round(cluster, &output);
  assert_string_equal(output.operations[0].job, "wk-000001");
  free(output.operations);
  /* After its first task the job still gets its share of the placements over many rounds. */
  cluster->jobs[0].released_at = 1000 - TMX_AGED_JOB_WAIT_S - 1;
  cluster->jobs[0].n_done = 1;
  struct tmx_planner *planner = new_planner_for_cluster(cluster);
  int large = 0, all = 0;
  for (int i = 0; i < 200; i++) {
    tmx_planner_run_round(planner, &cluster->input, &output);
    for (size_t k = 0; k < output.n_operations; k++, all++)
      large += !strcmp(output.operations[k].job, "wk-000000");
    free(output.operations);
  }
  assert_true(large >= all * TMX_AGED_JOB_SHARE / 2 && large < all / 2);
  tmx_planner_free(planner);
  free_cluster(cluster);
}

/* Guards against starvation by the bound on the visits of a round. Jobs that fit on no machine,
 * each with different requests, use up the bound in every round. The only job that fits comes last
 * in the order and is still placed after some rounds. The same holds for services. */
static void bounded_rounds_reach_every_job(void **state) {
  (void)state;
  for (int service = 0; service < 2; service++) {
    struct planned_cluster *cluster = make_cluster(64, 16, 1);
    for (size_t machine_index = 0; machine_index < 64; machine_index++)
      cluster->machines[machine_index].booked_cpus = 15;
    for (size_t k = 0; k < 15; k++)
      add_job(cluster, k, service, 2, 2 + 0.1 * (double)k)->mem_gb = 60 - (double)k;
    struct tmx_job_spec *spec = add_job(cluster, 15, service, 2, 1);
    spec->priority--; /* the last in the order */
    cluster->input.max_visits = 600;
    struct tmx_planner *planner = new_planner_for_cluster(cluster);
    struct tmx_round_output output;
    bool placed = false, truncated_once = false;
    for (int i = 0; i < 16 && !placed; i++) {
      tmx_planner_run_round(planner, &cluster->input, &output);
      placed = output.n_operations > 0;
      truncated_once |= output.truncated;
      if (placed) assert_string_equal(output.operations[0].job, "wk-000015");
      free(output.operations);
    }
    assert_true(truncated_once); /* the bound took effect */
    assert_true(placed);
    tmx_planner_free(planner);
    free_cluster(cluster);
  }
}

/* If a job fits on no machine, identical jobs are not tried in that round, so that the visits do
 * not grow with the number of waiting replicas. Identical jobs are still tried in two cases: only
 * the first job's own replicas are in the way, or only the shard of one controller was searched. */
static void identical_jobs_are_tried_once(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(64, 16, 1);
  struct tmx_round_output output;
  for (size_t machine_index = 0; machine_index < 64; machine_index++)
    cluster->machines[machine_index].booked_cpus = 15;
  for (size_t k = 0; k < 16; k++) add_job(cluster, k, true, 2, 2);
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 0);
  assert_in_range(output.visits, 64, 64 * 4);
  free(output.operations);
  /* The only machine with free capacity runs a replica of job 0: the other jobs' replicas are
   * placed there. */
  cluster->machines[7].booked_cpus = 0;
  add_running_task(cluster, 7, 0, 0, 50, false);
  cluster->jobs[0].n_placed = 1;
  cluster->jobs[0].n_waiting = 1;
  cluster->jobs[0].waiting[0].task = 1;
  run_round(cluster, &output);
  assert_true(output.n_operations >= 1);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_not_equal(output.operations[i].job, "wk-000000");
  free(output.operations);
  /* A controller that is not the leader first tries a job of another controller in the shard of
   * that controller. Failure there must not stop the search for identical jobs in its own shard. */
  cluster->input.leading = false;
  cluster->jobs[0].planning_member = 1;
  cluster->machines[7].owner = 0;
  cluster->machines[7].n_tasks = 0;
  for (size_t machine_index = 0; machine_index < 64; machine_index++)
    cluster->machines[machine_index].owner = machine_index == 7 ? 0 : 1;
  cluster->jobs[0].n_placed = 0;
  for (size_t k = 1; k < 16; k++) cluster->jobs[k].planning_member = 0;
  run_round(cluster, &output);
  assert_true(output.n_operations >= 1);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_equal(output.operations[i].machine, "n-000007");
  free(output.operations);
  free_cluster(cluster);
}

/* Guards against a planner state that diverges over time: a planner that is updated by deltas plans
 * the same as one that is built anew for each round, and a round leaves the state unchanged. */
static void deltas_give_the_same_plan_as_a_fresh_start(void **state) {
  (void)state;
  gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(random, 42);
  struct planned_cluster *cluster = make_cluster(40, 12, 2);
  for (size_t k = 0; k < 12; k++) add_job(cluster, k, false, 20, 2);
  struct tmx_planner *planner = new_planner_for_cluster(cluster);
  for (int step = 0; step < 300; step++) {
    struct tmx_planner_delta delta = {0};
    for (int i = 0; i < 5; i++) {
      size_t machine_index = gsl_rng_uniform_int(random, 40), k = gsl_rng_uniform_int(random, 12);
      struct tmx_plan_machine *machine = &cluster->machines[machine_index];
      machine->booked_cpus = 2.0 * (double)gsl_rng_uniform_int(random, 9);
      machine->usable = gsl_rng_uniform_int(random, 5) > 0;
      machine->draining = gsl_rng_uniform_int(random, 8) == 0;
      machine->owner = (int)gsl_rng_uniform_int(random, 2);
      struct tmx_plan_machine *target = tmx_planner_delta_add_machine(&delta);
      *target = *machine;
      target->tasks = NULL;
      target->n_tasks = 0;
      struct tmx_plan_job *job = &cluster->jobs[k], *target_job = tmx_planner_delta_add_job(&delta);
      job->n_waiting = gsl_rng_uniform_int(random, 21);
      job->planning_member = (int)gsl_rng_uniform_int(random, 2);
      *target_job = *job;
      target_job->spec = NULL; /* NULL: unchanged */
      target_job->waiting = calloc(21, sizeof *target_job->waiting);
      memcpy(target_job->waiting, job->waiting, job->n_waiting * sizeof *job->waiting);
    }
    tmx_planner_apply(planner, &delta);
    struct tmx_round_output first, again, fresh;
    tmx_planner_run_round(planner, &cluster->input, &first);
    tmx_planner_run_round(planner, &cluster->input, &again);
    run_round(cluster, &fresh);
    assert_int_equal(first.n_operations, again.n_operations);
    for (size_t i = 0; i < first.n_operations; i++)
      assert_memory_equal(&first.operations[i], &again.operations[i], sizeof first.operations[i]);
    assert_int_equal(first.n_operations, fresh.n_operations);
    assert_int_equal(first.unplaced, fresh.unplaced);
    free(first.operations);
    free(again.operations);
    free(fresh.operations);
  }
  tmx_planner_free(planner);
  free_cluster(cluster);
  gsl_rng_free(random);
}

enum { LARGE, SMALL, REPLICAS, LONG_TASKS, RESERVATION_JOBS };

/* A cluster of two machines: machine 0 has 10 free CPUs, machine 1 has 6. A job with a task of 14
 * CPUs is due for a start, so that a machine is reserved for it. Four small tasks wait too. */
static struct planned_cluster *make_cluster_with_large_task(size_t zones) {
  struct planned_cluster *cluster = make_cluster(2, RESERVATION_JOBS, zones);
  add_job(cluster, LARGE, false, 1, 14);
  add_job(cluster, SMALL, false, 4, 1);
  add_job(cluster, REPLICAS, true, 1, 6);
  add_job(cluster, LONG_TASKS, false, 1, 10);
  for (size_t i = REPLICAS; i < RESERVATION_JOBS; i++) cluster->jobs[i].n_waiting = 0;
  cluster->jobs[LARGE].released_at = cluster->jobs[LARGE].unplaced_since = 1;
  cluster->jobs[LARGE].account = 1;
  cluster->input.start_rotation.start_s = 45;
  cluster->input.start_rotation.since_start_s[0][1] = TMX_NEVER_S;
  cluster->machines[0].booked_cpus = 6;
  cluster->machines[1].booked_cpus = 10;
  return cluster;
}

/* Plans a round, asserts that all small tasks are placed on this machine, so that the other one is
 * reserved, and frees the cluster. */
static void assert_small_tasks_go_to(struct planned_cluster *cluster, size_t machine) {
  struct tmx_round_output output;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 4);
  for (size_t i = 0; i < output.n_operations; i++)
    assert_string_equal(output.operations[i].machine, cluster->machines[machine].id);
  free(output.operations);
  free_cluster(cluster);
}

/* Guards against a large task that waits for ever for a machine that replicas fill. */
static void no_machine_full_of_replicas_is_kept_for_a_large_task(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster_with_large_task(1);
  add_running_task(cluster, 0, REPLICAS, 0, 0, false);
  add_running_task(cluster, 1, LONG_TASKS, 0, 0, false);
  assert_small_tasks_go_to(cluster, 0);
  /* without the replica, the machine with the most free CPUs is reserved */
  cluster = make_cluster_with_large_task(1);
  add_running_task(cluster, 1, LONG_TASKS, 0, 0, false);
  assert_small_tasks_go_to(cluster, 1);
}

/* Guards against a large task that waits for ever for a machine in a zone that its job may not use.
 */
static void no_machine_of_another_zone_is_kept_for_a_large_task(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster_with_large_task(2);
  cluster->jobs[LARGE].spec->same_zone = true;
  cluster->jobs[LARGE].placed_in_zone[1] = 1;
  assert_small_tasks_go_to(cluster, 0);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(aged_jobs_get_a_share_of_the_placements),
      cmocka_unit_test(bounded_rounds_reach_every_job),
      cmocka_unit_test(identical_jobs_are_tried_once),
      cmocka_unit_test(deltas_give_the_same_plan_as_a_fresh_start),
      cmocka_unit_test(no_machine_full_of_replicas_is_kept_for_a_large_task),
      cmocka_unit_test(no_machine_of_another_zone_is_kept_for_a_large_task),
  };
  return RUN_TESTS(tests);
}
