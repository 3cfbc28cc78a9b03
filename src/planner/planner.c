/* The greedy round after the affinity draft: its order and its parts. See docs/design.md for what
 * was kept. */
#include "planner/planner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "planner/round.h"
#include "base/memory.h"

/* ------------------------------------------------------------ the order */

/* The place of an array in the order, lower first. What can still meet an aim comes before what
 * cannot, the least remaining work first, since that brings the most jobs home in time. */
static double scheduling_order(const struct tmx_round_input *input,
                               const struct tmx_plan_job *job) {
  const struct tmx_job_spec *spec = job->spec;
  double waited = input->now_wall - job->released_at, run = fmax(job->run_s, 1);
  uint32_t left = spec->tasks - job->n_done, waiting = left - job->n_placed;
  double work = (waiting + 0.5 * job->n_placed) * fmax(spec->cpus, 0.1) * run;
  return waited + run > job->target_s ? 1e9 + work : work;
}

static int compare_by_release(const void *a, const void *b) {
  const struct planner_job *left = *(struct planner_job *const *)a,
                           *right = *(struct planner_job *const *)b;
  if (left->record.released_at != right->record.released_at)
    return left->record.released_at < right->record.released_at ? -1 : 1;
  return strcmp(left->record.id, right->record.id);
}

static int compare_by_rank(const void *a, const void *b) {
  const struct planner_job *left = *(struct planner_job *const *)a,
                           *right = *(struct planner_job *const *)b;
  int px = tmx_fit_precedence(left), py = tmx_fit_precedence(right);
  if (px != py) return py - px;
  if (left->record.priority != right->record.priority)
    return right->record.priority - left->record.priority;
  if (left->order != right->order) return left->order < right->order ? -1 : 1;
  return strcmp(left->record.id, right->record.id);
}

/* Replicas leave a machine that is to be returned, a few at a time, and only for room that is free
 * now where their image lies. */
static void move_services(struct round *round) {
  struct tmx_planner *planner = round->planner;
  size_t moves = 0, replicas = 0;
  for (int pass = 0; pass < 2; pass++) {
    for (size_t i = 0; i < planner->cap_machines; i++) {
      struct planner_machine *machine = planner->machines[i];
      if (!machine) continue;
      size_t n = machine->record.n_tasks;
      for (size_t k = 0; k < n; k++) {
        struct tmx_plan_task *task = &machine->record.tasks[k];
        struct planner_job *job = task->job >= 0 ? planner->jobs[task->job] : NULL;
        if (!job || !job->record.spec->service) continue;
        replicas += pass == 0;
        if (!machine->record.draining) continue;
        if (pass == 0) moves += task->stopping;
        if (pass == 0 || task->stopping || machine->record.zone < 0 || !job->record.open) continue;
        if (moves >= TMX_MOVES_MIN + (size_t)(TMX_MOVES_SHARE * (double)replicas)) return;
        tmx_fit_begin_job(round, job);
        tmx_round_touch_job(round, job);
        job->record.placed_in_zone[machine->record.zone]--;
        int to = tmx_fit_best_machine(round, job, POOL_ANY_SHARD, true);
        job->record.placed_in_zone[machine->record.zone]++;
        if (to < 0) continue;
        tmx_round_reserve(round, job, to, false);
        task = &machine->record.tasks[k];
        tmx_round_emit(round, TMX_OPERATION_STOP, job, task->task, task->attempt)->reason = '1';
        moves++;
      }
    }
  }
}

/* ------------------------------------------------------------ the parts of a round */

static struct planner_job **sorted_jobs(const struct tmx_planner *planner,
                                        int (*compare)(const void *, const void *)) {
  struct planner_job **jobs = tmx_allocate(planner->n_open_jobs + 1, sizeof *jobs);
  for (size_t i = 0; i < planner->n_open_jobs; i++) jobs[i] = planner->open_jobs[i];
  qsort(jobs, planner->n_open_jobs, sizeof *jobs, compare);
  return jobs;
}

/* Machines with room on its way. */
static void list_releasing_machines(struct round *round) {
  for (size_t i = 0; i < round->planner->cap_machines; i++) {
    const struct planner_machine *machine = round->planner->machines[i];
    if (!machine ||
        machine->record.releasing_cpus + machine->record.releasing_mem_gb <= RESOURCE_EPSILON)
      continue;
    round->releasing_machines =
        tmx_grow(round->releasing_machines, &round->cap_releasing_machines,
                 round->n_releasing_machines + 1, sizeof *round->releasing_machines);
    round->releasing_machines[round->n_releasing_machines++] = (int)i;
  }
}

/* Prepares every job for this round. A guarantee covers the team's earliest unfinished jobs. */
static void prepare_jobs(const struct tmx_round_input *input, struct planner_job **by_age,
                         size_t n) {
  struct tmx_usage asked[TMX_TEAMS_MAX] = {{0, 0}};
  for (size_t i = 0; i < n; i++) {
    struct planner_job *job = by_age[i];
    const struct tmx_job_spec *spec = job->record.spec;
    job->next_waiting = 0;
    job->order = scheduling_order(input, &job->record);
    job->guaranteed = false;
    if (job->record.team < 0) continue;
    const struct tmx_team_settings *team = &input->teams[job->record.team];
    struct tmx_usage *usage = &asked[job->record.team];
    uint32_t left = spec->tasks - job->record.n_done;
    usage->cpus += left * spec->cpus;
    usage->gpus += left * spec->gpus;
    job->guaranteed = team->cpus > 0 && usage->cpus <= team->cpus + RESOURCE_EPSILON &&
                      usage->gpus <= team->gpus + RESOURCE_EPSILON;
  }
}

static double waited_s(const struct round *round, const struct planner_job *job) {
  return round->input->now_wall - job->record.released_at;
}

static bool may_be_reserved(const struct round *round, const struct planner_job *job,
                            const struct machine_group *group,
                            const struct planner_machine *machine) {
  if (!machine->record.usable || machine->record.draining ||
      machine->record.owner != round->input->self_member)
    return false;
  return tmx_fit_group_is_eligible(group, job->record.spec) &&
         (job->record.zone < 0 || machine->record.zone == job->record.zone);
}

/* A task that is larger than what ends around it would never find room, as each end is filled at
 * once: nothing else is placed on the emptiest machine that suits it. Only the leader does so, and
 * on machines of its own part: it alone places there beside the owner. */
static void reserve_machine(struct round *round, const struct planner_job *job) {
  struct planner_machine *emptiest = NULL;
  if (!round->input->leading || round->n_kept_machines == TMX_RESERVED_MACHINES_MAX ||
      job->record.retry_at > round->input->now_steady)
    return;
  if (job->next_waiting >= job->record.n_waiting || !tmx_fit_within_quota(round, job)) return;
  for (size_t k = 0; k < round->planner->n_groups; k++) {
    const struct machine_group *group = &round->planner->groups[k];
    round->visited += group->n;
    for (size_t i = 0; i < group->n; i++) {
      struct planner_machine *machine = round->planner->machines[group->slots[i]];
      if (!may_be_reserved(round, job, group, machine)) continue;
      if (!emptiest || machine->record.cpus - machine->record.booked_cpus >
                           emptiest->record.cpus - emptiest->record.booked_cpus)
        emptiest = machine;
    }
  }
  if (!emptiest) return;
  emptiest->record.usable = false;
  round->kept_machines[round->n_kept_machines++] = emptiest;
}

static bool is_listed(struct planner_job *const *jobs, size_t n, const struct planner_job *job) {
  for (size_t i = 0; i < n; i++)
    if (jobs[i]->record.team == job->record.team && jobs[i]->record.account == job->record.account)
      return true;
  return false;
}

/* One task of the oldest job that finds room, for each account whose turn it is. */
static uint32_t place_by_rotation(struct round *round, struct planner_job **by_age, size_t n) {
  bool served[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{false}};
  struct planner_job
      *without[TMX_RESERVED_MACHINES_MAX]; /* the first of each account that found no room */
  size_t n_without = 0;
  uint32_t placed = 0;
  if (round->input->turns.start_s <= 0) return 0;
  for (size_t k = 0; k < n && round->visited <= round->visit_limit; k++) {
    struct planner_job *job = by_age[k];
    if (job->record.team < 0 || tmx_fit_precedence(job) == 2) continue;
    size_t team = (size_t)job->record.team, account = (size_t)job->record.account;
    if (served[team][account] ||
        !tmx_turn_due(&round->input->turns, team, account, waited_s(round, job)))
      continue;
    uint32_t got = tmx_place_job(round, job, 1);
    served[team][account] = got > 0;
    placed += got;
    if (!got && n_without < TMX_RESERVED_MACHINES_MAX && !is_listed(without, n_without, job))
      without[n_without++] = job;
  }
  for (size_t k = 0; k < n_without; k++)
    if (!served[without[k]->record.team][without[k]->record.account])
      reserve_machine(round, without[k]);
  return placed;
}

/* Accounts take turns: first the oldest job of each, then the second of each. */
static int compare_by_rotation(const void *a, const void *b) {
  const struct planner_job *left = *(struct planner_job *const *)a,
                           *right = *(struct planner_job *const *)b;
  if (left->older_in_account != right->older_in_account)
    return left->older_in_account < right->older_in_account ? -1 : 1;
  return compare_by_release(a, b);
}

static void order_by_rotation(const struct round *round, struct planner_job **jobs, size_t n) {
  uint32_t of_account[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{0}};
  if (round->input->turns.start_s <= 0) return;
  for (size_t i = 0; i < n; i++)
    jobs[i]->older_in_account =
        jobs[i]->record.team < 0 ? 0 : of_account[jobs[i]->record.team][jobs[i]->record.account]++;
  qsort(jobs, n, sizeof *jobs, compare_by_rotation);
}

/* A bounded wait inside the order: a job that has waited long without a start gets one task ... */
static void place_first_tasks(struct round *round, struct planner_job **by_age, size_t n) {
  struct planner_job **begin = calloc(n + 1, sizeof *begin);
  size_t n_begin = 0;
  if (!begin) abort();
  for (size_t k = 0; k < n; k++) {
    struct planner_job *job = by_age[k];
    if (waited_s(round, job) < TMX_AGED_JOB_S || tmx_fit_precedence(job) == 2) continue;
    if (!job->record.n_done && !job->record.n_placed) begin[n_begin++] = job;
  }
  order_by_rotation(round, begin, n_begin);
  tmx_place_jobs(round, begin, n_begin, 1, &round->planner->resume_oldest);
  free(begin);
}

/* ... and a share of the room goes to the jobs that are oldest, however large they are. */
static uint32_t place_aged_jobs(struct round *round, struct planner_job **by_age, size_t n) {
  struct tmx_planner *planner = round->planner;
  uint32_t placed = 0;
  for (size_t k = 0; k < n && planner->aged_job_credit >= 1 && round->visited <= round->visit_limit;
       k++) {
    struct planner_job *job = by_age[k];
    if (waited_s(round, job) < TMX_AGED_JOB_S || tmx_fit_precedence(job) == 2) continue;
    uint32_t got = tmx_place_job(round, job, (uint32_t)planner->aged_job_credit);
    planner->aged_job_credit -= got;
    placed += got;
  }
  return placed;
}

static void end_round(struct round *round) {
  for (size_t i = 0; i < round->n_kept_machines; i++) round->kept_machines[i]->record.usable = true;
  tmx_round_undo(round);
  round->output->visits = round->visited;
  for (int k = 0; k < POOL_COUNT; k++)
    for (size_t z = 0; z < TMX_ZONES_MAX; z++)
      free(round->candidate_sets[k].zone_heaps[z].candidates);
  free(round->touched_machines);
  free(round->touched_jobs);
  free(round->preemptions);
  free(round->releasing_machines);
}

void tmx_planner_run_round(struct tmx_planner *planner, const struct tmx_round_input *input,
                           struct tmx_round_output *output) {
  struct round round = {.planner = planner, .input = input, .output = output};
  size_t n = planner->n_open_jobs, services = 0;
  memset(output, 0, sizeof *output);
  memcpy(round.usage, input->usage, sizeof round.usage);
  planner->round_number++;
  list_releasing_machines(&round);
  struct planner_job **by_age = sorted_jobs(planner, compare_by_release);
  prepare_jobs(input, by_age, n);
  struct planner_job **order = sorted_jobs(planner, compare_by_rank);
  while (services < n && tmx_fit_precedence(order[services]) == 2) services++;
  round.visit_limit = input->max_visits / 2;
  tmx_place_jobs(&round, order, services, UINT32_MAX, &planner->resume_services);
  round.visit_limit = round.visited + (input->max_visits - round.visit_limit) / 2;
  uint32_t aside = place_by_rotation(&round, by_age, n);
  place_first_tasks(&round, by_age, n);
  aside += place_aged_jobs(&round, by_age, n);
  round.visit_limit = input->max_visits;
  uint32_t rest =
      tmx_place_jobs(&round, order + services, n - services, UINT32_MAX, &planner->resume_arrays);
  planner->aged_job_credit =
      fmin(planner->aged_job_credit + TMX_AGED_JOB_SHARE * (rest + aside), TMX_PLAN_TASKS);
  if (input->leading && !output->unplaced && !output->truncated) move_services(&round);
  end_round(&round);
  free(order);
  free(by_age);
}
