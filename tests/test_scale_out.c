/* Machines are rented for work that waits and that the present machines cannot take or will not
 * take soon, and for no other work. Every machine has 16 CPUs. */
#include "controller_fixture.h"

#include <string.h>

#include "base/clock.h"
#include "cloud/cloud_internal.h"
#include "tmx/wire.h"

enum { WORKERS = 3 };

/* s; time in which the leader must request a machine for work that no present machine can hold */
static const unsigned RENTAL_MAX_S = 5;
/* s; the same for work that present machines should have completed within TMX_BACKLOG_CLEAR_S */
static const unsigned OVERDUE_RENTAL_MAX_S = 15;

static struct fake_worker *const machines[WORKERS] = {&worker, &other_workers[0],
                                                      &other_workers[1]};
static size_t n_machines; /* machines that the current test uses */

static void use_two_zones(struct tmx_settings *settings) {
  settings->teams[0].cpus_max = 0;
  strcpy(settings->zones[1], "b");
  settings->n_zones = 2;
  fake_cloud.second_zone = "b";
}

/* One controller, zones "a" and "b". */
static int setup_two_zones(void **state) {
  n_machines = 0;
  fake_adjust_settings = use_two_zones;
  return setup_one_controller(state);
}

static void limit_team(struct tmx_settings *settings) {
  use_two_zones(settings);
  settings->teams[0].cpus_max = 8;
}

/* The same with a limit of 8 CPUs for the team. */
static int setup_limited_team(void **state) {
  n_machines = 0;
  fake_adjust_settings = limit_team;
  return setup_one_controller(state);
}

static size_t machine_count(void) { return n_machines < WORKERS ? n_machines : WORKERS; }

static void send_heartbeats(void) {
  for (size_t i = 0; i < machine_count(); i++) {
    fake_worker_send_heartbeat(machines[i], first_controller);
    fake_worker_execute_commands(machines[i]);
  }
}

/* Runs the cluster, with a heartbeat of each machine every second, until the condition holds.
 * Returns whether it did within `seconds`. */
static bool run_cluster_until(bool (*condition)(void), unsigned seconds) {
  for (unsigned passed = 0; passed < seconds; passed++) {
    send_heartbeats();
    if (condition()) return true;
    run_loop_for(1);
  }
  return condition();
}

static bool never(void) { return false; }
static bool a_rental_was_requested(void) { return fake_cloud.rentals > 0; }

/* Registers the next machine in the zone, and waits until it is known to be healthy. */
static struct fake_worker *add_machine(const char *zone) {
  assert_in_range(n_machines, 0, WORKERS - 1);
  struct fake_worker *machine = machines[n_machines++];
  machine->zone = zone;
  register_worker(machine);
  run_cluster_until(never, 2);
  return machine;
}

static unsigned running_tasks(void) {
  unsigned count = 0;
  for (size_t i = 0; i < machine_count(); i++)
    for (size_t k = 0; k < machines[i]->n_tasks; k++)
      count += !strcmp(machines[i]->tasks[k].state, WV_RUNNING);
  return count;
}

static unsigned wanted_tasks;
static bool wanted_tasks_run(void) { return running_tasks() == wanted_tasks; }

static void submit(const struct fake_job *job) {
  struct fake_job of_team = *job;
  of_team.team = "t";
  assert_int_equal(submit_job(first_controller, &of_team), 201);
}

/* Submits the job, and waits until `tasks` tasks run in all. */
static void run_tasks(const struct fake_job *job, unsigned tasks) {
  submit(job);
  wanted_tasks = tasks;
  assert_true(run_cluster_until(wanted_tasks_run, 10));
}

static void assert_rented_in(const char *zone, unsigned seconds) {
  assert_true(run_cluster_until(a_rental_was_requested, seconds));
  assert_string_equal(fake_cloud.rental_zone, zone);
}

static void assert_nothing_is_rented(unsigned seconds) {
  assert_false(run_cluster_until(a_rental_was_requested, seconds));
}

/* Guards against an accepted job that waits for ever (review/6): an array bound to a zone without a
 * machine, while machines of another zone have many idle CPUs. */
static void an_array_bound_to_a_zone_gets_a_machine_there(void **state) {
  (void)state;
  add_machine("b");
  add_machine("b");
  submit(&(struct fake_job){.id = "wk-000001", .tasks = 4, .cpus = 4, .zone = "a"});
  assert_rented_in("a", RENTAL_MAX_S);
}

/* Guards against the same wait beside a machine that services fill: its CPUs never become free for
 * an array. */
static void an_array_beside_a_machine_full_of_replicas_gets_a_machine(void **state) {
  (void)state;
  add_machine("a");
  run_tasks(&(struct fake_job){.id = "wk-000001", .kind = "service", .tasks = 1, .cpus = 14}, 1);
  submit(&(struct fake_job){.id = "wk-000002", .tasks = 1, .cpus = 4, .zone = "a"});
  assert_rented_in("a", RENTAL_MAX_S);
}

/* Guards against a wait for the end of long tasks: the work is little, and no CPU becomes free. */
static void an_array_behind_long_tasks_gets_a_machine(void **state) {
  (void)state;
  add_machine("a");
  run_tasks(&(struct fake_job){.id = "wk-000001", .tasks = 4, .cpus = 4, .estimate_s = 3600}, 4);
  submit(&(struct fake_job){.id = "wk-000002", .tasks = 1, .cpus = 4, .zone = "a"});
  assert_rented_in("a", OVERDUE_RENTAL_MAX_S);
}

/* Guards against a wait of the remaining tasks of an array whose tasks must be in one zone: free
 * capacity in another zone is none for them. */
static void an_array_in_one_zone_gets_machines_in_that_zone(void **state) {
  (void)state;
  add_machine("a");
  run_tasks(
      &(struct fake_job){
          .id = "wk-000001", .tasks = 2, .cpus = 12, .one_zone = true, .estimate_s = 3600},
      1);
  add_machine("b");
  fake_cloud.rentals = 0;
  assert_rented_in("a", RENTAL_MAX_S + (unsigned)TMX_OFFER_BACKOFF_MIN_S);
}

/* Guards against a wait of tasks that must be in another zone, as half of the tasks are in this
 * one: free capacity in this zone is none for them. */
static void a_spread_array_gets_a_machine_in_the_other_zone(void **state) {
  (void)state;
  add_machine("a");
  submit(&(struct fake_job){
      .id = "wk-000001", .tasks = 4, .cpus = 2, .spread = true, .estimate_s = 3600});
  assert_rented_in("b", RENTAL_MAX_S);
  assert_int_equal(running_tasks(), 2);
}

static void complete_running_tasks_everywhere(void) {
  for (size_t i = 0; i < machine_count(); i++)
    for (size_t k = 0; k < machines[i]->n_tasks; k++) {
      struct fake_reported_task *task = &machines[i]->tasks[k];
      if (strcmp(task->state, WV_RUNNING)) continue;
      strcpy(task->state, WV_EXITED);
      strcpy(task->reason, WV_DONE);
    }
}

/* Guards against the price of machines that nothing needs: tasks that end soon make room. */
static void nothing_is_rented_for_work_that_present_machines_soon_complete(void **state) {
  (void)state;
  add_machine("a");
  run_tasks(&(struct fake_job){.id = "wk-000001", .tasks = 4, .cpus = 4}, 4);
  submit(&(struct fake_job){.id = "wk-000002", .tasks = 2, .cpus = 4, .zone = "a"});
  assert_nothing_is_rented(8);
  complete_running_tasks_everywhere();
  wanted_tasks = 2;
  assert_true(run_cluster_until(wanted_tasks_run, 5));
  assert_nothing_is_rented(20);
}

/* Guards against the price of machines for tasks that may not start: half of the tasks may be in
 * the only zone that the array is bound to. */
static void nothing_is_rented_for_tasks_above_the_zone_cap(void **state) {
  (void)state;
  add_machine("a");
  run_tasks(&(struct fake_job){.id = "wk-000001",
                               .tasks = 6,
                               .cpus = 5,
                               .spread = true,
                               .zone = "a",
                               .estimate_s = 3600},
            3);
  assert_nothing_is_rented(20);
}

static bool a_rental_was_requested_in_a(void) { return !strcmp(fake_cloud.rental_zone, "a"); }

/* Guards against an accepted job that waits for ever: an array that the cloud has no machine for
 * must not keep its team's quota from a job that could run. */
static void an_array_that_gets_no_machine_does_not_hold_up_its_team(void **state) {
  (void)state;
  submit(&(struct fake_job){
      .id = "wk-000001", .tasks = 100, .cpus = 4, .zone = "b", .estimate_s = 3600});
  assert_rented_in("b", RENTAL_MAX_S); /* the cloud refuses */
  submit(&(struct fake_job){.id = "wk-000002", .tasks = 1, .cpus = 4, .zone = "a"});
  assert_true(run_cluster_until(a_rental_was_requested_in_a, RENTAL_MAX_S));
}

/* Guards against a long wait for a machine that comes up late or never. The type usually boots in
 * 30 s. */
static void a_machine_that_is_late_is_no_capacity(void **state) {
  (void)state;
  fake_cloud.listed_machines = 1;
  run_cluster_until(never, 3);
  submit(&(struct fake_job){.id = "wk-000001", .tasks = 1, .cpus = 4, .zone = "a"});
  assert_nothing_is_rented(20);
  fake_cloud.listed_age_s = 50;
  assert_rented_in("a", RENTAL_MAX_S);
}

/* Guards against a machine that is rented in place of one that has just come up. From its
 * registration until its owner has checked it, the machine is neither booting nor usable. */
static void a_machine_that_has_just_joined_is_capacity(void **state) {
  (void)state;
  submit(&(struct fake_job){
      .id = "wk-000001", .tasks = 1, .cpus = 4, .zone = "a", .estimate_s = 3600});
  assert_rented_in("a", RENTAL_MAX_S);
  for (int i = 0; i < 100 && !is_registered(first_controller, &worker); i++) {
    if (i % 20 == 0) fake_worker_send_heartbeat(&worker, first_controller);
    run_loop_for(0.01);
  }
  assert_false(tmx_machine_find(&first_controller->replica, worker.id)->usable);
  struct tmx_cloud *cloud = first_controller->cloud;
  memset(&cloud->offer_backoffs, 0, sizeof cloud->offer_backoffs);
  unsigned rentals_before = fake_cloud.rentals;
  tmx_cloud_scale_out(cloud, tmx_clock_steady());
  run_loop_for(0.1);
  assert_int_equal(fake_cloud.rentals, rentals_before);
}

static bool a_machine_was_returned(void) { return fake_cloud.deletions > 0; }

/* Guards against the price of idle machines that are kept for work that they cannot take. The cloud
 * refuses machines in the zone of the array. */
static void an_idle_machine_is_returned_while_work_waits_elsewhere(void **state) {
  (void)state;
  add_machine("b");
  add_machine("b");
  submit(&(struct fake_job){.id = "wk-000001", .tasks = 4, .cpus = 4, .zone = "a"});
  assert_true(run_cluster_until(a_machine_was_returned, (unsigned)TMX_IDLE_RETURN_S + 15));
}

#define SCALE_OUT_TEST(name) \
  cmocka_unit_test_setup_teardown(name, setup_two_zones, teardown_controllers)

int main(void) {
  const struct CMUnitTest tests[] = {
      SCALE_OUT_TEST(an_array_bound_to_a_zone_gets_a_machine_there),
      SCALE_OUT_TEST(an_array_beside_a_machine_full_of_replicas_gets_a_machine),
      SCALE_OUT_TEST(an_array_behind_long_tasks_gets_a_machine),
      SCALE_OUT_TEST(an_array_in_one_zone_gets_machines_in_that_zone),
      SCALE_OUT_TEST(a_spread_array_gets_a_machine_in_the_other_zone),
      SCALE_OUT_TEST(nothing_is_rented_for_work_that_present_machines_soon_complete),
      SCALE_OUT_TEST(nothing_is_rented_for_tasks_above_the_zone_cap),
      SCALE_OUT_TEST(a_machine_that_is_late_is_no_capacity),
      SCALE_OUT_TEST(a_machine_that_has_just_joined_is_capacity),
      SCALE_OUT_TEST(an_idle_machine_is_returned_while_work_waits_elsewhere),
      cmocka_unit_test_setup_teardown(an_array_that_gets_no_machine_does_not_hold_up_its_team,
                                      setup_limited_team, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
