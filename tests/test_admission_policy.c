/* Tests the pure functions of admission: shares, accounts, decisions and operator settings. */
#include "fake.h"
#include <stdio.h>
#include <string.h>
#include "admission/shares.h"

static void ceilings_leave_reserves_and_stay_under_the_bound(void **state) {
  (void)state;
  double used[3] = {0, 0, 0};
  struct tmx_division division = {.bound = 90, .reserve = 0.5, .parties = 3};
  for (int i = 0; i < 3; i++) used[i] = tmx_share_ceiling(&division, used, (size_t)i);
  assert_true(used[0] > 50 && used[1] > 15 && used[2] > 15);
  assert_true(used[0] + used[1] + used[2] <= 90);
  used[0] = 1000; /* admitted before the bound was lowered: the others keep their reserves */
  assert_true(tmx_share_ceiling(&division, used, 1) >= 15);
  assert_true(tmx_share_ceiling(&division, used, 1) <= 15.001);
}

static struct tmx_settings two_team_settings(void) {
  struct tmx_settings s = {.n_teams = 2, .write_rps = 1000, .value_kb = 16, .ram_mb = 128};
  tmx_operator_settings_set_defaults(&s.operators);
  strcpy(s.teams[0].name, "t");
  strcpy(s.teams[1].name, "u");
  strcpy(s.objectives[0].class_name, "c");
  strcpy(s.objectives[1].class_name, "d");
  strcpy(s.objectives[2].class_name, "c");
  s.n_objectives = 3;
  s.operators.admission.enabled = true;
  s.operators.admission.backlog_s = 100;
  char err[128];
  assert_true(tmx_admission_settings_resolve(&s, err, sizeof err));
  return s;
}

static void listed_classes_have_accounts_of_their_own(void **state) {
  (void)state;
  struct tmx_settings s = two_team_settings();
  struct tmx_backlog b;
  char name[32];
  bool seen[TMX_ACCOUNTS_MAX] = {false};
  size_t n = 0;
  tmx_backlog_init(&b, &s);
  assert_int_equal(b.n_listed, 2);
  assert_int_equal(tmx_backlog_account_index(&b, "c"), 0);
  assert_int_equal(tmx_backlog_account_index(&b, "d"), 1);
  for (int i = 0; i < 5000; i++) {
    snprintf(name, sizeof name, "invented-%d", i);
    size_t account = tmx_backlog_account_index(&b, name);
    assert_in_range(account, 2, tmx_backlog_account_count(&b) - 1);
    n += !seen[account];
    seen[account] = true;
  }
  assert_int_equal(n, TMX_HASHED_ACCOUNTS);
}

static void extreme_resource_requests_do_not_overflow(void **state) {
  (void)state;
  struct tmx_job_spec huge = {.cpus = 1e300, .gpus = 1e308, .mem_gb = 1e308, .estimate_s = 1e308};
  struct tmx_load sum = {{0}};
  huge.tasks = TMX_JOB_TASKS_MAX;
  struct tmx_load one = tmx_job_load(&huge, huge.tasks);
  for (int i = 0; i < 1000000; i++) tmx_load_add(&sum, &one, 1);
  for (int i = 0; i < TMX_ADMISSION_RESOURCES; i++) assert_true(sum.amount[i] > 0);
  for (int i = 0; i < 1000000; i++) tmx_load_add(&sum, &one, -1);
  for (int i = 0; i < TMX_ADMISSION_RESOURCES; i++) assert_int_equal(sum.amount[i], 0);
}

static void placed_replicas_do_not_count_as_backlog(void **state) {
  (void)state;
  struct tmx_settings s = two_team_settings();
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
  assert_int_equal(b.accounts[0][0].n_open_jobs, 1);
}

static struct tmx_admission_request admission_request_for(const struct tmx_backlog *b, int team,
                                                          const char *class_name, uint32_t tasks) {
  struct tmx_job_spec spec = {.cpus = 1, .mem_gb = 1, .estimate_s = 10, .tasks = tasks};
  return (struct tmx_admission_request){.team = team,
                                        .account = tmx_backlog_account_index(b, class_name),
                                        .load = tmx_job_load(&spec, tasks)};
}

/* Admits jobs, round-robin over `classes` classes, until 4 * classes of them were refused. Returns
 * the number of admitted jobs. */
static unsigned admit_until_refused(const struct tmx_settings *settings, struct tmx_backlog *b,
                                    const struct tmx_resource_rates *rates, int team,
                                    const char *prefix, unsigned classes, uint32_t tasks) {
  char name[64];
  unsigned n = 0, refused = 0;
  for (unsigned i = 0; refused < classes * 4 && i < 100000; i++) {
    snprintf(name, sizeof name, classes > 1 ? "%s-%u" : "%s", prefix, i % classes);
    struct tmx_admission_request x = admission_request_for(b, team, name, tasks);
    if (tmx_admission_decide(settings, b, NULL, rates, &x).result != TMX_ADMITTED) {
      refused++;
      continue;
    }
    tmx_load_add(&b->accounts[team][x.account].load, &x.load, 1);
    b->accounts[team][x.account].n_open_jobs++;
    n++;
  }
  assert_true(refused > 0);
  return n;
}

static void an_overload_leaves_the_reserves_of_others(void **state) {
  (void)state;
  static const struct {
    const char *class_name;
    unsigned classes;
    uint32_t tasks;
  } overloads[] = {{"c", 1, 1}, {"c", 1, 5000}, {"invented", 3000, 1}, {"invented", 3000, 400}};
  struct tmx_settings s = two_team_settings();
  struct tmx_machine_size machines = {.cpus = 64, .mem_gb = 256};
  struct tmx_resource_rates rates = tmx_admission_rates(&s, &machines, &machines);
  for (size_t i = 0; i < sizeof overloads / sizeof *overloads; i++) {
    struct tmx_backlog b;
    tmx_backlog_init(&b, &s);
    admit_until_refused(&s, &b, &rates, 0, overloads[i].class_name, overloads[i].classes,
                        overloads[i].tasks);
    /* The team's other listed class and the other team are still admitted. */
    struct tmx_admission_request other_class = admission_request_for(&b, 0, "d", 4);
    struct tmx_admission_request other_team = admission_request_for(&b, 1, "c", 4);
    assert_int_equal(tmx_admission_decide(&s, &b, NULL, &rates, &other_class).result, TMX_ADMITTED);
    assert_int_equal(tmx_admission_decide(&s, &b, NULL, &rates, &other_team).result, TMX_ADMITTED);
    /* The reserve is 14.2 s of the bound of 100 s, and a job takes 0.625 s. */
    assert_true(admit_until_refused(&s, &b, &rates, 1, "c", 1, 4) >= 22);
  }
}

static void unlisted_classes_together_get_no_more_than_a_listed_one(void **state) {
  (void)state;
  struct tmx_settings s = two_team_settings();
  struct tmx_machine_size machines = {.cpus = 64, .mem_gb = 256};
  struct tmx_resource_rates rates = tmx_admission_rates(&s, &machines, &machines);
  struct tmx_backlog one, many;
  tmx_backlog_init(&one, &s);
  tmx_backlog_init(&many, &s);
  admit_until_refused(&s, &one, &rates, 0, "c", 1, 1);
  admit_until_refused(&s, &many, &rates, 0, "invented", 3000, 1);
  /* All unlisted classes together get no more backlog than one listed class, to within 0.2 s. A job
   * takes 0.16 s. */
  assert_true(tmx_team_backlog_seconds(&many, 0, &rates) <=
              tmx_team_backlog_seconds(&one, 0, &rates) + 0.2);
  /* Their part of the shared pool is not available to a listed class, which gets 16.1 s instead of
   * 36.8 s. */
  double job_s = 10.0 / 64;
  unsigned n_listed_admitted = admit_until_refused(&s, &many, &rates, 0, "c", 1, 1);
  assert_true(n_listed_admitted * job_s > 15.5 && n_listed_admitted * job_s < 16.5);
}

static void less_capacity_refuses_sooner_but_keeps_reserves(void **state) {
  (void)state;
  struct tmx_settings s = two_team_settings();
  struct tmx_machine_size large = {.cpus = 64, .mem_gb = 256}, small = {.cpus = 8, .mem_gb = 32};
  struct tmx_resource_rates before = tmx_admission_rates(&s, &large, &small);
  struct tmx_resource_rates after = tmx_admission_rates(&s, &small, &small);
  struct tmx_backlog b;
  tmx_backlog_init(&b, &s);
  admit_until_refused(&s, &b, &before, 0, "c", 1, 4);
  assert_true(tmx_total_backlog_seconds(&b, &after) > s.operators.admission.backlog_s);
  struct tmx_admission_request more = admission_request_for(&b, 0, "c", 1),
                               newcomer = admission_request_for(&b, 1, "c", 1);
  assert_int_equal(tmx_admission_decide(&s, &b, NULL, &after, &more).result, TMX_REFUSED_TEAM);
  assert_int_equal(tmx_admission_decide(&s, &b, NULL, &after, &newcomer).result, TMX_ADMITTED);
}

/* Guards against refusals right after a start: in a benchmark, services were refused in the first
 * second, because the log held no machine yet. */
static void nothing_is_refused_before_machines_are_known(void **state) {
  (void)state;
  struct tmx_settings s = two_team_settings();
  struct tmx_machine_size none = {0}, one = {.cpus = 64, .mem_gb = 256}, some = {.cpus = 6400};
  struct tmx_resource_rates unknown = tmx_admission_rates(&s, &none, &one);
  struct tmx_backlog b;
  tmx_backlog_init(&b, &s);
  for (int i = 0; i < 200; i++) {
    struct tmx_admission_request x = admission_request_for(&b, 0, "c", 500);
    assert_int_equal(tmx_admission_decide(&s, &b, NULL, &unknown, &x).result, TMX_ADMITTED);
    tmx_load_add(&b.accounts[0][x.account].load, &x.load, 1);
    b.accounts[0][x.account].n_open_jobs++;
  }
  s.operators.admission.capacity_cpus = 64; /* the configured capacity counts from the start */
  struct tmx_resource_rates expected = tmx_admission_rates(&s, &none, &one);
  struct tmx_admission_request more = admission_request_for(&b, 0, "c", 1);
  assert_int_equal(tmx_admission_decide(&s, &b, NULL, &expected, &more).result, TMX_REFUSED_TEAM);
  struct tmx_resource_rates present =
      tmx_admission_rates(&s, &some, &one); /* a larger registered capacity replaces it */
  assert_true(present.per_s[TMX_ADMISSION_CPU] > expected.per_s[TMX_ADMISSION_CPU]);
}

static void the_retry_time_follows_the_excess_backlog(void **state) {
  (void)state;
  struct tmx_admission_decision little = {TMX_REFUSED_TEAM, 10.2, 10},
                                much = {TMX_REFUSED_TEAM, 1e9, 10};
  assert_true(tmx_admission_retry_s(&little) == 1);
  assert_true(tmx_admission_retry_s(&much) == TMX_ADMISSION_RETRY_MAX_S);
  for (int i = 0; i < 100; i++) assert_in_range(tmx_admission_control_retry_after(&much), 20, 30);
}

static bool load_operator(struct tmx_settings *settings, const char *text, char *err, size_t cap) {
  char path[] = "/tmp/tmx-operator-XXXXXX";
  int fd = mkstemp(path);
  FILE *f = fd >= 0 ? fdopen(fd, "w") : NULL;
  assert_non_null(f);
  fputs(text, f);
  fclose(f);
  tmx_operator_settings_set_defaults(&settings->operators);
  bool ok = tmx_operator_settings_load(&settings->operators, path, err, cap) &&
            tmx_admission_settings_resolve(settings, err, cap);
  remove(path);
  return ok;
}

static void bad_operator_settings_name_the_key(void **state) {
  (void)state;
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
  struct tmx_settings s = two_team_settings();
  char err[512];
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
    assert_false(load_operator(&s, bad[i][0], err, sizeof err));
    assert_non_null(strstr(err, bad[i][1]));
    assert_null(strchr(err, '\n'));
  }
  assert_true(load_operator(&s, "[admission]\nenabled = true\n[admission.team_shares]\nt = 0.8\n",
                            err, sizeof err));
  assert_true(s.operators.admission.share_by_team[0] > 0.79 &&
              s.operators.admission.share_by_team[1] < 0.21);
  assert_true(load_operator(&s, "headroom = 0.1\n", err, sizeof err));
  assert_false(s.operators.admission.enabled);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(ceilings_leave_reserves_and_stay_under_the_bound),
      cmocka_unit_test(listed_classes_have_accounts_of_their_own),
      cmocka_unit_test(extreme_resource_requests_do_not_overflow),
      cmocka_unit_test(placed_replicas_do_not_count_as_backlog),
      cmocka_unit_test(an_overload_leaves_the_reserves_of_others),
      cmocka_unit_test(unlisted_classes_together_get_no_more_than_a_listed_one),
      cmocka_unit_test(less_capacity_refuses_sooner_but_keeps_reserves),
      cmocka_unit_test(nothing_is_refused_before_machines_are_known),
      cmocka_unit_test(the_retry_time_follows_the_excess_backlog),
      cmocka_unit_test(bad_operator_settings_name_the_key),
  };
  return RUN_TESTS(tests);
}
