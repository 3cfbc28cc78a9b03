/* Scale-out for waiting tasks, and the placement of tasks on spot machines. */
#include "planned_cluster.h"
#include "test.h"

#include <stdlib.h>

#include "planner/planner.h"
#include "planner/scale_out_plan.h"
#include "tmx/constants.h"

static void scale_out_follows_waiting_demand(void **state) {
  (void)state;
  struct tmx_machine_type small = {
      .name = "small", .cpus = 4, .mem_gb = 16, .price = 0.2, .boot_s = 30};
  struct tmx_machine_type big = {
      .name = "big", .cpus = 16, .mem_gb = 64, .price = 1.0, .boot_s = 30};
  struct tmx_job_spec spec = {.service = true, .tasks = 1, .cpus = 2, .mem_gb = 4};
  struct tmx_demand demand = {.spec = &spec, .tasks = 1, .zone = -1};
  struct tmx_offer offers[2] = {{&small, 0, false, 0.2}, {&big, 0, false, 1.0}};
  struct tmx_scale_out choices[4];
  struct tmx_scale_out_input input = {
      .demands = &demand, .n_demands = 1, .offers = offers, .n_offers = 2, .provisioned_cpus = 10};
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 1);
  assert_int_equal(choices[0].offer, 0);
  assert_int_equal(choices[0].count, 1);
  /* a machine that is booting counts as capacity */
  struct tmx_provisioned_machine booting = {&small, 0, false, 4, 0, 16};
  input.provisioned = &booting;
  input.n_provisioned = 1;
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 0);
  /* no spot machine is rented for a service */
  struct tmx_offer spot = {&small, 0, true, 0.05};
  input.n_provisioned = 0;
  input.offers = &spot;
  input.n_offers = 1;
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 0);
  /* a large demand uses further offers at once rather than waiting for the cheapest one */
  demand.tasks = 2000;
  input.offers = offers;
  input.n_offers = 2;
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 2);
  assert_int_equal(choices[0].count, TMX_SCALE_OUT_OFFER_MACHINES_MAX);
  assert_int_equal(choices[1].count, TMX_SCALE_OUT_OFFER_MACHINES_MAX);
}

/* A spot machine may be reclaimed, and its tasks must then run again. A task of an array is placed
 * on a spot machine, which leaves on-demand machines to other jobs. A task of a service is placed
 * on an on-demand machine, and so is a task whose second run would end after the job's next
 * completion target. */
static void only_tasks_that_can_be_rerun_use_spot_machines(void **state) {
  (void)state;
  for (int variant = 0; variant < 3; variant++) {
    struct planned_cluster *cluster = make_cluster(2, 1, 1);
    cluster->machines[1].spot = true;
    add_job(cluster, 0, variant == 2, 1, 2)->spot_allowed = variant < 2;
    cluster->jobs[0].next_completion_target_s = 250;
    cluster->jobs[0].expected_run_s = variant ? 150 : 40;
    struct tmx_round_output output;
    run_round(cluster, &output);
    assert_int_equal(output.n_operations, 1);
    assert_string_equal(output.operations[0].machine, cluster->machines[!variant].id);
    free(output.operations);
    free_cluster(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(scale_out_follows_waiting_demand),
      cmocka_unit_test(only_tasks_that_can_be_rerun_use_spot_machines),
  };
  return RUN_TESTS(tests);
}
