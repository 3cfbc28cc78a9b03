/* The greedy round after the affinity draft: its order and its parts. See docs/design.md for what
 * was kept. */
#include "core/plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"

uint32_t tmx_zone_cap(const struct tmx_job_spec *spec, size_t zones) {
  if (spec->same_zone || spec->zone[0] || zones < 2) {
    return spec->spread ? (spec->tasks + 1) / 2 : spec->tasks;
  }
  uint32_t cap = spec->service ? (uint32_t)((spec->tasks + zones - 1) / zones) : spec->tasks;
  uint32_t half = (spec->tasks + 1) / 2; /* PROTOCOL: at most half, rounded up, in one zone */
  return spec->spread && half < cap ? half : cap;
}

uint32_t tmx_machine_cap(const struct tmx_job_spec *spec, uint32_t eligible) {
  if (!spec->service) return UINT32_MAX;
  if (eligible == 0 || eligible >= spec->tasks) return 1;
  return (spec->tasks + eligible - 1) / eligible;
}

bool tmx_type_allowed(const struct tmx_job_spec *spec, const char *type) {
  if (!spec->n_types) return true;
  for (size_t i = 0; i < spec->n_types; i++)
    if (!strcmp(spec->types[i], type)) return true;
  return false;
}

/* ------------------------------------------------------------ the order */

/* The place of an array in the order, lower first. What can still meet an aim comes before what
 * cannot, the least remaining work first, since that brings the most jobs home in time. */
static double order_of(const struct tmx_round *in, const struct tmx_plan_job *j) {
  const struct tmx_job_spec *spec = j->spec;
  double waited = in->wall - j->released, run = fmax(j->run_s, 1);
  uint32_t left = spec->tasks - j->n_done, waiting = left - j->n_placed;
  double work = (waiting + 0.5 * j->n_placed) * fmax(spec->cpus, 0.1) * run;
  return waited + run > j->aim_s ? 1e9 + work : work;
}

static int by_release(const void *a, const void *b) {
  const struct pj *x = *(struct pj *const *)a, *y = *(struct pj *const *)b;
  if (x->r.released != y->r.released) return x->r.released < y->r.released ? -1 : 1;
  return strcmp(x->r.id, y->r.id);
}

static int by_rank(const void *a, const void *b) {
  const struct pj *x = *(struct pj *const *)a, *y = *(struct pj *const *)b;
  int px = tmx_fit_standing(x), py = tmx_fit_standing(y);
  if (px != py) return py - px;
  if (x->r.priority != y->r.priority) return y->r.priority - x->r.priority;
  if (x->order != y->order) return x->order < y->order ? -1 : 1;
  return strcmp(x->r.id, y->r.id);
}

/* Replicas leave a machine that is to be returned, a few at a time, and only for room that is free
 * now where their image lies. */
static void move_services(struct round *r) {
  struct tmx_model *md = r->md;
  size_t moves = 0, replicas = 0;
  for (int pass = 0; pass < 2; pass++) {
    for (size_t i = 0; i < md->cap_m; i++) {
      struct pm *p = md->m[i];
      if (!p) continue;
      size_t n = p->r.n_tasks;
      for (size_t k = 0; k < n; k++) {
        struct tmx_plan_task *t = &p->r.tasks[k];
        struct pj *j = t->job >= 0 ? md->j[t->job] : NULL;
        if (!j || !j->r.spec->service) continue;
        replicas += pass == 0;
        if (!p->r.drain) continue;
        if (pass == 0) moves += t->stopping;
        if (pass == 0 || t->stopping || p->r.zone < 0 || !j->r.open) continue;
        if (moves >= TMX_MOVES_LEAST + (size_t)(TMX_MOVES_SHARE * (double)replicas)) return;
        tmx_fit_begin(r, j);
        tmx_step_touch_job(r, j);
        j->r.zone_live[p->r.zone]--;
        int to = tmx_fit_best(r, j, ANY, true);
        j->r.zone_live[p->r.zone]++;
        if (to < 0) continue;
        tmx_step_take(r, j, to, false);
        t = &p->r.tasks[k];
        tmx_step_emit(r, TMX_OPERATION_STOP, j, t->task, t->attempt)->reason = '1';
        moves++;
      }
    }
  }
}

/* ------------------------------------------------------------ the parts of a round */

static struct pj **sorted_jobs(const struct tmx_model *md,
                               int (*compare)(const void *, const void *)) {
  struct pj **jobs = calloc(md->n_open + 1, sizeof *jobs);
  if (!jobs) abort();
  for (size_t i = 0; i < md->n_open; i++) jobs[i] = md->open[i];
  qsort(jobs, md->n_open, sizeof *jobs, compare);
  return jobs;
}

/* Machines with room on its way. */
static void list_stopping(struct round *r) {
  for (size_t i = 0; i < r->md->cap_m; i++) {
    const struct pm *p = r->md->m[i];
    if (!p || p->r.scpus + p->r.smem <= EPS) continue;
    r->stopping = tmx_grow(r->stopping, &r->cap_stopping, r->n_stopping + 1, sizeof *r->stopping);
    r->stopping[r->n_stopping++] = (int)i;
  }
}

/* Prepares every job for this round. A guarantee covers the team's earliest unfinished jobs. */
static void prepare_jobs(const struct tmx_round *in, struct pj **by_age, size_t n) {
  struct tmx_usage asked[TMX_TEAMS_MAX] = {{0, 0}};
  for (size_t i = 0; i < n; i++) {
    struct pj *j = by_age[i];
    const struct tmx_job_spec *spec = j->r.spec;
    j->next_wait = 0;
    j->order = order_of(in, &j->r);
    j->guaranteed = false;
    if (j->r.team < 0) continue;
    const struct tmx_team_conf *t = &in->teams[j->r.team];
    struct tmx_usage *usage = &asked[j->r.team];
    uint32_t left = spec->tasks - j->r.n_done;
    usage->cpus += left * spec->cpus;
    usage->gpus += left * spec->gpus;
    j->guaranteed = t->cpus > 0 && usage->cpus <= t->cpus + EPS && usage->gpus <= t->gpus + EPS;
  }
}

static double waited(const struct round *r, const struct pj *j) {
  return r->in->wall - j->r.released;
}

static bool may_be_kept(const struct round *r, const struct pj *j, const struct group *g,
                        const struct pm *p) {
  if (!p->r.usable || p->r.drain || p->r.owner != r->in->self) return false;
  return tmx_fit_suits(g, j->r.spec) && (j->r.zone < 0 || p->r.zone == j->r.zone);
}

/* A task that is larger than what ends around it would never find room, as each end is filled at
 * once: nothing else is placed on the emptiest machine that suits it. Only the leader does so, and
 * on machines of its own part: it alone places there beside the owner. */
static void keep_machine(struct round *r, const struct pj *j) {
  struct pm *emptiest = NULL;
  if (!r->in->leading || r->n_kept == TMX_KEPT_MAX || j->r.retry_at > r->in->now) return;
  if (j->next_wait >= j->r.n_waits || !tmx_fit_quota(r, j)) return;
  for (size_t k = 0; k < r->md->n_groups; k++) {
    const struct group *g = &r->md->groups[k];
    r->visits += g->n;
    for (size_t i = 0; i < g->n; i++) {
      struct pm *p = r->md->m[g->slots[i]];
      if (!may_be_kept(r, j, g, p)) continue;
      if (!emptiest || p->r.cpus - p->r.ucpus > emptiest->r.cpus - emptiest->r.ucpus) emptiest = p;
    }
  }
  if (!emptiest) return;
  emptiest->r.usable = false;
  r->kept[r->n_kept++] = emptiest;
}

static bool is_listed(struct pj *const *jobs, size_t n, const struct pj *j) {
  for (size_t i = 0; i < n; i++)
    if (jobs[i]->r.team == j->r.team && jobs[i]->r.account == j->r.account) return true;
  return false;
}

/* One task of the oldest job that finds room, for each account whose turn it is. */
static uint32_t place_turns(struct round *r, struct pj **by_age, size_t n) {
  bool served[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{false}};
  struct pj *without[TMX_KEPT_MAX]; /* the first of each account that found no room */
  size_t n_without = 0;
  uint32_t placed = 0;
  if (r->in->turns.start_s <= 0) return 0;
  for (size_t k = 0; k < n && r->visits <= r->limit; k++) {
    struct pj *j = by_age[k];
    if (j->r.team < 0 || tmx_fit_standing(j) == 2) continue;
    size_t team = (size_t)j->r.team, account = (size_t)j->r.account;
    if (served[team][account] || !tmx_turn_due(&r->in->turns, team, account, waited(r, j)))
      continue;
    uint32_t got = tmx_place(r, j, 1);
    served[team][account] = got > 0;
    placed += got;
    if (!got && n_without < TMX_KEPT_MAX && !is_listed(without, n_without, j))
      without[n_without++] = j;
  }
  for (size_t k = 0; k < n_without; k++)
    if (!served[without[k]->r.team][without[k]->r.account]) keep_machine(r, without[k]);
  return placed;
}

/* Accounts take turns: first the oldest job of each, then the second of each. */
static int by_turn(const void *a, const void *b) {
  const struct pj *x = *(struct pj *const *)a, *y = *(struct pj *const *)b;
  if (x->turn != y->turn) return x->turn < y->turn ? -1 : 1;
  return by_release(a, b);
}

static void order_by_turn(const struct round *r, struct pj **jobs, size_t n) {
  uint32_t of_account[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{0}};
  if (r->in->turns.start_s <= 0) return;
  for (size_t i = 0; i < n; i++)
    jobs[i]->turn = jobs[i]->r.team < 0 ? 0 : of_account[jobs[i]->r.team][jobs[i]->r.account]++;
  qsort(jobs, n, sizeof *jobs, by_turn);
}

/* A bounded wait inside the order: a job that has waited long without a start gets one task ... */
static void place_first_tasks(struct round *r, struct pj **by_age, size_t n) {
  struct pj **begin = calloc(n + 1, sizeof *begin);
  size_t n_begin = 0;
  if (!begin) abort();
  for (size_t k = 0; k < n; k++) {
    struct pj *j = by_age[k];
    if (waited(r, j) < TMX_BEGIN_S || tmx_fit_standing(j) == 2) continue;
    if (!j->r.n_done && !j->r.n_placed) begin[n_begin++] = j;
  }
  order_by_turn(r, begin, n_begin);
  tmx_place_all(r, begin, n_begin, 1, &r->md->cut_oldest);
  free(begin);
}

/* ... and a share of the room goes to the jobs that are oldest, however large they are. */
static uint32_t place_lane(struct round *r, struct pj **by_age, size_t n) {
  struct tmx_model *md = r->md;
  uint32_t placed = 0;
  for (size_t k = 0; k < n && md->lane_credit >= 1 && r->visits <= r->limit; k++) {
    struct pj *j = by_age[k];
    if (waited(r, j) < TMX_BEGIN_S || tmx_fit_standing(j) == 2) continue;
    uint32_t got = tmx_place(r, j, (uint32_t)md->lane_credit);
    md->lane_credit -= got;
    placed += got;
  }
  return placed;
}

static void end_round(struct round *r) {
  for (size_t i = 0; i < r->n_kept; i++) r->kept[i]->r.usable = true;
  tmx_step_take_back(r);
  r->out->visits = r->visits;
  for (int k = 0; k < SETS; k++)
    for (size_t z = 0; z < TMX_ZONES_MAX; z++) free(r->sets[k].zone[z].c);
  free(r->undo);
  free(r->undo_j);
  free(r->marks);
  free(r->stopping);
}

void tmx_plan(struct tmx_model *md, const struct tmx_round *in, struct tmx_plan_output *out) {
  struct round r = {.md = md, .in = in, .out = out};
  size_t n = md->n_open, services = 0;
  memset(out, 0, sizeof *out);
  memcpy(r.usage, in->usage, sizeof r.usage);
  md->round++;
  list_stopping(&r);
  struct pj **by_age = sorted_jobs(md, by_release);
  prepare_jobs(in, by_age, n);
  struct pj **order = sorted_jobs(md, by_rank);
  while (services < n && tmx_fit_standing(order[services]) == 2) services++;
  r.limit = in->max_visits / 2;
  tmx_place_all(&r, order, services, UINT32_MAX, &md->cut_services);
  r.limit = r.visits + (in->max_visits - r.limit) / 2;
  uint32_t aside = place_turns(&r, by_age, n);
  place_first_tasks(&r, by_age, n);
  aside += place_lane(&r, by_age, n);
  r.limit = in->max_visits;
  uint32_t rest = tmx_place_all(&r, order + services, n - services, UINT32_MAX, &md->cut_arrays);
  md->lane_credit = fmin(md->lane_credit + TMX_LANE_SHARE * (rest + aside), TMX_PLAN_TASKS);
  if (in->leading && !out->unplaced && !out->cut) move_services(&r);
  end_round(&r);
  free(order);
  free(by_age);
}
