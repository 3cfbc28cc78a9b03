/* Tasks, quotas and answers to users survive changes of the leader and of the machines' owners. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* Guards against the loss of a completion that is in the log. Two tasks of a job complete far
 * apart. Between their completions the log is compacted, and all controllers are down for longer
 * than a lease. The job must not be reported as done too early and must be done in the end, and the
 * completed attempt must not be started again. */
static void completions_far_apart_survive_leader_changes(void **state) {
  (void)state;
  register_worker(&worker);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_for_starts(2);
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(1);
  tmx_compaction_set_threshold(first_controller->compaction, 0);
  for (int i = 0; i < 300 && !first_controller->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(first_controller->replica.compaction_point > 0);
  restart_first_controller();
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_RUNNING);
  stop_controller(first_controller);
  tmx_clock_advance(30);
  worker.session++;
  worker.n_tasks = 0;
  first_controller = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, first_controller));
  for (int i = 0; i < 40 && worker.executed_starts < 3; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    fake_worker_execute_commands(&worker);
    assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_RUNNING);
    run_loop_for(0.05);
  }
  assert_int_equal(worker.executed_starts, 3);
  /* Only the attempt that had not completed was started again. */
  assert_true(worker.n_tasks == 1 && worker.tasks[0].attempt == 1);
  assert_string_equal(worker.tasks[0].task, "wk-000001/1");
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_job_state("wk-000001", WV_DONE);
  restart_first_controller();
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
}

/* Writes the leader key so that this controller becomes the leader. */
static void make_leader(const struct tmx_controller *next) {
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", next->settings.node_name);
  tmx_cbor_put_u64_field(&value, "inc", tmx_store_incarnation(next->store));
  fake_put(TMX_KEY_LEADER, &value);
  tmx_buffer_free(&value);
}

/* All tasks that run on `worker` complete; the next heartbeat reports it. */
static void complete_all_tasks(void) {
  char task[sizeof worker.tasks[0].task];
  for (size_t i = 0; i < worker.n_tasks; i++) {
    if (strcmp(worker.tasks[i].state, WV_RUNNING)) continue;
    memcpy(task, worker.tasks[i].task, sizeof task);
    fake_worker_set_task(&worker, task, worker.tasks[i].attempt, WV_EXITED, WV_DONE);
  }
}

/* The leader changes ten times while jobs are submitted and tasks complete, once during an outage
 * of the store. The quota must hold at every moment, no attempt may be started twice, and every job
 * must be done in the end. */
static void work_goes_on_through_ten_leader_changes(void **state) {
  (void)state;
  register_worker(&worker);
  char id[32];
  unsigned n_done = 0;
  for (int i = 0; i < 10; i++) {
    struct tmx_controller *next = i % 2 ? first_controller : second_controller;
    if (i == 5) /* this leader change happens during an outage of the store */
      fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = true;
    make_leader(next);
    snprintf(id, sizeof id, "wk-%06d", i);
    if (i != 5) assert_int_equal(submit_simple_job(next, id, "batch", 1, 2, "t"), 201);
    for (int k = 0; k < 6; k++) {
      run_loop_for(0.05);
      assert_in_range(fake_count_placed_tasks(), 0, 4);
      for (size_t task = 0; task < worker.n_tasks; task++)
        assert_int_equal(worker.tasks[task].attempt, 1);
      complete_all_tasks();
      fake_worker_send_heartbeat(&worker, first_controller);
      if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
      fake_worker_execute_commands(&worker);
    }
    if (i == 5) fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable = false;
  }
  for (int i = 0; i < 100 && n_done < 9; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
    fake_worker_execute_commands(&worker);
    complete_all_tasks();
    run_loop_for(0.05);
    n_done = 0;
    for (int k = 0; k < 10; k++) {
      snprintf(id, sizeof id, "wk-%06d", k);
      struct tmx_job *job = tmx_job_find(&first_controller->replica, id);
      n_done += job && job->outcome == TMX_JOB_DONE;
    }
  }
  assert_int_equal(n_done, 9);
  assert_int_equal(worker.executed_starts, 9);
}

/* Guards against exceeding the quota after a cancellation. The tasks of a team use its whole quota
 * when the leader terminates and their machines become unreachable. Then the job is cancelled.
 * While no controller knows that its tasks have ended, no other task of the team may start. */
static void a_quota_holds_with_an_unreachable_machine(void **state) {
  (void)state;
  register_worker(&worker);
  register_worker(&other_workers[0]);
  /* 4 tasks of 2 CPUs use the quota of 8 CPUs. */
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 4, 2, "t"), 201);
  wait_for_placed(4);
  for (int i = 0; i < 40 && worker.executed_starts + other_workers[0].executed_starts < 4; i++)
    run_loop_for(0.05);
  struct fake_worker *unreachable[] = {&worker, &other_workers[0]};
  for (int i = 0; i < 2; i++) unreachable[i]->fails_commands = unreachable[i]->unresponsive = true;
  fake_cloud.refuse_delete = true;
  restart_first_controller();
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  register_worker(&other_workers[1]);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  assert_stays_placed(4, 1.0);
  assert_int_equal(other_workers[1].executed_starts, 0);
  for (int i = 0; i < 2; i++) unreachable[i]->fails_commands = unreachable[i]->unresponsive = false;
  for (int i = 0; i < 60 && !other_workers[1].executed_starts; i++) {
    for (int k = 0; k < 2; k++) {
      fake_worker_send_heartbeat(unreachable[k], first_controller);
      fake_worker_execute_commands(unreachable[k]);
    }
    fake_worker_send_heartbeat(&other_workers[1], first_controller);
    fake_worker_execute_commands(&other_workers[1]);
    run_loop_for(0.1);
    if (worker.executed_starts + other_workers[0].executed_starts > 4) break;
  }
  assert_int_equal(
      worker.executed_starts + other_workers[0].executed_starts + other_workers[1].executed_starts,
      5);
}

/* Guards against keeping idle machines for a minute after each leader change. Every controller
 * records the peak demand, so a new leader must drain the machines that are not needed as soon as
 * it has settled. */
static void a_new_leader_knows_the_peak_demand(void **state) {
  (void)state;
  register_worker(&worker);
  for (int i = 0; i < 2; i++) register_worker(&other_workers[i]);
  struct tmx_controller *former = tmx_store_is_leader(first_controller->store) ? first_controller
                                                                               : second_controller,
                        *next = former == first_controller ? second_controller : first_controller;
  struct fake_worker *workers[] = {&worker, &other_workers[0], &other_workers[1]};
  /* One task exceeds the quota of the team. While it waits, no machine is drained. */
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 5, 2, "t"), 201);
  for (int i = 0; i <= TMX_PEAK_DEMAND_WINDOW_S / TMX_DEMAND_GAP_MAX_S; i++) {
    tmx_clock_advance(TMX_DEMAND_GAP_MAX_S - 1);
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(workers[k], first_controller);
      if (workers[k]->report_status != 200)
        fake_worker_send_heartbeat(workers[k], second_controller);
    }
    run_loop_for(1);
  }
  make_leader(next);
  bool drained = false;
  for (int k = 0; k < 3; k++)
    assert_false(tmx_machine_find(&next->replica, workers[k]->id)->draining);
  assert_int_equal(fake_cloud.deletions, 0);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  double cancelled_at = tmx_clock_steady();
  while (tmx_clock_steady() - cancelled_at < TMX_LEADER_SETTLE_S + TMX_DRAIN_PERIOD_S + 2) {
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(workers[k], first_controller);
      if (workers[k]->report_status != 200)
        fake_worker_send_heartbeat(workers[k], second_controller);
      struct tmx_machine *machine = tmx_machine_find(&next->replica, workers[k]->id);
      drained |= !machine || machine->draining;
    }
    run_loop_for(0.5);
  }
  assert_true(tmx_store_is_leader(next->store));
  assert_true(drained);
}

static bool is_loaded(void *arg) { return ((struct tmx_controller *)arg)->replica.loaded; }

/* Guards against freeing the capacity of a task that may still start. A heartbeat response with a
 * start is in flight when the watch falls behind and the replica is read again under the same view.
 * The response carries a token that the worker has already seen, so the absence of the task from a
 * report proves nothing until the worker has shown a higher token. */
static void a_replica_reload_in_the_same_view_raises_the_token(void **state) {
  (void)state;
  register_worker(&worker);
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  fake_worker_send_heartbeat(&worker, first_controller);
  /* The next heartbeat shows the token that was raised after the unanswered command. */
  fake_worker_send_heartbeat(&worker, first_controller);
  /* The response carries the start, which the worker has not executed yet. */
  assert_true(fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1));
  uint64_t token_before = worker.token, term_before = first_controller->replica.view.term;
  fake_store.endpoints[0].expire_next_watch = true;
  fake_answer_pending_watches();
  for (int i = 0;
       i < 200 && (fake_store.endpoints[0].expire_next_watch || first_controller->replica.loaded);
       i++)
    run_loop_for(0.005);
  assert_true(run_loop_until(is_loaded, first_controller));
  assert_int_equal(first_controller->replica.view.term, term_before);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  assert_stays_placed(1, 1.0);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.token > token_before);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
}

/* Guards against contradictory answers to users. A job is accepted, done or cancelled at one
 * controller while the watch of the other one is frozen. Users immediately poll, submit again and
 * cancel. No response of either controller may contradict an earlier one. */
static void no_controller_returns_an_older_job_state(void **state) {
  (void)state;
  register_worker(&worker);
  static const char *ids[] = {"wk-000001", "wk-000002", "wk-000003", "wk-000004"};
  struct tmx_controller *controllers[] = {first_controller, second_controller};
  for (int i = 0; i < 4; i++) {
    struct tmx_controller *updated = controllers[i % 2], *lagging = controllers[1 - i % 2];
    struct fake_endpoint *lagging_endpoint = &fake_store.endpoints[1 - i % 2];
    lagging_endpoint->hold_watches = true;
    assert_int_equal(submit_simple_job(updated, ids[i], "batch", 1, 2, "t"), 201);
    struct fake_response response = poll_job(lagging, ids[i]);
    assert_int_equal(response.status, 503); /* never 404 */
    assert_int_not_equal(submit_simple_job(lagging, ids[i], "batch", 1, 2, "t"), 201);
    lagging_endpoint->hold_watches = false;
    fake_answer_pending_watches();
    assert_int_equal(submit_simple_job(lagging, ids[i], "batch", 1, 2, "t"), 200);
    unsigned starts_before = worker.executed_starts;
    if (i < 2) { /* the job completes */
      for (int k = 0; k < 200 && worker.executed_starts == (unsigned)i; k++) run_loop_for(0.02);
      char task[48];
      snprintf(task, sizeof task, "%s/0", ids[i]);
      fake_worker_set_task(&worker, task, 1, WV_EXITED, WV_DONE);
      fake_worker_send_heartbeat(&worker, first_controller);
      if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
      const char *states[] = {ids[i], WV_DONE};
      for (int k = 0; k < 200 && strcmp(poll_job(updated, ids[i]).state, states[1]); k++)
        run_loop_for(0.01);
      assert_string_equal(poll_job(updated, ids[i]).state, WV_DONE);
      lagging_endpoint->hold_watches = true;
    } else {
      lagging_endpoint->hold_watches = true;
      assert_string_equal(cancel_job(updated, ids[i]).state, WV_CANCELLED);
      starts_before = worker.executed_starts;
    }
    const char *final_state = i < 2 ? WV_DONE : WV_CANCELLED;
    for (int k = 0; k < 3; k++) {
      response = k == 0 ? poll_job(lagging, ids[i]) : cancel_job(lagging, ids[i]);
      assert_true(response.status == 503 || !strcmp(response.state, final_state));
      assert_string_equal(poll_job(updated, ids[i]).state, final_state);
      assert_string_equal(cancel_job(updated, ids[i]).state, final_state);
    }
    lagging_endpoint->hold_watches = false;
    fake_answer_pending_watches();
    run_loop_for(0.3);
    assert_string_equal(poll_job(lagging, ids[i]).state, final_state);
    /* Nothing starts after the cancellation. */
    if (i >= 2) assert_in_range(worker.executed_starts, 0, starts_before);
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(&worker, first_controller);
      if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
      fake_worker_execute_commands(&worker);
      run_loop_for(0.05);
    }
  }
}

/* Sends a heartbeat of `worker` to its owner. The worker then executes the commands of the
 * response. */
static void exchange_heartbeat(void) {
  report_worker_to_owner();
  fake_worker_execute_commands(&worker);
}

/* Submits a job and retries while the controller answers 503, as a user does. */
static void submit_one_task_job(struct tmx_controller *controller, const char *id) {
  int status = submit_simple_job(controller, id, "batch", 1, 2, "t");
  for (int retries = 0; retries < 20 && status == 503; retries++)
    status = submit_simple_job(controller, id, "batch", 1, 2, "t");
  assert_true(status == 201 || status == 200);
}

/* Retries the cancellation until it is confirmed. Copies the job state of the response to
 * `confirmed_state`. */
static void cancel_until_confirmed(struct tmx_controller *controller, const char *id,
                                   char *confirmed_state) {
  struct fake_response response = cancel_job(controller, id);
  for (int retries = 0; retries < 20 && response.status != 200; retries++)
    response = cancel_job(controller, id);
  assert_int_equal(response.status, 200);
  strcpy(confirmed_state, response.state);
}

/* Lets placed tasks complete until none is left. */
static void complete_all_placed(void) {
  for (int i = 0; i < 400 && fake_count_placed_tasks(); i++) {
    complete_all_tasks();
    exchange_heartbeat();
    run_loop_for(0.1);
  }
  assert_int_equal(fake_count_placed_tasks(), 0);
}

/* One-task jobs are submitted at four per second, and a quarter of them are cancelled, some of them
 * at their completion, while the leader changes. Each job must end in the state that its user was
 * told, the quota must hold, and no task may stay placed. */
static void one_task_jobs_run_once_or_stay_cancelled(void **state) {
  (void)state;
  enum { JOBS = 80 };
  register_worker(&worker);
  char id[32], confirmed_states[JOBS][16] = {{0}};
  for (int i = 0; i < JOBS; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_one_task_job(i % 3 ? first_controller : second_controller, id);
    if (i % 10 == 5) complete_all_tasks();
    if (i % 4 == 0)
      cancel_until_confirmed(i % 8 ? first_controller : second_controller, id, confirmed_states[i]);
    if (i % 20 == 10) make_leader(i % 40 == 10 ? second_controller : first_controller);
    run_loop_for(0.25);
    assert_in_range(fake_count_placed_tasks(), 0, 4);
    if (i % 2) complete_all_tasks();
    exchange_heartbeat();
  }
  complete_all_placed();
  run_loop_for(1);
  for (int i = 0; i < JOBS; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    assert_string_equal(poll_job(i % 2 ? first_controller : second_controller, id).state,
                        confirmed_states[i][0] ? confirmed_states[i] : WV_DONE);
  }
}

/* Guards against duplicate registrations and starts. A new machine reports at once and gets tasks
 * while the responses to batches are lost and the leader terminates. The tasks that were placed
 * must be started exactly once. */
static void a_new_machine_starts_its_tasks_once_when_the_leader_ends(void **state) {
  (void)state;
  struct fake_worker *new_worker = &other_workers[0];
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", "service", 2, 2, "t"), 201);
  for (int i = 0; i < 2; i++) {
    fake_store.endpoints[i].lose_next_response = true;
    strcpy(fake_store.endpoints[i].lost_response_key, TMX_KEY_BATCH);
  }
  register_worker(new_worker);
  bool first_is_leader = tmx_store_is_leader(first_controller->store);
  fake_delete(first_is_leader ? TMX_KEY_MEMBER "hand-0" : TMX_KEY_MEMBER "hand-1");
  fake_delete(TMX_KEY_LEADER);
  stop_controller(first_is_leader ? first_controller : second_controller);
  *(first_is_leader ? &first_controller : &second_controller) = NULL;
  struct tmx_controller *successor = first_is_leader ? second_controller : first_controller;
  for (int i = 0; i < 200 && new_worker->executed_starts < 1; i++) {
    run_loop_for(0.05);
    fake_worker_send_heartbeat(new_worker, successor);
    fake_worker_execute_commands(new_worker);
  }
  for (int i = 0; i < 20; i++) {
    run_loop_for(0.1);
    fake_worker_send_heartbeat(new_worker, successor);
    fake_worker_execute_commands(new_worker);
  }
  assert_int_equal(new_worker->executed_starts, 2);
  assert_int_equal(new_worker->n_tasks, 2);
  for (size_t i = 0; i < 2; i++) assert_int_equal(new_worker->tasks[i].attempt, 1);
  assert_int_equal(fake_count_placed_tasks(), 2);
}

/* Guards against free capacity that stays unused after a leader change. The former leader has
 * started to drain a machine. The new leader does not know the peak demand yet, so it drains
 * no machine as surplus to the peak. It must still stop draining this machine when tasks wait for
 * capacity. */
static void a_new_leader_cancels_draining_for_waiting_tasks(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  struct tmx_buffer value = {0}, operations = {0};
  tmx_cbor_put_text(&operations, "d n-000001 1");
  tmx_log_value_encode(&value, NULL, 0, &operations, 1);
  fake_put(TMX_KEY_BATCH "hand-9/1", &value);
  tmx_buffer_free(&value);
  tmx_buffer_free(&operations);
  for (int i = 0; i < 100 && !tmx_machine_find(&first_controller->replica, worker.id)->draining;
       i++)
    run_loop_for(0.02);
  assert_true(tmx_machine_find(&first_controller->replica, worker.id)->draining);
  submit_simple_job(first_controller, "wk-000002", "batch", 3, 2, "t");
  for (int i = 0; i < 300 && fake_count_placed_tasks() < 4; i++) run_loop_for(0.02);
  assert_true(fake_log_contains("d n-000001 0"));
  assert_int_equal(fake_count_placed_tasks(), 4);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(completions_far_apart_survive_leader_changes,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(work_goes_on_through_ten_leader_changes,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_quota_holds_with_an_unreachable_machine,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_new_leader_knows_the_peak_demand,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_replica_reload_in_the_same_view_raises_the_token,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(no_controller_returns_an_older_job_state,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_new_machine_starts_its_tasks_once_when_the_leader_ends,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(one_task_jobs_run_once_or_stay_cancelled,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_new_leader_cancels_draining_for_waiting_tasks,
                                      setup_one_controller, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
