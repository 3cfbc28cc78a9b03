#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "tmx/wire.h"

struct tmx_controller *first_controller, *second_controller;
struct fake_worker worker, other_workers[2];

static void start_peers(void) {
  fake_start();
  fake_worker_open(&worker, "n-000001");
  fake_worker_open(&other_workers[0], "n-000002");
  fake_worker_open(&other_workers[1], "n-000003");
}

int setup_one_controller(void **state) {
  (void)state;
  start_peers();
  first_controller = start_controller(0, 1);
  second_controller = NULL;
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  return 0;
}

int setup_two_controllers(void **state) {
  (void)state;
  start_peers();
  first_controller = start_controller(0, 2);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  second_controller = start_controller(1, 2);
  assert_true(run_loop_until(fake_controller_is_ready, second_controller));
  return 0;
}

int setup_two_settled_controllers(void **state) {
  setup_two_controllers(state);
  run_loop_for(0.5);
  return 0;
}

int teardown_controllers(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  if (second_controller) stop_controller(second_controller);
  first_controller = second_controller = NULL;
  tmx_http_server_free(worker.server);
  for (int i = 0; i < 2; i++) tmx_http_server_free(other_workers[i].server);
  fake_stop();
  return 0;
}

void restart_first_controller(void) {
  stop_controller(first_controller);
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
}

bool is_registered(const struct tmx_controller *controller, const struct fake_worker *machine) {
  const struct tmx_machine *known = tmx_machine_find(&controller->replica, machine->id);
  return known && known->registered;
}

static bool is_registered_everywhere(const struct fake_worker *machine) {
  return is_registered(first_controller, machine) &&
         (!second_controller || is_registered(second_controller, machine));
}

static void report_to_owner_of(struct fake_worker *machine) {
  fake_worker_send_heartbeat(machine, first_controller);
  if (second_controller && machine->report_status != 200)
    fake_worker_send_heartbeat(machine, second_controller);
}

void register_worker(struct fake_worker *machine) {
  for (int i = 0; i < 20 && !is_registered_everywhere(machine); i++) {
    report_to_owner_of(machine);
    run_loop_for(0.1);
  }
  assert_true(is_registered_everywhere(machine));
}

bool worker_is_registered_at(void *controller) { return is_registered(controller, &worker); }

void register_worker_at(struct tmx_controller *controller) {
  for (int i = 0; i < 10 && !worker_is_registered_at(controller); i++) {
    fake_worker_send_heartbeat(&worker, controller);
    assert_int_equal(worker.report_status, 200);
    run_loop_for(0.1);
  }
  assert_true(run_loop_until(worker_is_registered_at, controller));
}

void register_worker_at_owner(void) {
  for (int i = 0; i < 10 && !worker_is_registered_at(first_controller); i++) {
    report_worker_to_owner();
    assert_int_equal(worker.report_status, 200);
    run_loop_for(0.1);
  }
  assert_true(run_loop_until(worker_is_registered_at, first_controller));
  assert_true(run_loop_until(worker_is_registered_at, second_controller));
}

void report_worker_to_owner(void) { report_to_owner_of(&worker); }

void complete_running_tasks(void) {
  for (size_t i = 0; i < worker.n_tasks; i++) {
    if (strcmp(worker.tasks[i].state, WV_RUNNING)) continue;
    snprintf(worker.tasks[i].state, sizeof worker.tasks[i].state, WV_EXITED);
    snprintf(worker.tasks[i].reason, sizeof worker.tasks[i].reason, WV_DONE);
  }
  report_worker_to_owner();
  fake_worker_execute_commands(&worker);
}

void complete_task(const char *task, uint32_t attempt) {
  fake_worker_set_task(&worker, task, attempt, WV_EXITED, WV_DONE);
  report_worker_to_owner();
}

static bool has_started(void *count) { return worker.executed_starts >= *(unsigned *)count; }
void wait_for_starts(unsigned count) { assert_true(run_loop_until(has_started, &count)); }

static bool has_placed(void *count) { return fake_count_placed_tasks() == *(unsigned *)count; }
void wait_for_placed(unsigned count) { assert_true(run_loop_until(has_placed, &count)); }

void assert_stays_placed(unsigned count, double seconds) {
  double passed = 0;
  while (passed < seconds) {
    run_loop_for(0.1);
    assert_int_equal(fake_count_placed_tasks(), count);
    passed += 0.1;
  }
}

void wait_for_unanswered_command(unsigned before) {
  for (int i = 0; i < 200 && worker.command_requests == before; i++) run_loop_for(0.02);
  assert_true(worker.command_requests > before);
  run_loop_for(0.1);
}

struct expected_state {
  const char *id, *state;
};

static bool has_state(void *arg) {
  const struct expected_state *expected = arg;
  struct fake_response response = poll_job(first_controller, expected->id);
  return response.status == 200 && !strcmp(response.state, expected->state);
}

void wait_for_job_state(const char *id, const char *state) {
  struct expected_state expected = {id, state};
  assert_true(run_loop_until(has_state, &expected));
}

bool any_task_is_placed(void *unused) {
  (void)unused;
  return fake_count_placed_tasks() > 0;
}

bool no_task_is_placed(void *unused) {
  (void)unused;
  return fake_count_placed_tasks() == 0;
}

bool any_task_was_started(void *unused) {
  (void)unused;
  return worker.executed_starts > 0;
}

bool first_controller_knows_outcome(void *job_id) {
  const struct tmx_job *job = tmx_job_find(&first_controller->replica, job_id);
  return job && job->outcome;
}
