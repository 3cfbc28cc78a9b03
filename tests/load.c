/* Load at full size without a bench, run by hand under a profiler: controllers, a process each, and
 * scripted peers in one more: a state service, a cloud, workers that run tasks, users that submit
 * and ask. Prints what each controller used. `load --help` lists the options; docs/results.md has
 * what was found with it. */
#include "fake.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net/log.h"
#include "tmx/wire.h"

static int machines = 2187, nodes = 5, seconds = 60, services = 280, arrays = 30, away;
static double report_s = 10, run_s = 50;

struct node {
  pid_t pid;
  int port;
  struct tmx_client *users, *reports;
  double cpu;
};
struct worker {
  struct fake_worker w;
  int at; /* the node that it reports to */
  bool busy;
  double due, last;
};
static struct node node[FAKE_NODES];
static struct worker *workers;
static gsl_rng *rng;
static unsigned accepted, refused, asked, answered, finished;
static double begun_at;
/* since the line before was printed */
static double slowest_report, slowest_submission;
static unsigned state_commits, state_reads;

static void child(int k, int fd) {
  struct tmx_settings s;
  char err[256];
  loop = ev_loop_new(EVFLAG_AUTO);
  fake_settings(&s, k, nodes);
  s.teams[0].cpus_max = 0;
  s.report_s = report_s;
  s.lease_s = 42;
  s.cancel_s = 62;
  s.state_rps = 200;
  s.write_rps = 40;
  s.sockets = 5000;
  s.core_share = 0.096;
  s.ram_mb = 162;
  setenv("LOG_LEVEL", "error", 0);
  tmx_log_init(s.node);
  struct tmx_ctl *c = tmx_ctl_new(loop, &s, err, sizeof err);
  if (!c) {
    fprintf(stderr, "%s\n", err);
    exit(1);
  }
  int port = tmx_server_port(c->server);
  if (write(fd, &port, sizeof port) != sizeof port) exit(1);
  close(fd);
  ev_run(loop, 0);
  exit(0);
}

static void begin_node(int k) {
  int fd[2];
  if (pipe(fd)) exit(1);
  fflush(NULL);
  node[k].pid = fork();
  if (!node[k].pid) child(k, fd[1]);
  close(fd[1]);
  if (read(fd[0], &node[k].port, sizeof node[k].port) != sizeof node[k].port) exit(1);
  close(fd[0]);
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", node[k].port);
  if (node[k].users) tmx_client_free(node[k].users);
  if (node[k].reports) tmx_client_free(node[k].reports);
  node[k].users = tmx_client_new(loop, addr, 64);
  node[k].reports = tmx_client_new(loop, addr, machines + 16);
}

/* s of processor time, and MB held now and at most */
static double used(pid_t pid, double *mb, double *peak) {
  char path[64], line[512];
  unsigned long user = 0, sys = 0;
  snprintf(path, sizeof path, "/proc/%d/stat", pid);
  FILE *f = fopen(path, "r");
  if (f && fgets(line, sizeof line, f))
    sscanf(strrchr(line, ')') + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
           &sys);
  if (f) fclose(f);
  snprintf(path, sizeof path, "/proc/%d/status", pid);
  f = fopen(path, "r");
  while (f && fgets(line, sizeof line, f)) {
    if (!strncmp(line, "VmRSS:", 6)) *mb = atof(line + 6) / 1024;
    if (!strncmp(line, "VmHWM:", 6)) *peak = atof(line + 6) / 1024;
  }
  if (f) fclose(f);
  return (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
}

static void on_report(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *x = arg;
  double now = tmx_now();
  x->busy = false;
  slowest_report = fmax(slowest_report, now - x->last);
  if (status != 200 && status != 421) {
    x->at = (x->at + 1) % nodes;
    x->due = now + 1;
    return;
  }
  worker_answered(&x->w, status, body, len);
  if (status == 421) {
    int to = x->w.move_to[0] ? atoi(x->w.move_to + 5) : -1;
    x->due = now + (to < 0 || to == x->at ? 1 : 0.2);
    x->at = to < 0 ? (x->at + 1) % nodes : to;
    return;
  }
  unsigned had = x->w.executed_starts;
  worker_do(&x->w);
  x->due = now + report_s * (0.75 + 0.5 * gsl_rng_uniform(rng));
  if (x->w.executed_starts != had) x->due = now + 0.5;
}

static void work(struct worker *x, double now, double dt) {
  char task[sizeof x->w.loads[0].task];
  for (size_t i = 0; i < x->w.n_loads; i++) {
    bool service = !strncmp(x->w.loads[i].task, "wk-s", 4);
    if (service || strcmp(x->w.loads[i].state, WV_RUNNING) || gsl_rng_uniform(rng) > dt / run_s)
      continue;
    memcpy(task, x->w.loads[i].task, sizeof task);
    worker_set(&x->w, task, x->w.loads[i].attempt, WV_EXITED, WV_DONE);
    if (x->due > now + 0.5) x->due = now + 0.5;
    finished++;
  }
  if (x->busy || now < x->due || now - x->last < 0.5) return;
  struct tmx_buf b = {0};
  x->w.seq++;
  worker_encode(&x->w, &b);
  x->busy = tmx_client_call(node[x->at].reports, "POST", WP_REPORT, &b, 4, on_report, x);
  x->last = now;
  if (!x->busy) x->due = now + 1;
  tmx_buf_free(&b);
}

static void on_submitted(void *arg, int status, const uint8_t *body, size_t len) {
  double *sent = arg;
  if (status == 201) slowest_submission = fmax(slowest_submission, tmx_now() - *sent);
  free(sent);
  (void)body;
  (void)len;
  if (status == 201)
    accepted++;
  else
    refused++;
}
static void on_polled(void *arg, int status, const uint8_t *body, size_t len) {
  (void)arg;
  (void)body;
  (void)len;
  answered += status == 200;
}

static unsigned sent_services, sent_arrays;
static void send_job(bool service) {
  char id[32];
  struct tmx_buf b = {0};
  snprintf(id, sizeof id, "wk-%c%06u", service ? 's' : 'a',
           service ? sent_services++ : sent_arrays++);
  submission(&b, id, service ? "service" : "batch", service ? 6 : 70, service ? 2 : 4, "t");
  double *sent = malloc(sizeof *sent);
  if (!sent) abort();
  *sent = tmx_now();
  if (!tmx_client_call(node[gsl_rng_uniform_int(rng, (unsigned long)nodes)].users, "POST", WP_JOBS,
                       &b, 5, on_submitted, sent))
    free(sent);
  tmx_buf_free(&b);
}
static void ask_one(void) {
  char path[64];
  unsigned of = sent_arrays < 300 ? sent_arrays : 300;
  if (!of) return;
  unsigned k = sent_arrays - 1 - (unsigned)gsl_rng_uniform_int(rng, of);
  snprintf(path, sizeof path, WP_JOBS "/wk-a%06u", k);
  asked += tmx_client_call(node[gsl_rng_uniform_int(rng, (unsigned long)nodes)].users, "GET", path,
                           NULL, 2, on_polled, NULL);
}

static void on_step(struct ev_loop *l, ev_timer *t, int ev) {
  (void)l;
  (void)t;
  (void)ev;
  static double last, polls, jobs;
  double now = tmx_now(), dt = last ? now - last : 0;
  last = now;
  for (int i = 0; i < machines; i++) work(&workers[i], now, dt);
  if (now - begun_at > 5 && (int)sent_services < services)
    for (int i = 0; i < 5; i++) send_job(true);
  if (now - begun_at > 5) {
    for (jobs += dt * arrays / 60.0; jobs >= 1; jobs--) send_job(false);
    for (polls += dt * 70; polls >= 1; polls--) ask_one();
  }
}

static void go_on(double s) { /* longer than one pump */
  double until = tmx_now() + s;
  while (tmx_now() < until) pump_for(until - tmx_now() < 5 ? until - tmx_now() : 5);
}

static void show_peers(double over) {
  unsigned reads = 0;
  for (int k = 0; k < nodes; k++) reads += state.doors[k].reads;
  printf(
      "  | slowest report %.2f s, accepted submission %.2f s; state: %.1f commits, %.1f reads a "
      "second\n",
      slowest_report, slowest_submission, (state.commits - state_commits) / over,
      (reads - state_reads) / over);
  slowest_report = slowest_submission = 0;
  state_commits = state.commits;
  state_reads = reads;
}

static void show(const char *when, double over) {
  printf("%-22s", when);
  for (int k = 0; k < nodes; k++) {
    double mb = 0, peak = 0, cpu = used(node[k].pid, &mb, &peak);
    printf("  %d: %.3f of a core, %.1f MB (%.1f)", k, (cpu - node[k].cpu) / over, mb, peak);
    node[k].cpu = cpu;
  }
  printf("  | accepted %u, refused %u, polls %u of %u, tasks done %u", accepted, refused, answered,
         asked, finished);
  show_peers(over);
  fflush(stdout);
}

int main(int argc, const char **argv) {
  const struct poptOption options[] = {
      {"machines", 'm', POPT_ARG_INT, &machines, 0, "how many report", "N"},
      {"nodes", 'n', POPT_ARG_INT, &nodes, 0, "controllers, 5 at most", "N"},
      {"seconds", 's', POPT_ARG_INT, &seconds, 0, "of each phase", "N"},
      {"services", 0, POPT_ARG_INT, &services, 0, "services of 6 replicas", "N"},
      {"arrays", 0, POPT_ARG_INT, &arrays, 0, "arrays of 70 tasks a minute", "N"},
      {"run", 0, POPT_ARG_DOUBLE, &run_s, 0, "mean run time, s", "S"},
      {"away", 0, POPT_ARG_INT, &away, 0, "then end so many controllers, and at last all", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext pc = poptGetContext("load", argc, argv, options, 0);
  int rc = poptGetNextOpt(pc);
  if (rc != -1 || nodes < 1 || nodes > FAKE_NODES || machines < 1 || seconds < 1) {
    fprintf(stderr, "load: %s\n", rc < -1 ? poptStrerror(rc) : "out of range");
    return 2;
  }
  poptFreeContext(pc);
  struct rlimit files;
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  rng = gsl_rng_alloc(gsl_rng_mt19937);
  fake_open();
  for (int k = 0; k < nodes; k++) begin_node(k);
  workers = calloc((size_t)machines, sizeof *workers);
  if (!workers) abort();
  begun_at = tmx_now();
  for (int i = 0; i < machines; i++) {
    char id[32];
    snprintf(id, sizeof id, "n-%06d", i + 1);
    worker_open(&workers[i].w, id);
    workers[i].at = i % nodes;
    workers[i].due = begun_at + report_s * gsl_rng_uniform(rng);
  }
  ev_timer t;
  ev_timer_init(&t, on_step, 0, 0.02);
  ev_timer_start(loop, &t);
  go_on(5);
  show("registering", 5);
  go_on(20);
  show("submissions begin", 20);
  for (int i = 0; i < 2; i++) {
    go_on(seconds);
    show("steady", seconds);
  }
  if (away) {
    for (int k = 0; k < away && k < nodes; k++) {
      kill(node[k].pid, SIGKILL);
      waitpid(node[k].pid, NULL, 0);
    }
    go_on(10);
    show("others take over", 10);
    go_on(seconds);
    show("so many left", seconds);
    for (int k = 0; k < nodes; k++) {
      if (k >= away) {
        kill(node[k].pid, SIGKILL);
        waitpid(node[k].pid, NULL, 0);
      }
    }
    for (int k = 0; k < nodes; k++) {
      begin_node(k);
      node[k].cpu = 0;
    }
    go_on(10);
    show("all back at once", 10);
    go_on(seconds);
    show("steady again", seconds);
  }
  for (int k = 0; k < nodes; k++) kill(node[k].pid, SIGKILL);
  return 0;
}
