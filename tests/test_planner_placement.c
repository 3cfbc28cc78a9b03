/* Tests the placements of a round, with fixed examples and with seeded random clusters: zone and
 * machine caps, placement cost, quota and preemption. */
#include "planned_cluster.h"
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "planner/planner.h"
#include "replica/placement_caps.h"
#include "tmx/constants.h"

static void caps_follow_the_affinity_draft(void **state) {
  (void)state;
  struct tmx_job_spec spec = {.service = true, .tasks = 5};
  assert_int_equal(tmx_zone_cap(&spec, 2), 3);
  assert_int_equal(tmx_zone_cap(&spec, 3), 2);
  assert_int_equal(tmx_zone_cap(&spec, 1), 5);
  spec.spread = true;
  spec.tasks = 9;
  assert_int_equal(tmx_zone_cap(&spec, 2), 5);
  spec.tasks = 1;
  assert_int_equal(tmx_zone_cap(&spec, 2), 1);
  spec.service = false;
  spec.tasks =
      9; /* `spread` limits arrays too; the cap of the affinity draft limits services only */
  assert_int_equal(tmx_zone_cap(&spec, 3), 5);
  spec.spread = false;
  assert_int_equal(tmx_zone_cap(&spec, 3), 9);
  assert_true(tmx_machine_cap(&spec, 2) > 1000);
  spec.service = true;
  assert_int_equal(tmx_machine_cap(&spec, 9), 1);
  assert_int_equal(tmx_machine_cap(&spec, 12), 1);
  assert_int_equal(tmx_machine_cap(&spec, 4), 3);
}

static void the_least_booked_machine_is_picked(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(3, 1, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, false, 1, 2);
  cluster->machines[0].booked_cpus = 8;
  cluster->machines[1].booked_cpus = 2;
  cluster->machines[2].booked_cpus = 4;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 1);
  assert_string_equal(output.operations[0].machine, "n-000001");
  free(output.operations);
  free_cluster(cluster);
}

/* A machine that was faulty recently gets only the tasks that fit nowhere else. */
static void a_machine_on_probation_is_the_last_resort(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(2, 1, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, false, 2, 2);
  cluster->machines[0].on_probation = true;
  cluster->machines[1].booked_cpus = 14;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 2);
  assert_string_equal(output.operations[0].machine, "n-000001");
  assert_string_equal(output.operations[1].machine, "n-000000");
  free(output.operations);
  free_cluster(cluster);
}

static void a_machine_that_fetches_the_image_is_preferred(void **state) {
  (void)state;
  struct tmx_plan_machine machine = {.cpus = 16, .mem_gb = 64, .fetch_gb_per_s = 1, .n_images = 1};
  struct tmx_job_spec spec = {
      .cpus = 2, .mem_gb = 1, .image_gb = 4, .fetch_tolerance_s = 10, .image_id = 1};
  assert_float_equal(tmx_base_placement_cost(&machine, &spec, 100), 0.4,
                     1e-9); /* the fetch takes 4 s of the tolerated 10 s */
  machine.images[0].id = 1;
  machine.images[0].fetch_started_at = 99;
  assert_float_equal(tmx_base_placement_cost(&machine, &spec, 100), 0.3, 1e-9);
  machine.images[0].fetch_started_at = 90;
  assert_float_equal(tmx_base_placement_cost(&machine, &spec, 100), 0, 1e-9);
}

static void a_task_waits_rather_than_exceed_a_zone_cap(void **state) {
  (void)state;
  /* Two replicas and two zones, but only one zone has free capacity: the second replica waits. */
  struct planned_cluster *cluster = make_cluster(4, 1, 2);
  struct tmx_round_output output;
  add_job(cluster, 0, true, 2, 2);
  cluster->machines[1].usable = cluster->machines[3].usable = false;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 1);
  assert_int_equal(output.unplaced, 1);
  free(output.operations);
  free_cluster(cluster);
}

static void quota_is_never_exceeded(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(4, 1, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, false, 10, 2);
  cluster->input.teams[0].cpus_max = 12;
  cluster->input.usage[0].cpus = 5;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 3);
  free(output.operations);
  free_cluster(cluster);
}

static void only_the_leader_places_on_other_shards(void **state) {
  (void)state;
  for (int leading = 0; leading < 2; leading++) {
    struct planned_cluster *cluster = make_cluster(2, 1, 1);
    struct tmx_round_output output;
    add_job(cluster, 0, false, 1, 2);
    cluster->input.leading = leading;
    cluster->machines[0].booked_cpus = 16; /* the machine of its own shard is full */
    cluster->machines[1].owner = 1;
    run_round(cluster, &output);
    assert_int_equal(output.n_operations, leading);
    free(output.operations);
    free_cluster(cluster);
  }
}

static void lower_priority_is_preempted_once(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, true, 1, 4);
  add_job(cluster, 1, false, 4, 4);
  cluster->jobs[1].n_waiting = 0;
  cluster->machines[0].booked_cpus = 16;
  for (uint32_t i = 0; i < 4; i++) add_running_task(cluster, 0, 1, i, 90.0 - i, false);
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 1);
  assert_int_equal(output.operations[0].kind, TMX_OPERATION_STOP);
  assert_int_equal(output.operations[0].task, 0); /* started last, so the least work is lost */
  free(output.operations);
  /* While that task is stopping, no other task is stopped. */
  cluster->machines[0].booked_cpus = 16;
  cluster->machines[0].releasing_cpus = 4;
  cluster->machines[0].releasing_mem_gb = 1;
  cluster->machines[0].tasks[0].stopping = true;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  free_cluster(cluster);
}

static void equal_priority_is_not_preempted(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, false, 1, 4);
  add_job(cluster, 1, false, 1, 16);
  cluster->jobs[1].n_waiting = 0;
  cluster->machines[0].booked_cpus = 16;
  add_running_task(cluster, 0, 1, 0, 99, false);
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  free_cluster(cluster);
}

/* In random clusters no machine is overbooked, and no zone cap, machine cap, quota, `same_zone`
 * rule or ban on spot machines is violated. */
static void random_clusters_keep_all_rules(void **state) {
  (void)state;
  gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(random, 20261201);
  for (int round = 0; round < 400; round++) {
    size_t zones = 1 + gsl_rng_uniform_int(random, 3),
           n_machines = 1 + gsl_rng_uniform_int(random, 12),
           n_jobs = 1 + gsl_rng_uniform_int(random, 8);
    struct planned_cluster *cluster = make_cluster(n_machines, n_jobs, zones);
    struct tmx_round_output output;
    double used[16], quota = gsl_rng_uniform(random) * 100;
    cluster->input.teams[0].cpus_max = quota;
    for (size_t i = 0; i < n_machines; i++) {
      cluster->machines[i].spot = gsl_rng_uniform_int(random, 3) == 0;
      cluster->machines[i].booked_cpus = used[i] = (double)gsl_rng_uniform_int(random, 17);
      cluster->machines[i].owner = (int)gsl_rng_uniform_int(random, 3);
    }
    for (size_t k = 0; k < n_jobs; k++) {
      struct tmx_job_spec *spec = add_job(cluster, k, gsl_rng_uniform_int(random, 2),
                                          1 + (uint32_t)gsl_rng_uniform_int(random, 9),
                                          1 + (double)gsl_rng_uniform_int(random, 4));
      spec->spread = gsl_rng_uniform_int(random, 2);
      spec->same_zone = gsl_rng_uniform_int(random, 4) == 0;
      spec->spot_allowed = !spec->service && gsl_rng_uniform_int(random, 2);
      cluster->jobs[k].planning_member = (int)gsl_rng_uniform_int(random, 3);
    }
    run_round(cluster, &output);
    double total = 0;
    for (size_t k = 0; k < n_jobs; k++) {
      const struct tmx_job_spec *spec = cluster->jobs[k].spec;
      uint32_t in_zone[3] = {0}, tasks_on[16] = {0};
      for (size_t output_index = 0; output_index < output.n_operations; output_index++) {
        if (strcmp(output.operations[output_index].job, cluster->jobs[k].id)) continue;
        size_t machine_index = (size_t)atoi(output.operations[output_index].machine + 2);
        used[machine_index] += spec->cpus;
        total += spec->cpus;
        in_zone[cluster->machines[machine_index].zone]++;
        tasks_on[machine_index]++;
        assert_true(spec->spot_allowed || !cluster->machines[machine_index].spot);
      }
      uint32_t zones_used = 0;
      for (size_t zone = 0; zone < zones; zone++) {
        assert_true(in_zone[zone] <= tmx_zone_cap(spec, zones));
        zones_used += in_zone[zone] > 0;
      }
      if (spec->same_zone) assert_true(zones_used <= 1);
      if (spec->service && n_machines >= spec->tasks + 12)
        for (size_t machine_index = 0; machine_index < n_machines; machine_index++)
          assert_true(tasks_on[machine_index] <= 1);
    }
    for (size_t machine_index = 0; machine_index < n_machines; machine_index++)
      assert_true(used[machine_index] <= 16 + 1e-6);
    assert_true(total <= quota + 1e-6);
    free(output.operations);
    free_cluster(cluster);
  }
  gsl_rng_free(random);
}

/* The leader frees capacity for a service on a machine in another controller's shard. That
 * controller must not fill it with its own arrays, so the capacity counts as booked. */
static void capacity_freed_for_a_service_is_not_filled_by_arrays(void **state) {
  (void)state;
  struct planned_cluster *cluster = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(cluster, 0, true, 1, 4);
  add_job(cluster, 1, false, 3, 4);
  cluster->jobs[0].planning_member =
      1; /* another controller plans the service; this one plans the array and owns the machine */
  cluster->input.leading = false;
  cluster->machines[0].booked_cpus = 12;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  cluster->jobs[0].n_waiting = 0;
  run_round(cluster, &output);
  assert_int_equal(output.n_operations, 1);
  free(output.operations);
  free_cluster(cluster);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(caps_follow_the_affinity_draft),
      cmocka_unit_test(the_least_booked_machine_is_picked),
      cmocka_unit_test(a_machine_on_probation_is_the_last_resort),
      cmocka_unit_test(a_machine_that_fetches_the_image_is_preferred),
      cmocka_unit_test(a_task_waits_rather_than_exceed_a_zone_cap),
      cmocka_unit_test(quota_is_never_exceeded),
      cmocka_unit_test(only_the_leader_places_on_other_shards),
      cmocka_unit_test(lower_priority_is_preempted_once),
      cmocka_unit_test(equal_priority_is_not_preempted),
      cmocka_unit_test(random_clusters_keep_all_rules),
      cmocka_unit_test(capacity_freed_for_a_service_is_not_filled_by_arrays),
  };
  return RUN_TESTS(tests);
}
