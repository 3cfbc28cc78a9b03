#include "planner/job_order.h"
#include "base/memory.h"
#include "planner/fit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* CPU seconds added to the sort key of late jobs, so that they come after all others. */
#define LATE_JOB_PENALTY 1e9
/* Minimum expected run time of a task in the sort key, s. */
#define RUN_TIME_MIN_S 1
/* Minimum CPUs of a task in the sort key. */
#define TASK_CPUS_MIN 0.1
/* Share of a placed task's work that is assumed to remain. */
#define PLACED_TASK_REMAINING_SHARE 0.5

double tmx_job_waited_s(const struct tmx_round_input *input, const struct planner_job *job) {
  return input->now_wall - job->record.released_at;
}

/* Returns the remaining work of the job in CPU seconds, by which jobs are sorted, lower first. The
 * least remaining work first lets the most jobs meet their completion targets. A late job, which
 * can no longer meet its target, gets a penalty and comes after all jobs that can. */
static double compute_sort_key(const struct tmx_round_input *input, const struct planner_job *job) {
  const struct tmx_plan_job *record = &job->record;
  double waited_s = tmx_job_waited_s(input, job),
         run_s = fmax(record->expected_run_s, RUN_TIME_MIN_S);
  uint32_t unfinished = record->spec->tasks - record->n_done;
  uint32_t waiting = unfinished - record->n_placed;
  double work = (waiting + PLACED_TASK_REMAINING_SHARE * record->n_placed) *
                fmax(record->spec->cpus, TASK_CPUS_MIN) * run_s;
  return waited_s + run_s > record->completion_target_s ? LATE_JOB_PENALTY + work : work;
}

static const struct planner_job *job_at(const void *element) {
  return *(struct planner_job *const *)element;
}

static int compare_by_release(const void *a, const void *b) {
  const struct planner_job *left = job_at(a), *right = job_at(b);
  if (left->record.released_at != right->record.released_at)
    return left->record.released_at < right->record.released_at ? -1 : 1;
  return strcmp(left->record.id, right->record.id);
}

static int compare_by_rank(const void *a, const void *b) {
  const struct planner_job *left = job_at(a), *right = job_at(b);
  int left_precedence = tmx_job_precedence(left), right_precedence = tmx_job_precedence(right);
  if (left_precedence != right_precedence) return right_precedence - left_precedence;
  if (left->record.priority != right->record.priority)
    return right->record.priority - left->record.priority;
  if (left->sort_key != right->sort_key) return left->sort_key < right->sort_key ? -1 : 1;
  return strcmp(left->record.id, right->record.id);
}

static int compare_by_rotation(const void *a, const void *b) {
  const struct planner_job *left = job_at(a), *right = job_at(b);
  if (left->older_in_account != right->older_in_account)
    return left->older_in_account < right->older_in_account ? -1 : 1;
  return compare_by_release(a, b);
}

static struct planner_job **sorted_jobs(const struct tmx_planner *planner,
                                        int (*compare)(const void *, const void *)) {
  struct planner_job **jobs = tmx_allocate(planner->n_open_jobs + 1, sizeof *jobs);
  for (size_t i = 0; i < planner->n_open_jobs; i++) jobs[i] = planner->open_jobs[i];
  qsort(jobs, planner->n_open_jobs, sizeof *jobs, compare);
  return jobs;
}

struct planner_job **tmx_job_order_by_release(const struct tmx_planner *planner) {
  return sorted_jobs(planner, compare_by_release);
}

struct planner_job **tmx_job_order_by_rank(const struct tmx_planner *planner) {
  return sorted_jobs(planner, compare_by_rank);
}

void tmx_job_order_prepare(const struct tmx_round_input *input, struct planner_job **by_release,
                           size_t count) {
  struct tmx_usage requested_by_team[TMX_TEAMS_MAX] = {{0, 0}};
  for (size_t i = 0; i < count; i++) {
    struct planner_job *job = by_release[i];
    const struct tmx_job_spec *spec = job->record.spec;
    job->next_waiting = 0;
    job->sort_key = compute_sort_key(input, job);
    job->guaranteed = false;
    if (job->record.team < 0) continue;
    const struct tmx_team_settings *team = &input->teams[job->record.team];
    struct tmx_usage *requested = &requested_by_team[job->record.team];
    uint32_t unfinished = spec->tasks - job->record.n_done;
    requested->cpus += unfinished * spec->cpus;
    requested->gpus += unfinished * spec->gpus;
    job->guaranteed = team->cpus > 0 && requested->cpus <= team->cpus + RESOURCE_EPSILON &&
                      requested->gpus <= team->gpus + RESOURCE_EPSILON;
  }
}

void tmx_job_order_sort_by_rotation(const struct round *round, struct planner_job **jobs,
                                    size_t count) {
  uint32_t jobs_of_account[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{0}};
  if (round->input->start_rotation.start_s <= 0) return;
  for (size_t i = 0; i < count; i++) {
    const struct tmx_plan_job *record = &jobs[i]->record;
    jobs[i]->older_in_account =
        record->team < 0 ? 0 : jobs_of_account[record->team][record->account]++;
  }
  qsort(jobs, count, sizeof *jobs, compare_by_rotation);
}
