/* Placement by a round: caps, the least-booked pick, quota and preemption, on known examples and
 * over seeded random clusters. */
#include "planned_cluster.h"
#include "test.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "planner/planner.h"
#include "replica/placement_caps.h"
#include "tmx/constants.h"

static void caps_follow_the_draft(void **st) {
  (void)st;
  struct tmx_job_spec s = {.service = true, .tasks = 5};
  assert_int_equal(tmx_zone_cap(&s, 2), 3);
  assert_int_equal(tmx_zone_cap(&s, 3), 2);
  assert_int_equal(tmx_zone_cap(&s, 1), 5);
  s.spread = true;
  s.tasks = 9;
  assert_int_equal(tmx_zone_cap(&s, 2), 5);
  s.tasks = 1;
  assert_int_equal(tmx_zone_cap(&s, 2), 1);
  s.service = false;
  s.tasks = 9; /* spread binds arrays too, the design's zone cap does not */
  assert_int_equal(tmx_zone_cap(&s, 3), 5);
  s.spread = false;
  assert_int_equal(tmx_zone_cap(&s, 3), 9);
  assert_true(tmx_machine_cap(&s, 2) > 1000);
  s.service = true;
  assert_int_equal(tmx_machine_cap(&s, 9), 1);
  assert_int_equal(tmx_machine_cap(&s, 12), 1);
  assert_int_equal(tmx_machine_cap(&s, 4), 3);
}

static void the_least_booked_machine_is_picked(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(3, 1, 1);
  struct tmx_round_output output;
  add_job(in, 0, false, 1, 2);
  in->machines[0].booked_cpus = 8;
  in->machines[1].booked_cpus = 2;
  in->machines[2].booked_cpus = 4;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_string_equal(output.operations[0].machine, "n-000001");
  free(output.operations);
  free_cluster(in);
}

static void a_machine_that_fetches_the_image_is_preferred(void **st) {
  (void)st;
  struct tmx_plan_machine m = {.cpus = 16, .mem_gb = 64, .fetch_gb_per_s = 1, .n_images = 1};
  struct tmx_job_spec s = {
      .cpus = 2, .mem_gb = 1, .image_gb = 4, .fetch_tolerance_s = 10, .image_id = 1};
  assert_float_equal(tmx_booked_share(&m, &s, 100), 0.4, 1e-9); /* 4 s of 10 */
  m.images[0].id = 1;
  m.images[0].fetch_started_at = 99;
  assert_float_equal(tmx_booked_share(&m, &s, 100), 0.3, 1e-9);
  m.images[0].fetch_started_at = 90;
  assert_float_equal(tmx_booked_share(&m, &s, 100), 0, 1e-9);
}

static void a_task_waits_rather_than_break_a_cap(void **st) {
  (void)st;
  /* two replicas, two zones, but all room is in one zone: the second replica waits */
  struct planned_cluster *in = make_cluster(4, 1, 2);
  struct tmx_round_output output;
  add_job(in, 0, true, 2, 2);
  in->machines[1].usable = in->machines[3].usable = false;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_int_equal(output.unplaced, 1);
  free(output.operations);
  free_cluster(in);
}

static void quota_is_never_passed(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(4, 1, 1);
  struct tmx_round_output output;
  add_job(in, 0, false, 10, 2);
  in->in.teams[0].cpus_max = 12;
  in->in.usage[0].cpus = 5;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 3);
  free(output.operations);
  free_cluster(in);
}

static void only_the_leader_places_on_other_shards(void **st) {
  (void)st;
  for (int leading = 0; leading < 2; leading++) {
    struct planned_cluster *in = make_cluster(2, 1, 1);
    struct tmx_round_output output;
    add_job(in, 0, false, 1, 2);
    in->in.leading = leading;
    in->machines[0].booked_cpus = 16; /* its own part is full */
    in->machines[1].owner = 1;
    run_round(in, &output);
    assert_int_equal(output.n_operations, leading);
    free(output.operations);
    free_cluster(in);
  }
}

static void lower_priority_is_preempted_once(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(in, 0, true, 1, 4);
  add_job(in, 1, false, 4, 4);
  in->jobs[1].n_waiting = 0;
  in->machines[0].booked_cpus = 16;
  for (uint32_t i = 0; i < 4; i++) add_running_task(in, 0, 1, i, 90.0 - i, false);
  run_round(in, &output);
  assert_int_equal(output.n_operations, 1);
  assert_int_equal(output.operations[0].kind, TMX_OPERATION_STOP);
  assert_int_equal(output.operations[0].task, 0); /* the least work is lost */
  free(output.operations);
  /* while that one is on its way out nothing more is stopped */
  in->machines[0].booked_cpus = 16;
  in->machines[0].releasing_cpus = 4;
  in->machines[0].releasing_mem_gb = 1;
  in->machines[0].tasks[0].stopping = true;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  free_cluster(in);
}

static void equal_priority_is_not_preempted(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(in, 0, false, 1, 4);
  add_job(in, 1, false, 1, 16);
  in->jobs[1].n_waiting = 0;
  in->machines[0].booked_cpus = 16;
  add_running_task(in, 0, 1, 0, 99, false);
  run_round(in, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  free_cluster(in);
}

/* Over random clusters: no machine overbooked, no cap, quota, zone or kind broken. */
static void random_clusters_keep_all_rules(void **st) {
  (void)st;
  gsl_rng *g = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(g, 20261201);
  for (int round = 0; round < 400; round++) {
    size_t zones = 1 + gsl_rng_uniform_int(g, 3), n_m = 1 + gsl_rng_uniform_int(g, 12),
           n_j = 1 + gsl_rng_uniform_int(g, 8);
    struct planned_cluster *in = make_cluster(n_m, n_j, zones);
    struct tmx_round_output output;
    double used[16], quota = gsl_rng_uniform(g) * 100;
    in->in.teams[0].cpus_max = quota;
    for (size_t i = 0; i < n_m; i++) {
      in->machines[i].spot = gsl_rng_uniform_int(g, 3) == 0;
      in->machines[i].booked_cpus = used[i] = (double)gsl_rng_uniform_int(g, 17);
      in->machines[i].owner = (int)gsl_rng_uniform_int(g, 3);
    }
    for (size_t k = 0; k < n_j; k++) {
      struct tmx_job_spec *spec =
          add_job(in, k, gsl_rng_uniform_int(g, 2), 1 + (uint32_t)gsl_rng_uniform_int(g, 9),
                  1 + (double)gsl_rng_uniform_int(g, 4));
      spec->spread = gsl_rng_uniform_int(g, 2);
      spec->same_zone = gsl_rng_uniform_int(g, 4) == 0;
      spec->spot_allowed = !spec->service && gsl_rng_uniform_int(g, 2);
      in->jobs[k].planner = (int)gsl_rng_uniform_int(g, 3);
    }
    run_round(in, &output);
    double total = 0;
    for (size_t k = 0; k < n_j; k++) {
      const struct tmx_job_spec *spec = in->jobs[k].spec;
      uint32_t in_zone[3] = {0}, on[16] = {0};
      for (size_t o = 0; o < output.n_operations; o++) {
        if (strcmp(output.operations[o].job, in->jobs[k].id)) continue;
        size_t m = (size_t)atoi(output.operations[o].machine + 2);
        used[m] += spec->cpus;
        total += spec->cpus;
        in_zone[in->machines[m].zone]++;
        on[m]++;
        assert_true(spec->spot_allowed || !in->machines[m].spot);
      }
      uint32_t zones_used = 0;
      for (size_t z = 0; z < zones; z++) {
        assert_true(in_zone[z] <= tmx_zone_cap(spec, zones));
        zones_used += in_zone[z] > 0;
      }
      if (spec->same_zone) assert_true(zones_used <= 1);
      if (spec->service && n_m >= spec->tasks + 12)
        for (size_t m = 0; m < n_m; m++) assert_true(on[m] <= 1);
    }
    for (size_t m = 0; m < n_m; m++) assert_true(used[m] <= 16 + 1e-6);
    assert_true(total <= quota + 1e-6);
    free(output.operations);
    free_cluster(in);
  }
  gsl_rng_free(g);
}

/* What the leader frees for a service on a machine of another's part is not filled by that other
 * with its own arrays: it holds the room on paper. */
static void released_room_is_left_to_the_service(void **st) {
  (void)st;
  struct planned_cluster *in = make_cluster(1, 2, 1);
  struct tmx_round_output output;
  add_job(in, 0, true, 1, 4);
  add_job(in, 1, false, 3, 4);
  in->jobs[0].planner = 1; /* the service is another's, the array and the machine are ours */
  in->in.leading = false;
  in->machines[0].booked_cpus = 12;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 0);
  free(output.operations);
  in->jobs[0].n_waiting = 0;
  run_round(in, &output);
  assert_int_equal(output.n_operations, 1);
  free(output.operations);
  free_cluster(in);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(caps_follow_the_draft),
      cmocka_unit_test(the_least_booked_machine_is_picked),
      cmocka_unit_test(a_machine_that_fetches_the_image_is_preferred),
      cmocka_unit_test(a_task_waits_rather_than_break_a_cap),
      cmocka_unit_test(quota_is_never_passed),
      cmocka_unit_test(only_the_leader_places_on_other_shards),
      cmocka_unit_test(lower_priority_is_preempted_once),
      cmocka_unit_test(equal_priority_is_not_preempted),
      cmocka_unit_test(random_clusters_keep_all_rules),
      cmocka_unit_test(released_room_is_left_to_the_service),
  };
  return RUN_TESTS(tests);
}
