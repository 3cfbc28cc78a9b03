/* The demand that scale-out plans for: in which zones the pending tasks of a job need capacity. */
#include "replica_fixture.h"
#include "test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/scale_out_demand.h"

enum { ZONES = 3 };

/* Time of the collection, s: the jobs are old enough to add demand and not overdue. */
static const double NOW_S = 5;

static struct tmx_machine_catalog catalog;
static struct tmx_demand_list list;
static struct tmx_job job;

/* Zones "a", "b" and "c". Type "big" is offered in all of them, type "gpu" in "a" and "b". */
static int setup_zones(void **state) {
  (void)state;
  replica_fixture_init();
  settings.n_zones = ZONES;
  for (size_t z = 0; z < ZONES; z++) snprintf(settings.zones[z], TMX_NAME_BYTES, "%c", "abc"[z]);
  catalog = (struct tmx_machine_catalog){
      .types = {{.name = "big", .cpus = 16, .mem_gb = 64, .zones = {true, true, true}},
                {.name = "gpu", .cpus = 32, .gpus = 4, .mem_gb = 64, .zones = {true, true, false}}},
      .n_types = 2};
  memset(&list, 0, sizeof list);
  memset(&job, 0, sizeof job);
  job.spec = (struct tmx_job_spec){.cpus = 2, .mem_gb = 1, .tasks = 6, .estimate_s = 20};
  strcpy(job.id, "wk-000001");
  return 0;
}

static int teardown_zones(void **state) {
  (void)state;
  free(list.demands);
  return 0;
}

/* Collects the demand of the test's job, `placed` tasks of which are placed in each zone. */
static void collect(uint32_t in_a, uint32_t in_b, uint32_t in_c) {
  const uint32_t placed[ZONES] = {in_a, in_b, in_c};
  const struct tmx_demand_source source = {
      .settings = &settings, .replica = &replica, .catalog = &catalog, .now = NOW_S};
  memcpy(job.placed_in_zone, placed, sizeof placed);
  job.n_placed = in_a + in_b + in_c;
  HASH_ADD_STR(replica.jobs, id, &job);
  tmx_demand_list_collect(&list, &source);
  HASH_DEL(replica.jobs, &job);
}

/* Returns the tasks of the demand in this zone; -1: any zone. */
static uint32_t tasks_in(int zone) {
  uint32_t tasks = 0;
  for (size_t i = 0; i < list.count; i++)
    if (list.demands[i].zone == zone) tasks += list.demands[i].tasks;
  return tasks;
}

static void an_array_may_run_in_any_zone(void **state) {
  (void)state;
  collect(2, 0, 0);
  assert_int_equal(list.count, 1);
  assert_int_equal(tasks_in(-1), 4);
}

/* Guards against free capacity in another zone that counts for tasks that must be in this one. */
static void an_array_in_one_zone_follows_its_placed_tasks(void **state) {
  (void)state;
  job.spec.same_zone = true;
  collect(0, 2, 0);
  assert_int_equal(list.count, 1);
  assert_int_equal(tasks_in(1), 4);
}

/* Guards against free capacity in a zone at its cap that counts for the remaining tasks. */
static void a_spread_array_needs_the_zones_below_the_cap(void **state) {
  (void)state;
  job.spec.spread = true;
  collect(3, 0, 1);
  assert_int_equal(tasks_in(-1) + tasks_in(0), 0);
  assert_int_equal(tasks_in(1), 2);
  assert_int_equal(tasks_in(2), 0);
}

/* Tasks above the caps add no demand, as a machine would not help. */
static void tasks_above_the_caps_need_no_machine(void **state) {
  (void)state;
  job.spec.spread = true;
  strcpy(job.spec.zone, "b");
  collect(0, 1, 0);
  assert_int_equal(list.count, 1);
  assert_int_equal(tasks_in(1), 2);
}

static void tasks_in_one_zone_above_the_cap_need_no_machine(void **state) {
  (void)state;
  job.spec.spread = job.spec.same_zone = true;
  collect(0, 0, 0);
  assert_int_equal(tasks_in(-1), 3);
}

/* Guards against replicas that wait for ever for a machine in a zone that has none of their type.
 */
static void replicas_need_only_zones_with_machines_of_their_type(void **state) {
  (void)state;
  job.spec.service = true;
  job.spec.tasks = 4;
  strcpy(job.spec.types[0], "gpu");
  job.spec.n_types = 1;
  collect(0, 0, 0);
  assert_int_equal(tasks_in(0), 2);
  assert_int_equal(tasks_in(1), 2);
  assert_int_equal(tasks_in(2), 0);
}

#define DEMAND_TEST(name) cmocka_unit_test_setup_teardown(name, setup_zones, teardown_zones)

int main(void) {
  const struct CMUnitTest tests[] = {
      DEMAND_TEST(an_array_may_run_in_any_zone),
      DEMAND_TEST(an_array_in_one_zone_follows_its_placed_tasks),
      DEMAND_TEST(a_spread_array_needs_the_zones_below_the_cap),
      DEMAND_TEST(tasks_above_the_caps_need_no_machine),
      DEMAND_TEST(tasks_in_one_zone_above_the_cap_need_no_machine),
      DEMAND_TEST(replicas_need_only_zones_with_machines_of_their_type),
  };
  return RUN_TESTS(tests);
}
