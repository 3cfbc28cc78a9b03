#include "cluster/workers.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/history.h"
#include "cluster/nodes.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"

struct worker {
  struct fake_worker workers;
  int at; /* the node that it reports to */
  bool busy;
  double due, sent, renewed; /* next report, the latest one, the latest one that was answered */
  struct fake_worker before; /* its tasks when they were last looked at */
};
static struct workers_setup setup;
static struct worker *workers;
static struct workers_figures figures;
extern gsl_rng *cluster_rng;

/* Tells of tasks that came and went since the last look. */
static void note_changes(struct worker *x) {
  struct fake_worker *was = &x->before, *is = &x->workers;
  for (size_t i = 0; i < is->n_tasks; i++) {
    size_t k = 0;
    while (k < was->n_tasks && (strcmp(was->tasks[k].task, is->tasks[i].task) ||
                                was->tasks[k].attempt != is->tasks[i].attempt))
      k++;
    bool runs = !strcmp(is->tasks[i].state, WV_RUNNING);
    bool ran = k < was->n_tasks && !strcmp(was->tasks[k].state, WV_RUNNING);
    if (runs && !ran) {
      history_begin(is->id, is->tasks[i].task, is->tasks[i].attempt);
      if (setup.on_begin) setup.on_begin(is->tasks[i].task);
    } else if (ran && !runs) {
      history_end(is->id, is->tasks[i].task, is->tasks[i].attempt, is->tasks[i].why);
    }
  }
  x->before = x->workers;
}

static void note_orders(const struct worker *x, int by, uint64_t token) {
  for (size_t i = 0; i < x->workers.n_commands_received; i++)
    history_order(x->workers.id, by, token, x->workers.commands_received[i].operation,
                  x->workers.commands_received[i].task, x->workers.commands_received[i].attempt);
}

static void on_report(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *x = arg;
  double now = tmx_clock_steady();
  x->busy = false;
  figures.slowest_report = fmax(figures.slowest_report, now - x->sent);
  if (status != 200 && status != 421) {
    x->at = (x->at + 1) % setup.nodes;
    x->due = now + 1;
    return;
  }
  uint64_t had_token = x->workers.token;
  fake_worker_take_response(&x->workers, status, body, len);
  if (status == 421) {
    int to = x->workers.redirected_to[0] ? atoi(x->workers.redirected_to + 5) : -1;
    x->due = now + (to < 0 || to == x->at ? 1 : 0.2);
    x->at = to < 0 ? (x->at + 1) % setup.nodes : to;
    return;
  }
  x->due = now + setup.report_s * (0.75 + 0.5 * gsl_rng_uniform(cluster_rng));
  if (x->workers.response_token < had_token) return; /* dropped */
  x->renewed = x->sent;
  unsigned had = x->workers.executed_starts;
  note_orders(x, x->at, x->workers.response_token);
  fake_worker_execute_commands(&x->workers);
  note_changes(x);
  if (x->workers.executed_starts != had) x->due = now + 0.5;
}

/* A direct command: the sender is told by the term of its token alone. */
static void on_command(struct fake_worker *worker, uint64_t token) {
  (void)token;
  struct worker *x = (struct worker *)((char *)worker - offsetof(struct worker, workers));
  note_changes(x);
}

static void run_tasks(struct worker *x, double now, double dt) {
  char task[sizeof x->workers.tasks[0].task];
  for (size_t i = 0; i < x->workers.n_tasks; i++) {
    double run_s = setup.run_s(x->workers.tasks[i].task);
    if (run_s <= 0 || strcmp(x->workers.tasks[i].state, WV_RUNNING) ||
        gsl_rng_uniform(cluster_rng) > dt / run_s)
      continue;
    memcpy(task, x->workers.tasks[i].task, sizeof task);
    fake_worker_set_task(&x->workers, task, x->workers.tasks[i].attempt, WV_EXITED, WV_DONE);
    if (x->due > now + 0.5) x->due = now + 0.5;
    figures.finished++;
  }
}

static void end_session(struct worker *x, double now) {
  for (size_t i = 0; i < x->workers.n_tasks; i++)
    if (!strcmp(x->workers.tasks[i].state, WV_RUNNING))
      history_end(x->workers.id, x->workers.tasks[i].task, x->workers.tasks[i].attempt, "lease");
  x->workers.n_tasks = x->before.n_tasks = 0;
  x->workers.session++;
  x->renewed = now;
}

static void send_report(struct worker *x, double now) {
  struct tmx_buffer buffer = {0};
  x->workers.sequence++;
  fake_worker_encode_report(&x->workers, &buffer);
  x->busy = tmx_http_client_call(node[x->at].reports, "POST", WP_REPORT, &buffer, 4, on_report, x);
  x->sent = now;
  if (!x->busy) x->due = now + 1;
  tmx_buffer_free(&buffer);
}

void workers_step(double now, double dt) {
  for (int i = 0; i < setup.machines; i++) {
    struct worker *x = &workers[i];
    run_tasks(x, now, dt);
    note_changes(x);
    if (now - x->renewed > setup.lease_s) end_session(x, now);
    if (!x->busy && now >= x->due && now - x->sent >= 0.5) send_report(x, now);
  }
}

void workers_open(const struct workers_setup *wanted) {
  char id[32];
  double now = tmx_clock_steady();
  setup = *wanted;
  workers = calloc((size_t)setup.machines, sizeof *workers);
  if (!workers) abort();
  for (int i = 0; i < setup.machines; i++) {
    snprintf(id, sizeof id, "n-%06d", i + 1);
    fake_worker_open(&workers[i].workers, id);
    workers[i].workers.on_command = on_command;
    workers[i].at = i % setup.nodes;
    workers[i].renewed = now;
    workers[i].due = now + setup.report_s * gsl_rng_uniform(cluster_rng);
  }
}

struct workers_figures workers_take_figures(void) {
  struct workers_figures taken = figures;
  figures.slowest_report = 0;
  return taken;
}
