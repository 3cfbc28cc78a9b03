#include "cluster/users.h"

#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/history.h"
#include "cluster/nodes.h"
#include "planner/planner.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"
#include "base/memory.h"

enum { KINDS_MAX = 8 };
static const double submit_for_s = 60, submit_timeout_s = 5, poll_timeout_s = 2, poll_every_s = 5;

struct job {
  char id[TMX_ID_MAX];
  const struct job_kind *kind;
  double first_at, sent_at, next_request_at; /* first attempt; latest question; next one */
  double began_at;                           /* its first task began; 0: not yet */
  bool accepted, done, given_up, busy, answered_finally;
};
struct kind_state {
  unsigned submitted, refusals;
  double due;           /* jobs */
  double last_start;    /* of a task */
  double longest_gap;   /* s without a start while an accepted job had not begun */
  double waiting_since; /* 0: no accepted job waits for its first task */
};
static const struct job_kind *kinds;
static struct kind_state states[KINDS_MAX];
static struct job **jobs;
static size_t n_jobs, jobs_capacity;
static int n_nodes;
static bool final_round;
static struct users_figures figures;
extern gsl_rng *cluster_rng;

static const struct job_kind *kind_of(const char *id) {
  const struct job_kind *kind = kinds;
  while (kind->letter && kind->letter != id[strlen(W_JOB_PREFIX)]) kind++;
  return kind;
}

double users_run_s(const char *task) { return kind_of(task)->run_s; }

static struct kind_state *state_of(const struct job *job) { return &states[job->kind - kinds]; }

/* ------------------------------------------------------------ starts */

static void update_longest_gap(struct kind_state *state, double now) {
  if (state->waiting_since)
    state->longest_gap =
        fmax(state->longest_gap, now - fmax(state->waiting_since, state->last_start));
}

void users_task_began(const char *task) {
  unsigned long number = strtoul(task + strlen(W_JOB_PREFIX) + 1, NULL, 10);
  if (number >= n_jobs) return;
  struct job *job = jobs[number];
  double now = tmx_clock_steady();
  update_longest_gap(state_of(job), now);
  state_of(job)->last_start = now;
  if (!job->began_at) job->began_at = now;
}

/* ------------------------------------------------------------ requests */

static struct tmx_http_client *some_node(void) {
  return node[gsl_rng_uniform_int(cluster_rng, (unsigned long)n_nodes)].users;
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
  history_answer("submit", job->id, job->kind->tasks, status, state, final_round);
  job->busy = false;
  if (status == 200 || status == 201) {
    figures.accepted++;
    figures.slowest_submission = fmax(figures.slowest_submission, now - job->sent_at);
    job->accepted = true;
    job->next_request_at = now + poll_every_s * gsl_rng_uniform(cluster_rng);
    return;
  }
  figures.refused++;
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
  encode_submission_of(&buffer, &body);
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
  history_answer("poll", job->id, job->kind->tasks, status, state, final_round);
  job->busy = false;
  job->next_request_at = tmx_clock_steady() + (final_round ? 0.2 : poll_every_s);
  figures.polls_answered += status == 200;
  job->done |= status == 200 && !strcmp(state, WV_DONE);
  job->answered_finally |= final_round && status == 200;
}

static void poll_state(struct job *job) {
  char path[64];
  snprintf(path, sizeof path, WP_JOBS "/%s", job->id);
  job->busy = tmx_http_client_call(some_node(), "GET", path, NULL, poll_timeout_s, on_polled, job);
  figures.polls += job->busy;
  if (!job->busy) job->next_request_at = tmx_clock_steady() + 1;
}

/* ------------------------------------------------------------ steps */

void users_open(const struct job_kind *wanted, int nodes) {
  kinds = wanted;
  n_nodes = nodes;
}

static void make_job(const struct job_kind *kind) {
  struct job *job = calloc(1, sizeof *job);
  if (!job) abort();
  snprintf(job->id, sizeof job->id, W_JOB_PREFIX "%c%06zu", kind->letter, n_jobs);
  job->kind = kind;
  job->first_at = tmx_clock_steady();
  jobs = tmx_grow(jobs, &jobs_capacity, n_jobs + 1, sizeof *jobs);
  jobs[n_jobs++] = job;
  state_of(job)->submitted++;
  send_submission(job);
}

void users_submit(double elapsed_s) {
  for (const struct job_kind *kind = kinds; kind->letter; kind++) {
    struct kind_state *state = &states[kind - kinds];
    for (int i = 0; i < 5 && state->submitted < kind->at_start; i++) make_job(kind);
    for (state->due += elapsed_s * kind->per_s; state->due >= 1; state->due--) make_job(kind);
  }
}

void users_step(double now) {
  bool waits[KINDS_MAX] = {false};
  for (size_t i = 0; i < n_jobs; i++) {
    struct job *job = jobs[i];
    waits[job->kind - kinds] |= job->accepted && !job->began_at;
    bool wanted =
        final_round ? job->accepted && !job->answered_finally : !job->done && !job->given_up;
    if (!wanted || job->busy || now < job->next_request_at) continue;
    if (job->accepted)
      poll_state(job);
    else
      send_submission(job);
  }
  for (const struct job_kind *kind = kinds; kind->letter; kind++) {
    struct kind_state *state = &states[kind - kinds];
    update_longest_gap(state, now);
    if (!waits[kind - kinds])
      state->waiting_since = 0;
    else if (!state->waiting_since)
      state->waiting_since = now;
  }
}

void users_poll_all_finally(void) {
  final_round = true;
  for (size_t i = 0; i < n_jobs; i++) jobs[i]->next_request_at = 0;
}

bool users_all_answered(void) {
  for (size_t i = 0; i < n_jobs; i++)
    if (jobs[i]->busy || (jobs[i]->accepted && !jobs[i]->answered_finally)) return false;
  return true;
}

struct users_figures users_take_figures(void) {
  struct users_figures taken = figures;
  figures.slowest_submission = 0;
  return taken;
}

/* ------------------------------------------------------------ table */

static void print_kind(const struct job_kind *kind, double now) {
  const struct kind_state *state = &states[kind - kinds];
  double *waits = calloc(n_jobs + 1, sizeof *waits), oldest = 0;
  size_t n_began = 0;
  unsigned accepted = 0, gave_up = 0;
  if (!waits) abort();
  for (size_t i = 0; i < n_jobs; i++) {
    const struct job *job = jobs[i];
    if (job->kind != kind) continue;
    accepted += job->accepted;
    gave_up += job->given_up;
    if (job->began_at) waits[n_began++] = job->began_at - job->first_at;
    if (job->accepted && !job->began_at) oldest = fmax(oldest, now - job->first_at);
  }
  gsl_sort(waits, 1, n_began);
  printf("%-8s %-8s %9u %8u %8u %7u %6zu %7.1f %7.1f %7.1f %7.1f %7.1f\n", kind->team,
         kind->class_name, state->submitted, accepted, state->refusals, gave_up, n_began,
         n_began ? gsl_stats_quantile_from_sorted_data(waits, 1, n_began, 0.5) : 0,
         n_began ? gsl_stats_quantile_from_sorted_data(waits, 1, n_began, 0.99) : 0,
         n_began ? waits[n_began - 1] : 0, oldest, state->longest_gap);
  free(waits);
}

void users_print_table(double lasted_s) {
  printf("%.0f s; waits from the first attempt to the first task, s\n", lasted_s);
  printf("%-8s %-8s %9s %8s %8s %7s %6s %7s %7s %7s %7s %7s\n", "team", "class", "submitted",
         "accepted", "refusals", "gave up", "began", "median", "99%", "most", "waiting", "gap");
  for (const struct job_kind *kind = kinds; kind->letter; kind++)
    print_kind(kind, tmx_clock_steady());
}
