/* Admission: the arithmetic of shares and accounts, and the judgement of controllers under scripted
 * peers while a surge meets other troubles. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/shares.h"
#include "planner/planner.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"

/* ------------------------------------------------------------ shares and accounts */

static void ceilings_leave_reserves_and_stay_under_the_bound(void **st) {
  (void)st;
  double used[3] = {0, 0, 0};
  struct tmx_division division = {.bound = 90, .reserve = 0.5, .parties = 3};
  for (int i = 0; i < 3; i++) used[i] = tmx_share_ceiling(&division, used, (size_t)i);
  assert_true(used[0] > 50 && used[1] > 15 && used[2] > 15);
  assert_true(used[0] + used[1] + used[2] <= 90);
  used[0] = 1000; /* admitted before the bound fell: the others keep what is set aside for them */
  assert_true(tmx_share_ceiling(&division, used, 1) >= 15);
  assert_true(tmx_share_ceiling(&division, used, 1) <= 15.001);
}

static struct tmx_settings platform(void) {
  struct tmx_settings s = {.n_teams = 2, .write_rps = 1000, .value_kb = 16, .ram_mb = 128};
  tmx_operator_defaults(&s.operators);
  strcpy(s.teams[0].name, "t");
  strcpy(s.teams[1].name, "u");
  strcpy(s.objectives[0].class_name, "c");
  strcpy(s.objectives[1].class_name, "d");
  strcpy(s.objectives[2].class_name, "c");
  s.n_objectives = 3;
  s.operators.admission.enabled = true;
  s.operators.admission.backlog_s = 100;
  char err[128];
  assert_true(tmx_admission_resolve(&s, err, sizeof err));
  return s;
}

static void listed_classes_have_accounts_of_their_own(void **st) {
  (void)st;
  struct tmx_settings s = platform();
  struct tmx_backlog b;
  char name[32];
  bool seen[TMX_ACCOUNTS_MAX] = {false};
  size_t n = 0;
  tmx_backlog_init(&b, &s);
  assert_int_equal(b.n_listed, 2);
  assert_int_equal(tmx_backlog_account(&b, "c"), 0);
  assert_int_equal(tmx_backlog_account(&b, "d"), 1);
  for (int i = 0; i < 5000; i++) {
    snprintf(name, sizeof name, "invented-%d", i);
    size_t account = tmx_backlog_account(&b, name);
    assert_in_range(account, 2, tmx_backlog_accounts(&b) - 1);
    n += !seen[account];
    seen[account] = true;
  }
  assert_int_equal(n, TMX_HASHED_ACCOUNTS);
}

static void absurd_numbers_do_not_overflow(void **st) {
  (void)st;
  struct tmx_job_spec huge = {.cpus = 1e300, .gpus = 1e308, .mem_gb = 1e308, .estimate_s = 1e308};
  struct tmx_load sum = {{0}};
  huge.tasks = TMX_TASKS_MAX;
  struct tmx_load one = tmx_load_of(&huge, huge.tasks);
  for (int i = 0; i < 1000000; i++) tmx_load_add(&sum, &one, 1);
  for (int i = 0; i < TMX_ADMISSION_RESOURCES; i++) assert_true(sum.amount[i] > 0);
  for (int i = 0; i < 1000000; i++) tmx_load_add(&sum, &one, -1);
  for (int i = 0; i < TMX_ADMISSION_RESOURCES; i++) assert_int_equal(sum.amount[i], 0);
}

static void placed_replicas_are_no_backlog(void **st) {
  (void)st;
  struct tmx_settings s = platform();
  struct tmx_backlog b;
  struct tmx_job service = {.spec = {.service = true, .tasks = 4, .cpus = 1, .class = "c"}};
  const struct tmx_load *load = &b.accounts[0][0].load;
  tmx_backlog_init(&b, &s);
  tmx_backlog_update(&b, &service);
  int64_t whole = load->amount[TMX_ADMISSION_CPU];
  assert_true(whole > 0);
  service.n_placed = 3;
  tmx_backlog_update(&b, &service);
  assert_int_equal(load->amount[TMX_ADMISSION_CPU] * 4, whole);
  service.n_placed = 4;
  tmx_backlog_update(&b, &service);
  assert_int_equal(load->amount[TMX_ADMISSION_CPU], 0);
  assert_int_equal(b.accounts[0][0].jobs, 1);
}

static struct tmx_admission_request candidate(const struct tmx_backlog *b, int team,
                                              const char *class_name, uint32_t tasks) {
  struct tmx_job_spec spec = {.cpus = 1, .mem_gb = 1, .estimate_s = 10, .tasks = tasks};
  return (struct tmx_admission_request){.team = team,
                                        .account = tmx_backlog_account(b, class_name),
                                        .load = tmx_load_of(&spec, tasks)};
}

static unsigned admit_until_refused(const struct tmx_settings *settings, struct tmx_backlog *b,
                                    const struct tmx_rates *rates, int team, const char *prefix,
                                    unsigned classes, uint32_t tasks) {
  char name[64];
  unsigned n = 0, refused = 0;
  for (unsigned i = 0; refused < classes * 4 && i < 100000; i++) {
    snprintf(name, sizeof name, classes > 1 ? "%s-%u" : "%s", prefix, i % classes);
    struct tmx_admission_request x = candidate(b, team, name, tasks);
    if (tmx_admission_decide(settings, b, NULL, rates, &x).result != TMX_ADMITTED) {
      refused++;
      continue;
    }
    tmx_load_add(&b->accounts[team][x.account].load, &x.load, 1);
    b->accounts[team][x.account].jobs++;
    n++;
  }
  assert_true(refused > 0);
  return n;
}

static void a_flood_leaves_room_for_others(void **st) {
  (void)st;
  static const struct {
    const char *class_name;
    unsigned classes;
    uint32_t tasks;
  } floods[] = {{"c", 1, 1}, {"c", 1, 5000}, {"invented", 3000, 1}, {"invented", 3000, 400}};
  struct tmx_settings s = platform();
  struct tmx_machine_size machines = {.cpus = 64, .mem_gb = 256};
  struct tmx_rates rates = tmx_admission_rates(&s, &machines, &machines);
  for (size_t i = 0; i < sizeof floods / sizeof *floods; i++) {
    struct tmx_backlog b;
    tmx_backlog_init(&b, &s);
    admit_until_refused(&s, &b, &rates, 0, floods[i].class_name, floods[i].classes,
                        floods[i].tasks);
    /* the flooder's other listed class, and the other team with either, still find room */
    struct tmx_admission_request other_class = candidate(&b, 0, "d", 4);
    struct tmx_admission_request other_team = candidate(&b, 1, "c", 4);
    assert_int_equal(tmx_admission_decide(&s, &b, NULL, &rates, &other_class).result, TMX_ADMITTED);
    assert_int_equal(tmx_admission_decide(&s, &b, NULL, &rates, &other_team).result, TMX_ADMITTED);
    /* what is set aside: 14.2 s of the bound of 100 s, at 0.625 s a job */
    assert_true(admit_until_refused(&s, &b, &rates, 1, "c", 1, 4) >= 22);
  }
}

static void invented_names_gain_nothing(void **st) {
  (void)st;
  struct tmx_settings s = platform();
  struct tmx_machine_size machines = {.cpus = 64, .mem_gb = 256};
  struct tmx_rates rates = tmx_admission_rates(&s, &machines, &machines);
  struct tmx_backlog one, many;
  tmx_backlog_init(&one, &s);
  tmx_backlog_init(&many, &s);
  admit_until_refused(&s, &one, &rates, 0, "c", 1, 1);
  admit_until_refused(&s, &many, &rates, 0, "invented", 3000, 1);
  /* one listed class, or all invented ones together: the same ceiling, within one job */
  assert_true(tmx_team_seconds(&many, 0, &rates) <= tmx_team_seconds(&one, 0, &rates) + 0.2);
  /* and what they have of the pool is not there for a listed one: 16.1 s rather than 36.8 s */
  double job_s = 10.0 / 64;
  unsigned beside = admit_until_refused(&s, &many, &rates, 0, "c", 1, 1);
  assert_true(beside * job_s > 15.5 && beside * job_s < 16.5);
}

static void less_capacity_refuses_sooner_but_keeps_reserves(void **st) {
  (void)st;
  struct tmx_settings s = platform();
  struct tmx_machine_size large = {.cpus = 64, .mem_gb = 256}, small = {.cpus = 8, .mem_gb = 32};
  struct tmx_rates before = tmx_admission_rates(&s, &large, &small);
  struct tmx_rates after = tmx_admission_rates(&s, &small, &small);
  struct tmx_backlog b;
  tmx_backlog_init(&b, &s);
  admit_until_refused(&s, &b, &before, 0, "c", 1, 4);
  assert_true(tmx_total_seconds(&b, &after) > s.operators.admission.backlog_s);
  struct tmx_admission_request more = candidate(&b, 0, "c", 1), newcomer = candidate(&b, 1, "c", 1);
  assert_int_equal(tmx_admission_decide(&s, &b, NULL, &after, &more).result, TMX_REFUSED_TEAM);
  assert_int_equal(tmx_admission_decide(&s, &b, NULL, &after, &newcomer).result, TMX_ADMITTED);
}

/* A bench day refused services in its first second: the log held no machine yet. */
static void nothing_is_refused_before_machines_are_known(void **st) {
  (void)st;
  struct tmx_settings s = platform();
  struct tmx_machine_size none = {0}, one = {.cpus = 64, .mem_gb = 256}, some = {.cpus = 6400};
  struct tmx_rates unknown = tmx_admission_rates(&s, &none, &one);
  struct tmx_backlog b;
  tmx_backlog_init(&b, &s);
  for (int i = 0; i < 200; i++) {
    struct tmx_admission_request x = candidate(&b, 0, "c", 500);
    assert_int_equal(tmx_admission_decide(&s, &b, NULL, &unknown, &x).result, TMX_ADMITTED);
    tmx_load_add(&b.accounts[0][x.account].load, &x.load, 1);
    b.accounts[0][x.account].jobs++;
  }
  s.operators.admission.capacity_cpus = 64; /* what operators expect counts from the start ... */
  struct tmx_rates expected = tmx_admission_rates(&s, &none, &one);
  struct tmx_admission_request more = candidate(&b, 0, "c", 1);
  assert_int_equal(tmx_admission_decide(&s, &b, NULL, &expected, &more).result, TMX_REFUSED_TEAM);
  struct tmx_rates present = tmx_admission_rates(&s, &some, &one); /* ... and gives way to more */
  assert_true(present.per_s[TMX_ADMISSION_CPU] > expected.per_s[TMX_ADMISSION_CPU]);
}

static void a_retry_is_expected_when_there_is_room(void **st) {
  (void)st;
  struct tmx_admission_decision little = {TMX_REFUSED_TEAM, 10.2, 10},
                                much = {TMX_REFUSED_TEAM, 1e9, 10};
  assert_true(tmx_admission_retry_s(&little) == 1);
  assert_true(tmx_admission_retry_s(&much) == TMX_ADMISSION_RETRY_MAX_S);
  for (int i = 0; i < 100; i++) assert_in_range(tmx_admission_control_retry_after(&much), 20, 30);
}

/* ------------------------------------------------------------ settings */

static bool load_operator(struct tmx_settings *settings, const char *text, char *err, size_t cap) {
  char path[] = "/tmp/tmx-operator-XXXXXX";
  int fd = mkstemp(path);
  FILE *f = fd >= 0 ? fdopen(fd, "w") : NULL;
  assert_non_null(f);
  fputs(text, f);
  fclose(f);
  tmx_operator_defaults(&settings->operators);
  bool ok = tmx_operator_load(&settings->operators, path, err, cap) &&
            tmx_admission_resolve(settings, err, cap);
  remove(path);
  return ok;
}

static void bad_operator_settings_name_the_key(void **st) {
  (void)st;
  static const char *bad[][2] = {
      {"[admission]\nenabld = true\n", "admission.enabld: unknown key"},
      {"[admission]\nbacklog_s = 100\n", "admission.enabled: missing"},
      {"[admission]\nenabled = 1\n", "admission.enabled: not a boolean"},
      {"[admission]\nenabled = true\nbacklog_s = -1\n", "admission.backlog_s: out of range"},
      {"[admission]\nenabled = true\nbacklog_s = nan\n", "admission.backlog_s: out of range"},
      {"[admission]\nenabled = true\nreserve = 1.5\n", "admission.reserve: out of range"},
      {"[admission]\nenabled = true\nstart_s = \"soon\"\n", "admission.start_s: not a number"},
      {"admission = true\n", "admission: not a table"},
      {"[admission]\nenabled = true\nteam_shares = 3\n", "admission.team_shares: not a table"},
      {"[admission]\nenabled = true\n[admission.team_shares]\nx = 0.5\n",
       "admission.team_shares.x: no such team"},
      {"[admission]\nenabled = true\n[admission.team_shares]\nt = 0.5\nu = 0.6\n",
       "admission.team_shares: add up to more than 1"},
      {"[admission]\nenabled = true\n[admission.team_shares]\nt = 0.5\nu = 0.4\n",
       "admission.team_shares: add up to less than 1"},
      {"[admission]\nenabled = true\n[admission.team_shares]\nt = 1\n",
       "admission.team_shares: leave nothing to the teams that are not named"},
      {"[admission]\nenabled = true\n[admission.team_shares]\nt = -0.5\n",
       "admission.team_shares.t: out of range"}};
  struct tmx_settings s = platform();
  char err[512];
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
    assert_false(load_operator(&s, bad[i][0], err, sizeof err));
    assert_non_null(strstr(err, bad[i][1]));
    assert_null(strchr(err, '\n'));
  }
  assert_true(load_operator(&s, "[admission]\nenabled = true\n[admission.team_shares]\nt = 0.8\n",
                            err, sizeof err));
  assert_true(s.operators.admission.share[0] > 0.79 && s.operators.admission.share[1] < 0.21);
  assert_true(load_operator(&s, "headroom = 0.1\n", err, sizeof err));
  assert_false(s.operators.admission.enabled);
}

/* ------------------------------------------------------------ controllers */

static struct tmx_controller *first_controller, *second_controller;
static unsigned next_job;

static void with_admission(struct tmx_settings *settings) {
  settings->n_teams = 2;
  strcpy(settings->teams[1].name, "u");
  settings->teams[1].cpus_max = 8;
  strcpy(settings->objectives[0].class_name, "c");
  strcpy(settings->objectives[1].class_name, "d");
  settings->n_objectives = 2;
  settings->operators.admission.enabled = true;
  settings->operators.admission.backlog_s = 100;
  settings->operators.admission.capacity_cpus = 16; /* no machine is registered */
  char err[128];
  assert_true(tmx_admission_resolve(settings, err, sizeof err));
}
static void without_admission(struct tmx_settings *settings) {
  with_admission(settings);
  settings->operators.admission.enabled = false;
}
static struct tmx_controller *begin(int k) {
  struct tmx_controller *controller = start_controller(k, 2);
  assert_true(run_loop_until(fake_controller_is_ready, controller));
  return controller;
}
static int setup(void **st) {
  (void)st;
  fake_start();
  fake_adjust_settings = with_admission;
  first_controller = begin(0);
  second_controller = begin(1);
  run_loop_for(0.5);
  next_job = 0;
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (first_controller) stop_controller(first_controller);
  if (second_controller) stop_controller(second_controller);
  first_controller = second_controller = NULL;
  fake_stop();
  return 0;
}

/* 40 CPU seconds of the class: 2.5 s of the one machine that may be rented. */
static int submit_some(struct tmx_controller *controller, const char *team,
                       const char *class_name) {
  char id[TMX_ID_MAX];
  snprintf(id, sizeof id, "wk-%06u", ++next_job);
  struct fake_job job = {.id = id, .class = class_name, .team = team, .tasks = 4, .cpus = 1};
  return submit_job(controller, &job);
}
static unsigned flood(struct tmx_controller *controller, const char *team, const char *class_name) {
  unsigned n = 0;
  int status;
  while ((status = submit_some(controller, team, class_name)) == 201 && n < 200) n++;
  assert_int_equal(status, 503);
  return n;
}
static double backlog_of(const struct tmx_controller *controller) {
  struct tmx_rates one_per_s = {{1, 1, 1}};
  return tmx_total_seconds(controller->replica.backlog, &one_per_s);
}

static void a_surge_at_one_controller_is_known_at_the_other(void **st) {
  (void)st;
  unsigned n = flood(first_controller, "t", "c");
  assert_in_range(n, 5, 30);
  run_loop_for(0.2);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  assert_int_equal(submit_some(second_controller, "t", "d"),
                   201); /* another class of the same team */
  assert_int_equal(submit_some(second_controller, "u", "c"), 201); /* another team */
  assert_true(backlog_of(first_controller) == backlog_of(second_controller));
}

enum { AT_ONCE = 60 };
struct at_once {
  unsigned answered, accepted, known;
};
static void on_one_of_many(void *arg, int status, const uint8_t *body, size_t len) {
  struct at_once *x = arg;
  (void)body;
  (void)len;
  x->answered++;
  x->accepted += status == 201;
  x->known += status == 200;
}
static bool all_answered(void *arg) { return ((struct at_once *)arg)->answered == AT_ONCE; }

/* Submissions of one batch, and of batches of two controllers, count for one another. */
static void submissions_at_once_count_for_one_another(void **st) {
  (void)st;
  struct at_once x = {0};
  char addr[32], id[TMX_ID_MAX];
  struct tmx_http_client *clients[2];
  for (int k = 0; k < 2; k++) {
    snprintf(addr, sizeof addr, "127.0.0.1:%d",
             tmx_http_server_port((k ? second_controller : first_controller)->server));
    clients[k] = tmx_http_client_new(test_loop, addr, AT_ONCE);
  }
  for (int i = 0; i < AT_ONCE; i++) {
    snprintf(id, sizeof id, "wk-%06d", i);
    struct fake_job job = {.id = id, .class = "c", .team = "t", .tasks = 4, .cpus = 1};
    struct tmx_buffer body = {0};
    encode_submission_of(&body, &job);
    assert_true(
        tmx_http_client_call(clients[i % 2], "POST", WP_JOBS, &body, 5, on_one_of_many, &x));
    tmx_buffer_free(&body);
  }
  double sent_at = tmx_clock_steady();
  assert_true(run_loop_until(all_answered, &x));
  assert_true(tmx_clock_steady() - sent_at <
              1); /* refused as soon as it is known, not when time is up */
  run_loop_for(0.2);
  assert_in_range(x.accepted, 5, 30);
  assert_int_equal(first_controller->replica.backlog->accounts[0][0].jobs, x.accepted);
  unsigned alone = x.accepted;
  for (unsigned i = 0; i < AT_ONCE; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    cancel_job(first_controller, id);
  }
  next_job = 100;
  assert_int_equal(flood(first_controller, "t", "c"), alone); /* as many as one after the other */
  for (int k = 0; k < 2; k++) tmx_http_client_free(clients[k]);
}

static void a_late_copy_does_not_admit_by_old_shares(void **st) {
  (void)st;
  fake_store.endpoints[1].freeze_watch = true;
  unsigned n = flood(first_controller, "t", "c");
  for (unsigned i = 0; i < 10; i++) assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  fake_store.endpoints[1].freeze_watch = false;
  fake_free_watches();
  run_loop_for(3);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  assert_int_equal(first_controller->replica.backlog->accounts[0][0].jobs, n);
  assert_int_equal(second_controller->replica.backlog->accounts[0][0].jobs, n);
}

static void retries_questions_and_cancellations_pass(void **st) {
  (void)st;
  unsigned n = flood(first_controller, "t", "c");
  char id[TMX_ID_MAX];
  struct fake_job first = {.id = "wk-000001", .class = "c", .team = "t", .tasks = 4, .cpus = 1};
  assert_int_equal(submit_job(first_controller, &first), 200);
  assert_int_equal(submit_job(second_controller, &first), 200);
  snprintf(id, sizeof id, "wk-%06u", n + 1); /* the one that was refused is not remembered */
  assert_int_equal(poll_job(first_controller, id).status, 404);
  /* what is called off makes room again, on every controller */
  for (unsigned i = 1; i <= n; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(cancel_job(second_controller, id).status, 200);
  }
  run_loop_for(0.5);
  assert_true(backlog_of(first_controller) == 0 && backlog_of(second_controller) == 0);
  assert_int_equal(submit_some(first_controller, "t", "c"), 201);
}

/* Its class has no room at a controller whose copy does not know the job yet: it reads first. */
static void a_known_job_is_told_as_such_by_a_late_copy(void **st) {
  (void)st;
  struct at_once x = {.answered = AT_ONCE - 1};
  struct tmx_buffer body = {0};
  struct fake_job job = {.id = "wk-900000", .class = "d", .team = "t", .tasks = 1, .cpus = 1};
  flood(second_controller, "t", "c");
  run_loop_for(0.5);
  fake_store.endpoints[1].freeze_watch = true;
  assert_int_equal(submit_job(first_controller, &job), 201);
  job.class = "c"; /* by another body, of the class that would be refused */
  encode_submission_of(&body, &job);
  struct tmx_http_client *client = client_of(second_controller);
  assert_true(tmx_http_client_call(client, "POST", WP_JOBS, &body, 5, on_one_of_many, &x));
  run_loop_for(0.3);
  assert_int_equal(x.answered, AT_ONCE - 1);
  fake_store.endpoints[1].freeze_watch = false;
  fake_free_watches();
  assert_true(run_loop_until(all_answered, &x));
  assert_int_equal(x.known, 1);
  tmx_http_client_free(client);
  tmx_buffer_free(&body);
}

static void the_judgement_outlives_leaders_folds_and_restarts(void **st) {
  (void)st;
  flood(first_controller, "t", "c");
  run_loop_for(0.5);
  double before = backlog_of(first_controller);
  stop_controller(first_controller); /* the leader */
  first_controller = NULL;
  run_loop_for(8);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  tmx_compaction_set_threshold(second_controller->compaction, 0);
  run_loop_for(5);
  tmx_compaction_set_threshold(second_controller->compaction, 1000);
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  stop_controller(second_controller);
  second_controller = NULL;
  first_controller = begin(0);
  assert_true(backlog_of(first_controller) == before);
  assert_int_equal(submit_some(first_controller, "t", "c"), 503);
  assert_int_equal(submit_some(first_controller, "u", "c"), 201);
}

static void an_outage_in_the_surge_admits_nothing(void **st) {
  (void)st;
  for (int i = 0; i < 5; i++) assert_int_equal(submit_some(first_controller, "t", "c"), 201);
  for (int k = 0; k < 2; k++) fake_store.endpoints[k].refuse = true;
  run_loop_for(1);
  assert_int_equal(submit_some(first_controller, "t", "c"), 503);
  for (int k = 0; k < 2; k++) fake_store.endpoints[k].refuse = false;
  run_loop_for(3);
  flood(first_controller, "t", "c");
  assert_int_equal(submit_some(second_controller, "t", "c"), 503);
  assert_int_equal(submit_some(second_controller, "u", "c"), 201);
}

static void beside_a_controller_without_admission(void **st) {
  (void)st;
  stop_controller(second_controller);
  fake_adjust_settings = without_admission;
  second_controller = begin(1);
  for (int i = 0; i < 60; i++) assert_int_equal(submit_some(second_controller, "t", "c"), 201);
  run_loop_for(0.5);
  assert_int_equal(submit_some(first_controller, "t", "c"),
                   503); /* what the other admitted counts */
  assert_int_equal(submit_some(first_controller, "u", "c"), 201);
  assert_null(second_controller->replica.backlog);
}

static void smaller(struct tmx_settings *settings) {
  with_admission(settings);
  settings->operators.admission.backlog_s = 20;
}
static void settings_changed_between_restarts(void **st) {
  (void)st;
  unsigned n = flood(first_controller, "t", "c");
  stop_controller(first_controller);
  stop_controller(second_controller);
  second_controller = NULL;
  fake_adjust_settings = smaller;
  first_controller = begin(0);
  char id[TMX_ID_MAX];
  for (unsigned i = 1; i < n; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(poll_job(first_controller, id).status, 200); /* what was admitted stays so */
  }
  for (unsigned i = 1; i < n - 2; i++) {
    snprintf(id, sizeof id, "wk-%06u", i);
    assert_int_equal(cancel_job(first_controller, id).status, 200);
  }
  assert_int_equal(submit_some(first_controller, "t", "c"),
                   503); /* three left: over the new ceiling */
}

static void a_pipeline_begun_is_carried_on_within_a_bound(void **st) {
  (void)st;
  flood(first_controller, "t", "c");
  struct tmx_buffer list = {0};
  char id[TMX_ID_MAX];
  unsigned n = 0;
  int status = 201;
  tmx_cbor_put_list(&list, 1);
  tmx_cbor_put_text(&list, "wk-000001");
  for (; n < 100 && status == 201; n++) {
    snprintf(id, sizeof id, "wk-%06u", 700000 + n);
    struct fake_job job = {
        .id = id, .class = "c", .team = "t", .tasks = 4, .cpus = 1, .awaits = &list};
    status = submit_job(first_controller, &job);
  }
  tmx_buffer_free(&list);
  assert_int_equal(status, 503);
  assert_in_range(n, 10,
                  40); /* up to the raised ceiling of the team, 81 s, rather than of the class */
  assert_int_equal(submit_some(first_controller, "u", "c"), 201);
}

/* ------------------------------------------------------------ turns */

enum { FLOOD = 40 };

static void fill_paper(struct tmx_planner_delta *feed, double released, bool flooder, int slot) {
  struct tmx_plan_job *job = tmx_planner_delta_job(feed);
  job->slot = slot;
  snprintf(job->id, sizeof job->id, "wk-%06d", slot);
  job->spec = calloc(1, sizeof *job->spec);
  job->spec->tasks = flooder ? 1 : 30;
  job->spec->cpus = 1;
  job->spec->mem_gb = 1;
  job->spec->fetch_tolerance_s = 10;
  job->spec->priority = job->priority = TMX_PRIORITY_NORMAL;
  job->account = flooder ? 0 : 1;
  job->zone = -1;
  job->released_at = released;
  job->unplaced_since = 1;
  job->target_s = job->next_target_s = 600;
  job->run_s = 10;
  job->open = true;
  job->n_waiting = job->spec->tasks;
  job->waiting = calloc(job->n_waiting, sizeof *job->waiting);
  for (uint32_t i = 0; i < job->n_waiting; i++)
    job->waiting[i] = (struct tmx_plan_waiting_task){i, 1};
}

struct turn_case {
  double start_s, since_start; /* of the larger job's class */
  double free_cpus, cpus;      /* of the one machine of 4; what a task of the larger job takes */
  bool leading;
  double
      released; /* time of day of the larger job, which is 1000 now; the flood came 40 s before */
};

/* What is placed beside a flood of small jobs, which stand before the larger one in the order.
 * Returns how many tasks; *larger: the first of them is the larger job's. */
static size_t placed_beside_a_flood(struct turn_case x, bool *larger) {
  struct tmx_planner *model = tmx_planner_new();
  struct tmx_planner_delta delta = {0};
  struct tmx_round_output output;
  struct tmx_round_input *input = calloc(1, sizeof *input);
  *input = (struct tmx_round_input){
      .n_zones = 1, .leading = x.leading, .max_operations = 400, .max_visits = 400000};
  input->n_teams = 1;
  input->now_steady = input->now_wall = 1000;
  input->turns.start_s = x.start_s;
  input->turns.since_start[0][1] = x.since_start;
  struct tmx_plan_machine *machine = tmx_planner_delta_machine(&delta);
  strcpy(machine->id, "n-000001");
  strcpy(machine->type, "big");
  machine->usable = true;
  machine->cpus = 4;
  machine->booked_cpus = 4 - x.free_cpus;
  machine->mem_gb = 64;
  for (int i = 0; i < FLOOD; i++) fill_paper(&delta, x.released - 40, true, i);
  fill_paper(&delta, x.released, false, FLOOD);
  delta.jobs[FLOOD].spec->cpus = x.cpus;
  tmx_planner_apply(model, &delta);
  tmx_planner_run_round(model, input, &output);
  size_t n = output.n_operations;
  *larger = false;
  for (size_t i = 0; i < n; i++) *larger |= !strcmp(output.operations[i].job, "wk-000040");
  free(output.operations);
  input->turns.start_s = 0; /* what was kept free is free again in a round without turns */
  tmx_planner_run_round(model, input, &output);
  assert_int_equal(output.n_operations, (size_t)x.free_cpus);
  free(output.operations);
  tmx_planner_delta_clear(&delta);
  tmx_planner_free(model);
  free(input);
  return n;
}

static void a_class_gets_its_turn_behind_a_flood(void **st) {
  (void)st;
  static const struct {
    struct turn_case given;
    bool larger;
  } cases[] = {{{0, TMX_NEVER_S, 1, 1, true, 940}, false},    /* no turns: least work goes first */
               {{45, TMX_NEVER_S, 1, 1, true, 940}, true},    /* it has waited 60 s */
               {{45, 20, 1, 1, true, 940}, false},            /* its class had a start 20 s ago */
               {{100, TMX_NEVER_S, 1, 1, true, 940}, false}}; /* it has not waited that long */
  bool larger;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
    assert_int_equal(placed_beside_a_flood(cases[i].given, &larger), 1);
    assert_int_equal(larger, cases[i].larger);
  }
}

/* Jobs that waited 150 s begin in turns of their classes, the older class first. */
static void old_jobs_begin_in_turns(void **st) {
  (void)st;
  bool larger;
  struct turn_case waited_long = {TMX_NEVER_S, 0, 2, 1, true, 800};
  assert_int_equal(placed_beside_a_flood(waited_long, &larger), 2);
  assert_true(larger);
  waited_long.start_s = 0;
  assert_int_equal(placed_beside_a_flood(waited_long, &larger), 2);
  assert_false(larger);
}

static void a_machine_is_kept_free_for_a_large_task(void **st) {
  (void)st;
  bool larger;
  struct turn_case wide = {45, TMX_NEVER_S, 2, 4, true, 940};
  assert_int_equal(placed_beside_a_flood(wide, &larger), 0); /* the flood gets none of the 2 free */
  wide.free_cpus = 4;
  assert_int_equal(placed_beside_a_flood(wide, &larger), 1);
  assert_true(larger);
  struct turn_case not_due = {45, 20, 2, 4, true, 940},
                   follower = {45, TMX_NEVER_S, 2, 4, false, 940};
  assert_int_equal(placed_beside_a_flood(not_due, &larger), 2);
  assert_int_equal(placed_beside_a_flood(follower, &larger), 2);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(ceilings_leave_reserves_and_stay_under_the_bound),
      cmocka_unit_test(listed_classes_have_accounts_of_their_own),
      cmocka_unit_test(absurd_numbers_do_not_overflow),
      cmocka_unit_test(placed_replicas_are_no_backlog),
      cmocka_unit_test(a_flood_leaves_room_for_others),
      cmocka_unit_test(invented_names_gain_nothing),
      cmocka_unit_test(less_capacity_refuses_sooner_but_keeps_reserves),
      cmocka_unit_test(nothing_is_refused_before_machines_are_known),
      cmocka_unit_test(a_retry_is_expected_when_there_is_room),
      cmocka_unit_test(bad_operator_settings_name_the_key),
      cmocka_unit_test(a_class_gets_its_turn_behind_a_flood),
      cmocka_unit_test(old_jobs_begin_in_turns),
      cmocka_unit_test(a_machine_is_kept_free_for_a_large_task),
      cmocka_unit_test_setup_teardown(a_surge_at_one_controller_is_known_at_the_other, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(submissions_at_once_count_for_one_another, setup, teardown),
      cmocka_unit_test_setup_teardown(a_late_copy_does_not_admit_by_old_shares, setup, teardown),
      cmocka_unit_test_setup_teardown(retries_questions_and_cancellations_pass, setup, teardown),
      cmocka_unit_test_setup_teardown(a_known_job_is_told_as_such_by_a_late_copy, setup, teardown),
      cmocka_unit_test_setup_teardown(the_judgement_outlives_leaders_folds_and_restarts, setup,
                                      teardown),
      cmocka_unit_test_setup_teardown(an_outage_in_the_surge_admits_nothing, setup, teardown),
      cmocka_unit_test_setup_teardown(beside_a_controller_without_admission, setup, teardown),
      cmocka_unit_test_setup_teardown(settings_changed_between_restarts, setup, teardown),
      cmocka_unit_test_setup_teardown(a_pipeline_begun_is_carried_on_within_a_bound, setup,
                                      teardown),
  };
  return RUN_TESTS(tests);
}
