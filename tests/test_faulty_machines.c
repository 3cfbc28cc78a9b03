/* Jobs that fail on every machine, and machines on which every job fails. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "tmx/wire.h"

enum {
  MACHINES = 3,
  MISTAKES = 2,          /* jobs that were submitted with a mistake */
  TASKS_FOR_MACHINE = 3, /* tasks of each of these jobs for each machine, which has room for 7 */
  ERRORS_EACH = 2        /* errors of each of these jobs on each machine */
};
/* s; longest time for which a job may wait while a machine has room for it */
static const unsigned WAIT_MAX_S = 90;

static struct fake_worker *const machines[MACHINES] = {&worker, &other_workers[0],
                                                       &other_workers[1]};
static const char *const mistaken_jobs[MISTAKES] = {"wk-000300", "wk-000301"};
static unsigned errors[MACHINES][MISTAKES];
static size_t n_machines; /* machines that the current test uses */

static size_t machine_count(void) { return n_machines < MACHINES ? n_machines : MACHINES; }

static bool belongs_to(const struct fake_reported_task *task, const char *job) {
  size_t length = strlen(job);
  return !strncmp(task->task, job, length) && task->task[length] == '/';
}

/* Returns false if the task was not running. */
static bool fail_task(struct fake_reported_task *task) {
  if (strcmp(task->state, WV_RUNNING)) return false;
  snprintf(task->state, sizeof task->state, WV_EXITED);
  snprintf(task->reason, sizeof task->reason, WV_ERROR);
  return true;
}

static void count_error(const struct fake_worker *machine, size_t job) {
  for (size_t k = 0; k < machine_count(); k++) errors[k][job] += machines[k] == machine;
}

static void fail_mistaken_tasks(struct fake_worker *machine,
                                const struct fake_command_request *request) {
  (void)request;
  for (size_t i = 0; i < machine->n_tasks; i++)
    for (size_t j = 0; j < MISTAKES; j++)
      if (belongs_to(&machine->tasks[i], mistaken_jobs[j]) && fail_task(&machine->tasks[i]))
        count_error(machine, j);
}

static void fail_all_new_tasks(struct fake_worker *machine,
                               const struct fake_command_request *request) {
  (void)request;
  for (size_t i = 0; i < machine->n_tasks; i++) fail_task(&machine->tasks[i]);
}

/* Fails the tasks of jobs wk-000400 to wk-000499. */
static void fail_single_tasks(struct fake_worker *machine,
                              const struct fake_command_request *request) {
  (void)request;
  for (size_t i = 0; i < machine->n_tasks; i++)
    if (!strncmp(machine->tasks[i].task, "wk-0004", strlen("wk-0004")))
      fail_task(&machine->tasks[i]);
}

static void send_heartbeat(struct fake_worker *machine) {
  fake_worker_send_heartbeat(machine, first_controller);
  if (second_controller && machine->report_status != 200)
    fake_worker_send_heartbeat(machine, second_controller);
  fake_worker_execute_commands(machine);
  if (machine->on_command) machine->on_command(machine, NULL);
}

/* Runs the cluster, with a heartbeat of each machine every second, until the condition holds.
 * Returns whether it did within `seconds`. */
static bool run_cluster_until(bool (*condition)(void), unsigned seconds) {
  for (unsigned passed = 0; passed < seconds; passed++) {
    for (size_t i = 0; i < machine_count(); i++) send_heartbeat(machines[i]);
    if (condition()) return true;
    run_loop_for(1);
  }
  return condition();
}

static bool never(void) { return false; }

static unsigned running_tasks(const struct fake_worker *machine, const char *job) {
  unsigned count = 0;
  for (size_t i = 0; i < machine->n_tasks; i++)
    count += belongs_to(&machine->tasks[i], job) && !strcmp(machine->tasks[i].state, WV_RUNNING);
  return count;
}

static unsigned running_tasks_anywhere(const char *job) {
  unsigned count = 0;
  for (size_t i = 0; i < machine_count(); i++) count += running_tasks(machines[i], job);
  return count;
}

static bool each_machine_has_a_replica(void) {
  for (size_t i = 0; i < machine_count(); i++)
    if (!running_tasks(machines[i], "wk-000100")) return false;
  return true;
}

static bool both_jobs_failed_on_each_machine(void) {
  for (size_t i = 0; i < machine_count(); i++)
    for (size_t j = 0; j < MISTAKES; j++)
      if (errors[i][j] < ERRORS_EACH) return false;
  return true;
}

static bool later_jobs_run(void) {
  return running_tasks_anywhere("wk-000200") == 6 && running_tasks_anywhere("wk-000201") == 1;
}

static void lift_team_limit(struct tmx_settings *settings) { settings->teams[0].cpus_max = 0; }

static int setup_machines(void **state, size_t count) {
  memset(errors, 0, sizeof errors);
  n_machines = count;
  fake_adjust_settings = lift_team_limit;
  setup_two_settled_controllers(state);
  for (size_t i = 0; i < machine_count(); i++) {
    register_worker(machines[i]);
    machines[i]->on_command = fail_mistaken_tasks;
  }
  run_cluster_until(never, 2); /* until all machines are known to be healthy */
  return 0;
}
static int setup_three_machines(void **state) { return setup_machines(state, 3); }
static int setup_one_machine(void **state) { return setup_machines(state, 1); }

static void place_a_replica_on_each_machine(void) {
  submit_simple_job(first_controller, "wk-000100", "service", (uint32_t)n_machines, 2, "t");
  assert_true(run_cluster_until(each_machine_has_a_replica, 20));
}

/* Submits two arrays that fail on all machines, and waits until they have failed everywhere. */
static void submit_two_mistakes(void) {
  for (size_t j = 0; j < MISTAKES; j++)
    submit_simple_job(first_controller, mistaken_jobs[j], "batch",
                      (uint32_t)n_machines * TASKS_FOR_MACHINE, 2, "t");
  assert_true(run_cluster_until(both_jobs_failed_on_each_machine, 60));
}

/* The same; then cancels the two arrays. */
static void let_two_mistakes_fail(void) {
  submit_two_mistakes();
  for (size_t j = 0; j < MISTAKES; j++)
    assert_int_equal(cancel_job(first_controller, mistaken_jobs[j]).status, 200);
  run_cluster_until(never, 2);
}

static void submit_later_jobs(void) {
  submit_simple_job(first_controller, "wk-000200", "batch", 6, 2, "t");
  submit_simple_job(first_controller, "wk-000201", "service", 1, 2, "t");
}

/* Guards against jobs that wait although machines have room (review/3). */
static void later_jobs_start_after_two_mistakes(void **state) {
  (void)state;
  place_a_replica_on_each_machine();
  let_two_mistakes_fail();
  submit_later_jobs();
  assert_true(run_cluster_until(later_jobs_run, WAIT_MAX_S));
  assert_int_equal(fake_cloud.deletions, 0);
}

/* The same, with a restart of the leader: its successor saw the errors, and the restarted
 * controller reads them from the log. */
static void later_jobs_start_after_a_leader_change(void **state) {
  (void)state;
  place_a_replica_on_each_machine();
  let_two_mistakes_fail();
  stop_controller(first_controller);
  first_controller = start_controller(0, 2);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  submit_later_jobs();
  assert_true(run_cluster_until(later_jobs_run, WAIT_MAX_S));
  assert_int_equal(fake_cloud.deletions, 0);
}

/* Guards against a machine that gets no tasks for ever. Two jobs that fail on the only machine look
 * like a faulty machine. It has a replica, which never completes, and the cloud has no other. */
static void the_only_machine_is_tried_again(void **state) {
  (void)state;
  place_a_replica_on_each_machine();
  let_two_mistakes_fail();
  submit_later_jobs();
  assert_true(run_cluster_until(later_jobs_run, WAIT_MAX_S));
}

static bool a_rental_was_requested(void) { return fake_cloud.rentals > 0; }

/* Guards against counting the free CPUs of a faulty machine as capacity. While it gets no tasks,
 * another machine must be rented for the jobs that wait. */
static void a_faulty_machine_is_replaced_while_jobs_wait(void **state) {
  (void)state;
  place_a_replica_on_each_machine();
  let_two_mistakes_fail();
  submit_later_jobs();
  assert_true(run_cluster_until(a_rental_was_requested, 5));
}

/* Guards against the loss of empty machines by jobs with a mistake. The two jobs look like a fault
 * of the only machine, as they have nowhere else to fail. */
static void mistakes_do_not_cost_the_only_machine(void **state) {
  (void)state;
  let_two_mistakes_fail();
  submit_later_jobs();
  assert_true(run_cluster_until(later_jobs_run, WAIT_MAX_S));
  assert_int_equal(fake_cloud.deletions, 0);
}

static bool a_machine_was_deleted(void) { return fake_cloud.deletions > 0; }

/* A machine that fails all tasks, of jobs that run elsewhere, is deleted soon, but not before the
 * jobs had time to fail elsewhere too. */
static void a_faulty_machine_is_deleted_once_confirmed(void **state) {
  (void)state;
  machines[0]->on_command = fail_all_new_tasks;
  submit_simple_job(first_controller, "wk-000200", "batch", 6, 2, "t");
  submit_simple_job(first_controller, "wk-000202", "batch", 6, 2, "t");
  assert_false(
      run_cluster_until(a_machine_was_deleted, (unsigned)TMX_FAULTY_MACHINE_DELETION_S - 1));
  assert_true(run_cluster_until(a_machine_was_deleted, 10));
  assert_string_equal(fake_cloud.deleted[0], machines[0]->id);
  assert_int_equal(fake_cloud.deletions, 1);
}

/* Users may leave a job with a mistake as it is. It then fails again after each backoff. */
static void later_jobs_start_beside_mistakes_that_stay(void **state) {
  (void)state;
  place_a_replica_on_each_machine();
  submit_two_mistakes();
  submit_later_jobs();
  assert_true(run_cluster_until(later_jobs_run, WAIT_MAX_S));
}

/* More jobs of one task fail than there are machines, so that the machines seem to be at fault.
 * They are kept, and later jobs start when the quarantine ends. */
static void later_jobs_start_beside_many_mistakes_of_one_task(void **state) {
  (void)state;
  for (size_t i = 0; i < machine_count(); i++) machines[i]->on_command = fail_single_tasks;
  for (unsigned j = 0; j < 8; j++) {
    char id[TMX_ID_BYTES];
    snprintf(id, sizeof id, "wk-%06u", 400 + j);
    submit_simple_job(first_controller, id, "batch", 1, 2, "t");
  }
  run_cluster_until(never, 30);
  submit_later_jobs();
  assert_true(run_cluster_until(later_jobs_run, WAIT_MAX_S));
  assert_int_equal(fake_cloud.deletions, 0);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(later_jobs_start_after_two_mistakes, setup_three_machines,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(later_jobs_start_after_a_leader_change, setup_three_machines,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(later_jobs_start_beside_mistakes_that_stay,
                                      setup_three_machines, teardown_controllers),
      cmocka_unit_test_setup_teardown(later_jobs_start_beside_many_mistakes_of_one_task,
                                      setup_three_machines, teardown_controllers),
      cmocka_unit_test_setup_teardown(the_only_machine_is_tried_again, setup_one_machine,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_faulty_machine_is_replaced_while_jobs_wait,
                                      setup_one_machine, teardown_controllers),
      cmocka_unit_test_setup_teardown(mistakes_do_not_cost_the_only_machine, setup_one_machine,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_faulty_machine_is_deleted_once_confirmed,
                                      setup_three_machines, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
