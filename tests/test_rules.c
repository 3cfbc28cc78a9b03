/* The rules of PROTOCOL against scripted peers: each test fails if its guard is taken out. */
#include "fake.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *a, *b;
static struct fake_worker w;

static int setup(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&w, "n-000001");
  a = start_controller(0, 1);
  b = NULL;
  assert_true(run_loop_until(fake_controller_is_ready, a));
  return 0;
}
static int setup_two(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&w, "n-000001");
  a = start_controller(0, 2);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  b = start_controller(1, 2);
  assert_true(run_loop_until(fake_controller_is_ready, b));
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (a) stop_controller(a);
  if (b) stop_controller(b);
  a = b = NULL;
  tmx_http_server_free(w.server);
  fake_stop();
  return 0;
}

static bool registered(void *arg) {
  struct tmx_machine *machine = tmx_machine_find(&((struct tmx_controller *)arg)->replica, w.id);
  return machine && machine->registered;
}
static bool placed(void *arg) {
  (void)arg;
  return fake_count_placed() > 0;
}
static bool none_placed(void *arg) {
  (void)arg;
  return fake_count_placed() == 0;
}
static bool running(void *arg) {
  (void)arg;
  return w.executed_starts > 0;
}
static void
up(struct tmx_controller *controller) { /* the worker reports, shows the token, and is registered */
  for (int i = 0; i < 10 && !registered(controller); i++) {
    fake_worker_send_heartbeat(&w, controller);
    assert_int_equal(w.status, 200);
    run_loop_for(0.1);
  }
  assert_true(run_loop_until(registered, controller));
}
static void up_at_either(void) { /* whichever of the two owns it */
  for (int i = 0; i < 10 && !registered(a); i++) {
    fake_worker_send_heartbeat(&w, a);
    if (w.status != 200) fake_worker_send_heartbeat(&w, b);
    assert_int_equal(w.status, 200);
    run_loop_for(0.1);
  }
  assert_true(run_loop_until(registered, a));
  assert_true(run_loop_until(registered, b));
}
static bool final_state(void *arg) {
  struct tmx_job *job = tmx_job_find(&a->replica, arg);
  return job && job->outcome;
}

/* A whole life: logged first, started directly, done once committed, forgotten after that. */
static void a_task_from_start_to_end(void **st) {
  (void)st;
  up(a);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_true(run_loop_until(running, NULL));
  assert_int_equal(fake_count_placed(), 1);
  assert_string_equal(poll_job(a, "wk-000001").state, WV_RUNNING);
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_store.endpoints[0].refuse = true; /* nothing can be committed now */
  fake_worker_send_heartbeat(&w, a);
  assert_false(fake_worker_was_commanded(&w, WV_FORGET, "wk-000001/0", 1));
  assert_string_not_equal(poll_job(a, "wk-000001").state, WV_DONE);
  fake_store.endpoints[0].refuse = false;
  assert_true(run_loop_until(final_state, "wk-000001"));
  fake_worker_send_heartbeat(&w, a);
  assert_true(fake_worker_was_commanded(&w, WV_FORGET, "wk-000001/0", 1) || w.n_tasks == 0);
  assert_string_equal(poll_job(a, "wk-000001").state, WV_DONE);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_DONE);
}

/* After the result is committed the attempt is never started again, whatever a report lacks. */
static void no_start_after_forgetting(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(running, NULL));
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  assert_true(run_loop_until(final_state, "wk-000001"));
  for (int i = 0; i < 3; i++) {
    fake_worker_send_heartbeat(&w, a);
    assert_false(fake_worker_was_commanded(&w, WV_START, "wk-000001/0", 1));
    fake_worker_execute_commands(&w);
  }
  assert_int_equal(w.executed_starts, 1);
}

/* A command without an answer may run minutes later: a higher token goes out first, and until
 * the worker has seen it a missing attempt is not taken to be gone. */
static void unanswered_command(void **st) {
  (void)st;
  up(a);
  uint64_t before = w.answer_token;
  w.mute = true;
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(placed, NULL));
  for (int i = 0; i < 100 && !w.commands; i++) run_loop_for(0.02);
  assert_true(w.commands > 0);
  run_loop_for(0.1);
  /* (the scripted worker's 500 leaves the command unresolved) */
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  uint64_t seen = w.token;
  fake_worker_send_heartbeat(&w,
                             a); /* a report from before the higher token, without the attempt */
  assert_true(w.answer_token > before);
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed(), 1);
  assert_true(w.token > seen);
  fake_worker_send_heartbeat(&w,
                             a); /* the token has been seen: the late command would be refused */
  assert_true(run_loop_until(none_placed, NULL));
}

/* A probe's answer may overtake the answer to a report that carries a start: it is no proof that
 * the start will not run. Only the next report is. */
static void probe_overtakes_an_answer(void **st) {
  (void)st;
  up(a);
  w.mute = true;
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(placed, NULL));
  for (int i = 0; i < 100 && !w.commands; i++) run_loop_for(0.02);
  run_loop_for(0.1);
  fake_worker_send_heartbeat(&w, a);
  assert_true(fake_worker_was_commanded(&w, WV_START, "wk-000001/0", 1)); /* not executed yet */
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  uint64_t seq = w.sequence;
  for (int i = 0; i < 300 && w.sequence < seq + 2; i++) run_loop_for(0.02);
  assert_true(w.sequence >= seq + 2); /* probes were answered */
  run_loop_for(0.4);
  assert_int_equal(fake_count_placed(), 1);
  fake_worker_send_heartbeat(&w, a);
  assert_true(run_loop_until(none_placed, NULL));
}

/* An heir has nothing but the log: it starts what is placed and absent, with a higher token. */
static void restart_between_log_and_start(void **st) {
  (void)st;
  up(a);
  uint64_t token = w.token;
  w.mute = true;
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(placed, NULL));
  stop_controller(a);
  w.mute = false;
  w.executed_starts = 0;
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  fake_worker_send_heartbeat(&w, a);
  if (w.status == 200) fake_worker_execute_commands(&w);
  assert_true(run_loop_until(running, NULL));
  assert_true(w.token > token);
  assert_int_equal(fake_count_placed(), 1);
  assert_int_equal(w.tasks[0].attempt, 1);
}

static void restart(void) {
  stop_controller(a);
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
}
/* Restarts at the later steps: with a result in the log that was not reaped, with a task running,
 * and with a cancellation whose tasks still run. */
static void restart_at_later_steps(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "batch", 2, 2, "t");
  for (int i = 0; i < 200 && w.executed_starts < 2; i++) run_loop_for(0.02);
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  for (int i = 0; i < 200 && fake_count_placed() > 1; i++) run_loop_for(0.02);
  assert_int_equal(fake_count_placed(), 1);
  restart();
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE); /* its reap never came */
  fake_worker_send_heartbeat(&w, a);
  assert_true(fake_worker_was_commanded(&w, WV_FORGET, "wk-000001/0", 1));
  assert_false(
      fake_worker_was_commanded(&w, WV_STOP, "wk-000001/1", 1)); /* the running one goes on */
  fake_worker_execute_commands(&w);
  assert_int_equal(w.executed_starts, 2);
  w.mute = true;
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  restart();
  w.mute = false;
  fake_worker_send_heartbeat(&w, a);
  fake_worker_execute_commands(&w);
  assert_string_equal(poll_job(a, "wk-000001").state, WV_CANCELLED);
  fake_worker_send_heartbeat(&w, a);
  assert_true(run_loop_until(none_placed, NULL));
  assert_int_equal(w.executed_starts, 2);
}

/* A start of the earlier owner may still be under way: its heir believes no absence before the
 * worker has seen the heir's token. */
static void heir_and_late_commands(void **st) {
  (void)st;
  up(a);
  w.mute = true;
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(placed, NULL));
  for (int i = 0; i < 100 && !w.commands; i++) run_loop_for(0.02);
  assert_true(w.commands > 0);
  stop_controller(a);
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  uint64_t before = w.token;
  fake_worker_send_heartbeat(&w, a);
  assert_true(w.token > before); /* the late command would be refused from here on */
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed(), 1);
  fake_worker_send_heartbeat(&w, a);
  assert_true(run_loop_until(none_placed, NULL));
}

/* Two that both take themselves for the leader: every batch was planned on all before it. */
static void two_leaders(void **st) {
  (void)st;
  struct tmx_buffer value = {0};
  char id[32];
  up_at_either();
  struct tmx_controller *old = tmx_store_is_leader(a->store) ? a : b, *other = old == a ? b : a;
  assert_true(tmx_store_is_leader(old->store));
  fake_store.endpoints[old == a ? 0 : 1].freeze_watch = true;
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", other->settings.node_name);
  tmx_cbor_put_u64_field(&value, "inc", tmx_store_incarnation(other->store));
  fake_put(TMX_KEY_LEADER, &value);
  tmx_buffer_free(&value);
  for (int i = 0; i < 300 && !tmx_store_is_leader(other->store); i++) run_loop_for(0.02);
  assert_true(tmx_store_is_leader(other->store) && tmx_store_is_leader(old->store));
  for (int i = 0; i < 6; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_simple_job(i % 2 ? a : b, id, "batch", 1, 2, "t");
  }
  for (int i = 0; i < 300 && fake_count_placed() < 4; i++) {
    run_loop_for(0.02);
    assert_in_range(fake_count_placed(), 0, 4);
    if (i == 20) {
      fake_store.endpoints[0].freeze_watch = fake_store.endpoints[1].freeze_watch = false;
      fake_free_watches();
    }
  }
  run_loop_for(0.5);
  assert_int_equal(fake_count_placed(), 4);
  for (size_t i = 0; i < w.n_tasks; i++) assert_int_equal(w.tasks[i].attempt, 1);
}

/* A worker whose lease lapsed has forgotten its tasks; the attempt is started there again. */
static void lapsed_lease(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "service", 1, 2, "t");
  assert_true(run_loop_until(running, NULL));
  w.session++;
  w.n_tasks = 0;
  fake_worker_send_heartbeat(&w, a);
  fake_worker_execute_commands(&w);
  for (int i = 0; i < 100 && w.executed_starts < 2; i++) run_loop_for(0.02);
  assert_int_equal(w.executed_starts, 2);
  /* a late copy of a report of the earlier session says nothing */
  uint64_t s = w.session, q = w.sequence;
  w.session = 1;
  w.sequence = 1;
  w.n_tasks = 0;
  fake_worker_send_heartbeat(&w, a);
  assert_int_not_equal(w.status, 200);
  w.session = s;
  w.sequence = q;
  assert_int_equal(fake_count_placed(), 1);
}

/* The token of another, newer owner: this controller must not hold the worker. */
static void newer_owner(void **st) {
  (void)st;
  up(a);
  w.token += 1ull << 40;
  fake_worker_send_heartbeat(&w, a);
  assert_int_equal(w.status, 421);
}

/* Two controllers on copies of different age: what they place together stays in the limit. */
static void quota_from_two_controllers(void **st) {
  (void)st;
  up_at_either();
  fake_store.endpoints[1].freeze_watch = true; /* b lags from here on */
  char id[32];
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    submit_simple_job(i % 2 ? a : b, id, "batch", 1, 2, "t");
  }
  run_loop_for(0.3);
  fake_store.endpoints[1].freeze_watch = false;
  fake_free_watches();
  for (int i = 0, full = 0; i < 300 && full < 20; i++) {
    run_loop_for(0.03);
    full += fake_count_placed() == 4;
    assert_in_range(fake_count_placed(), 0, 4); /* 4 tasks of 2 CPUs are the limit of 8 */
  }
  assert_int_equal(fake_count_placed(), 4);
}

/* A controller whose copy lags gives no older answer, and no 404 for an accepted job. */
static void polls_on_a_lagging_controller(void **st) {
  (void)st;
  fake_store.endpoints[1].freeze_watch = true;
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  struct fake_answer p = poll_job(b, "wk-000001");
  assert_int_equal(p.status, 503);
  fake_store.endpoints[1].freeze_watch = false;
  fake_free_watches();
  assert_int_equal(poll_job(b, "wk-000001").status, 200);
  fake_store.endpoints[1].freeze_watch = true;
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  p = poll_job(b, "wk-000001");
  assert_true(p.status == 503 || !strcmp(p.state, WV_CANCELLED));
  assert_string_equal(poll_job(a, "wk-000001").state, WV_CANCELLED);
  assert_int_equal(poll_job(a, "wk-999999").status, 404);
}

/* A controller that the state service refuses renews leases only as long as a cancellation
 * elsewhere allows, and sends workers away at once when it knows that others are served. */
static void withdrawal_during_a_cut(void **st) {
  (void)st;
  up(a);
  fake_store.endpoints[0].refuse = true;
  run_loop_for(0.2);
  fake_worker_send_heartbeat(&w, a);
  assert_int_equal(w.status, 200); /* fresh enough: running work goes on */
  tmx_clock_advance(a->settings.cancel_s - a->settings.lease_s - TMX_FRESH_MARGIN_S + 0.1);
  fake_worker_send_heartbeat(&w, a);
  assert_int_equal(w.status, 503);
  struct fake_answer r = send_request(a, "GET", WP_READY, NULL);
  assert_int_equal(r.status, 503);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 503);
}

/* A zone is cut off from everything: its workers' owner is outside, and no view can be written. The
 * controller inside keeps their leases as long as a cancellation elsewhere allows, starts nothing,
 * and stops what it knows to be cancelled. */
static void lease_kept_for_an_owner_out_of_reach(void **st) {
  (void)st;
  up_at_either();
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(running, NULL));
  submit_simple_job(a, "wk-000002", "batch", 1, 2, "t");
  for (int i = 0; i < 100 && w.executed_starts < 2; i++) run_loop_for(0.02);
  assert_string_equal(cancel_job(a, "wk-000002").state, WV_CANCELLED);
  run_loop_for(0.3);
  bool first = !strcmp(tmx_machine_owner(&a->replica, w.id), a->settings.node_name);
  struct tmx_controller *inside = first ? b : a;
  assert_int_equal(tmx_job_find(&inside->replica, "wk-000002")->outcome, TMX_JOB_CANCELLED);
  fake_store.endpoints[0].refuse = fake_store.endpoints[1].refuse = true;
  stop_controller(first ? a : b);
  if (first)
    a = NULL;
  else
    b = NULL;
  run_loop_for(0.3);
  fake_worker_send_heartbeat(&w, inside);
  assert_int_equal(w.status, 421); /* the owner may be back in a moment */
  tmx_clock_advance(TMX_STORE_LOST_S);
  fake_worker_set_task(&w, "wk-000002/0", 1, WV_RUNNING,
                       NULL); /* it has not heard of the cancellation */
  uint64_t token = w.token;
  fake_worker_send_heartbeat(&w, inside);
  assert_int_equal(w.status, 200);
  assert_int_equal(w.answer_token, token);
  assert_int_equal(w.n_commands_received, 1);
  assert_true(fake_worker_was_commanded(&w, WV_STOP, "wk-000002/0", 1));
  tmx_clock_advance(inside->settings.cancel_s - inside->settings.lease_s - TMX_FRESH_MARGIN_S);
  fake_worker_send_heartbeat(&w, inside);
  assert_int_equal(w.status, 503);
}

/* The answer to a commit is lost: nobody is told anything that is not known. A submission is known
 * as soon as the log shows it; the user does not wait for the answer. */
static void lost_answer_to_a_commit(void **st) {
  (void)st;
  fake_store.endpoints[0].lose_next_txn = true;
  strcpy(fake_store.endpoints[0].lose_key, TMX_KEY_JOB);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 503);
  assert_non_null(fake_get(TMX_KEY_JOB "wk-000001"));
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 200);
  fake_store.endpoints[0].lose_next_txn = true;
  assert_int_equal(cancel_job(a, "wk-000001").status, 503);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  fake_store.endpoints[0].lose_next_txn = fake_store.endpoints[0].hold = true;
  double t = tmx_clock_steady();
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 200);
  assert_true(tmx_clock_steady() - t < TMX_STORE_TIMEOUT_S / 2);
  run_loop_for(TMX_STORE_TIMEOUT_S +
               0.2); /* the commit's own answer is given up on, and changes nothing */
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 200);
}

/* A lost answer to a batch: what it placed is found in the log, once. */
static void lost_answer_to_a_batch(void **st) {
  (void)st;
  up(a);
  fake_store.endpoints[0].lose_next_txn = true;
  strcpy(fake_store.endpoints[0].lose_key, TMX_KEY_BATCH);
  submit_simple_job(a, "wk-000001", "batch", 3, 2, "t");
  for (int i = 0; i < 200 && w.executed_starts < 3; i++) run_loop_for(0.02);
  assert_int_equal(w.executed_starts, 3);
  assert_int_equal(fake_count_placed(), 3);
  for (size_t i = 0; i < w.n_tasks; i++) assert_int_equal(w.tasks[i].attempt, 1);
}

/* Cancelled: stopped, and nothing of it starts again. */
static void cancelled_work_is_stopped(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "service", 2, 2, "t");
  assert_true(run_loop_until(running, NULL));
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  for (int i = 0; i < 100 && w.n_tasks && strcmp(w.tasks[0].state, WV_EXITED); i++)
    run_loop_for(0.02);
  assert_string_equal(w.tasks[0].state, WV_EXITED);
  unsigned starts = w.executed_starts;
  fake_worker_send_heartbeat(&w, a);
  fake_worker_execute_commands(&w);
  assert_true(run_loop_until(none_placed, NULL));
  assert_int_equal(w.executed_starts, starts);
  assert_string_equal(poll_job(a, "wk-000001").state, WV_CANCELLED);
}

/* Silence proves nothing: a machine's tasks are placed anew only once its deletion is answered. */
static void silent_machine(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(running, NULL));
  fake_cloud.refuse_delete = true;
  w.silent = true;
  tmx_clock_advance(12);
  run_loop_for(3.5);
  tmx_clock_advance(12);
  run_loop_for(1.5);
  assert_int_equal(fake_count_placed(), 1);
  assert_false(fake_log_contains("x n-000001"));
  fake_cloud.refuse_delete = false;
  /* the clock was moved: to this leader the silence is older than its own time */
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  assert_string_equal(fake_cloud.deleted[0], "n-000001");
}

/* A late copy of a report of a machine that was returned meanwhile brings nothing back, also at a
 * controller that has just started: only a worker that shows our token is registered. */
static void late_copy_of_a_returned_machine(void **st) {
  (void)st;
  up(a);
  uint64_t seq = w.sequence, token = w.token;
  fake_cloud.refuse_delete = false;
  w.silent = true;
  tmx_clock_advance(12);
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  for (int i = 0; i < 2; i++) {
    w.sequence = seq - 1; /* the copy, as it was sent long ago */
    w.token = token;
    fake_worker_send_heartbeat(&w, a);
    w.token = token; /* nobody reads the answer */
    run_loop_for(0.3);
    assert_false(registered(a));
    restart();
  }
  w.sequence = seq - 1;
  fake_worker_send_heartbeat(&w, a);
  run_loop_for(0.3);
  assert_false(registered(a));
}

/* A machine whose reports arrive while commands and answers do not reach it gets no new work, and
 * is replaced; its task moves only with the proof that it is gone. */
static void heard_and_not_reached(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(running, NULL));
  w.mute = w.silent = true;
  fake_cloud.refuse_delete = true;
  uint64_t token = w.token;
  for (int i = 0; i < 14; i++) { /* reports keep coming, their answers are lost */
    w.token = token;
    fake_worker_send_heartbeat(&w, a);
    w.token = token;
    run_loop_for(0.25);
  }
  struct tmx_machine *machine = tmx_machine_find(&a->replica, w.id);
  assert_non_null(machine);
  assert_false(machine->usable);
  submit_simple_job(a, "wk-000002", "batch", 1, 2, "t");
  run_loop_for(0.4);
  assert_int_equal(fake_count_placed(), 1);
  tmx_clock_advance(a->settings.lease_s);
  fake_cloud.refuse_delete = false;
  for (int i = 0; i < 800 && !fake_log_contains("x n-000001"); i++) {
    if (i % 20 == 0) {
      w.token = token;
      fake_worker_send_heartbeat(&w, a);
    }
    run_loop_for(0.02);
  }
  assert_true(fake_log_contains("x n-000001"));
}

/* A job's last end needs a put more than others. With few puts to spend it waits for them, and does
 * not hold up what comes after it. */
static void last_ends_with_few_puts(void **st) {
  (void)st;
  up(a);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 3, 2, "t"), 201);
  for (int i = 0; i < 200 && w.executed_starts < 4; i++) run_loop_for(0.02);
  assert_int_equal(w.executed_starts, 4);
  a->settings.write_rps = 3;
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&w, "wk-000002/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&w, "wk-000002/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  assert_true(run_loop_until(final_state, "wk-000001"));
  for (int i = 0; i < 200 && tmx_job_find(&a->replica, "wk-000002")->n_done < 2; i++)
    run_loop_for(0.02);
  assert_int_equal(tmx_job_find(&a->replica, "wk-000002")->n_done, 2);
}

/* The same submission at two controllers at once, one of them behind: the job is taken once. */
static void one_name_at_two_controllers(void **st) {
  (void)st;
  fake_store.endpoints[1].freeze_watch = true; /* b does not see what a accepts */
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 2, 2, "t"), 201);
  assert_int_not_equal(submit_simple_job(b, "wk-000001", "batch", 1, 2, "t"), 201);
  fake_store.endpoints[1].freeze_watch = false;
  fake_free_watches();
  assert_int_equal(submit_simple_job(b, "wk-000001", "batch", 1, 2, "t"), 200);
  assert_int_equal(tmx_job_find(&b->replica, "wk-000001")->spec.tasks, 2);
}

/* A controller whose state is out of reach sends submissions and polls on at once. */
static void refused_at_once_without_state(void **st) {
  (void)st;
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  fake_store.endpoints[0].refuse = true;
  run_loop_for(1.5);
  double t = tmx_clock_steady();
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 503);
  assert_int_equal(poll_job(a, "wk-000001").status, 503);
  assert_true(tmx_clock_steady() - t < 0.5);
  fake_store.endpoints[0].refuse = false;
  run_loop_for(1.0);
  assert_int_equal(poll_job(a, "wk-000001").status, 200);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 201);
}

struct count {
  unsigned refused, answered;
};
static void counted(void *arg, int status, const uint8_t *body, size_t len) {
  struct count *n = arg;
  (void)body;
  (void)len;
  n->answered += status == 200;
  n->refused += status == 503;
}
/* When more polls come than can be answered, a job of which nobody was told for long goes before
 * one that was just answered for: none stays without an answer, however many ask for others. */
static void polls_under_overload(void **st) {
  (void)st;
  struct count often = {0, 0}, late = {0, 0}, more = {0, 0};
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 201);
  assert_int_equal(poll_job(a, "wk-000001").status, 200);
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(a->server));
  struct tmx_http_client *client = tmx_http_client_new(test_loop, addr, 300);
  assert_non_null(client);
  fake_store.endpoints[0].freeze_watch = true;
  assert_int_equal(submit_simple_job(a, "wk-000003", "batch", 1, 2, "t"),
                   201); /* the copy is behind now */
  for (int i = 0; i < TMX_USER_QUEUE / 2; i++)
    assert_true(
        tmx_http_client_call(client, "GET", WP_JOBS "/wk-000001", NULL, 5, counted, &often));
  run_loop_for(0.3);
  assert_int_equal(often.refused, 0);
  assert_true(tmx_http_client_call(client, "GET", WP_JOBS "/wk-000001", NULL, 5, counted, &more));
  assert_true(tmx_http_client_call(client, "GET", WP_JOBS "/wk-000002", NULL, 5, counted, &late));
  run_loop_for(0.3);
  assert_int_equal(more.refused, 1);
  assert_int_equal(late.refused, 0);
  fake_store.endpoints[0].freeze_watch = false;
  fake_free_watches();
  for (int i = 0; i < 100 && !late.answered; i++) run_loop_for(0.02);
  assert_int_equal(late.answered, 1);
  tmx_http_client_free(client);
}

static bool folded(void *arg) {
  (void)arg;
  struct tmx_log_key *key, *next_key;
  if (!a->replica.compaction_point || !HASH_COUNT(a->replica.page_keys)) return false;
  HASH_ITER(hh, a->replica.batch_keys, key, next_key)
  if (key->version > a->replica.compaction_point) return false;
  return true;
}
/* Folding loses nothing: a controller that starts from the pages alone knows attempts, results
 * and what runs where, and starts nothing a second time. */
static void folding(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "batch", 3, 2, "t");
  for (int i = 0; i < 200 && w.executed_starts < 3; i++) run_loop_for(0.02);
  fake_worker_set_task(&w, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&w, "wk-000001/2", 1, WV_EXITED, WV_ERROR);
  fake_worker_send_heartbeat(&w, a);
  for (int i = 0; i < 200 && w.executed_starts < 4; i++) {
    run_loop_for(0.02);
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
  }
  assert_int_equal(w.executed_starts, 4);
  tmx_compaction_set_threshold(a->compaction, 0);
  assert_true(run_loop_until(folded, NULL));
  stop_controller(a);
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  struct tmx_job *job = tmx_job_find(&a->replica, "wk-000001");
  assert_int_equal(job->tasks[0].state, TMX_TASK_PLACED);
  assert_int_equal(job->tasks[1].state, TMX_TASK_DONE);
  assert_int_equal(job->tasks[2].attempt, 2);
  fake_worker_send_heartbeat(&w, a);
  fake_worker_execute_commands(&w);
  run_loop_for(0.3);
  assert_int_equal(w.executed_starts, 4);
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&w, "wk-000001/2", 2, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  assert_true(run_loop_until(final_state, "wk-000001"));
  assert_string_equal(poll_job(a, "wk-000001").state, WV_DONE);
  /* log keys are written over from here on: another start still finds the whole story */
  struct tmx_log_key *key, *kt;
  bool reused = false;
  HASH_ITER(hh, a->replica.batch_keys, key, kt)
  reused |= key->version > a->replica.compaction_point && strstr(key->key, "/000000") != NULL;
  assert_true(reused);
  restart();
  assert_true(registered(a));
  assert_string_equal(poll_job(a, "wk-000001").state, WV_DONE);
  assert_int_equal(tmx_job_find(&a->replica, "wk-000001")->n_placed, 0);
}

static void answers_to_submissions(void **st) {
  (void)st;
  struct tmx_buffer body = {0};
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 200);
  /* known ids are answered before any validation */
  assert_int_equal(submit_simple_job(a, "wk-000001", "nonsense", 1, 2, "t"), 200);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 99, "nobody"), 200);
  assert_int_equal(submit_simple_job(a, "wk-000002", "nonsense", 1, 2, "t"), 400);
  assert_int_equal(submit_simple_job(a, "job-2", "batch", 1, 2, "t"), 400);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 0, 2, "t"), 400);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 100001, 2, "t"), 400);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "nobody"), 422);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 9, "t"),
                   422); /* over the team's limit */
  assert_int_equal(submit_simple_job(a, "wk-000002", "service", 5, 2, "t"),
                   422); /* all of a service count */
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 5, 2, "t"), 201);
  tmx_buffer_append(&body, "\xa1\x62", 2);
  assert_int_equal(send_request(a, "POST", WP_JOBS, &body).status, 400);
  tmx_buffer_free(&body);
  tmx_cbor_put_list(&body, 0);
  assert_int_equal(send_request(a, "POST", WP_JOBS, &body).status, 400);
  tmx_buffer_free(&body);
  assert_int_equal(send_request(a, "GET", WP_JOBS "/nothing", NULL).status, 404);
  assert_int_equal(send_request(a, "GET", "/elsewhere", NULL).status, 404);
  assert_int_equal(cancel_job(a, "wk-777777").status, 404);
}

/* Bytes that are no HTTP, and bodies past the limit, close their connection and nothing else. */
static int raw(const char *head, size_t fill) {
  struct sockaddr_in to_a = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)tmx_http_server_port(a->server))};
  char buf[512] = "";
  to_a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0;
  assert_int_equal(connect(fd, (struct sockaddr *)&to_a, sizeof to_a), 0);
  assert_true(send(fd, head, strlen(head), MSG_NOSIGNAL) > 0);
  char junk[1024];
  memset(junk, 'x', sizeof junk);
  for (size_t i = 0; i < fill; i += sizeof junk) {
    if (send(fd, junk, sizeof junk, MSG_NOSIGNAL | MSG_DONTWAIT) < 0) break;
    run_loop_for(0.001);
  }
  for (int i = 0; i < 200; i++) {
    run_loop_for(0.01);
    if (recv(fd, buf, sizeof buf - 1, MSG_DONTWAIT) > 0) break;
  }
  sscanf(buf, "HTTP/1.1 %d", &status);
  close(fd);
  return status;
}
static void hostile_connections(void **st) {
  (void)st;
  assert_int_equal(raw("this is not HTTP at all\r\n\r\n", 0), 400);
  assert_int_equal(raw("POST /v2/runs HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 2048), 413);
  assert_int_equal(
      raw("POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n", 131072), 413);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
}

/* A leader that has just come takes machines back that the one before was about to return, when
 * work waits: it does not know the peak yet, and returns nothing, but must not keep room empty
 * either. */
static void a_new_leader_takes_machines_back(void **st) {
  (void)st;
  up(a);
  submit_simple_job(a, "wk-000001", "batch", 1, 2, "t");
  assert_true(run_loop_until(running, NULL));
  struct tmx_buffer value = {0}, list = {0};
  tmx_cbor_put_text(&list, "d n-000001 1");
  tmx_log_value_encode(&value, NULL, 0, &list, 1);
  fake_put(TMX_KEY_BATCH "hand-9/1", &value);
  tmx_buffer_free(&value);
  tmx_buffer_free(&list);
  for (int i = 0; i < 100 && !tmx_machine_find(&a->replica, w.id)->draining; i++)
    run_loop_for(0.02);
  assert_true(tmx_machine_find(&a->replica, w.id)->draining);
  submit_simple_job(a, "wk-000002", "batch", 3, 2, "t");
  for (int i = 0; i < 300 && fake_count_placed() < 4; i++) run_loop_for(0.02);
  assert_true(fake_log_contains("d n-000001 0"));
  assert_int_equal(fake_count_placed(), 4);
}

/* A controller that stands still again and again finds timeouts where answers lie in its buffers:
 * it must not take that for a silent machine. */
static void no_verdict_after_standing_still(void **st) {
  (void)st;
  up(a);
  for (int i = 0; i < 10; i++) {
    ev_run(test_loop, EVRUN_NOWAIT);
    usleep((useconds_t)((TMX_PROBE_TIMEOUT_S + 0.1) * 1e6));
  }
  run_loop_for(0.4);
  assert_int_equal(fake_cloud.deletes, 0);
  assert_false(fake_log_contains("x n-000001"));
}

/* A member that was cut off still tells of the machines that it owned before, none of which it
 * could reach. When a view names it again, what it says by the old one must not give them up. */
static void old_views_give_nothing_up(void **st) {
  (void)st;
  up_at_either();
  run_loop_for(1); /* they hear each other */
  const char *owner = tmx_machine_owner(&a->replica, w.id);
  struct tmx_controller *other = !strcmp(owner, a->settings.node_name) ? b : a;
  struct tmx_machine *machine = tmx_machine_find(&other->replica, w.id);
  struct tmx_suspicion says = {.silence_s = 60, .probes_lost = 9}, suspicion;
  snprintf(says.id, sizeof says.id, "%s", w.id);
  uint64_t term = other->replica.view.term;
  tmx_workers_take_suspicion(other->workers, owner, term - 1, &says);
  assert_false(tmx_workers_find_suspicion(other->workers, machine, &suspicion));
  tmx_workers_take_suspicion(other->workers, owner, term, &says);
  assert_true(tmx_workers_find_suspicion(other->workers, machine, &suspicion));
}

static void on_any(void *arg, struct tmx_http_request *request) {
  (void)arg;
  tmx_http_reply(request, 200, NULL, 0);
}
static void on_status(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  *(int *)arg = status;
}
static int ask_once(struct tmx_http_client *client) {
  int status = -2;
  assert_true(tmx_http_client_call(client, "GET", "/", NULL, 1, on_status, &status));
  for (int i = 0; i < 100 && status == -2; i++) run_loop_for(0.01);
  return status;
}

/* Workers that went elsewhere leave connections open: when all are taken, the one that was unused
 * longest makes room for a newcomer, and none that was just used does. */
static void idle_connections_make_room(void **st) {
  (void)st;
  struct tmx_http_server *server =
      tmx_http_server_new(test_loop, "127.0.0.1:0", 2, 60, on_any, NULL);
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(server));
  struct tmx_http_client *c[3];
  for (int i = 0; i < 3; i++) c[i] = tmx_http_client_new(test_loop, addr, 1);
  assert_int_equal(ask_once(c[0]), 200);
  assert_int_equal(ask_once(c[1]), 200);
  assert_int_not_equal(ask_once(c[2]), 200);
  run_loop_for(TMX_IDLE_LEAST_S + 0.1);
  assert_int_equal(ask_once(c[0]), 200); /* so the other one is the longest unused */
  assert_int_equal(ask_once(c[2]), 200);
  assert_int_equal(ask_once(c[0]), 200);
  for (int i = 0; i < 3; i++) tmx_http_client_free(c[i]);
  tmx_http_server_free(server);
}

/* Many submissions at once go into values as large as the state service takes. It counts them as
 * JSON, in which numbers are several times as long: a batch that it refuses for its size would come
 * again and again, and hold the whole log up. Pages of a fold hold the same. */
static void many_submissions_in_small_values(void **st) {
  (void)st;
  enum { MANY = 150 };
  static int status[MANY];
  struct tmx_http_client *c[MANY];
  char addr[32], id[32];
  a->settings.value_kb = 4;
  fake_store.value_max = 4096;
  tmx_compaction_set_threshold(a->compaction, 3);
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(a->server));
  for (int i = 0; i < MANY; i++) {
    struct tmx_buffer buffer = {0};
    snprintf(id, sizeof id, "wk-%06d", i);
    encode_submission(&buffer, id, "batch", 3, 1.0 / 3, "t");
    c[i] = tmx_http_client_new(test_loop, addr, 1);
    status[i] = -2;
    assert_true(tmx_http_client_call(c[i], "POST", WP_JOBS, &buffer, 5, on_status, &status[i]));
    tmx_buffer_free(&buffer);
  }
  for (int i = 0, busy = 1; i < 400 && busy; i++) {
    run_loop_for(0.01);
    busy = 0;
    for (int k = 0; k < MANY; k++) busy += status[k] == -2;
  }
  for (int i = 0; i < MANY; i++) {
    assert_int_equal(status[i], 201);
    tmx_http_client_free(c[i]);
  }
  for (int i = 0; i < 400 && !fake_get(TMX_KEY_COMPACTION); i++) run_loop_for(0.02);
  assert_non_null(fake_get(TMX_KEY_COMPACTION));
  assert_int_equal(fake_store.too_large, 0);
}

int main(void) {
  const struct CMUnitTest t[] = {
      cmocka_unit_test_setup_teardown(a_task_from_start_to_end, setup, teardown),
      cmocka_unit_test_setup_teardown(no_start_after_forgetting, setup, teardown),
      cmocka_unit_test_setup_teardown(unanswered_command, setup, teardown),
      cmocka_unit_test_setup_teardown(probe_overtakes_an_answer, setup, teardown),
      cmocka_unit_test_setup_teardown(restart_between_log_and_start, setup, teardown),
      cmocka_unit_test_setup_teardown(restart_at_later_steps, setup, teardown),
      cmocka_unit_test_setup_teardown(heir_and_late_commands, setup, teardown),
      cmocka_unit_test_setup_teardown(two_leaders, setup_two, teardown),
      cmocka_unit_test_setup_teardown(lapsed_lease, setup, teardown),
      cmocka_unit_test_setup_teardown(newer_owner, setup, teardown),
      cmocka_unit_test_setup_teardown(quota_from_two_controllers, setup_two, teardown),
      cmocka_unit_test_setup_teardown(polls_on_a_lagging_controller, setup_two, teardown),
      cmocka_unit_test_setup_teardown(withdrawal_during_a_cut, setup, teardown),
      cmocka_unit_test_setup_teardown(lease_kept_for_an_owner_out_of_reach, setup_two, teardown),
      cmocka_unit_test_setup_teardown(lost_answer_to_a_commit, setup, teardown),
      cmocka_unit_test_setup_teardown(lost_answer_to_a_batch, setup, teardown),
      cmocka_unit_test_setup_teardown(cancelled_work_is_stopped, setup, teardown),
      cmocka_unit_test_setup_teardown(silent_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(late_copy_of_a_returned_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(heard_and_not_reached, setup, teardown),
      cmocka_unit_test_setup_teardown(last_ends_with_few_puts, setup, teardown),
      cmocka_unit_test_setup_teardown(one_name_at_two_controllers, setup_two, teardown),
      cmocka_unit_test_setup_teardown(refused_at_once_without_state, setup, teardown),
      cmocka_unit_test_setup_teardown(polls_under_overload, setup, teardown),
      cmocka_unit_test_setup_teardown(folding, setup, teardown),
      cmocka_unit_test_setup_teardown(answers_to_submissions, setup, teardown),
      cmocka_unit_test_setup_teardown(hostile_connections, setup, teardown),
      cmocka_unit_test_setup_teardown(a_new_leader_takes_machines_back, setup, teardown),
      cmocka_unit_test_setup_teardown(no_verdict_after_standing_still, setup, teardown),
      cmocka_unit_test_setup_teardown(old_views_give_nothing_up, setup_two, teardown),
      cmocka_unit_test_setup_teardown(idle_connections_make_room, setup, teardown),
      cmocka_unit_test_setup_teardown(many_submissions_in_small_values, setup, teardown),
  };
  setenv("LOG_LEVEL", "error", 0);
  tmx_log_init("test");
  if (getenv("TMX_TEST")) cmocka_set_test_filter(getenv("TMX_TEST")); /* one of them, by hand */
  return cmocka_run_group_tests(t, NULL, NULL);
}
