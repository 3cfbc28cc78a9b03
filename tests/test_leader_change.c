/* Work, quotas and answers survive changes of the leader and of the machines' owners. */
#include "controller_fixture.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "tmx/wire.h"

/* Two tasks that end far apart, over restarts, with a compaction in between, and all controllers
 * away for longer than a lease: never done too early, done in the end, no attempt twice. */
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
  assert_true(worker.n_tasks == 1 &&
              worker.tasks[0].attempt == 1); /* the same attempt, the other one's never */
  assert_string_equal(worker.tasks[0].task, "wk-000001/1");
  fake_worker_set_task(&worker, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_job_state("wk-000001", WV_DONE);
  restart_first_controller();
  assert_string_equal(poll_job(first_controller, "wk-000001").state, WV_DONE);
}

static void let_lead(const struct tmx_controller *next) {
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", next->settings.node_name);
  tmx_cbor_put_u64_field(&value, "inc", tmx_store_incarnation(next->store));
  fake_put(TMX_KEY_LEADER, &value);
  tmx_buffer_free(&value);
}

static void complete_all_tasks(void) {
  char task[sizeof worker.tasks[0].task];
  for (size_t i = 0; i < worker.n_tasks; i++) {
    if (strcmp(worker.tasks[i].state, WV_RUNNING)) continue;
    memcpy(task, worker.tasks[i].task, sizeof task);
    fake_worker_set_task(&worker, task, worker.tasks[i].attempt, WV_EXITED, WV_DONE);
  }
}

/* The leader changes ten times while jobs come, end and are cancelled: the team stays within its
 * limit at every moment, no attempt is begun twice, and everything is served in the end. */
static void work_goes_on_through_ten_leader_changes(void **state) {
  (void)state;
  register_worker(&worker);
  char id[32];
  unsigned done = 0;
  for (int i = 0; i < 10; i++) {
    struct tmx_controller *next = i % 2 ? first_controller : second_controller;
    if (i == 5)
      fake_store.endpoints[0].unavailable = fake_store.endpoints[1].unavailable =
          true; /* also inside an outage */
    let_lead(next);
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
  for (int i = 0; i < 100 && done < 9; i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
    fake_worker_execute_commands(&worker);
    complete_all_tasks();
    run_loop_for(0.05);
    done = 0;
    for (int k = 0; k < 10; k++) {
      snprintf(id, sizeof id, "wk-%06d", k);
      struct tmx_job *job = tmx_job_find(&first_controller->replica, id);
      done += job && job->outcome == TMX_JOB_DONE;
    }
  }
  assert_int_equal(done, 9);
  assert_int_equal(worker.executed_starts, 9);
}

/* A team is at its limit when the leader ends, its machine cannot be asked, and the jobs are
 * cancelled then: nobody knows that the tasks are gone, so nothing else of the team starts until
 * somebody does. */
static void a_quota_holds_with_an_unreachable_machine(void **state) {
  (void)state;
  register_worker(&worker);
  register_worker(&other_workers[0]);
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 4, 2, "t"),
                   201); /* 8 CPUs, the limit */
  wait_for_placed(4);
  for (int i = 0; i < 40 && worker.executed_starts + other_workers[0].executed_starts < 4; i++)
    run_loop_for(0.05);
  struct fake_worker *both[] = {&worker, &other_workers[0]};
  for (int i = 0; i < 2; i++) both[i]->fails_commands = both[i]->unresponsive = true;
  fake_cloud.refuse_delete = true;
  restart_first_controller();
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  register_worker(&other_workers[1]);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  assert_stays_placed(4, 1.0);
  assert_int_equal(other_workers[1].executed_starts, 0);
  for (int i = 0; i < 2; i++) both[i]->fails_commands = both[i]->unresponsive = false;
  for (int i = 0; i < 60 && !other_workers[1].executed_starts; i++) {
    for (int k = 0; k < 2; k++) {
      fake_worker_send_heartbeat(both[k], first_controller);
      fake_worker_execute_commands(both[k]);
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

/* Who comes to lead knows the peak of what was in use, since every controller keeps it: what is not
 * needed is returned at once, and not only after the next minute. */
static void a_new_leader_knows_the_peak_demand(void **state) {
  (void)state;
  register_worker(&worker);
  for (int i = 0; i < 2; i++) register_worker(&other_workers[i]);
  struct tmx_controller *old = tmx_store_is_leader(first_controller->store) ? first_controller
                                                                            : second_controller,
                        *next = old == first_controller ? second_controller : first_controller;
  struct fake_worker *all[] = {&worker, &other_workers[0], &other_workers[1]};
  /* one task more than the limit of the team: while it waits nothing is returned */
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 5, 2, "t"), 201);
  for (int i = 0; i <= TMX_PEAK_DEMAND_WINDOW_S / TMX_DEMAND_GAP_MAX_S; i++) {
    tmx_clock_advance(TMX_DEMAND_GAP_MAX_S - 1);
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(all[k], first_controller);
      if (all[k]->report_status != 200) fake_worker_send_heartbeat(all[k], second_controller);
    }
    run_loop_for(1);
  }
  let_lead(next);
  bool drained = false;
  for (int k = 0; k < 3; k++) assert_false(tmx_machine_find(&next->replica, all[k]->id)->draining);
  assert_int_equal(fake_cloud.deletions, 0);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  double since = tmx_clock_steady();
  while (tmx_clock_steady() - since < TMX_LEADER_SETTLE_S + TMX_DRAIN_PERIOD_S + 2) {
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(all[k], first_controller);
      if (all[k]->report_status != 200) fake_worker_send_heartbeat(all[k], second_controller);
      struct tmx_machine *machine = tmx_machine_find(&next->replica, all[k]->id);
      drained |= !machine || machine->draining;
    }
    run_loop_for(0.5);
  }
  assert_true(tmx_store_is_leader(next->store));
  assert_true(drained);
}

static bool is_loaded(void *arg) { return ((struct tmx_controller *)arg)->replica.loaded; }

/* The watch fell behind while an answer with a start is on its way, and the copy is read anew under
 * the same view: that answer has the token which the worker has seen, so its lack of the task
 * proves nothing before a higher one was shown. */
static void tokens_stay_valid_when_the_same_view_is_read_again(void **state) {
  (void)state;
  register_worker(&worker);
  worker.fails_commands = true;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(0);
  fake_worker_send_heartbeat(&worker, first_controller);
  fake_worker_send_heartbeat(
      &worker, first_controller); /* shows the token that the unanswered command raised */
  assert_true(
      fake_worker_was_commanded(&worker, WV_START, "wk-000001/0", 1)); /* still on its way */
  uint64_t before = worker.token, term = first_controller->replica.view.term;
  fake_store.endpoints[0].expire_next_watch = true;
  fake_answer_pending_watches();
  for (int i = 0;
       i < 200 && (fake_store.endpoints[0].expire_next_watch || first_controller->replica.loaded);
       i++)
    run_loop_for(0.005);
  assert_true(run_loop_until(is_loaded, first_controller));
  assert_int_equal(first_controller->replica.view.term, term);
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  assert_stays_placed(1, 1.0);
  fake_worker_send_heartbeat(&worker, first_controller);
  assert_true(worker.token > before);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
}

/* Users ask at all controllers, repeat the submission and cancel, at once after a job was accepted,
 * ended or confirmed as cancelled, while the other controller hears of it late: what one has said
 * no other takes back. */
static void no_controller_gives_an_older_answer(void **state) {
  (void)state;
  register_worker(&worker);
  static const char *ids[] = {"wk-000001", "wk-000002", "wk-000003", "wk-000004"};
  struct tmx_controller *asked[] = {first_controller, second_controller};
  for (int i = 0; i < 4; i++) {
    struct tmx_controller *one = asked[i % 2], *other = asked[1 - i % 2];
    struct fake_endpoint *lags = &fake_store.endpoints[1 - i % 2];
    lags->hold_watches = true;
    assert_int_equal(submit_simple_job(one, ids[i], "batch", 1, 2, "t"), 201);
    struct fake_answer answer = poll_job(other, ids[i]);
    assert_int_equal(answer.status, 503); /* never a 404 */
    assert_int_not_equal(submit_simple_job(other, ids[i], "batch", 1, 2, "t"), 201);
    lags->hold_watches = false;
    fake_answer_pending_watches();
    assert_int_equal(submit_simple_job(other, ids[i], "batch", 1, 2, "t"), 200);
    unsigned begun = worker.executed_starts;
    if (i < 2) { /* it ends */
      for (int k = 0; k < 200 && worker.executed_starts == (unsigned)i; k++) run_loop_for(0.02);
      char task[48];
      snprintf(task, sizeof task, "%s/0", ids[i]);
      fake_worker_set_task(&worker, task, 1, WV_EXITED, WV_DONE);
      fake_worker_send_heartbeat(&worker, first_controller);
      if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
      const char *states[] = {ids[i], WV_DONE};
      for (int k = 0; k < 200 && strcmp(poll_job(one, ids[i]).state, states[1]); k++)
        run_loop_for(0.01);
      assert_string_equal(poll_job(one, ids[i]).state, WV_DONE);
      lags->hold_watches = true;
    } else {
      lags->hold_watches = true;
      assert_string_equal(cancel_job(one, ids[i]).state, WV_CANCELLED);
      begun = worker.executed_starts;
    }
    const char *end = i < 2 ? WV_DONE : WV_CANCELLED;
    for (int k = 0; k < 3; k++) {
      answer = k == 0 ? poll_job(other, ids[i]) : cancel_job(other, ids[i]);
      assert_true(answer.status == 503 || !strcmp(answer.state, end));
      assert_string_equal(poll_job(one, ids[i]).state, end);
      assert_string_equal(cancel_job(one, ids[i]).state, end);
    }
    lags->hold_watches = false;
    fake_answer_pending_watches();
    run_loop_for(0.3);
    assert_string_equal(poll_job(other, ids[i]).state, end);
    if (i >= 2) assert_in_range(worker.executed_starts, 0, begun); /* nothing starts after it */
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(&worker, first_controller);
      if (worker.report_status != 200) fake_worker_send_heartbeat(&worker, second_controller);
      fake_worker_execute_commands(&worker);
      run_loop_for(0.05);
    }
  }
}

static void serve_worker(void) {
  report_worker_to_owner();
  fake_worker_execute_commands(&worker);
}

/* Submits as a user does: repeated while no controller can decide. */
static void submit_one_task_job(struct tmx_controller *controller, const char *id) {
  int status = submit_simple_job(controller, id, "batch", 1, 2, "t");
  for (int tries = 0; tries < 20 && status == 503; tries++)
    status = submit_simple_job(controller, id, "batch", 1, 2, "t");
  assert_true(status == 201 || status == 200);
}

/* Cancels until it is confirmed; `told` gets the state that the user was told. */
static void cancel_until_confirmed(struct tmx_controller *controller, const char *id, char *told) {
  struct fake_answer answer = cancel_job(controller, id);
  for (int tries = 0; tries < 20 && answer.status != 200; tries++)
    answer = cancel_job(controller, id);
  assert_int_equal(answer.status, 200);
  strcpy(told, answer.state);
}

static void complete_all_placed(void) {
  for (int i = 0; i < 400 && fake_count_placed_tasks(); i++) {
    complete_all_tasks();
    serve_worker();
    run_loop_for(0.1);
  }
  assert_int_equal(fake_count_placed_tasks(), 0);
}

/* One-task jobs come four a second, a quarter of them are cancelled, some at their end, and the
 * leader changes on the way: each ends as its user was answered, the limit is kept, and nothing is
 * left. */
static void one_task_jobs_run_once_or_stay_cancelled(void **state) {
  (void)state;
  enum { JOBS = 80 };
  register_worker(&worker);
  char id[32], told[JOBS][16] = {{0}};
  for (int i = 0; i < JOBS; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_one_task_job(i % 3 ? first_controller : second_controller, id);
    if (i % 10 == 5) complete_all_tasks();
    if (i % 4 == 0)
      cancel_until_confirmed(i % 8 ? first_controller : second_controller, id, told[i]);
    if (i % 20 == 10) let_lead(i % 40 == 10 ? second_controller : first_controller);
    run_loop_for(0.25);
    assert_in_range(fake_count_placed_tasks(), 0, 4);
    if (i % 2) complete_all_tasks();
    serve_worker();
  }
  complete_all_placed();
  run_loop_for(1);
  for (int i = 0; i < JOBS; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    assert_string_equal(poll_job(i % 2 ? first_controller : second_controller, id).state,
                        told[i][0] ? told[i] : WV_DONE);
  }
}

/* A new machine is up within a second and gets work at once, while the answers of the writes are
 * lost, and the leader ends: the machine is registered once, what was placed is started once. */
static void a_fast_machine_runs_once_when_the_leader_ends(void **state) {
  (void)state;
  struct fake_worker *new_worker = &other_workers[0];
  assert_int_equal(submit_simple_job(second_controller, "wk-000001", "service", 2, 2, "t"), 201);
  for (int i = 0; i < 2; i++) {
    fake_store.endpoints[i].lose_next_response = true;
    strcpy(fake_store.endpoints[i].lost_response_key, TMX_KEY_BATCH);
  }
  register_worker(new_worker);
  bool first_is_owner = tmx_store_is_leader(first_controller->store);
  fake_delete(first_is_owner ? TMX_KEY_MEMBER "hand-0" : TMX_KEY_MEMBER "hand-1");
  fake_delete(TMX_KEY_LEADER);
  stop_controller(first_is_owner ? first_controller : second_controller);
  *(first_is_owner ? &first_controller : &second_controller) = NULL;
  struct tmx_controller *successor = first_is_owner ? second_controller : first_controller;
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

/* A leader that has just come takes machines back that the one before was about to return, when
 * work waits: it does not know the peak yet, and returns nothing, but must not keep room empty
 * either. */
static void a_new_leader_returns_machines(void **state) {
  (void)state;
  register_worker_at(first_controller);
  submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(any_task_was_started, NULL));
  struct tmx_buffer value = {0}, list = {0};
  tmx_cbor_put_text(&list, "d n-000001 1");
  tmx_log_value_encode(&value, NULL, 0, &list, 1);
  fake_put(TMX_KEY_BATCH "hand-9/1", &value);
  tmx_buffer_free(&value);
  tmx_buffer_free(&list);
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
      cmocka_unit_test_setup_teardown(tokens_stay_valid_when_the_same_view_is_read_again,
                                      setup_one_controller, teardown_controllers),
      cmocka_unit_test_setup_teardown(no_controller_gives_an_older_answer,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_fast_machine_runs_once_when_the_leader_ends,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(one_task_jobs_run_once_or_stay_cancelled,
                                      setup_two_settled_controllers, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_new_leader_returns_machines, setup_one_controller,
                                      teardown_controllers),
  };
  return RUN_TESTS(tests);
}
