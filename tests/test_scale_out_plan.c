/* Scale-out for waiting tasks, and the placement of tasks on spot machines. */
#include "planned_cluster.h"
#include "test.h"

#include <stdlib.h>

#include "planner/planner.h"
#include "planner/scale_out_plan.h"
#include "tmx/constants.h"

static const struct tmx_usage unlimited = {.cpus = 1e9, .gpus = 1e9};

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
  struct tmx_scale_out_input input = {.demands = &demand,
                                      .n_demands = 1,
                                      .offers = offers,
                                      .n_offers = 2,
                                      .quota_left = &unlimited,
                                      .n_teams = 1};
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 1);
  assert_int_equal(choices[0].offer, 0);
  assert_int_equal(choices[0].count, 1);
  /* a machine that is booting counts as capacity */
  struct tmx_provisioned_machine booting = {&small, 0, false, {4, 0, 16}, {4, 0, 16}};
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

enum { PRESENT_MACHINES = 50 };

/* A shape of tasks and an offer for it, beside PRESENT_MACHINES empty on-demand machines of type
 * "small" in zone 0, which would complete the work at once if they could hold it. */
struct shape_case {
  const char *name;
  struct tmx_job_spec spec;
  int zone;
  bool small_holds_it; /* the present machines are suitable */
};

static const struct tmx_machine_type small_type = {
    .name = "small", .cpus = 4, .mem_gb = 16, .price = 0.2, .boot_s = 15};
static const struct tmx_machine_type gpu_type = {
    .name = "gpu", .cpus = 32, .gpus = 4, .mem_gb = 256, .price = 5, .boot_s = 45};

/* Guards against an accepted job that waits for ever (review/6) for each property that keeps a task
 * off the present machines: zone, type, CPUs, memory, GPUs, and spot machines that it may not use.
 */
static void machines_are_rented_for_tasks_that_no_present_machine_can_hold(void **state) {
  (void)state;
  const struct shape_case cases[] = {
      {"suitable", {.cpus = 2, .mem_gb = 1}, -1, true},
      {"zone", {.cpus = 2, .mem_gb = 1}, 1, false},
      {"type", {.cpus = 2, .mem_gb = 1, .types = {"gpu"}, .n_types = 1}, -1, false},
      {"CPUs", {.cpus = 20, .mem_gb = 1}, -1, false},
      {"memory", {.cpus = 2, .mem_gb = 17}, -1, false},
      {"GPUs", {.cpus = 2, .gpus = 1, .mem_gb = 1}, -1, false},
  };
  const struct tmx_offer offers[] = {{&gpu_type, 0, false, 5}, {&gpu_type, 1, false, 5}};
  struct tmx_provisioned_machine present[PRESENT_MACHINES];
  struct tmx_scale_out choices[4];
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
    struct tmx_demand demand = {
        .spec = &cases[i].spec, .tasks = 2, .zone = cases[i].zone, .run_s = 20};
    const struct tmx_scale_out_input input = {.demands = &demand,
                                              .n_demands = 1,
                                              .offers = offers,
                                              .n_offers = 2,
                                              .provisioned = present,
                                              .n_provisioned = PRESENT_MACHINES,
                                              .quota_left = &unlimited,
                                              .n_teams = 1};
    for (size_t k = 0; k < PRESENT_MACHINES; k++)
      present[k] = (struct tmx_provisioned_machine){
          .type = &small_type, .free = {4, 0, 16}, .for_arrays = {4, 0, 16}};
    size_t rentals = tmx_plan_scale_out(&input, choices, 4);
    if (rentals != !cases[i].small_holds_it) fail_msg("%s: %zu rentals", cases[i].name, rentals);
    for (size_t k = 0; k < PRESENT_MACHINES; k++) present[k].spot = true;
    assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 1); /* no task may use spot machines */
  }
}

/* A plan for one machine of type "small" in each of two zones, without free capacity. The same
 * demand may use both. */
static enum tmx_demand_decision decide_beside(struct tmx_demand *others, size_t n_others,
                                              struct tmx_demand demand) {
  static const struct tmx_offer offer = {&small_type, 0, false, 0.2};
  const struct tmx_provisioned_machine present[] = {
      {.type = &small_type, .zone = 0, .for_arrays = {4, 0, 16}},
      {.type = &small_type, .zone = 1, .for_arrays = {4, 0, 16}}};
  struct tmx_demand demands[4];
  struct tmx_scale_out choices[4];
  for (size_t i = 0; i < n_others; i++) demands[i] = others[i];
  demands[n_others] = demand;
  const struct tmx_scale_out_input input = {.demands = demands,
                                            .n_demands = n_others + 1,
                                            .offers = &offer,
                                            .n_offers = 1,
                                            .provisioned = present,
                                            .n_provisioned = 2,
                                            .quota_left = &unlimited,
                                            .n_teams = 1};
  tmx_plan_scale_out(&input, choices, 4);
  return demands[n_others].decision;
}

/* Work counts against the machines that can take it, and only against those. */
static void waiting_work_is_judged_by_the_machines_that_can_hold_it(void **state) {
  (void)state;
  const struct tmx_job_spec spec = {.cpus = 2, .mem_gb = 1};
  const struct tmx_job_spec one_zone = {.cpus = 2, .mem_gb = 1, .same_zone = true};
  /* A machine runs two tasks at a time. */
  struct tmx_demand anywhere = {.spec = &spec, .tasks = 4, .zone = -1, .run_s = 6};
  struct tmx_demand in_zone_0 = {.spec = &spec, .tasks = 4, .zone = 0, .run_s = 40};
  struct tmx_demand in_zone_1 = {.spec = &spec, .tasks = 2, .zone = 1, .run_s = 8};
  struct tmx_demand grouped = {.spec = &one_zone, .tasks = 4, .zone = -1, .run_s = 6};
  assert_int_equal(decide_beside(NULL, 0, anywhere), TMX_DEMAND_CLEARED_SOON);
  assert_int_equal(decide_beside(NULL, 0, in_zone_0), TMX_DEMAND_RENTED);
  assert_int_equal(decide_beside(NULL, 0, in_zone_1), TMX_DEMAND_CLEARED_SOON);
  /* 80 s of work in zone 0 leave zone 1 free */
  assert_int_equal(decide_beside(&in_zone_0, 1, in_zone_1), TMX_DEMAND_CLEARED_SOON);
  assert_int_equal(
      decide_beside(&in_zone_0, 1,
                    (struct tmx_demand){.spec = &spec, .tasks = 2, .zone = -1, .run_s = 6}),
      TMX_DEMAND_CLEARED_SOON);
  assert_int_equal(decide_beside(&in_zone_0, 1, anywhere), TMX_DEMAND_RENTED);
  /* all tasks must be in one zone, whose machine takes twice as long for them */
  assert_int_equal(decide_beside(NULL, 0, grouped), TMX_DEMAND_RENTED);
  anywhere.overdue = true;
  assert_int_equal(decide_beside(NULL, 0, anywhere), TMX_DEMAND_RENTED);
}

/* A plan without any machine. Machines of type "small" may be rented in zone 0. */
static size_t plan_for_teams(struct tmx_demand *demands, size_t n_demands,
                             const struct tmx_usage quota_left[2], struct tmx_scale_out *choices) {
  static const struct tmx_offer offer = {&small_type, 0, false, 0.2};
  const struct tmx_scale_out_input input = {.demands = demands,
                                            .n_demands = n_demands,
                                            .offers = &offer,
                                            .n_offers = 1,
                                            .quota_left = quota_left,
                                            .n_teams = 2};
  return tmx_plan_scale_out(&input, choices, 4);
}

/* Guards against an accepted job that waits for ever: an array that the cloud has no machine for
 * must not keep its team's quota from a job that could run. */
static void quota_that_cannot_be_used_goes_to_other_jobs_of_the_team(void **state) {
  (void)state;
  const struct tmx_job_spec spec = {.cpus = 4, .mem_gb = 1};
  const struct tmx_usage quota_left[2] = {{8, 0}, {8, 0}};
  struct tmx_demand demands[] = {
      {.spec = &spec, .tasks = 1000, .zone = 1, .run_s = 600}, /* no offer in zone 1 */
      {.spec = &spec, .tasks = 5, .zone = 0, .run_s = 600},
      {.spec = &spec, .tasks = 1, .zone = 0, .run_s = 600, .team = 1}};
  struct tmx_scale_out choices[4];
  assert_int_equal(plan_for_teams(demands, 3, quota_left, choices), 1);
  assert_int_equal(choices[0].count, 3); /* two tasks of the first team, one of the second */
  assert_int_equal(demands[0].decision, TMX_DEMAND_NO_OFFER);
  assert_int_equal(demands[1].decision, TMX_DEMAND_RENTED);
  /* a demand that can use the quota keeps it */
  demands[0].zone = 0;
  assert_int_equal(plan_for_teams(demands, 3, quota_left, choices), 1);
  assert_int_equal(choices[0].count, 3);
  assert_int_equal(demands[0].decision, TMX_DEMAND_RENTED);
  assert_int_equal(demands[1].decision, TMX_DEMAND_AT_QUOTA);
}

/* Guards against the price of machines for tasks that wait for their team's limit on GPUs. */
static void nothing_is_rented_above_the_limit_on_gpus(void **state) {
  (void)state;
  const struct tmx_job_spec spec = {.cpus = 4, .gpus = 1, .mem_gb = 1};
  const struct tmx_offer offer = {&gpu_type, 0, false, 5};
  const struct tmx_usage none_left = {.cpus = 1000, .gpus = 0}, three_left = {1000, 3};
  struct tmx_demand demand = {.spec = &spec, .tasks = 20, .zone = -1, .run_s = 600};
  struct tmx_scale_out choices[4];
  struct tmx_scale_out_input input = {.demands = &demand,
                                      .n_demands = 1,
                                      .offers = &offer,
                                      .n_offers = 1,
                                      .quota_left = &none_left,
                                      .n_teams = 1};
  demand.overdue = true;
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 0);
  assert_int_equal(demand.decision, TMX_DEMAND_AT_QUOTA);
  input.quota_left = &three_left;
  assert_int_equal(tmx_plan_scale_out(&input, choices, 4), 1);
  assert_int_equal(choices[0].count, 1);
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
      cmocka_unit_test(machines_are_rented_for_tasks_that_no_present_machine_can_hold),
      cmocka_unit_test(waiting_work_is_judged_by_the_machines_that_can_hold_it),
      cmocka_unit_test(quota_that_cannot_be_used_goes_to_other_jobs_of_the_team),
      cmocka_unit_test(nothing_is_rented_above_the_limit_on_gpus),
      cmocka_unit_test(only_tasks_that_can_be_rerun_use_spot_machines),
  };
  return RUN_TESTS(tests);
}
