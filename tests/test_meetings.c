/* Meetings of troubles: two or three at once, brought about with scripted peers. docs/design.md has
 * the table of them. Each test fails if its guard is taken out. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"

static struct tmx_controller *a, *b;
static struct fake_worker w, others[2];

static int setup(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&w, "n-000001");
  fake_worker_open(&others[0], "n-000002");
  fake_worker_open(&others[1], "n-000003");
  a = start_controller(0, 1);
  b = NULL;
  assert_true(run_loop_until(fake_controller_is_ready, a));
  return 0;
}
static int setup_two(void **st) {
  (void)st;
  fake_start();
  fake_worker_open(&w, "n-000001");
  fake_worker_open(&others[0], "n-000002");
  fake_worker_open(&others[1], "n-000003");
  a = start_controller(0, 2);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  b = start_controller(1, 2);
  assert_true(run_loop_until(fake_controller_is_ready, b));
  run_loop_for(0.5);
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (a) stop_controller(a);
  if (b) stop_controller(b);
  a = b = NULL;
  tmx_http_server_free(w.server);
  for (int i = 0; i < 2; i++) tmx_http_server_free(others[i].server);
  fake_stop();
  return 0;
}

static bool registered(const struct tmx_controller *controller, const struct fake_worker *x) {
  struct tmx_machine *machine = tmx_machine_find(&controller->replica, x->id);
  return machine && machine->registered;
}
static void up(struct fake_worker *x) {
  for (int i = 0; i < 20 && !(registered(a, x) && (!b || registered(b, x))); i++) {
    fake_worker_send_heartbeat(x, a);
    if (b && x->status != 200) fake_worker_send_heartbeat(x, b);
    run_loop_for(0.1);
  }
  assert_true(registered(a, x) && (!b || registered(b, x)));
}
static bool starts(void *arg) { return w.executed_starts >= *(unsigned *)arg; }
static void wait_starts(unsigned n) { assert_true(run_loop_until(starts, &n)); }
static bool placed(void *arg) { return fake_count_placed() == *(unsigned *)arg; }
static void wait_placed(unsigned n) { assert_true(run_loop_until(placed, &n)); }
static void stays_placed(unsigned n, double s) {
  for (double t = 0; t < s; t += 0.1) {
    run_loop_for(0.1);
    assert_int_equal(fake_count_placed(), n);
  }
}
static void wait_command(unsigned before) { /* one came, and is known to be unanswered */
  for (int i = 0; i < 200 && w.commands == before; i++) run_loop_for(0.02);
  assert_true(w.commands > before);
  run_loop_for(0.1);
}
static void restart(void) {
  stop_controller(a);
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
}
static bool has_state(void *arg) {
  const char **x = arg;
  struct fake_answer r = poll_job(a, x[0]);
  return r.status == 200 && !strcmp(r.state, x[1]);
}
static void wait_state(const char *id, const char *st) {
  const char *x[] = {id, st};
  assert_true(run_loop_until(has_state, x));
}

/* ------------------------------------------------------------ cancellations */

/* The day "gap": the state refuses the leader alone, another controller confirms a cancellation,
 * then the state is down for all, for longer than cancel_s, and the worker keeps reporting to its
 * old owner. Whatever any of them answers, no lease outlasts the time of the cancellation, and
 * nothing of the job starts. slow_s: in place of the refusal the owner's reads are answered so
 * late, and its watch tells nothing. */
static void gap_with(double slow_s) {
  up(&w);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_starts(2);
  bool first = !strcmp(tmx_machine_owner(&a->replica, w.id), a->settings.node_name);
  struct tmx_controller *owner = first ? a : b, *other = first ? b : a;
  struct fake_endpoint *door = &fake_store.endpoints[first ? 0 : 1];
  double lease = a->settings.lease_s, cancel = a->settings.cancel_s;
  w.mute = true; /* stops sent by command do not arrive */
  door->slow_s = slow_s;
  door->refuse = !slow_s;
  door->freeze_watch = slow_s > 0;
  run_loop_for(0.3);
  unsigned reads = door->reads;
  for (int i = 0; slow_s && i < 1000 && door->reads == reads; i++) run_loop_for(0.005);
  assert_string_equal(cancel_job(other, "wk-000001").state, WV_CANCELLED);
  double confirmed = tmx_clock_steady(), renewed = confirmed;
  if (slow_s) run_loop_for(slow_s + 0.3); /* the read that began just before is answered only now */
  fake_store.endpoints[0].refuse = fake_store.endpoints[1].refuse = true;
  unsigned begun = w.executed_starts, answered = 0;
  for (double t = 0; t < cancel + 5; t += 0.5) {
    struct tmx_controller *asked[] = {owner, other};
    for (int i = 0; i < 2; i++) {
      double sent = tmx_clock_steady();
      fake_worker_send_heartbeat(&w, asked[i]);
      if (w.status != 200 || w.answer_token < w.token) continue;
      answered++;
      assert_false(fake_worker_was_commanded(&w, WV_START, "wk-000001/0", 1));
      if (fake_worker_was_commanded(&w, WV_STOP, "wk-000001/0", 1))
        continue; /* executed with the same answer */
      renewed = sent;
    }
    run_loop_for(0.12);
    tmx_clock_advance(0.38);
  }
  assert_true(answered > 0); /* running work went on for a while */
  assert_true(renewed + lease * (1 + TMX_CLOCK_DRIFT) < confirmed + cancel);
  assert_int_equal(w.executed_starts, begun);
}
static void gap(void **st) {
  (void)st;
  gap_with(0);
}
static void gap_with_slow_answers(void **st) {
  (void)st;
  gap_with(1.9); /* just before they are given up */
}
/* ... and the leader does not reach the other controllers either. */
static int setup_apart(void **st) {
  fake_peers_unreachable = true;
  return setup_two(st);
}

/* The owner's start is held up on its way, the job is cancelled through another controller, which
 * knows it, and then the state is out and the owner gone. Who keeps the lease for the owner raises
 * no token: the start may still be executed, and must not outlast the cancellation. */
static void lease_not_kept_for_a_held_start(void **st) {
  (void)st;
  up(&w);
  w.mute = true;
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_placed(1);
  wait_command(0);
  bool first = !strcmp(tmx_machine_owner(&a->replica, w.id), a->settings.node_name);
  struct tmx_controller *keeper = first ? b : a;
  assert_string_equal(cancel_job(keeper, "wk-000001").state, WV_CANCELLED);
  double confirmed = tmx_clock_steady();
  run_loop_for(0.3);
  tmx_clock_advance(9);
  run_loop_for(0.5);
  w.silent = true;
  fake_store.endpoints[0].refuse = fake_store.endpoints[1].refuse = true;
  stop_controller(first ? a : b);
  if (first)
    a = NULL;
  else
    b = NULL;
  run_loop_for(0.2);
  assert_int_equal(fake_count_placed(), 1);
  fake_worker_send_heartbeat(&w, keeper);
  tmx_clock_advance(TMX_STORE_LOST_S);
  fake_worker_send_heartbeat(&w, keeper);
  assert_int_equal(w.status, 200); /* a lease from now on ends in time */
  assert_true(tmx_clock_steady() + keeper->settings.lease_s <
              confirmed + keeper->settings.cancel_s);
  tmx_clock_advance(7);
  assert_true(tmx_authority_may_act(&keeper->authority));
  fake_worker_send_heartbeat(&w, keeper);
  assert_int_not_equal(w.status, 200);
}

/* Without the state nothing starts, though leases are renewed: somebody may have cancelled the job.
 */
static void no_start_on_an_old_copy(void **st) {
  (void)st;
  up(&w);
  assert_int_equal(submit_simple_job(a, "wk-000001", "service", 1, 2, "t"), 201);
  wait_starts(1);
  fake_store.endpoints[0].refuse = true;
  run_loop_for(0.2);
  tmx_clock_advance(TMX_START_FRESH_S);
  w.session++; /* its lease lapsed: the task is missing, and the log says that it belongs there */
  w.n_tasks = 0;
  for (int i = 0; i < 3; i++) {
    fake_worker_send_heartbeat(&w, a);
    assert_int_equal(w.status, 200);
    fake_worker_execute_commands(&w);
    run_loop_for(0.1);
  }
  assert_int_equal(w.executed_starts, 1);
  fake_store.endpoints[0].refuse = false;
  for (int i = 0; i < 40 && w.executed_starts < 2; i++) {
    run_loop_for(0.1);
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
  }
  assert_int_equal(w.executed_starts, 2);
}

/* A cancellation, a question and a repeated submission meet the last task's end, whose transaction
 * is carried out without an answer, or late, or not at all. The first of the two that the log has
 * stands. */
static void cancellation_at_the_last_end(void **st) {
  (void)st;
  static const char *ids[] = {"wk-000001", "wk-000002"};
  char task[48];
  up(&w);
  for (unsigned late = 0; late < 2; late++) {
    struct fake_endpoint *endpoint = &fake_store.endpoints[0];
    assert_int_equal(submit_simple_job(a, ids[late], "batch", 1, 2, "t"), 201);
    wait_starts(late + 1);
    char key[64];
    snprintf(key, sizeof key, TMX_KEY_JOB "%s", ids[late]);
    strcpy(late ? endpoint->late_key : endpoint->lose_key, key);
    if (late)
      endpoint->late_next_txn = true;
    else
      endpoint->lose_next_txn = true;
    snprintf(task, sizeof task, "%s/0", ids[late]);
    fake_worker_set_task(&w, task, 1, WV_EXITED, WV_DONE);
    fake_worker_send_heartbeat(&w, a);
    for (int i = 0; i < 200 && (late ? !endpoint->late_transaction : endpoint->lose_next_txn); i++)
      run_loop_for(0.005);
    /* the cancellation's own key may have been the one that was held: it is repeated then */
    struct fake_answer c = cancel_job(a, ids[late]);
    for (int i = 0; i < 20 && c.status != 200; i++) c = cancel_job(a, ids[late]);
    assert_int_equal(c.status, 200);
    char first[16];
    strcpy(first, c.state);
    if (!late) assert_string_equal(first, WV_DONE);
    if (late) assert_int_equal(fake_execute_late_transaction(endpoint), 409);
    for (int i = 0; i < 5; i++) {
      assert_string_equal(poll_job(a, ids[late]).state, first);
      assert_string_equal(cancel_job(a, ids[late]).state, first);
      assert_int_equal(submit_simple_job(a, ids[late], "batch", 1, 2, "t"), 200);
      run_loop_for(0.05);
    }
    restart();
    assert_string_equal(poll_job(a, ids[late]).state, first);
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
    wait_placed(0);
  }
  assert_int_equal(w.executed_starts, 2);
}

/* ------------------------------------------------------------ late messages */

/* A command that got no answer is fenced by a token or by the end of the session that it was for.
 * The next one may be for a later session: the end of the earlier one says nothing of it. */
static void late_command_of_a_later_session(void **st) {
  (void)st;
  up(&w);
  w.mute = true;
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_placed(1);
  wait_command(0);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  uint64_t old = w.token;
  w.session++;
  fake_worker_send_heartbeat(&w, a); /* a later session: the first command can no longer run */
  w.token = old;                     /* the answer is lost */
  wait_placed(0);
  unsigned before = w.commands;
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 201);
  wait_placed(1);
  wait_command(before); /* for this session, by a token that it would still accept */
  assert_string_equal(cancel_job(a, "wk-000002").state, WV_CANCELLED);
  w.token = old;
  fake_worker_send_heartbeat(&w, a);
  w.token = old;
  stays_placed(1, 0.6);              /* it may start yet */
  fake_worker_send_heartbeat(&w, a); /* this answer arrives: a higher token */
  assert_true(w.token > old);
  fake_worker_send_heartbeat(&w, a);
  wait_placed(0);
}

/* An attempt failed, and its end was not committed; the lease lapsed, and it was started once more
 * in the next session. To a controller that has just come a copy of the earlier session's report
 * looks new: the end that it names is not this one's. */
static void late_copy_of_an_earlier_session(void **st) {
  (void)st;
  up(&w);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_starts(1);
  fake_store.endpoints[0].refuse = true;
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_ERROR);
  struct fake_worker copy = w;
  copy.sequence = ++w.sequence;
  stop_controller(a);
  fake_store.endpoints[0].refuse = false;
  w.session++;
  w.n_tasks = 0;
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  for (int i = 0; i < 40 && w.executed_starts < 2; i++) {
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
    run_loop_for(0.05);
  }
  assert_int_equal(w.executed_starts, 2); /* it runs, as the same attempt */
  w.silent = true;
  restart();
  fake_worker_send_heartbeat(&copy, a);
  stays_placed(1, 0.8);
  assert_false(fake_log_contains("e wk-000001/0 1 e"));
  w.silent = false;
  for (int i = 0; i < 4; i++) {
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
    run_loop_for(0.1);
  }
  assert_int_equal(fake_count_placed(), 1);
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_ERROR); /* this one is its own */
  fake_worker_send_heartbeat(&w, a);
  for (int i = 0; i < 200 && !fake_log_contains("e wk-000001/0 1 e"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("e wk-000001/0 1 e"));
}

/* A probe's answer overtakes a report on its way. The worker still waits for the answer to it: it
 * is not sent elsewhere, its lease is renewed, and what is cancelled is stopped; nothing is started
 * by it. */
static void probe_overtakes_a_report(void **st) {
  (void)st;
  up(&w);
  assert_int_equal(submit_simple_job(a, "wk-000001", "service", 1, 2, "t"), 201);
  wait_starts(1);
  struct fake_worker sent = w;
  uint64_t seq = w.sequence;
  for (int i = 0; i < 300 && w.sequence < seq + 3; i++) run_loop_for(0.02);
  assert_true(w.sequence >= seq + 3);
  w.mute = true;
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.2);
  fake_worker_send_heartbeat(&sent, a);
  assert_int_equal(sent.status, 200);
  assert_true(fake_worker_was_commanded(&sent, WV_STOP, "wk-000001/0", 1));
  sent.session--; /* not so one of an earlier session */
  fake_worker_send_heartbeat(&sent, a);
  assert_int_equal(sent.status, 421);
}

/* A batch that got no answer is carried out after newer ones of the same controller: what it rested
 * on is no longer there. */
static void late_batch(void **st) {
  (void)st;
  up(&w);
  struct fake_endpoint *endpoint = &fake_store.endpoints[0];
  strcpy(endpoint->late_key, TMX_KEY_BATCH);
  endpoint->late_next_txn = true;
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_starts(2);
  assert_non_null(endpoint->late_transaction);
  assert_int_equal(fake_execute_late_transaction(endpoint), 409);
  stays_placed(2, 0.3);
  /* ... and so is a cancellation of a job that ended in the meantime */
  strcpy(endpoint->late_key, TMX_KEY_JOB "wk-000001");
  endpoint->late_next_txn = true;
  assert_int_equal(cancel_job(a, "wk-000001").status, 503);
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_set_task(&w, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  wait_state("wk-000001", WV_DONE);
  assert_int_equal(fake_execute_late_transaction(endpoint), 409);
  assert_string_equal(poll_job(a, "wk-000001").state, WV_DONE);
}

/* The put of a controller's own key got no answer, and is carried out after the one that counts.
 * Its run is then another in the key than here: it registers anew instead of waiting for ever. */
static void late_put_of_the_node_key(void **st) {
  (void)st;
  up(&w);
  uint64_t run = tmx_store_incarnation(a->store);
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "listen", a->settings.listen);
  fake_put(TMX_KEY_MEMBER "hand-0", &value);
  tmx_buffer_free(&value);
  run_loop_for(0.1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  assert_true(tmx_store_incarnation(a->store) > run);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  for (int i = 0; i < 100 && !w.executed_starts; i++) {
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
    run_loop_for(0.05);
  }
  assert_int_equal(w.executed_starts, 1);
}

/* Refused alone for longer than its lease, it comes back and learns from the first put that the
 * lease is over: it does not try again with it until a renewal says so. */
static void lapsed_lease_of_a_controller(void **st) {
  (void)st;
  uint64_t run = tmx_store_incarnation(a->store);
  fake_store.lapsed = fake_store.leases;
  fake_drop(TMX_KEY_MEMBER "hand-0");
  run_loop_for(0.3);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  assert_true(tmx_store_incarnation(a->store) > run);
  assert_int_equal(fake_store.lapsed_puts, 1);
}

/* ------------------------------------------------------------ changes of leader */

/* Two tasks that end far apart, over restarts, with a fold in between, and all controllers away for
 * longer than a lease: never done too early, done in the end, no attempt twice. */
static void ends_far_apart(void **st) {
  (void)st;
  up(&w);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 2, 2, "t"), 201);
  wait_starts(2);
  fake_worker_set_task(&w, "wk-000001/0", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  wait_placed(1);
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 300 && !a->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(a->replica.compaction_point > 0);
  restart();
  assert_string_equal(poll_job(a, "wk-000001").state, WV_RUNNING);
  stop_controller(a);
  tmx_clock_advance(30);
  w.session++;
  w.n_tasks = 0;
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  for (int i = 0; i < 40 && w.executed_starts < 3; i++) {
    fake_worker_send_heartbeat(&w, a);
    fake_worker_execute_commands(&w);
    assert_string_equal(poll_job(a, "wk-000001").state, WV_RUNNING);
    run_loop_for(0.05);
  }
  assert_int_equal(w.executed_starts, 3);
  assert_true(w.n_tasks == 1 &&
              w.tasks[0].attempt == 1); /* the same attempt, the other one's never */
  assert_string_equal(w.tasks[0].task, "wk-000001/1");
  fake_worker_set_task(&w, "wk-000001/1", 1, WV_EXITED, WV_DONE);
  fake_worker_send_heartbeat(&w, a);
  wait_state("wk-000001", WV_DONE);
  restart();
  assert_string_equal(poll_job(a, "wk-000001").state, WV_DONE);
}

static void lead(const struct tmx_controller *next) {
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", next->settings.node_name);
  tmx_cbor_put_u64_field(&value, "inc", tmx_store_incarnation(next->store));
  fake_put(TMX_KEY_LEADER, &value);
  tmx_buffer_free(&value);
}

static void complete_all(void) {
  char task[sizeof w.tasks[0].task];
  for (size_t i = 0; i < w.n_tasks; i++) {
    if (strcmp(w.tasks[i].state, WV_RUNNING)) continue;
    memcpy(task, w.tasks[i].task, sizeof task);
    fake_worker_set_task(&w, task, w.tasks[i].attempt, WV_EXITED, WV_DONE);
  }
}

/* The leader changes ten times while jobs come, end and are cancelled: the limit of the team holds
 * at every moment, no attempt is begun twice, and everything is served in the end. */
static void leaders_change_ten_times(void **st) {
  (void)st;
  up(&w);
  char id[32];
  unsigned done = 0;
  for (int i = 0; i < 10; i++) {
    struct tmx_controller *next = i % 2 ? a : b;
    if (i == 5)
      fake_store.endpoints[0].refuse = fake_store.endpoints[1].refuse =
          true; /* also inside an outage */
    lead(next);
    snprintf(id, sizeof id, "wk-%06d", i);
    if (i != 5) assert_int_equal(submit_simple_job(next, id, "batch", 1, 2, "t"), 201);
    for (int k = 0; k < 6; k++) {
      run_loop_for(0.05);
      assert_in_range(fake_count_placed(), 0, 4);
      for (size_t l = 0; l < w.n_tasks; l++) assert_int_equal(w.tasks[l].attempt, 1);
      complete_all();
      fake_worker_send_heartbeat(&w, a);
      if (w.status != 200) fake_worker_send_heartbeat(&w, b);
      fake_worker_execute_commands(&w);
    }
    if (i == 5) fake_store.endpoints[0].refuse = fake_store.endpoints[1].refuse = false;
  }
  for (int i = 0; i < 100 && done < 9; i++) {
    fake_worker_send_heartbeat(&w, a);
    if (w.status != 200) fake_worker_send_heartbeat(&w, b);
    fake_worker_execute_commands(&w);
    complete_all();
    run_loop_for(0.05);
    done = 0;
    for (int k = 0; k < 10; k++) {
      snprintf(id, sizeof id, "wk-%06d", k);
      struct tmx_job *job = tmx_job_find(&a->replica, id);
      done += job && job->outcome == TMX_JOB_DONE;
    }
  }
  assert_int_equal(done, 9);
  assert_int_equal(w.executed_starts, 9);
}

/* A team is at its limit when the leader ends, its machine cannot be asked, and the jobs are
 * cancelled then: nobody knows that the tasks are gone, so nothing else of the team starts until
 * somebody does. */
static void limit_with_a_machine_out_of_reach(void **st) {
  (void)st;
  up(&w);
  up(&others[0]);
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 4, 2, "t"),
                   201); /* 8 CPUs, the limit */
  wait_placed(4);
  for (int i = 0; i < 40 && w.executed_starts + others[0].executed_starts < 4; i++)
    run_loop_for(0.05);
  struct fake_worker *both[] = {&w, &others[0]};
  for (int i = 0; i < 2; i++) both[i]->mute = both[i]->silent = true;
  fake_cloud.refuse_delete = true;
  restart();
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  up(&others[1]);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 201);
  stays_placed(4, 1.0);
  assert_int_equal(others[1].executed_starts, 0);
  for (int i = 0; i < 2; i++) both[i]->mute = both[i]->silent = false;
  for (int i = 0; i < 60 && !others[1].executed_starts; i++) {
    for (int k = 0; k < 2; k++) {
      fake_worker_send_heartbeat(both[k], a);
      fake_worker_execute_commands(both[k]);
    }
    fake_worker_send_heartbeat(&others[1], a);
    fake_worker_execute_commands(&others[1]);
    run_loop_for(0.1);
    if (w.executed_starts + others[0].executed_starts > 4) break;
  }
  assert_int_equal(w.executed_starts + others[0].executed_starts + others[1].executed_starts, 5);
}

/* Who comes to lead knows the peak of what was in use, since every controller keeps it: what is not
 * needed is returned at once, and not only after the next minute. */
static void an_heir_knows_the_peak(void **st) {
  (void)st;
  up(&w);
  for (int i = 0; i < 2; i++) up(&others[i]);
  struct tmx_controller *old = tmx_store_is_leader(a->store) ? a : b, *next = old == a ? b : a;
  struct fake_worker *all[] = {&w, &others[0], &others[1]};
  /* one task more than the limit of the team: while it waits nothing is returned */
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 5, 2, "t"), 201);
  for (int i = 0; i <= TMX_PEAK_DEMAND_S / TMX_DEMAND_GAP_S; i++) {
    tmx_clock_advance(TMX_DEMAND_GAP_S - 1);
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(all[k], a);
      if (all[k]->status != 200) fake_worker_send_heartbeat(all[k], b);
    }
    run_loop_for(1);
  }
  lead(next);
  bool drained = false;
  for (int k = 0; k < 3; k++) assert_false(tmx_machine_find(&next->replica, all[k]->id)->draining);
  assert_int_equal(fake_cloud.deletes, 0);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  double since = tmx_clock_steady();
  while (tmx_clock_steady() - since < TMX_LEADER_SETTLE_S + TMX_DRAIN_SPACING_S + 2) {
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(all[k], a);
      if (all[k]->status != 200) fake_worker_send_heartbeat(all[k], b);
      struct tmx_machine *machine = tmx_machine_find(&next->replica, all[k]->id);
      drained |= !machine || machine->draining;
    }
    run_loop_for(0.5);
  }
  assert_true(tmx_store_is_leader(next->store));
  assert_true(drained);
}

/* ------------------------------------------------------------ the copy read anew */

static bool loaded(void *arg) { return ((struct tmx_controller *)arg)->replica.loaded; }

/* The watch fell behind while an answer with a start is on its way, and the copy is read anew under
 * the same view: that answer has the token which the worker has seen, so its lack of the task
 * proves nothing before a higher one was shown. */
static void same_view_read_anew(void **st) {
  (void)st;
  up(&w);
  w.mute = true;
  assert_int_equal(submit_simple_job(a, "wk-000001", "batch", 1, 2, "t"), 201);
  wait_placed(1);
  wait_command(0);
  fake_worker_send_heartbeat(&w, a);
  fake_worker_send_heartbeat(&w, a); /* shows the token that the unanswered command raised */
  assert_true(fake_worker_was_commanded(&w, WV_START, "wk-000001/0", 1)); /* still on its way */
  uint64_t before = w.token, term = a->replica.view.term;
  fake_store.endpoints[0].gone_watch = true;
  fake_free_watches();
  for (int i = 0; i < 200 && (fake_store.endpoints[0].gone_watch || a->replica.loaded); i++)
    run_loop_for(0.005);
  assert_true(run_loop_until(loaded, a));
  assert_int_equal(a->replica.view.term, term);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  stays_placed(1, 1.0);
  fake_worker_send_heartbeat(&w, a);
  assert_true(w.token > before);
  fake_worker_send_heartbeat(&w, a);
  wait_placed(0);
}

/* A fold ends while a controller that starts reads the keys: it has the mark before, and the pages
 * of that one are dropped, and keys of batches written over, before it comes to them. What was in
 * them is known all the same. */
static void mark_moves_while_keys_are_read(void **st) {
  (void)st;
  up(&w);
  assert_int_equal(submit_simple_job(a, "wk-000001", "service", 1, 2, "t"), 201);
  wait_starts(1);
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 600 && !a->replica.compaction_point; i++) run_loop_for(0.02);
  uint64_t mark = a->replica.compaction_point;
  assert_true(mark > 0);
  tmx_compaction_set_threshold(a->compaction, 1000);
  run_loop_for(3); /* what the first fold leaves is dropped */
  struct fake_endpoint *endpoint = &fake_store.endpoints[1];
  endpoint->page_max = 1;
  strcpy(endpoint->hold_from, TMX_KEY_COMPACTION);
  b = start_controller(1, 2);
  for (int i = 0; i < 400 && !endpoint->held_read; i++) run_loop_for(0.02);
  const struct tmx_http_request *held = endpoint->held_read;
  assert_non_null(held);
  assert_int_equal(submit_simple_job(a, "wk-000002", "batch", 1, 2, "t"), 201);
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 600 && a->replica.compaction_point == mark; i++) run_loop_for(0.02);
  assert_true(a->replica.compaction_point > mark);
  tmx_compaction_set_threshold(a->compaction, 1000);
  run_loop_for(1);
  endpoint->page_max = 0;
  assert_ptr_equal(endpoint->held_read, held); /* it was not given up in the meantime */
  fake_release_held_read(endpoint);
  assert_true(run_loop_until(loaded, b));
  assert_int_equal(b->replica.compaction_point, a->replica.compaction_point);
  struct tmx_job *job = tmx_job_find(&b->replica, "wk-000001");
  assert_non_null(job);
  assert_int_equal(job->n_placed, 1);
  assert_non_null(tmx_job_find(&b->replica, "wk-000002"));
  assert_int_equal(poll_job(b, "wk-000001").status, 200);
}

/* ------------------------------------------------------------ many at once */

/* Users ask at all controllers, repeat the submission and cancel, at once after a job was accepted,
 * ended or confirmed as cancelled, while the other controller hears of it late: what one has said
 * no other takes back. */
static void asked_everywhere_at_once(void **st) {
  (void)st;
  up(&w);
  static const char *ids[] = {"wk-000001", "wk-000002", "wk-000003", "wk-000004"};
  struct tmx_controller *at[] = {a, b};
  for (int i = 0; i < 4; i++) {
    struct tmx_controller *one = at[i % 2], *other = at[1 - i % 2];
    struct fake_endpoint *lags = &fake_store.endpoints[1 - i % 2];
    lags->freeze_watch = true;
    assert_int_equal(submit_simple_job(one, ids[i], "batch", 1, 2, "t"), 201);
    struct fake_answer r = poll_job(other, ids[i]);
    assert_int_equal(r.status, 503); /* never a 404 */
    assert_int_not_equal(submit_simple_job(other, ids[i], "batch", 1, 2, "t"), 201);
    lags->freeze_watch = false;
    fake_free_watches();
    assert_int_equal(submit_simple_job(other, ids[i], "batch", 1, 2, "t"), 200);
    unsigned begun = w.executed_starts;
    if (i < 2) { /* it ends */
      for (int k = 0; k < 200 && w.executed_starts == (unsigned)i; k++) run_loop_for(0.02);
      char task[48];
      snprintf(task, sizeof task, "%s/0", ids[i]);
      fake_worker_set_task(&w, task, 1, WV_EXITED, WV_DONE);
      fake_worker_send_heartbeat(&w, a);
      if (w.status != 200) fake_worker_send_heartbeat(&w, b);
      const char *x[] = {ids[i], WV_DONE};
      for (int k = 0; k < 200 && strcmp(poll_job(one, ids[i]).state, x[1]); k++) run_loop_for(0.01);
      assert_string_equal(poll_job(one, ids[i]).state, WV_DONE);
      lags->freeze_watch = true;
    } else {
      lags->freeze_watch = true;
      assert_string_equal(cancel_job(one, ids[i]).state, WV_CANCELLED);
      begun = w.executed_starts;
    }
    const char *end = i < 2 ? WV_DONE : WV_CANCELLED;
    for (int k = 0; k < 3; k++) {
      r = k == 0 ? poll_job(other, ids[i]) : cancel_job(other, ids[i]);
      assert_true(r.status == 503 || !strcmp(r.state, end));
      assert_string_equal(poll_job(one, ids[i]).state, end);
      assert_string_equal(cancel_job(one, ids[i]).state, end);
    }
    lags->freeze_watch = false;
    fake_free_watches();
    run_loop_for(0.3);
    assert_string_equal(poll_job(other, ids[i]).state, end);
    if (i >= 2) assert_in_range(w.executed_starts, 0, begun); /* nothing starts after it */
    for (int k = 0; k < 3; k++) {
      fake_worker_send_heartbeat(&w, a);
      if (w.status != 200) fake_worker_send_heartbeat(&w, b);
      fake_worker_execute_commands(&w);
      run_loop_for(0.05);
    }
  }
}

/* A job is cancelled in the seconds in which its owner's work changes hands: the owner ends between
 * the placement and the start, and the other controller confirms the cancellation before, while or
 * after it takes the machine. Nothing of the job starts after the confirmation, and its place is
 * free again. */
static void cancelled_as_work_changes_hands(void **st) {
  (void)st;
  static const double after[] = {0, 0.5, 1.5, 3};
  char id[32];
  up(&w);
  for (unsigned i = 0; i < 4; i++) {
    bool first = !strcmp(tmx_machine_owner(&a->replica, w.id), a->settings.node_name);
    struct tmx_controller *owner = first ? a : b, *heir = first ? b : a;
    w.mute = true;
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(submit_simple_job(heir, id, "batch", 2, 2, "t"), 201);
    wait_placed(2);
    fake_drop(first ? TMX_KEY_MEMBER "hand-0" : TMX_KEY_MEMBER "hand-1"); /* its lease is over */
    stop_controller(owner);
    *(first ? &a : &b) = NULL;
    run_loop_for(after[i]);
    struct fake_answer r = cancel_job(heir, id);
    for (int k = 0; k < 20 && r.status == 503; k++) r = cancel_job(heir, id);
    assert_string_equal(r.state, WV_CANCELLED);
    unsigned begun = w.executed_starts;
    w.mute = false;
    for (int k = 0; k < 400 && fake_count_placed(); k++) {
      run_loop_for(0.05);
      fake_worker_send_heartbeat(&w, heir);
      fake_worker_execute_commands(&w);
    }
    assert_int_equal(fake_count_placed(), 0);
    assert_int_equal(w.executed_starts, begun);
    *(first ? &a : &b) = start_controller(first ? 0 : 1, 2);
    assert_true(run_loop_until(fake_controller_is_ready, first ? a : b));
    run_loop_for(1);
    up(&w);
  }
}

/* One-task jobs come four a second, a quarter of them are cancelled, some at their end, and the
 * leader changes on the way: each ends as its user was told, the limit holds, and nothing is left.
 */
static void one_task_jobs(void **st) {
  (void)st;
  enum { N = 80 };
  up(&w);
  char id[32], told[N][16] = {{0}};
  for (int i = 0; i < N; i++) {
    struct tmx_controller *at = i % 3 ? a : b;
    snprintf(id, sizeof id, "wk-%06d", i);
    int status = submit_simple_job(at, id, "batch", 1, 2, "t");
    for (int k = 0; k < 20 && status == 503; k++)
      status = submit_simple_job(at, id, "batch", 1, 2, "t");
    assert_true(status == 201 || status == 200);
    if (i % 10 == 5) complete_all();
    if (i % 4 == 0) {
      struct fake_answer r = cancel_job(i % 8 ? a : b, id);
      for (int k = 0; k < 20 && r.status != 200; k++) r = cancel_job(i % 8 ? a : b, id);
      assert_int_equal(r.status, 200);
      strcpy(told[i], r.state);
    }
    if (i % 20 == 10) lead(i % 40 == 10 ? b : a);
    run_loop_for(0.25);
    assert_in_range(fake_count_placed(), 0, 4);
    if (i % 2) complete_all();
    fake_worker_send_heartbeat(&w, a);
    if (w.status != 200) fake_worker_send_heartbeat(&w, b);
    fake_worker_execute_commands(&w);
  }
  for (int i = 0; i < 400 && fake_count_placed(); i++) {
    complete_all();
    fake_worker_send_heartbeat(&w, a);
    if (w.status != 200) fake_worker_send_heartbeat(&w, b);
    fake_worker_execute_commands(&w);
    run_loop_for(0.1);
  }
  assert_int_equal(fake_count_placed(), 0);
  run_loop_for(1);
  for (int i = 0; i < N; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    assert_string_equal(poll_job(i % 2 ? a : b, id).state, told[i][0] ? told[i] : WV_DONE);
  }
}

/* A new machine is up within a second and gets work at once, while the answers of the writes are
 * lost, and the leader ends: the machine is registered once, what was placed is started once. */
static void fast_machine_and_the_leader_ends(void **st) {
  (void)st;
  struct fake_worker *x = &others[0];
  assert_int_equal(submit_simple_job(b, "wk-000001", "service", 2, 2, "t"), 201);
  for (int i = 0; i < 2; i++) {
    fake_store.endpoints[i].lose_next_txn = true;
    strcpy(fake_store.endpoints[i].lose_key, TMX_KEY_BATCH);
  }
  up(x);
  bool first = tmx_store_is_leader(a->store);
  fake_drop(first ? TMX_KEY_MEMBER "hand-0" : TMX_KEY_MEMBER "hand-1");
  fake_drop(TMX_KEY_LEADER);
  stop_controller(first ? a : b);
  *(first ? &a : &b) = NULL;
  struct tmx_controller *heir = first ? b : a;
  for (int i = 0; i < 200 && x->executed_starts < 1; i++) {
    run_loop_for(0.05);
    fake_worker_send_heartbeat(x, heir);
    fake_worker_execute_commands(x);
  }
  for (int i = 0; i < 20; i++) {
    run_loop_for(0.1);
    fake_worker_send_heartbeat(x, heir);
    fake_worker_execute_commands(x);
  }
  assert_int_equal(x->executed_starts, 2);
  assert_int_equal(x->n_tasks, 2);
  for (size_t i = 0; i < 2; i++) assert_int_equal(x->tasks[i].attempt, 1);
  assert_int_equal(fake_count_placed(), 2);
}

/* ------------------------------------------------------------ machines */

/* A machine that answers and cannot report renews no lease: it gets nothing new, and is replaced
 * once its lease must be over. When most machines are so, it is this controller that is not
 * reached. */
static void answers_and_cannot_report(void **st) {
  (void)st;
  struct fake_worker *all[] = {&w, &others[0], &others[1]};
  for (int i = 0; i < 3; i++) up(all[i]);
  struct tmx_machine *machine = tmx_machine_find(&a->replica, w.id);
  run_loop_for(0.5);
  assert_true(machine->usable);
  double step = a->settings.report_s;
  for (int k = 0; k < 3; k++) { /* the others report on */
    tmx_clock_advance(step);
    for (int i = 1; i < 3; i++) fake_worker_send_heartbeat(all[i], a);
    run_loop_for(0.4);
  }
  assert_false(machine->usable);
  assert_true(tmx_machine_find(&a->replica, others[0].id)->usable);
  assert_int_equal(fake_cloud.deletes, 0);
  for (int k = 0; k < 8 && !fake_cloud.deletes; k++) {
    tmx_clock_advance(step);
    for (int i = 1; i < 3; i++) fake_worker_send_heartbeat(all[i], a);
    run_loop_for(0.4);
  }
  for (int i = 0; i < 200 && !fake_log_contains("x n-000001"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("x n-000001"));
  for (int k = 0; k < 8; k++) { /* now none of them reports */
    tmx_clock_advance(step);
    run_loop_for(0.3);
  }
  assert_int_equal(fake_cloud.deletes, 1);
}

/* A job bound to a zone and to one place loses its machine: it begins again, as the next attempt,
 * on another one there, and not before the loss is proven. */
static void job_of_one_zone_loses_its_machine(void **st) {
  (void)st;
  up(&w);
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 18);
  tmx_cbor_put_text_field(&body, W_ZONE, "a");
  struct tmx_buffer rest = {0};
  encode_submission(&rest, "wk-000001", "batch", 2, 2, "t");
  tmx_buffer_append(&body, rest.data + 1, rest.length - 1); /* all fields of a map of 17 */
  tmx_buffer_free(&rest);
  assert_int_equal(send_request(a, "POST", WP_JOBS, &body).status, 201);
  tmx_buffer_free(&body);
  wait_starts(2);
  up(&others[0]);
  w.silent = true;
  fake_cloud.refuse_delete = true;
  tmx_clock_advance(12);
  run_loop_for(2);
  assert_int_equal(others[0].executed_starts, 0);
  fake_cloud.refuse_delete = false;
  for (int i = 0; i < 800 && others[0].executed_starts < 2; i++) {
    if (i % 20 == 0) fake_worker_send_heartbeat(&others[0], a);
    run_loop_for(0.02);
  }
  assert_int_equal(others[0].executed_starts, 2);
  for (size_t i = 0; i < others[0].n_tasks; i++) assert_int_equal(others[0].tasks[i].attempt, 2);
}

/* ------------------------------------------------------------ bad input */

/* In the midst of trouble: nothing that lacks a field or cannot run is accepted, and what is known
 * is never refused for its body. */
static void bad_input_in_trouble(void **st) {
  (void)st;
  struct tmx_buffer ok = {0};
  static const char *needed[] = {W_GPUS,  W_ONE_ZONE, W_SPREAD,   W_SPOT,  W_CPUS, W_MEM,
                                 W_IMAGE, W_TASKS,    W_ESTIMATE, W_CLASS, W_TEAM, W_PRIORITY};
  encode_submission(&ok, "wk-000001", "batch", 1, 2, "t");
  for (size_t i = 0; i < sizeof needed / sizeof *needed; i++) {
    struct tmx_buffer bad = {0};
    size_t len = strlen(needed[i]);
    tmx_buffer_append(&bad, ok.data, ok.length);
    uint8_t *at = memmem(bad.data + 1, bad.length - 1, needed[i], len);
    while (at && at[-1] != 0x60 + len) /* the name itself, not a part of another */
      at = memmem(at + 1, bad.length - (size_t)(at + 1 - bad.data), needed[i], len);
    assert_non_null(at);
    at[0] = 'X'; /* the field is missing now */
    assert_int_equal(send_request(a, "POST", WP_JOBS, &bad).status, 400);
    fake_store.endpoints[0].refuse = true;
    run_loop_for(0.4);
    assert_int_equal(send_request(a, "POST", WP_JOBS, &bad).status, 503);
    fake_store.endpoints[0].refuse = false;
    run_loop_for(0.4);
    tmx_buffer_free(&bad);
  }
  assert_int_equal(send_request(a, "POST", WP_JOBS, &ok).status, 201);
  tmx_buffer_free(&ok);
  /* a body that is too large for a value, under a name that only another controller knows yet */
  struct tmx_buffer large = {0}, list = {0};
  encode_submission(&ok, "wk-000001", "batch", 1, 2, "t");
  tmx_cbor_put_map(&large, 18);
  tmx_cbor_put_text(&large, W_TYPES);
  tmx_cbor_put_list(&list, TMX_TYPES_MAX);
  for (int i = 0; i < TMX_TYPES_MAX; i++) tmx_cbor_put_text(&list, "big");
  tmx_buffer_append(&large, list.data, list.length);
  tmx_buffer_append(&large, ok.data + 1, ok.length - 1);
  a->settings.value_kb = 0.4;
  assert_int_equal(send_request(a, "POST", WP_JOBS, &large).status, 200);
  a->settings.value_kb = 16;
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  assert_int_equal(send_request(a, "POST", WP_JOBS, &large).status, 200);
  tmx_buffer_free(&ok);
  tmx_buffer_free(&large);
  tmx_buffer_free(&list);
}

int main(void) {
  const struct CMUnitTest t[] = {
      cmocka_unit_test_setup_teardown(gap, setup_two, teardown),
      {"gap_without_peers", gap, setup_apart, teardown, NULL},
      cmocka_unit_test_setup_teardown(gap_with_slow_answers, setup_two, teardown),
      cmocka_unit_test_setup_teardown(lease_not_kept_for_a_held_start, setup_two, teardown),
      cmocka_unit_test_setup_teardown(no_start_on_an_old_copy, setup, teardown),
      cmocka_unit_test_setup_teardown(cancellation_at_the_last_end, setup, teardown),
      cmocka_unit_test_setup_teardown(late_command_of_a_later_session, setup, teardown),
      cmocka_unit_test_setup_teardown(late_copy_of_an_earlier_session, setup, teardown),
      cmocka_unit_test_setup_teardown(probe_overtakes_a_report, setup, teardown),
      cmocka_unit_test_setup_teardown(late_batch, setup, teardown),
      cmocka_unit_test_setup_teardown(late_put_of_the_node_key, setup, teardown),
      cmocka_unit_test_setup_teardown(lapsed_lease_of_a_controller, setup, teardown),
      cmocka_unit_test_setup_teardown(ends_far_apart, setup, teardown),
      cmocka_unit_test_setup_teardown(leaders_change_ten_times, setup_two, teardown),
      cmocka_unit_test_setup_teardown(same_view_read_anew, setup, teardown),
      cmocka_unit_test_setup_teardown(mark_moves_while_keys_are_read, setup, teardown),
      cmocka_unit_test_setup_teardown(asked_everywhere_at_once, setup_two, teardown),
      cmocka_unit_test_setup_teardown(cancelled_as_work_changes_hands, setup_two, teardown),
      cmocka_unit_test_setup_teardown(one_task_jobs, setup_two, teardown),
      cmocka_unit_test_setup_teardown(fast_machine_and_the_leader_ends, setup_two, teardown),
      cmocka_unit_test_setup_teardown(limit_with_a_machine_out_of_reach, setup, teardown),
      cmocka_unit_test_setup_teardown(an_heir_knows_the_peak, setup_two, teardown),
      cmocka_unit_test_setup_teardown(answers_and_cannot_report, setup, teardown),
      cmocka_unit_test_setup_teardown(job_of_one_zone_loses_its_machine, setup, teardown),
      cmocka_unit_test_setup_teardown(bad_input_in_trouble, setup, teardown),
  };
  setenv("LOG_LEVEL", "error", 0);
  tmx_log_init("test");
  if (getenv("TMX_TEST")) cmocka_set_test_filter(getenv("TMX_TEST")); /* one of them, by hand */
  return cmocka_run_group_tests(t, NULL, NULL);
}
