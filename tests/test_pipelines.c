/* Pipelines against scripted peers: jobs that await others, from the submission to the last end,
 * through restarts, folds and limits that are lowered. Each test fails if its guard is taken out.
 */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "planner/planner.h"
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
  run_loop_for(0.5);
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

static bool registered(const struct tmx_controller *controller) {
  struct tmx_machine *machine = tmx_machine_find(&controller->replica, w.id);
  return machine && machine->registered;
}
static void report(void) { /* to whichever of the two owns the machine */
  fake_worker_send_heartbeat(&w, a);
  if (b && w.status != 200) fake_worker_send_heartbeat(&w, b);
}
static void up(void) {
  for (int i = 0; i < 20 && !(registered(a) && (!b || registered(b))); i++) {
    report();
    run_loop_for(0.1);
  }
  assert_true(registered(a) && (!b || registered(b)));
}
static bool starts(void *arg) { return w.executed_starts >= *(unsigned *)arg; }
static void wait_starts(unsigned n) { assert_true(run_loop_until(starts, &n)); }
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
static void all_end(void) { /* whatever runs on the machine */
  for (size_t i = 0; i < w.n_tasks; i++) {
    if (strcmp(w.tasks[i].state, WV_RUNNING)) continue;
    snprintf(w.tasks[i].state, sizeof w.tasks[i].state, WV_EXITED);
    snprintf(w.tasks[i].why, sizeof w.tasks[i].why, WV_DONE);
  }
  report();
  fake_worker_execute_commands(&w);
}
static void ends(const char *task, uint32_t attempt) {
  fake_worker_set_task(&w, task, attempt, WV_EXITED, WV_DONE);
  report();
}

/* A submission that allows so many types, "big" among them. */
static void submission_with_types(struct tmx_buffer *buffer, const char *id, int n) {
  struct tmx_buffer types = {0};
  char type[TMX_ID_MAX];
  tmx_cbor_put_list(&types, (size_t)n);
  for (int i = 0; i < n; i++) {
    snprintf(type, sizeof type, i ? "a type with a rather long %02d" : "big", i);
    tmx_cbor_put_text(&types, type);
  }
  struct fake_job job = {.id = id, .team = "t", .tasks = 1, .cpus = 2, .types = &types};
  encode_submission_of(buffer, &job);
  tmx_buffer_free(&types);
}

/* A list of ids, each a text, set apart by spaces in `names`. */
static struct fake_answer submit_named(struct tmx_controller *controller, const char *id,
                                       const char *names) {
  struct tmx_buffer list = {0}, body = {0};
  char copy[256], *name[8];
  snprintf(copy, sizeof copy, "%s", names);
  size_t n = tmx_log_line_split(copy, name, 8);
  tmx_cbor_put_list(&list, n);
  for (size_t i = 0; i < n; i++) tmx_cbor_put_text(&list, name[i]);
  encode_submission_awaiting(&body, id, WV_ARRAY, 1, 2, "t", &list);
  struct fake_answer r = send_request(controller, "POST", WP_JOBS, &body);
  tmx_buffer_free(&list);
  tmx_buffer_free(&body);
  return r;
}
static void accepted(const char *id, const char *names) {
  struct fake_answer r = submit_named(a, id, names);
  assert_int_equal(r.status, 201);
  assert_string_equal(r.state, WV_PENDING);
}
static void stays_pending(const char *id, double s) {
  unsigned begun = w.executed_starts;
  for (double t = 0; t < s; t += 0.2) {
    run_loop_for(0.2);
    report();
    assert_string_equal(poll_job(a, id).state, WV_PENDING);
  }
  assert_int_equal(w.executed_starts, begun);
}

/* too_early: no task of a job begins before all that it awaits are done in the log. */
static void one_after_the_other(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "");
  accepted("wk-000003", "wk-000001 wk-000002");
  accepted("wk-000004", "wk-000003");
  wait_starts(2);
  ends("wk-000001/0", 1);
  wait_state("wk-000001", WV_DONE);
  stays_pending("wk-000003", 2);
  ends("wk-000002/0", 1);
  wait_starts(3);
  stays_pending("wk-000004", 1);
  ends("wk-000003/0", 1);
  wait_starts(4);
  ends("wk-000004/0", 1);
  wait_state("wk-000004", WV_DONE);
}

/* A job waits for its own team's limit only once it is released. */
static void blocked_jobs_hold_no_limit(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  wait_starts(1);
  for (int i = 2; i < 8; i++) { /* six times 2 CPUs of a limit of 8 */
    char id[TMX_ID_MAX];
    snprintf(id, sizeof id, "wk-00000%d", i);
    accepted(id, "wk-000001");
  }
  assert_int_equal(submit_simple_job(a, "wk-000009", WV_ARRAY, 3, 2, "t"), 201);
  wait_starts(4); /* the limit is full with what may run */
  assert_string_equal(poll_job(a, "wk-000009").state, WV_RUNNING);
}

/* orphaned: at whichever controller a job is cancelled, all that needs it is cancelled with it. */
static void cancelled_through_another(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  accepted("wk-000003", "wk-000002");
  wait_starts(1);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  for (int i = 0; i < 2; i++) {
    struct tmx_controller *controller = i ? b : a;
    assert_string_equal(poll_job(controller, "wk-000002").state, WV_CANCELLED);
    assert_string_equal(poll_job(controller, "wk-000003").state, WV_CANCELLED);
    assert_string_equal(cancel_job(controller, "wk-000003").state, WV_CANCELLED);
    assert_int_equal(submit_named(controller, "wk-000003", "wk-000002").status, 200);
  }
  struct fake_answer late = submit_named(b, "wk-000004", "wk-000003");
  assert_int_equal(late.status, 201);
  assert_string_equal(late.state, WV_CANCELLED);
  assert_string_equal(poll_job(a, "wk-000004").state, WV_CANCELLED);
}

static bool all_stored(void *arg) {
  struct tmx_controller *controller = arg;
  tmx_replica_prune_unstored(&controller->replica);
  return !controller->replica.n_unstored_outcomes;
}

/* What follows from a cancellation gets a final state of its own; a fold in between keeps it. */
static void derived_ends_outlive_folds_and_restarts(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  wait_starts(1);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  assert_true(run_loop_until(all_stored, a));
  const struct fake_entry *e = fake_get(TMX_KEY_JOB "wk-000002");
  assert_non_null(e);
  restart();
  assert_true(tmx_job_find(&a->replica, "wk-000002")->outcome_stored);
  assert_string_equal(poll_job(a, "wk-000002").state, WV_CANCELLED);
}

/* While puts are short nobody writes that final state. A fold meanwhile keeps the job and the names
 * that it was derived from, as the batch that told of them is written over. */
static void folded_before_a_derived_end_is_stored(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  wait_starts(1);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  a->replica.n_unstored_outcomes = 0; /* as if no put were ever to spare for it */
  fake_drop(TMX_KEY_JOB "wk-000002"); /* as if it had come with a batch */
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 600 && !a->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(a->replica.compaction_point > 0);
  tmx_compaction_set_threshold(a->compaction, 1000);
  run_loop_for(2);
  restart();
  assert_string_equal(poll_job(a, "wk-000002").state, WV_CANCELLED);
}

/* A chain that is half done is folded, and the controller restarted: what is done counts, what is
 * not done blocks, and nothing starts twice. */
static void folded_with_chains_half_done(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  accepted("wk-000003", "wk-000002");
  accepted("wk-000004", "wk-000003 wk-000001");
  wait_starts(1);
  ends("wk-000001/0", 1);
  wait_starts(2);
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 600 && !a->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(a->replica.compaction_point > 0);
  tmx_compaction_set_threshold(a->compaction, 1000);
  run_loop_for(2);
  double released = tmx_job_find(&a->replica, "wk-000002")->released_at;
  restart();
  assert_true(tmx_job_find(&a->replica, "wk-000002")->released_at == released);
  for (int i = 0; i < 10; i++) report();
  stays_pending("wk-000003", 2);
  stays_pending("wk-000004", 1);
  ends("wk-000002/0", 1);
  wait_starts(3);
  ends("wk-000003/0", 1);
  wait_starts(4);
}

/* The leader ends after the last end is in the log and before the next job is placed. */
static void leader_ends_between_release_and_placement(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  wait_starts(1);
  fake_store.endpoints[0].freeze_watch = true; /* it will not see its own commit */
  ends("wk-000001/0", 1);
  for (int i = 0; i < 200 && !fake_log_contains("e wk-000001/0 1 d"); i++) run_loop_for(0.02);
  assert_true(fake_log_contains("e wk-000001/0 1 d"));
  assert_int_equal(w.executed_starts, 1);
  stop_controller(a);
  fake_store.endpoints[0].freeze_watch = false;
  a = start_controller(0, 1);
  assert_true(run_loop_until(fake_controller_is_ready, a));
  for (int i = 0; i < 40 && w.executed_starts < 2; i++) {
    report();
    fake_worker_execute_commands(&w);
    run_loop_for(0.2);
  }
  assert_int_equal(w.executed_starts, 2);
}

/* The cancellation is confirmed, and the state is out from then on: the jobs after it are cancelled
 * for every controller that knows of it, and for one that starts later. */
static void cancelled_as_an_outage_begins(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  wait_starts(1);
  assert_string_equal(cancel_job(a, "wk-000001").state, WV_CANCELLED);
  run_loop_for(0.05);
  fake_store.endpoints[0].refuse = true;
  assert_string_equal(poll_job(a, "wk-000002").state, WV_CANCELLED);
  run_loop_for(3);
  fake_store.endpoints[0].refuse = false;
  restart();
  assert_string_equal(poll_job(a, "wk-000002").state, WV_CANCELLED);
}

/* The answer to a cancellation and the last end meet: whoever wins, the job after it follows. */
static void cancellation_at_the_end_of_the_job_before(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  wait_starts(1);
  strcpy(fake_store.endpoints[0].lose_key, TMX_KEY_JOB "wk-000001");
  fake_store.endpoints[0].lose_next_txn = true;
  ends("wk-000001/0", 1);
  for (int i = 0; i < 200 && fake_store.endpoints[0].lose_next_txn; i++) run_loop_for(0.005);
  struct fake_answer c = cancel_job(a, "wk-000001");
  for (int i = 0; i < 20 && c.status != 200; i++) c = cancel_job(a, "wk-000001");
  assert_string_equal(c.state, WV_DONE);
  wait_starts(2);
  ends("wk-000002/0", 1);
  wait_state("wk-000002", WV_DONE);
}

/* A late copy of a report names an end of the awaited task's earlier attempt: it releases nothing.
 */
static void late_report_releases_nothing(void **st) {
  (void)st;
  up();
  accepted("wk-000001", "");
  accepted("wk-000002", "wk-000001");
  wait_starts(1);
  ends("wk-000001/0", 7); /* an attempt that was never made */
  stays_pending("wk-000002", 2);
}

static void on_thaw(struct ev_loop *l, ev_timer *t, int ev) {
  (void)l;
  (void)t;
  (void)ev;
  fake_store.endpoints[0].freeze_watch = false;
  fake_free_watches();
}

/* The commit is seen while the request waits for a read of the state: the names are judged then. */
static void named_as_it_is_seen(void **st) {
  (void)st;
  ev_timer thaw;
  up();
  fake_store.endpoints[0].freeze_watch = true;
  assert_int_equal(submit_simple_job(b, "wk-000001", WV_ARRAY, 1, 2, "t"), 201);
  ev_timer_init(&thaw, on_thaw, 0.3, 0);
  ev_timer_start(test_loop, &thaw);
  assert_int_equal(submit_named(a, "wk-000002", "wk-000001").status, 201);
}

/* Accepted a moment ago at another controller, whose commit has not been seen here. */
static void named_before_it_is_seen(void **st) {
  (void)st;
  up();
  fake_store.endpoints[0].freeze_watch = true;
  assert_int_equal(submit_simple_job(b, "wk-000001", WV_ARRAY, 1, 2, "t"), 201);
  assert_int_equal(submit_named(a, "wk-000002", "wk-000001").status, 503); /* never a 422 */
  fake_store.endpoints[0].freeze_watch = false;
  fake_free_watches();
  assert_int_equal(submit_named(a, "wk-000002", "wk-000001").status, 201);
  assert_int_equal(submit_named(a, "wk-000003", "wk-000777").status, 422);
  fake_store.endpoints[0].refuse = true;
  int status = submit_named(a, "wk-000004", "wk-000777").status;
  assert_int_equal(status, 503); /* it cannot be told now */
}

static int submit_list(const struct tmx_buffer *list) {
  struct tmx_buffer body = {0};
  encode_submission_awaiting(&body, "wk-000009", WV_ARRAY, 1, 2, "t", list);
  int status = send_request(a, "POST", WP_JOBS, &body).status;
  tmx_buffer_free(&body);
  return status;
}

static void malformed_lists(void **st) {
  (void)st;
  up();
  struct tmx_buffer list = {0};
  accepted("wk-000001", "");
  assert_int_equal(submit_simple_job(a, "wk-000002", WV_SERVICE, 1, 2, "t"), 201);
  tmx_cbor_put_text(&list, "wk-000001");
  assert_int_equal(submit_list(&list), 400);
  list.length = 0;
  tmx_cbor_put_list(&list, 1);
  tmx_cbor_put_u64(&list, 1);
  assert_int_equal(submit_list(&list), 400);
  assert_int_equal(submit_named(a, "wk-000009", "job-1").status, 400);
  assert_int_equal(submit_named(a, "wk-000009", "wk-000009").status, 422);
  assert_int_equal(submit_named(a, "wk-000009", "wk-000777 wk-000001").status, 422);
  assert_int_equal(submit_named(a, "wk-000009", "wk-000002").status,
                   422); /* a service never ends */
  list.length = 0;
  tmx_cbor_put_null(&list);
  assert_int_equal(submit_list(&list), 201);
  accepted("wk-000003", "wk-000001 wk-000001 wk-000001");
  assert_int_equal(tmx_job_find(&a->replica, "wk-000003")->dependencies.named.count, 1);
  /* what is known is answered before anything is judged */
  assert_int_equal(submit_named(a, "wk-000003", "job-1").status, 200);
  assert_int_equal(submit_named(a, "wk-000003", "wk-000777").status, 200);
  tmx_buffer_free(&list);
}

static struct tmx_buffer many_names(int n) {
  struct tmx_buffer list = {0};
  char id[TMX_ID_MAX];
  tmx_cbor_put_list(&list, (size_t)n);
  for (int i = 0; i < n; i++) {
    snprintf(id, sizeof id, "wk-%06d", 1000 + i);
    tmx_cbor_put_text(&list, id);
  }
  return list;
}

/* More names than a value holds are split over the keys of one transaction; more than a
 * transaction holds are refused. Neither is ever half there, and a fold splits them as well. */
static void names_over_many_values(void **st) {
  (void)st;
  enum { SOME = 650, FAR_TOO_MANY = 1300 };
  up();
  a->settings.value_kb = 1;
  a->settings.txn_ops = 8;
  fake_store.value_max = 1024;
  fake_store.txn_max = 8;
  for (int i = 0; i < FAR_TOO_MANY; i++) { /* as another controller would have accepted them */
    char id[TMX_ID_MAX], key[TMX_KEY_MAX];
    struct tmx_job_spec s = {.tasks = 1, .cpus = 2, .mem_gb = 1, .deadline_s = -1};
    struct tmx_buffer job = {0};
    strcpy(s.team, "t");
    snprintf(id, sizeof id, "wk-%06d", 1000 + i);
    snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
    tmx_job_encode(&job, id, &s, 5, TMX_JOB_OPEN);
    fake_put(key, &job);
    tmx_buffer_free(&job);
  }
  run_loop_for(0.5);
  struct tmx_buffer list = many_names(FAR_TOO_MANY);
  assert_int_equal(submit_list(&list), 422);
  tmx_buffer_free(&list);
  list = many_names(SOME);
  a->settings.write_rps = 4; /* fewer puts at hand than it needs: it goes out whole all the same */
  assert_int_equal(submit_list(&list), 201);
  a->settings.write_rps = 1000;
  tmx_buffer_free(&list);
  const struct tmx_job *j = tmx_job_find(&a->replica, "wk-000009");
  assert_int_equal(j->dependencies.n_unfinished, SOME);
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 3000 && !a->replica.compaction_point; i++) run_loop_for(0.02);
  assert_true(a->replica.compaction_point > 0);
  tmx_compaction_set_threshold(a->compaction, 100000);
  restart();
  j = tmx_job_find(&a->replica, "wk-000009");
  assert_int_equal(j->dependencies.n_unfinished, SOME);
  assert_int_equal(fake_store.too_large, 0);
}

/* The limits fall without notice while work is under way. Everything keeps within the smaller ones
 * from the start, so nothing is refused, and all comes to its end. */
static void limits_lowered_under_way(void **st) {
  (void)st;
  a->settings.value_kb = 1;
  a->settings.txn_ops = 4;
  up();
  char id[TMX_ID_MAX], before[TMX_ID_MAX] = "";
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    accepted(id, before);
    if (i % 3 != 2) strcpy(before, id);
    if (i == 5) {
      fake_store.value_max = 1024;
      fake_store.txn_max = 4;
    }
  }
  for (int i = 0; i < 400 && tmx_job_find(&a->replica, id)->outcome != TMX_JOB_DONE; i++) {
    all_end();
    run_loop_for(0.2);
  }
  for (int i = 0; i < 12; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    wait_state(id, WV_DONE);
  }
  assert_int_equal(fake_store.too_large, 0);
}

enum { TYPED_JOBS = 4 };
static void on_accepted(void *arg, int status, const uint8_t *body, size_t len) {
  (void)body;
  (void)len;
  assert_int_equal(status, 201);
  ++*(unsigned *)arg;
}
static bool all_accepted(void *arg) { return *(unsigned *)arg == TYPED_JOBS; }

/* A job whose record names more types than the lowered limit leaves room for does not hold up a
 * fold, and keeps all of its types. */
static void record_above_a_lowered_limit_is_folded(void **st) {
  (void)st;
  char type[TMX_ID_MAX];
  unsigned answered = 0;
  up();
  struct tmx_http_client *client = client_of(a);
  for (int i = 1; i <= TYPED_JOBS; i++) { /* so many at once go with a batch */
    struct tmx_buffer body = {0};
    char id[TMX_ID_MAX];
    snprintf(id, sizeof id, "wk-%06d", i);
    submission_with_types(&body, id, 30);
    assert_true(tmx_http_client_call(client, "POST", WP_JOBS, &body, 5, on_accepted, &answered));
    tmx_buffer_free(&body);
  }
  assert_true(run_loop_until(all_accepted, &answered));
  tmx_http_client_free(client);
  assert_null(fake_get(TMX_KEY_JOB "wk-000001")); /* it has no key of its own to be read from */
  a->settings.value_kb = 1;
  fake_store.value_max = 1024;
  uint64_t folded = a->replica.compaction_point;
  tmx_compaction_set_threshold(a->compaction, 0);
  for (int i = 0; i < 100 && a->replica.compaction_point == folded; i++) run_loop_for(0.2);
  tmx_compaction_set_threshold(a->compaction, 1000);
  assert_true(a->replica.compaction_point > folded);
  restart();
  const struct tmx_job *job = tmx_job_find(&a->replica, "wk-000001");
  assert_int_equal(job->spec.n_types, 30);
  assert_true(tmx_type_allowed(&job->spec, "big"));
  for (int i = 1; i < 30; i++) {
    snprintf(type, sizeof type, "a type with a rather long %02d", i);
    assert_true(tmx_type_allowed(&job->spec, type));
  }
  assert_int_equal(fake_store.too_large, 0);
}

int main(void) {
  const struct CMUnitTest t[] = {
      cmocka_unit_test_setup_teardown(one_after_the_other, setup, teardown),
      cmocka_unit_test_setup_teardown(blocked_jobs_hold_no_limit, setup, teardown),
      cmocka_unit_test_setup_teardown(cancelled_through_another, setup_two, teardown),
      cmocka_unit_test_setup_teardown(derived_ends_outlive_folds_and_restarts, setup, teardown),
      cmocka_unit_test_setup_teardown(folded_before_a_derived_end_is_stored, setup, teardown),
      cmocka_unit_test_setup_teardown(folded_with_chains_half_done, setup, teardown),
      cmocka_unit_test_setup_teardown(leader_ends_between_release_and_placement, setup, teardown),
      cmocka_unit_test_setup_teardown(cancelled_as_an_outage_begins, setup, teardown),
      cmocka_unit_test_setup_teardown(cancellation_at_the_end_of_the_job_before, setup, teardown),
      cmocka_unit_test_setup_teardown(late_report_releases_nothing, setup, teardown),
      cmocka_unit_test_setup_teardown(named_as_it_is_seen, setup_two, teardown),
      cmocka_unit_test_setup_teardown(named_before_it_is_seen, setup_two, teardown),
      cmocka_unit_test_setup_teardown(malformed_lists, setup, teardown),
      cmocka_unit_test_setup_teardown(names_over_many_values, setup, teardown),
      cmocka_unit_test_setup_teardown(limits_lowered_under_way, setup, teardown),
      cmocka_unit_test_setup_teardown(record_above_a_lowered_limit_is_folded, setup, teardown),
  };
  setenv("LOG_LEVEL", "error", 0);
  tmx_log_init("test");
  if (getenv("TMX_TEST")) cmocka_set_test_filter(getenv("TMX_TEST")); /* one of them, by hand */
  return cmocka_run_group_tests(t, NULL, NULL);
}
