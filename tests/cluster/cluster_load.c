/* Load test of a cluster on the loopback interface. The controllers are real processes. Their peers
 * run in this process: the store, the cloud, workers that run tasks, and users that submit and poll
 * jobs. Prints the resources that each controller used, and the waiting times of each class.
 * `cluster_load --help` lists the options; docs/results.md and docs/admission.md have results. */
#include <gsl/gsl_rng.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "cluster/history.h"
#include "cluster/nodes.h"
#include "cluster/users.h"
#include "cluster/workers.h"
#include "planner/planner.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"

enum { MACHINE_CPUS = 16, FAILURES_MAX = 16, SPARE_CONNECTIONS = 16 };
static const double registration_s = 5;  /* before the first submission */
static const double settle_s = 10;       /* between the last submission and the final polls */
static const double final_polls_s = 240; /* time limit of the final polls */
static const double step_s = 0.02;

gsl_rng *cluster_rng;
static int machines = 2187, nodes = 5, seconds = 60, services = 280, arrays = 30, n_restarted,
           seed = 1;
static double report_s = 10, run_s = 50, surge, late_copies;
static char *operator_config, *history_path, *failures[FAILURES_MAX];
static size_t n_failures;
static double started_at;
static bool submitting;
static unsigned state_commits, state_reads;

static void adjust_settings(struct tmx_settings *settings) {
  static const char *const teams[] = {"t", "u", "v"};
  static const char *const listed[] = {"small", "tally", "refresh", "live"};
  const size_t n_teams = sizeof teams / sizeof *teams;
  settings->n_teams = n_teams;
  for (size_t i = 0; i < n_teams; i++) {
    memset(&settings->teams[i], 0, sizeof settings->teams[i]);
    strcpy(settings->teams[i].name, teams[i]);
  }
  settings->n_objectives = sizeof listed / sizeof *listed;
  for (size_t i = 0; i < settings->n_objectives; i++) {
    strcpy(settings->objectives[i].kind, "served");
    strcpy(settings->objectives[i].class_name, listed[i]);
  }
  settings->report_s = report_s;
  settings->lease_s = 42;
  settings->cancel_s = 62;
  settings->state_rps = 200;
  settings->write_rps = 40;
  settings->sockets = 5000;
  settings->core_share = 0.096;
  settings->ram_mb = 162;
}

/* Returns the jobs of a surge, whose load is `surge` times what the machines can serve. One team
 * submits most of the load, in small jobs. `per_s` is initialized with the kind's share of the load
 * and is then replaced by the submission rate. */
static const struct job_kind *surge_kinds(void) {
  static struct job_kind kinds[] = {{'f', "t", "small", WV_ARRAY, "normal", 1, 2, 10, 0.70, 0},
                                    {'t', "u", "tally", WV_ARRAY, "normal", 10, 2, 15, 0.175, 0},
                                    {'r', "v", "refresh", WV_ARRAY, "normal", 4, 4, 10, 0.125, 0},
                                    {'s', "v", "live", WV_SERVICE, "prod", 2, 1, 0, 0, 5},
                                    {0}};
  for (struct job_kind *kind = kinds; kind->letter; kind++) {
    if (kind->run_s <= 0) continue;
    double share = kind->per_s, work = kind->tasks * kind->cpus * kind->run_s;
    kind->per_s = surge * share * machines * MACHINE_CPUS / work;
  }
  return kinds;
}

static const struct job_kind *steady_kinds(void) {
  static struct job_kind kinds[] = {{'s', "t", "live", WV_SERVICE, "normal", 6, 2, 0, 0, 0},
                                    {'a', "t", "tally", WV_ARRAY, "normal", 70, 4, 0, 0, 0},
                                    {0}};
  kinds[0].at_start = (unsigned)services;
  kinds[1].run_s = run_s;
  kinds[1].per_s = arrays / 60.0;
  return kinds;
}

static void inject_due_failures(double now) {
  for (size_t i = 0; i < n_failures; i++) {
    char *rest;
    if (!failures[i] || now - started_at < strtod(failures[i], &rest)) continue;
    if (!nodes_inject_failure(rest)) fprintf(stderr, "cluster_load: unknown failure: %s\n", rest);
    free(failures[i]);
    failures[i] = NULL;
  }
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events) {
  static double last;
  (void)loop;
  (void)timer;
  (void)events;
  double now = tmx_clock_steady(), elapsed_s = last ? now - last : 0;
  last = now;
  inject_due_failures(now);
  nodes_end_failures();
  fake_enforce_leases();
  workers_step(now, elapsed_s);
  if (submitting && now - started_at > registration_s) users_submit(elapsed_s);
  users_step(now);
}

static void run_for(double duration_s) { /* in parts of at most 5 s */
  double until = tmx_clock_steady() + duration_s;
  while (tmx_clock_steady() < until)
    run_loop_for(until - tmx_clock_steady() < 5 ? until - tmx_clock_steady() : 5);
}

/* Prints the statistics of a phase that lasted `duration_s`. */
static void print_phase(const char *phase, double duration_s) {
  unsigned reads = 0;
  struct users_statistics users = users_take_statistics();
  struct workers_statistics workers = workers_take_statistics();
  printf("%-22s", phase);
  for (int k = 0; k < nodes; k++) {
    double mb = 0, peak = 0, cpu = cluster_nodes[k].pid ? node_resources_used(k, &mb, &peak) : 0;
    printf("  %d: %.3f of a core, %.1f MB (%.1f)", k, (cpu - cluster_nodes[k].cpu_s) / duration_s,
           mb, peak);
    cluster_nodes[k].cpu_s = cpu;
    reads += fake_store.endpoints[k].reads;
  }
  printf("  | accepted %u, refused %u, polls %u of %u, tasks done %u", users.accepted,
         users.refused, users.polls_answered, users.polls, workers.finished);
  printf(
      "  | slowest report %.2f s, accepted submission %.2f s; state: %.1f commits, %.1f reads a "
      "second\n",
      workers.slowest_report, users.slowest_submission,
      (fake_store.commits - state_commits) / duration_s, (reads - state_reads) / duration_s);
  if (late_copies > 0)
    printf("%-22s  late copies: %u, accepted %u\n", phase, workers.late_copies,
           workers.accepted_copies);
  state_commits = fake_store.commits;
  state_reads = reads;
  fflush(stdout);
}

static void run_steady(void) {
  run_for(5);
  print_phase("registering", 5);
  run_for(20);
  print_phase("submissions begin", 20);
  for (int i = 0; i < 2; i++) {
    run_for(seconds);
    print_phase("steady", seconds);
  }
  if (!n_restarted) return;
  for (int k = 0; k < nodes; k++) {
    char text[32];
    snprintf(text, sizeof text, "kill %d %d", k, k < n_restarted ? seconds + 10 : 0);
    if (k < n_restarted) nodes_inject_failure(text);
  }
  run_for(10);
  print_phase("others take over", 10);
  run_for(seconds);
  print_phase("all back", seconds);
}

static void run_surge(void) {
  run_for(seconds);
  print_phase("surge", seconds);
  users_print_table(seconds);
  submitting = false;
  run_for(settle_s);
  users_start_final_polls();
  for (double until = tmx_clock_steady() + final_polls_s;
       tmx_clock_steady() < until && !users_final_polls_answered();)
    run_loop_for(0.5);
}

static void read_options(int argc, const char **argv) {
  char *failure = NULL;
  const struct poptOption options[] = {
      {"machines", 'm', POPT_ARG_INT, &machines, 0, "how many report", "N"},
      {"nodes", 'n', POPT_ARG_INT, &nodes, 0, "controllers, 5 at most", "N"},
      {"seconds", 's', POPT_ARG_INT, &seconds, 0, "of each phase", "N"},
      {"services", 0, POPT_ARG_INT, &services, 0, "services of 6 replicas", "N"},
      {"arrays", 0, POPT_ARG_INT, &arrays, 0, "arrays of 70 tasks a minute", "N"},
      {"run", 0, POPT_ARG_DOUBLE, &run_s, 0, "mean run time, s", "S"},
      {"report", 0, POPT_ARG_DOUBLE, &report_s, 0, "between reports, s", "S"},
      {"away", 0, POPT_ARG_INT, &n_restarted, 0, "then end so many controllers for a time", "N"},
      {"surge", 0, POPT_ARG_DOUBLE, &surge, 0, "instead: this many times what can be served", "X"},
      {"late-copies", 0, POPT_ARG_DOUBLE, &late_copies, 0,
       "share of command requests of which a late copy arrives", "SHARE"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "of the random numbers", "N"},
      {"operator-config", 'o', POPT_ARG_STRING, &operator_config, 0, "of the controllers", "FILE"},
      {"history", 0, POPT_ARG_STRING, &history_path, 0, "what all did, for history_checker",
       "FILE"},
      {"do", 0, POPT_ARG_STRING, &failure, 'd',
       "seconds and failure: '30 kill 0 5', '30 pause 1 10', '30 cut state 2 5' (refuse, delay; "
       "peers, users, workers)",
       "TEXT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext options_context = poptGetContext("cluster_load", argc, argv, options, 0);
  int result;
  while ((result = poptGetNextOpt(options_context)) == 'd' && n_failures < FAILURES_MAX)
    failures[n_failures++] = failure;
  if (result != -1 || nodes < 1 || nodes > FAKE_CONTROLLERS_MAX || machines < 1 || seconds < 1) {
    fprintf(stderr, "cluster_load: %s\n", result < -1 ? poptStrerror(result) : "out of range");
    exit(2);
  }
  poptFreeContext(options_context);
}

static void raise_file_limit(void) {
  struct rlimit files;
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
}

int main(int argc, const char **argv) {
  read_options(argc, argv);
  raise_file_limit();
  setenv("LOG_LEVEL", "error", 0);
  cluster_rng = gsl_rng_alloc(gsl_rng_mt19937);
  gsl_rng_set(cluster_rng, (unsigned long)seed);
  fake_start();
  fake_on_write = history_commit;
  history_open(history_path);
  users_open(surge > 0 ? surge_kinds() : steady_kinds(), nodes);
  nodes_open(nodes, operator_config, adjust_settings, machines + SPARE_CONNECTIONS);
  started_at = tmx_clock_steady();
  workers_open(&(struct workers_setup){.machines = machines,
                                       .nodes = nodes,
                                       .report_s = report_s,
                                       .lease_s = 42,
                                       .run_s = users_run_s,
                                       .on_begin = users_task_began,
                                       .late_copies = late_copies});
  ev_timer timer;
  ev_timer_init(&timer, on_step, 0, step_s);
  ev_timer_start(test_loop, &timer);
  submitting = true;
  if (surge > 0)
    run_surge();
  else
    run_steady();
  nodes_close();
  history_close();
  return 0;
}
