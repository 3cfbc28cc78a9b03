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
  struct fake_worker agent;
  int node; /* index of the controller that it reports to */
  bool busy;
  double next_report_at;            /* time of the next heartbeat */
  double report_sent_at;            /* time of the latest heartbeat */
  double lease_renewed_at;          /* time at which the latest answered heartbeat was sent */
  struct fake_worker last_recorded; /* state at the last call of record_changes */
};
/* A copy of a command request, which arrives late. */
struct late_copy {
  struct worker *worker;
  double due_at;
  struct fake_command_request request;
  struct late_copy *next;
};
/* A copy arrives up to this time after the original, s: about a lease. */
static const double late_copy_delay_max_s = 40;

static struct late_copy *late_copies;
static struct workers_setup setup;
static struct worker *workers;
static struct workers_statistics statistics;
extern gsl_rng *cluster_rng;

/* Records the tasks that started and ended since the last call. */
static void record_changes(struct worker *worker) {
  struct fake_worker *before = &worker->last_recorded, *now = &worker->agent;
  for (size_t i = 0; i < now->n_tasks; i++) {
    size_t k = 0;
    while (k < before->n_tasks && (strcmp(before->tasks[k].task, now->tasks[i].task) ||
                                   before->tasks[k].attempt != now->tasks[i].attempt))
      k++;
    bool runs = !strcmp(now->tasks[i].state, WV_RUNNING);
    bool ran = k < before->n_tasks && !strcmp(before->tasks[k].state, WV_RUNNING);
    if (runs && !ran) {
      history_begin(now->id, now->tasks[i].task, now->tasks[i].attempt);
      if (setup.on_begin) setup.on_begin(now->tasks[i].task);
    } else if (ran && !runs) {
      history_end(now->id, now->tasks[i].task, now->tasks[i].attempt, now->tasks[i].reason);
    }
  }
  worker->last_recorded = worker->agent;
}

static void record_commands(const struct worker *worker, int sender, uint64_t token) {
  for (size_t i = 0; i < worker->agent.n_commands_received; i++)
    history_command(worker->agent.id, sender, token, worker->agent.commands_received[i].operation,
                    worker->agent.commands_received[i].task,
                    worker->agent.commands_received[i].attempt);
}

static void on_report(void *arg, int status, const uint8_t *body, size_t len) {
  struct worker *worker = arg;
  double now = tmx_clock_steady();
  worker->busy = false;
  statistics.slowest_report = fmax(statistics.slowest_report, now - worker->report_sent_at);
  if (status != 200 && status != 421) {
    worker->node = (worker->node + 1) % setup.nodes;
    worker->next_report_at = now + 1;
    return;
  }
  uint64_t previous_token = worker->agent.token;
  fake_worker_handle_response(&worker->agent, status, body, len);
  if (status == 421) {
    int node_named = worker->agent.redirected_to[0] ? atoi(worker->agent.redirected_to + 5) : -1;
    worker->next_report_at = now + (node_named < 0 || node_named == worker->node ? 1 : 0.2);
    worker->node = node_named < 0 ? (worker->node + 1) % setup.nodes : node_named;
    return;
  }
  worker->next_report_at = now + setup.report_s * (0.75 + 0.5 * gsl_rng_uniform(cluster_rng));
  if (worker->agent.response_token < previous_token)
    return; /* fake_worker_handle_response ignored it: its token is out of date */
  worker->lease_renewed_at = worker->report_sent_at;
  unsigned previous_starts = worker->agent.executed_starts;
  record_commands(worker, worker->node, worker->agent.response_token);
  fake_worker_execute_commands(&worker->agent);
  record_changes(worker);
  if (worker->agent.executed_starts != previous_starts) worker->next_report_at = now + 0.5;
}

static void copy_later(struct worker *worker, const struct fake_command_request *request) {
  struct late_copy *copy = calloc(1, sizeof *copy);
  if (!copy) abort();
  copy->worker = worker;
  copy->due_at = tmx_clock_steady() + late_copy_delay_max_s * gsl_rng_uniform(cluster_rng);
  copy->request = *request;
  copy->next = late_copies;
  late_copies = copy;
}

/* Handles a direct command. It records the tasks that the command started or ended. It does not
 * record the command itself, because the request holds only a token with a term and does not name
 * the controller that sent it. */
static void on_command(struct fake_worker *agent, const struct fake_command_request *request) {
  struct worker *worker = (struct worker *)((char *)agent - offsetof(struct worker, agent));
  record_changes(worker);
  if (request->n_commands && gsl_rng_uniform(cluster_rng) < setup.late_copies)
    copy_later(worker, request);
}

/* Delivers the copies that are due. Their responses reach no controller. */
static void deliver_late_copies(double now) {
  for (struct late_copy **link = &late_copies; *link;) {
    struct late_copy *copy = *link;
    if (copy->due_at > now) {
      link = &copy->next;
      continue;
    }
    *link = copy->next;
    bool is_accepted = fake_worker_execute_request(&copy->worker->agent, &copy->request) == 200;
    record_changes(copy->worker);
    statistics.late_copies++;
    statistics.accepted_copies += is_accepted;
    free(copy);
  }
}

static void run_tasks(struct worker *worker, double now, double elapsed_s) {
  char task[sizeof worker->agent.tasks[0].task];
  for (size_t i = 0; i < worker->agent.n_tasks; i++) {
    double run_s = setup.run_s(worker->agent.tasks[i].task);
    if (run_s <= 0 || strcmp(worker->agent.tasks[i].state, WV_RUNNING) ||
        gsl_rng_uniform(cluster_rng) > elapsed_s / run_s)
      continue;
    memcpy(task, worker->agent.tasks[i].task, sizeof task);
    fake_worker_set_task(&worker->agent, task, worker->agent.tasks[i].attempt, WV_EXITED, WV_DONE);
    if (worker->next_report_at > now + 0.5) worker->next_report_at = now + 0.5;
    statistics.finished++;
  }
}

/* Ends all tasks after the lease has expired, and starts a new session. */
static void end_session(struct worker *worker, double now) {
  for (size_t i = 0; i < worker->agent.n_tasks; i++)
    history_end(worker->agent.id, worker->agent.tasks[i].task, worker->agent.tasks[i].attempt,
                "lease");
  worker->agent.n_tasks = worker->last_recorded.n_tasks = 0;
  worker->agent.session++;
  worker->lease_renewed_at = now;
}

static void send_report(struct worker *worker, double now) {
  struct tmx_buffer buffer = {0};
  worker->agent.sequence++;
  fake_worker_encode_report(&worker->agent, &buffer);
  worker->busy = tmx_http_client_call(cluster_nodes[worker->node].reports, "POST", WP_REPORT,
                                      &buffer, 4, on_report, worker);
  worker->report_sent_at = now;
  if (!worker->busy) worker->next_report_at = now + 1;
  tmx_buffer_free(&buffer);
}

void workers_step(double now, double elapsed_s) {
  deliver_late_copies(now);
  for (int i = 0; i < setup.machines; i++) {
    struct worker *worker = &workers[i];
    run_tasks(worker, now, elapsed_s);
    record_changes(worker);
    if (now - worker->lease_renewed_at > setup.lease_s) end_session(worker, now);
    if (!worker->busy && now >= worker->next_report_at && now - worker->report_sent_at >= 0.5)
      send_report(worker, now);
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
    fake_worker_open(&workers[i].agent, id);
    workers[i].agent.on_command = on_command;
    workers[i].node = i % setup.nodes;
    workers[i].lease_renewed_at = now;
    workers[i].next_report_at = now + setup.report_s * gsl_rng_uniform(cluster_rng);
  }
}

struct workers_statistics workers_take_statistics(void) {
  struct workers_statistics taken = statistics;
  statistics.slowest_report = 0;
  return taken;
}
