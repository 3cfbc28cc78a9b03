/* Late copies of command requests start nothing. A worker executes such a copy if its token and its
 * session still match. While it holds an attempt, a copy of the start has no effect. Once it has
 * forgotten the attempt, the copy would start the attempt again. */
#include "controller_fixture.h"

#include <string.h>

#include "replica/view.h"
#include "tmx/wire.h"
#include "worker/commands.h"
#include "worker/fencing.h"
#include "worker/worker_table.h"

/* The command requests that `worker` received. */
static struct fake_request_record record;

/* One controller, with `worker` registered and its command requests recorded. */
static int setup_recorded_worker(void **state) {
  setup_one_controller(state);
  memset(&record, 0, sizeof record);
  worker.record = &record;
  register_worker(&worker);
  return 0;
}

static bool holds(const struct fake_worker *machine, const char *task, uint32_t attempt) {
  for (size_t i = 0; i < machine->n_tasks; i++)
    if (!strcmp(machine->tasks[i].task, task) && machine->tasks[i].attempt == attempt) return true;
  return false;
}

/* Returns the latest recorded request with this command; NULL: there is none. */
static const struct fake_command_request *find_request(const char *operation, const char *task) {
  for (size_t i = record.n_requests; i-- > 0;) {
    const struct fake_command_request *request = &record.requests[i];
    for (size_t k = 0; k < request->n_commands; k++)
      if (!strcmp(request->commands[k].operation, operation) &&
          !strcmp(request->commands[k].task, task))
        return request;
  }
  return NULL;
}

/* Submits a job with one task and waits until a direct command has started it on `worker`. */
static void start_directly(const char *job, const char *task, const char *kind) {
  unsigned starts_before = worker.executed_starts;
  assert_int_equal(submit_simple_job(first_controller, job, kind, 1, 2, "t"), 201);
  wait_for_starts(starts_before + 1);
  assert_true(holds(&worker, task, 1));
  assert_non_null(find_request(WV_START, task));
}

static void send_heartbeat_and_execute(struct fake_worker *machine) {
  fake_worker_send_heartbeat(machine, first_controller);
  fake_worker_execute_commands(machine);
}

/* Reports until `worker` was told to forget attempt 1 of the task. */
static void wait_until_forgotten(const char *task) {
  for (int i = 0; i < 50 && holds(&worker, task, 1); i++) {
    send_heartbeat_and_execute(&worker);
    run_loop_for(0.1);
  }
  assert_false(holds(&worker, task, 1));
}

/* Closes the server at the worker's address. The teardown frees another one in its place. */
static void refuse_direct_connections(void) {
  static struct fake_worker unused;
  fake_worker_open(&unused, "n-000004");
  tmx_http_server_free(worker.server);
  worker.server = unused.server;
}

/* Copies of all recorded requests arrive. None may start a task. */
static void assert_copies_start_nothing(void) {
  unsigned starts_before = worker.executed_starts;
  for (size_t i = 0; i < record.n_requests; i++)
    fake_worker_execute_request(&worker, &record.requests[i]);
  assert_int_equal(worker.executed_starts, starts_before);
}

/* Guards against running a task twice (ran_twice). Attempt 1 was started by a direct command,
 * ended, and was forgotten. While attempt 2 runs on another machine, a copy of that command must
 * not start attempt 1 again. */
static void a_late_copy_starts_no_attempt_of_a_task_that_runs_elsewhere(void **state) {
  (void)state;
  struct fake_worker *other = &other_workers[0];
  start_directly("wk-000001", "wk-000001/0", "service"); /* makes `worker` the fuller machine */
  start_directly("wk-000002", "wk-000002/0", "batch");
  register_worker(other);
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_EXITED, "no_room");
  wait_until_forgotten("wk-000002/0");
  for (int i = 0; i < 50 && !holds(other, "wk-000002/0", 2); i++) {
    send_heartbeat_and_execute(other);
    run_loop_for(0.1);
  }
  assert_true(holds(other, "wk-000002/0", 2));
  const struct fake_command_request *start = find_request(WV_START, "wk-000002/0");
  assert_int_equal(fake_worker_execute_request(&worker, start), 409);
  assert_false(holds(&worker, "wk-000002/0", 1));
  assert_copies_start_nothing();
}

/* Guards against tasks of a cancelled job that start again (ran_cancelled). */
static void a_late_copy_starts_no_attempt_of_a_cancelled_job(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "service");
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  wait_until_forgotten("wk-000001/0");
  assert_copies_start_nothing();
}

/* Guards against using capacity beyond a team's limit (quota) for a task that is done. */
static void a_late_copy_starts_no_completed_attempt(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "batch");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000001/0");
  assert_copies_start_nothing();
}

/* Guards against running a task twice. The worker is told to forget the attempt in the response to
 * a heartbeat, as direct connections are refused. */
static void a_response_to_forget_voids_the_start(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "batch");
  uint64_t start_token = find_request(WV_START, "wk-000001/0")->token;
  refuse_direct_connections();
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  for (int i = 0; i < 50 && !fake_worker_was_commanded(&worker, WV_FORGET, "wk-000001/0", 1); i++) {
    fake_worker_send_heartbeat(&worker, first_controller);
    run_loop_for(0.1);
  }
  assert_true(worker.response_token > start_token);
  fake_worker_execute_commands(&worker);
  assert_false(holds(&worker, "wk-000001/0", 1));
  assert_copies_start_nothing();
}

/* Guards against running a task twice. The command to forget the attempt gets no response and is
 * executed late, after its owner has ended and before the successor reaches the worker. */
static void a_late_command_to_forget_voids_the_start(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "batch");
  worker.fails_commands = true;
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  for (int i = 0; i < 100 && !find_request(WV_FORGET, "wk-000001/0"); i++) run_loop_for(0.02);
  struct fake_command_request forget = *find_request(WV_FORGET, "wk-000001/0");
  stop_controller(first_controller);
  first_controller = NULL;
  assert_true(holds(&worker, "wk-000001/0", 1));
  assert_int_equal(fake_worker_execute_request(&worker, &forget), 200);
  assert_false(holds(&worker, "wk-000001/0", 1));
  assert_copies_start_nothing();
}

/* Guards against running a task twice. The owner that started the attempt has ended, and its
 * successor tells the worker to forget the attempt. */
static void a_successor_that_forgets_an_attempt_voids_its_start(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "batch");
  restart_first_controller();
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000001/0");
  assert_copies_start_nothing();
}

/* Guards against running a task twice. The controller's record of the worker is freed and created
 * again within a term. The new record does not know which starts were sent. */
static void a_new_worker_record_voids_the_starts_of_the_earlier_one(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "batch");
  tmx_worker_free(tmx_worker_find(first_controller->workers, worker.id));
  run_loop_for(2 * TMX_RECLAIM_PERIOD_S); /* the record is created again */
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000001/0");
  assert_copies_start_nothing();
}

/* Guards against a token that voids some starts only. Attempts are started and forgotten in turn,
 * so that a request starts one attempt and lets the worker forget another. After each step, no copy
 * of any earlier request may start anything. */
static void copies_of_all_earlier_requests_start_nothing(void **state) {
  (void)state;
  enum { JOBS = 6 };
  char job[16], task[24];
  for (int i = 0; i < JOBS; i++) {
    snprintf(job, sizeof job, "wk-%06d", i);
    snprintf(task, sizeof task, "%s/0", job);
    start_directly(job, task, "batch");
    assert_copies_start_nothing();
    if (i % 3 == 0) continue; /* stays on the machine */
    if (i % 3 == 1)
      fake_worker_set_task(&worker, task, 1, WV_EXITED, WV_DONE);
    else
      assert_string_equal(cancel_job(first_controller, job).state, WV_CANCELLED);
    wait_until_forgotten(task);
    assert_copies_start_nothing();
  }
  assert_int_equal(worker.n_tasks, JOBS / 3); /* the copies ended nothing either */
  assert_int_equal(fake_count_placed_tasks(), JOBS / 3);
}

/* Guards against needless heartbeats, as a worker reports a higher token. The first command to
 * forget an attempt voids the starts of all attempts that were started until then. */
static void a_token_is_raised_only_for_starts_that_it_does_not_void_yet(void **state) {
  (void)state;
  start_directly("wk-000001", "wk-000001/0", "batch");
  start_directly("wk-000002", "wk-000002/0", "batch");
  uint64_t start_token = worker.token;
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000001/0");
  uint64_t raised_token = worker.token;
  assert_int_equal(raised_token, start_token + 1);
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000002/0");
  assert_int_equal(worker.token, raised_token);
  assert_copies_start_nothing();
}

/* Sets the sequence number of the controller's token for `worker`, as after that many raised
 * tokens, and shows the worker that token. */
static void set_token_sequence(uint32_t sequence) {
  struct tmx_worker *worker_record = tmx_worker_find(first_controller->workers, worker.id);
  assert_non_null(worker_record);
  worker_record->ownership.token_sequence = sequence;
  for (int i = 0; i < 2; i++) send_heartbeat_and_execute(&worker);
  assert_int_equal(worker.token & TMX_TOKEN_SEQUENCE_MAX, sequence);
}

/* Guards against running a task twice when the tokens of a term are used up. No token is left that
 * could void a direct start, so tasks are started in heartbeat responses, which are never late.
 * Stops are still sent directly. */
static void the_last_token_of_a_term_starts_nothing_directly(void **state) {
  (void)state;
  set_token_sequence(TMX_TOKEN_SEQUENCE_MAX - 1);
  start_directly("wk-000001", "wk-000001/0", "batch");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000001/0");
  assert_int_equal(worker.token & TMX_TOKEN_SEQUENCE_MAX, TMX_TOKEN_SEQUENCE_MAX);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "service", 1, 2, "t"), 201);
  wait_for_placed(1);
  run_loop_for(0.5);
  assert_null(find_request(WV_START, "wk-000002/0"));
  send_heartbeat_and_execute(&worker);
  assert_true(holds(&worker, "wk-000002/0", 1));
  send_heartbeat_and_execute(&worker); /* shows that the start was executed */
  assert_string_equal(cancel_job(first_controller, "wk-000002").state, WV_CANCELLED);
  run_loop_for(0.1);
  assert_non_null(find_request(WV_STOP, "wk-000002/0"));
  wait_until_forgotten("wk-000002/0");
  assert_copies_start_nothing();
  wait_for_placed(0);
}

/* Guards against running a task twice at the end of a term's tokens. A message forgets one attempt,
 * which raises the token to the last one, and would start another attempt. */
static void a_message_that_raises_the_token_to_the_last_one_starts_nothing_directly(void **state) {
  (void)state;
  struct tmx_worker *worker_record = tmx_worker_find(first_controller->workers, worker.id);
  set_token_sequence(TMX_TOKEN_SEQUENCE_MAX - 1);
  start_directly("wk-000001", "wk-000001/0", "batch");
  refuse_direct_connections();
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&worker, first_controller);
  wait_for_placed(0);
  assert_int_equal(submit_simple_job(first_controller, "wk-000002", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  run_loop_for(0.1);
  /* as before the commands that could not be sent */
  worker_record->ownership.token_sequence = TMX_TOKEN_SEQUENCE_MAX - 1;
  worker_record->ownership.direct_start_token = tmx_worker_token(worker_record);
  struct tmx_command_list direct = {0}, response = {0};
  tmx_worker_derive_commands(worker_record, TMX_COMMANDS_DIRECT, &direct);
  assert_int_equal(worker_record->ownership.token_sequence, TMX_TOKEN_SEQUENCE_MAX);
  assert_int_equal(direct.n_forgets, 1);
  assert_int_equal(direct.n_starts, 0);
  tmx_worker_derive_commands(worker_record, TMX_COMMANDS_ALL, &response);
  assert_int_equal(response.n_starts, 1);
  tmx_command_list_free(&direct);
  tmx_command_list_free(&response);
}

/* Commits a view with the next term and the same members. */
static void begin_new_term(void) {
  struct tmx_view view = first_controller->replica.view;
  struct tmx_buffer value = {0};
  view.term++;
  tmx_view_encode(&value, &view);
  fake_put(TMX_KEY_VIEW, &value);
  tmx_buffer_free(&value);
  run_loop_for(0.1);
  assert_int_equal(first_controller->replica.view.term, view.term);
}

/* Guards against tokens that are used up for good at a controller that keeps its machine through
 * many views. The next term begins with its first token, which voids all starts before it. */
static void a_new_term_begins_with_its_first_token(void **state) {
  (void)state;
  set_token_sequence(TMX_TOKEN_SEQUENCE_MAX - 1);
  start_directly("wk-000001", "wk-000001/0", "batch");
  fake_worker_set_task(&worker, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000001/0");
  uint64_t last_token = worker.token;
  begin_new_term();
  send_heartbeat_and_execute(&worker);
  assert_int_equal(worker.token, last_token + 1);
  start_directly("wk-000002", "wk-000002/0", "batch");
  fake_worker_set_task(&worker, "wk-000002/0", 1, WV_EXITED, WV_DONE);
  wait_until_forgotten("wk-000002/0");
  assert_int_equal(worker.token, last_token + 2);
  assert_copies_start_nothing();
}

/* Guards against freeing the capacity of a task that may still start, when the tokens of a term are
 * used up: the last direct command with a start gets no response. Until the worker has seen the
 * last token, the absence of the task proves nothing. */
static void an_unanswered_start_is_voided_by_the_last_token(void **state) {
  (void)state;
  set_token_sequence(TMX_TOKEN_SEQUENCE_MAX - 1);
  worker.fails_commands = true;
  unsigned requests_before = worker.command_requests;
  assert_int_equal(submit_simple_job(first_controller, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_for_placed(1);
  wait_for_unanswered_command(requests_before);
  struct fake_command_request start = *find_request(WV_START, "wk-000001/0");
  assert_string_equal(cancel_job(first_controller, "wk-000001").state, WV_CANCELLED);
  uint64_t token_before = worker.token;
  fake_worker_send_heartbeat(&worker, first_controller);
  worker.token = token_before; /* the response is lost */
  assert_stays_placed(1, 0.5);
  for (int i = 0; i < 2; i++) send_heartbeat_and_execute(&worker);
  wait_for_placed(0);
  assert_int_equal(fake_worker_execute_request(&worker, &start), 409);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test_setup_teardown(a_late_copy_starts_no_attempt_of_a_task_that_runs_elsewhere,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_copy_starts_no_attempt_of_a_cancelled_job,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_copy_starts_no_completed_attempt,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_response_to_forget_voids_the_start, setup_recorded_worker,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(a_late_command_to_forget_voids_the_start,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_successor_that_forgets_an_attempt_voids_its_start,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_new_worker_record_voids_the_starts_of_the_earlier_one,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(copies_of_all_earlier_requests_start_nothing,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(the_last_token_of_a_term_starts_nothing_directly,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(
          a_message_that_raises_the_token_to_the_last_one_starts_nothing_directly,
          setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_new_term_begins_with_its_first_token, setup_recorded_worker,
                                      teardown_controllers),
      cmocka_unit_test_setup_teardown(an_unanswered_start_is_voided_by_the_last_token,
                                      setup_recorded_worker, teardown_controllers),
      cmocka_unit_test_setup_teardown(a_token_is_raised_only_for_starts_that_it_does_not_void_yet,
                                      setup_recorded_worker, teardown_controllers),
  };
  return RUN_TESTS(tests);
}
