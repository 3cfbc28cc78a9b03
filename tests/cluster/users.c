#include "cluster/users.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/history.h"
#include "cluster/nodes.h"
#include "cluster/users_internal.h"
#include "planner/planner.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"
#include "base/memory.h"

static const double submit_for_s = 60, submit_timeout_s = 5, poll_timeout_s = 2, poll_every_s = 5;

struct users users;
static size_t jobs_capacity;
static int n_nodes;
static bool final_round;
static struct users_statistics statistics;
extern gsl_rng *cluster_rng;

static const struct job_kind *kind_of(const char *id) {
  const struct job_kind *kind = users.kinds;
  while (kind->letter && kind->letter != id[strlen(W_JOB_PREFIX)]) kind++;
  return kind;
}

double users_run_s(const char *task) { return kind_of(task)->run_s; }

static struct kind_state *state_of(const struct job *job) {
  return &users.states[job->kind - users.kinds];
}

static void update_longest_gap(struct kind_state *state, double now) {
  if (state->waiting_since)
    state->longest_gap =
        fmax(state->longest_gap, now - fmax(state->waiting_since, state->last_start));
}

void users_task_began(const char *task) {
  unsigned long number = strtoul(task + strlen(W_JOB_PREFIX) + 1, NULL, 10);
  if (number >= users.n_jobs) return;
  struct job *job = users.jobs[number];
  double now = tmx_clock_steady();
  update_longest_gap(state_of(job), now);
  state_of(job)->last_start = now;
  if (!job->started_at) job->started_at = now;
}

static struct tmx_http_client *some_node(void) {
  return cluster_nodes[gsl_rng_uniform_int(cluster_rng, (unsigned long)n_nodes)].users;
}

static void read_state(const uint8_t *body, size_t len, char *state, size_t cap) {
  cbor_item_t *map = tmx_cbor_parse(body, len);
  state[0] = 0;
  tmx_cbor_get_text(map, W_STATE, state, cap);
  tmx_cbor_free(map);
}

static void on_submitted(void *arg, int status, const uint8_t *body, size_t len) {
  struct job *job = arg;
  char state[16];
  double now = tmx_clock_steady();
  read_state(body, len, state, sizeof state);
  history_response("submit", job->id, job->kind->tasks, status, state, final_round);
  job->busy = false;
  if (status == 200 || status == 201) {
    statistics.accepted++;
    statistics.slowest_submission = fmax(statistics.slowest_submission, now - job->sent_at);
    job->accepted = true;
    job->next_request_at = now + poll_every_s * gsl_rng_uniform(cluster_rng);
    return;
  }
  statistics.refused++;
  state_of(job)->refusals += status == 503;
  job->next_request_at = now + 1 + 4 * gsl_rng_uniform(cluster_rng);
  job->given_up = now - job->first_at > submit_for_s;
}

static void send_submission(struct job *job) {
  const struct job_kind *kind = job->kind;
  struct fake_job body = {.id = job->id,
                          .kind = kind->kind,
                          .class = kind->class_name,
                          .team = kind->team,
                          .priority = kind->priority,
                          .tasks = kind->tasks,
                          .cpus = kind->cpus,
                          .estimate_s = kind->run_s};
  struct tmx_buffer buffer = {0};
  encode_job_submission(&buffer, &body);
  job->sent_at = tmx_clock_steady();
  job->busy = tmx_http_client_call(some_node(), "POST", WP_JOBS, &buffer, submit_timeout_s,
                                   on_submitted, job);
  if (!job->busy) job->next_request_at = job->sent_at + 1;
  tmx_buffer_free(&buffer);
}

static void on_polled(void *arg, int status, const uint8_t *body, size_t len) {
  struct job *job = arg;
  char state[16];
  read_state(body, len, state, sizeof state);
  history_response("poll", job->id, job->kind->tasks, status, state, final_round);
  job->busy = false;
  job->next_request_at = tmx_clock_steady() + (final_round ? 0.2 : poll_every_s);
  statistics.polls_answered += status == 200;
  job->done |= status == 200 && !strcmp(state, WV_DONE);
  job->final_poll_answered |= final_round && status == 200;
}

static void poll_state(struct job *job) {
  char path[64];
  snprintf(path, sizeof path, WP_JOBS "/%s", job->id);
  job->busy = tmx_http_client_call(some_node(), "GET", path, NULL, poll_timeout_s, on_polled, job);
  statistics.polls += job->busy;
  if (!job->busy) job->next_request_at = tmx_clock_steady() + 1;
}

void users_open(const struct job_kind *wanted, int nodes) {
  users.kinds = wanted;
  n_nodes = nodes;
}

static void make_job(const struct job_kind *kind) {
  struct job *job = calloc(1, sizeof *job);
  if (!job) abort();
  snprintf(job->id, sizeof job->id, W_JOB_PREFIX "%c%06zu", kind->letter, users.n_jobs);
  job->kind = kind;
  job->first_at = tmx_clock_steady();
  users.jobs = tmx_grow(users.jobs, &jobs_capacity, users.n_jobs + 1, sizeof *users.jobs);
  users.jobs[users.n_jobs++] = job;
  state_of(job)->submitted++;
  send_submission(job);
}

void users_submit(double elapsed_s) {
  for (const struct job_kind *kind = users.kinds; kind->letter; kind++) {
    struct kind_state *state = &users.states[kind - users.kinds];
    for (int i = 0; i < 5 && state->submitted < kind->at_start; i++) make_job(kind);
    for (state->due += elapsed_s * kind->per_s; state->due >= 1; state->due--) make_job(kind);
  }
}

void users_step(double now) {
  bool waits[KINDS_MAX] = {false};
  for (size_t i = 0; i < users.n_jobs; i++) {
    struct job *job = users.jobs[i];
    waits[job->kind - users.kinds] |= job->accepted && !job->started_at;
    bool wanted =
        final_round ? job->accepted && !job->final_poll_answered : !job->done && !job->given_up;
    if (!wanted || job->busy || now < job->next_request_at) continue;
    if (job->accepted)
      poll_state(job);
    else
      send_submission(job);
  }
  for (const struct job_kind *kind = users.kinds; kind->letter; kind++) {
    struct kind_state *state = &users.states[kind - users.kinds];
    update_longest_gap(state, now);
    if (!waits[kind - users.kinds])
      state->waiting_since = 0;
    else if (!state->waiting_since)
      state->waiting_since = now;
  }
}

void users_start_final_polls(void) {
  final_round = true;
  for (size_t i = 0; i < users.n_jobs; i++) users.jobs[i]->next_request_at = 0;
}

bool users_final_polls_answered(void) {
  for (size_t i = 0; i < users.n_jobs; i++)
    if (users.jobs[i]->busy || (users.jobs[i]->accepted && !users.jobs[i]->final_poll_answered))
      return false;
  return true;
}

struct users_statistics users_take_statistics(void) {
  struct users_statistics taken = statistics;
  statistics.slowest_submission = 0;
  return taken;
}
