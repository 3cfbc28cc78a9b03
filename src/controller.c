/* One controller: routes requests, makes rounds, keeps the view. The loop's thread owns all
 * state; the planner's thread gets a copy under a short lock, plans without it and hands the
 * result back. */
#include "controller.h"

#include <gsl/gsl_rng.h>
#include <http_parser.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "net/log.h"
#include "tmx/wire.h"

/* ------------------------------------------------------------ random numbers */

static gsl_rng *rng(void) {
  static gsl_rng *g;
  if (!g) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    g = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(
        g, (unsigned long)t.tv_nsec ^ ((unsigned long)getpid() << 20) ^ (unsigned long)t.tv_sec);
  }
  return g;
}
int tmx_retry_after(void) {
  return TMX_RETRY_AFTER_MIN + (int)gsl_rng_uniform_int(rng(), TMX_RETRY_AFTER_SPAN);
}

/* ------------------------------------------------------------ planner thread */

struct tmx_planner {
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t more;
  struct tmx_plan_input *in;
  struct tmx_plan_output out;
  bool ready, quit;
  ev_async done;
  struct tmx_ctl *c;
};

static void *planner_main(void *arg) {
  struct tmx_planner *p = arg;
  pthread_mutex_lock(&p->lock);
  for (;;) {
    while (!p->in && !p->quit) pthread_cond_wait(&p->more, &p->lock);
    if (p->quit) break;
    struct tmx_plan_input *in = p->in;
    p->in = NULL;
    pthread_mutex_unlock(&p->lock);
    struct tmx_plan_output out;
    tmx_plan(in, &out);
    tmx_plan_input_free(in);
    pthread_mutex_lock(&p->lock);
    p->out = out;
    p->ready = true;
    ev_async_send(p->c->loop, &p->done);
  }
  pthread_mutex_unlock(&p->lock);
  return NULL;
}

static void on_planned(struct ev_loop *l, ev_async *w, int ev);

static struct tmx_planner *planner_new(struct tmx_ctl *c) {
  struct tmx_planner *p = calloc(1, sizeof *p);
  pthread_attr_t a;
  if (!p) abort();
  p->c = c;
  pthread_mutex_init(&p->lock, NULL);
  pthread_cond_init(&p->more, NULL);
  ev_async_init(&p->done, on_planned);
  p->done.data = p;
  ev_async_start(c->loop, &p->done);
  pthread_attr_init(&a);
  pthread_attr_setstacksize(&a, 512 * 1024); /* memory is short; the round recurses nowhere */
  if (pthread_create(&p->thread, &a, planner_main, p)) abort();
  pthread_attr_destroy(&a);
  return p;
}

static void planner_free(struct tmx_planner *p) {
  pthread_mutex_lock(&p->lock);
  p->quit = true;
  pthread_cond_signal(&p->more);
  pthread_mutex_unlock(&p->lock);
  pthread_join(p->thread, NULL);
  ev_async_stop(p->c->loop, &p->done);
  if (p->in) tmx_plan_input_free(p->in);
  if (p->ready) free(p->out.ops);
  pthread_cond_destroy(&p->more);
  pthread_mutex_destroy(&p->lock);
  free(p);
}

/* ------------------------------------------------------------ entitlement */

bool tmx_ctl_fresh(const struct tmx_ctl *c) {
  double bound = c->set.cancel_s - c->set.lease_s - TMX_FRESH_MARGIN_S;
  if (bound < 0.5) bound = 0.5;
  double at = tmx_link_confirmed(c->link);
  return c->rep.loaded && at > 0 && tmx_now() - at < bound;
}

/* The state service answers others but not this controller: others should do the work. When it
 * answers nobody, everybody stays at work as far as freshness allows. */
bool tmx_ctl_cut_off(const struct tmx_ctl *c) {
  double at = tmx_link_confirmed(c->link);
  if (c->rep.loaded && tmx_now() - at < TMX_STATE_LOST_S) return false;
  return tmx_peers_state_age(c->peers) < TMX_STATE_LOST_S / 2;
}

/* Users are sent elsewhere sooner than workers: nothing runs on for them here. */
static bool ready(const struct tmx_ctl *c) {
  double at = tmx_link_confirmed(c->link);
  if (!tmx_ctl_fresh(c) || tmx_ctl_cut_off(c)) return false;
  return tmx_now() - at < TMX_STATE_LOST_S || tmx_peers_any(c->peers);
}

uint64_t tmx_ctl_token(const struct tmx_ctl *c, uint32_t bump) {
  return (c->rep.view.term << TMX_BUMP_BITS) + bump;
}

/* ------------------------------------------------------------ view */

static void on_view(void *arg, int res, uint64_t rev) {
  struct tmx_ctl *c = arg;
  (void)res;
  (void)rev;
  c->view_busy = false;
}

static void commit_view(struct tmx_ctl *c, const struct tmx_view *new_view) {
  struct tmx_txn t = {0};
  struct tmx_buf b = {0};
  struct tmx_view copy = *new_view, *v = &copy;
  tmx_txn_if(&t, TMX_K_VIEW, c->rep.view.stamp);
  tmx_view_encode(&b, v);
  /* a value is bounded: the oldest exceptions go, their machines fall back to the hash */
  while (b.n > c->set.value_kb * 1024 * 0.8 && v->n_exceptions) {
    size_t cut = v->n_exceptions / 4 + 1;
    v->exceptions += cut;
    v->n_exceptions -= cut;
    b.n = 0;
    tmx_view_encode(&b, v);
  }
  tmx_txn_put(&t, TMX_K_VIEW, &b, 0);
  tmx_txn_head(&t, c->set.node);
  tmx_buf_free(&b);
  c->view_at = tmx_now();
  c->view_busy = tmx_link_commit(c->link, &t, true, on_view, c);
}

void tmx_ctl_take(struct tmx_ctl *c, const char *const *machines, size_t n) {
  if (c->view_busy || !tmx_link_member(c->link) || tmx_now() - c->view_at < TMX_VIEW_SPACING_S)
    return;
  struct tmx_view v = c->rep.view;
  struct tmx_exception *e = calloc(v.n_exceptions + n, sizeof *e);
  if (!e) abort();
  size_t at = 0;
  for (size_t i = 0; i < v.n_exceptions; i++) {
    const char *m = v.exceptions[i].machine;
    bool stays = tmx_machine_find(&c->rep, m) != NULL;
    for (size_t k = 0; stays && k < n; k++) stays = strcmp(m, machines[k]) != 0;
    if (stays) e[at++] = v.exceptions[i];
  }
  for (size_t k = 0; k < n; k++, at++) {
    snprintf(e[at].machine, sizeof e[at].machine, "%s", machines[k]);
    snprintf(e[at].node, sizeof e[at].node, "%s", c->set.node);
    tmx_log(TMX_INFO, "view: taking %s, which cannot reach its owner", machines[k]);
  }
  v.exceptions = e;
  v.n_exceptions = at;
  v.term++;
  commit_view(c, &v);
  free(e);
}

/* The leader keeps the members equal to the registered runs. Refused and silent peers are
 * left out early; tokens make it safe to be wrong about them. */
static void view_step(struct tmx_ctl *c) {
  struct tmx_replica *r = &c->rep;
  double now = tmx_now();
  if (!tmx_link_inc(c->link) || !r->loaded || c->view_busy || now - c->view_at < TMX_VIEW_SPACING_S)
    return;
  if (!r->leader_stamp || strcmp(r->leader, c->set.node) || r->leader_inc != tmx_link_inc(c->link))
    return;
  struct tmx_view v = {.term = r->view.term + 1};
  for (size_t i = 0; i < r->n_nodes; i++) {
    const struct tmx_member *n = &r->nodes[i];
    if (strcmp(n->name, c->set.node) && tmx_peers_refused(c->peers, n->name)) continue;
    v.members[v.n_members++] = *n;
  }
  bool same = v.n_members == r->view.n_members;
  for (size_t i = 0; same && i < v.n_members; i++) {
    const struct tmx_member *m = tmx_member_find(r, v.members[i].name);
    same = m && m->inc == v.members[i].inc;
  }
  if (same) return;
  v.exceptions = calloc(r->view.n_exceptions + 1, sizeof *v.exceptions);
  if (!v.exceptions) abort();
  for (size_t i = 0; i < r->view.n_exceptions; i++)
    for (size_t k = 0; k < v.n_members; k++)
      if (!strcmp(v.members[k].name, r->view.exceptions[i].node) &&
          tmx_machine_find(r, r->view.exceptions[i].machine))
        v.exceptions[v.n_exceptions++] = r->view.exceptions[i];
  tmx_log(TMX_INFO, "view: term %llu with %zu members", (unsigned long long)v.term, v.n_members);
  commit_view(c, &v);
  free(v.exceptions);
}

/* ------------------------------------------------------------ rounds */

/* What reports proved when the round began. The plan gives away the room of these attempts, so
 * the very same ends go into its batch, before its placements. */
struct ends {
  struct tmx_op ops[TMX_ENDS_ROUND];
  size_t n;
};

static int member_index(const struct tmx_replica *r, const char *name) {
  for (size_t i = 0; name && i < r->view.n_members; i++)
    if (!strcmp(r->view.members[i].name, name)) return (int)i;
  return -1;
}

static struct tmx_task *task_of(const struct tmx_replica *r, const struct tmx_op *o) {
  struct tmx_job *j = tmx_job_find(r, o->job);
  return j && j->tasks && o->task < j->spec.tasks ? &j->tasks[o->task] : NULL;
}

/* The place of an array in the order, lower first. What can still meet an aim comes before what
 * cannot, the least remaining work first, since that brings the most jobs home in time; what is
 * long overdue goes first again, so that nothing starves. */
static double order_of(const struct tmx_ctl *c, const struct tmx_job *j, double wall) {
  const struct tmx_spec *s = &j->spec;
  double waited = wall - j->submitted, last = 0, run = fmax(s->estimate_s, 1);
  uint32_t left = s->tasks - j->n_done, waiting = left - j->n_placed;
  double work = (waiting + 0.5 * j->n_placed) * fmax(s->cpus, 0.1) * run;
  for (size_t i = 0; i < c->set.n_objectives; i++)
    if (!strcmp(c->set.objectives[i].class_name, s->class) &&
        !strcmp(c->set.objectives[i].kind, "finished"))
      last = fmax(last, c->set.objectives[i].within_s);
  if (s->deadline_s > last) last = s->deadline_s;
  if (last <= 0) last = TMX_NO_AIM_S;
  if (waited > TMX_STARVED * last) return -1e9 + j->submitted;
  if (waited + run > last) return 1e9 + work;
  return work;
}

/* How long a start may take: the class's own aim, or a plain wait. */
static double patience_of(const struct tmx_ctl *c, const struct tmx_job *j) {
  for (size_t i = 0; i < c->set.n_objectives; i++)
    if (!strcmp(c->set.objectives[i].class_name, j->spec.class) &&
        !strcmp(c->set.objectives[i].kind, "wait") && c->set.objectives[i].within_s > 0)
      return c->set.objectives[i].within_s;
  return TMX_PATIENCE_S;
}

static int by_submission(const void *a, const void *b) {
  const struct tmx_job *x = *(struct tmx_job *const *)a, *y = *(struct tmx_job *const *)b;
  if (x->submitted != y->submitted) return x->submitted < y->submitted ? -1 : 1;
  return strcmp(x->id, y->id);
}

static struct tmx_plan_input *snapshot(struct tmx_ctl *c, const struct ends *ends,
                                       size_t *waiting) {
  struct tmx_replica *r = &c->rep;
  double now = tmx_now(), wall = tmx_wall();
  struct tmx_plan_input *in = calloc(1, sizeof *in);
  if (!in) abort();
  *waiting = 0;
  in->head = r->head;
  in->rev = r->rev;
  in->self = member_index(r, c->set.node);
  in->leading = tmx_link_leading(c->link);
  in->n_zones = c->set.n_zones;
  in->grace = TMX_LEADER_GRACE_S;
  in->n_teams = c->set.n_teams;
  memcpy(in->teams, c->set.teams, sizeof in->teams);
  memcpy(in->usage, r->usage, sizeof in->usage);
  in->max_ops = TMX_PLAN_TASKS;

  size_t n_m = HASH_COUNT(r->machines), n_j = HASH_COUNT(r->jobs), n_run = 0;
  in->machines = calloc(n_m + 1, sizeof *in->machines);
  struct tmx_job **open = calloc(n_j + 1, sizeof *open);
  size_t n_open = 0;
  struct tmx_machine *m, *mt;
  struct tmx_job *j, *jt;
  if (!in->machines || !open) abort();
  for (size_t i = 0; i < ends->n; i++) {
    struct tmx_task *t = task_of(r, &ends->ops[i]);
    t->ending = true;
    if (t->job->team < 0) continue;
    in->usage[t->job->team].cpus -= t->job->spec.cpus;
    in->usage[t->job->team].gpus -= t->job->spec.gpus;
  }
  HASH_ITER(hh, r->machines, m, mt) {
    struct tmx_plan_machine *p = &in->machines[in->n_machines];
    const struct tmx_type *ty = tmx_cloud_type(c->cloud, m->type);
    if (!m->known) continue;
    m->plan_index = (int)in->n_machines++;
    memcpy(p->id, m->id, sizeof p->id);
    memcpy(p->type, m->type, sizeof p->type);
    p->zone = m->zone;
    p->spot = m->spot;
    p->now = now;
    p->drain = m->drain;
    p->owner = member_index(r, tmx_owner_of(r, m->id));
    if (ty) {
      p->cpus = ty->cpus;
      p->gpus = ty->gpus;
      p->mem = ty->mem;
      p->fetch = ty->fetch;
    }
    struct tmx_health h = tmx_workers_health(c->workers, m->id);
    p->usable = ty && !m->drain && h.age < TMX_HEARD_S && !h.notice &&
                !(m->errors >= TMX_SICK_ERRORS && m->error_two);
    p->ucpus = m->cpus;
    p->ugpus = m->gpus;
    p->umem = m->mem;
    n_run += m->n_tasks;
    for (struct tmx_task *t = m->tasks; t; t = t->next) {
      const struct tmx_spec *s = &t->job->spec;
      if (t->ending) {
        p->ucpus -= s->cpus;
        p->ugpus -= s->gpus;
        p->umem -= s->mem;
      } else if (t->stop || t->job->fin) {
        p->scpus += s->cpus;
        p->sgpus += s->gpus;
        p->smem += s->mem;
      }
    }
    for (size_t i = 0; i < m->n_images; i++) p->images[p->n_images++] = m->images[i];
  }
  HASH_ITER(hh, r->jobs, j, jt) {
    j->plan_index = -1;
    if (!j->fin || j->n_placed) open[n_open++] = j;
  }
  qsort(open, n_open, sizeof *open, by_submission);
  in->jobs = calloc(n_open + 1, sizeof *in->jobs);
  in->running = calloc(n_run + 1, sizeof *in->running);
  if (!in->jobs || !in->running) abort();
  struct tmx_usage asked[TMX_TEAMS_MAX] = {{0, 0}};
  for (size_t i = 0; i < n_open; i++) {
    j = open[i];
    struct tmx_plan_job *p = &in->jobs[in->n_jobs];
    j->plan_index = (int)in->n_jobs++;
    memcpy(p->id, j->id, sizeof p->id);
    struct tmx_spec *copy = malloc(sizeof *copy);
    if (!copy) abort();
    *copy = j->spec;
    copy->patience_s = patience_of(c, j);
    p->spec = copy;
    p->team = j->team;
    p->planner = member_index(r, tmx_planner_of(r, j->id));
    p->waited = now - j->loaded_at;
    p->order = order_of(c, j, wall);
    if (j->team >= 0 && !j->fin) {
      const struct tmx_team_conf *t = &c->set.teams[j->team];
      uint32_t left = j->spec.tasks - j->n_done;
      asked[j->team].cpus += left * j->spec.cpus;
      asked[j->team].gpus += left * j->spec.gpus;
      p->guaranteed = t->cpus > 0 && asked[j->team].cpus <= t->cpus + 1e-6 &&
                      asked[j->team].gpus <= t->gpus + 1e-6;
    }
    memcpy(p->avoid, j->bad_machine, sizeof p->avoid);
    uint32_t cap = j->fin ? 0 : j->spec.tasks - j->n_done - j->n_placed;
    if (cap > TMX_PLAN_TASKS) cap = TMX_PLAN_TASKS;
    p->waits = calloc(cap + 1, sizeof *p->waits);
    p->live = calloc(j->n_placed + cap + 1, sizeof *p->live);
    if (!p->waits || !p->live) abort();
    if (cap && j->retry_at <= now) {
      for (uint32_t k = j->first_wait; k < j->spec.tasks && p->n_waits < cap; k++) {
        const struct tmx_task *t = &j->tasks[k];
        if (t->state != TMX_WAITING) continue;
        if (!p->n_waits) j->first_wait = k;
        p->waits[p->n_waits++] = (struct tmx_plan_wait){k, t->attempt + 1};
      }
    } else if (cap) {
      tmx_ctl_kick_in(c, j->retry_at - now + 0.05);
    }
    *waiting += p->n_waits;
  }
  HASH_ITER(hh, r->machines, m, mt) {
    if (!m->known) continue;
    for (struct tmx_task *t = m->tasks; t; t = t->next) {
      if (t->ending || t->job->plan_index < 0) continue;
      struct tmx_plan_job *p = &in->jobs[t->job->plan_index];
      p->live[p->n_live++] = m->plan_index;
      if (m->zone >= 0) p->zone_live[m->zone]++;
      double ran = now - t->placed_at;
      const struct tmx_spec *s = &t->job->spec;
      if (s->checkpoint_s > 0) ran = s->save_s + 1; /* it saves before it goes */
      in->running[in->n_running++] = (struct tmx_plan_running){
          m->plan_index, t->job->plan_index,    tmx_task_index(t), t->attempt,
          ran,           t->stop || t->job->fin};
    }
  }
  for (size_t i = 0; i < ends->n; i++) task_of(r, &ends->ops[i])->ending = false;
  free(open);
  return in;
}

static void round_timer(struct tmx_ctl *c, double after) {
  if (ev_is_active(&c->round) && ev_timer_remaining(c->loop, &c->round) <= after) return;
  ev_timer_stop(c->loop, &c->round);
  ev_timer_set(&c->round, after > 0.0005 ? after : 0.0005, 0);
  ev_timer_start(c->loop, &c->round);
}
void tmx_ctl_kick_in(struct tmx_ctl *c, double s) {
  double spaced = c->round_at + TMX_ROUND_SPACING_S - tmx_now();
  round_timer(c, s > spaced ? s : spaced);
}
void tmx_ctl_kick(struct tmx_ctl *c) { tmx_ctl_kick_in(c, 0); }

static void on_batch(void *arg, int res, uint64_t rev) {
  struct tmx_ctl *c = arg;
  c->round_busy = false;
  if (res == TMX_TXN_OK) {
    c->wait_rev = rev; /* the next round needs to see this one */
    c->wait_rev_at = tmx_now();
    tmx_ctl_kick(c);
  } else {
    if (tmx_log_on(TMX_DEBUG)) tmx_log(TMX_DEBUG, "round: not committed (%d)", res);
    tmx_ctl_kick_in(c, res == TMX_TXN_CONFLICT ? 0.02 : TMX_STATE_RETRY_S);
  }
}

/* Puts the batch together within the limits of values and transactions, and sends it. What
 * does not fit is found again by the next round. */
static void commit_round(struct tmx_ctl *c, const struct tmx_plan_output *plan) {
  const struct ends *ends = c->ends;
  struct tmx_replica *r = &c->rep;
  struct tmx_txn t = {0};
  size_t value_max = (size_t)(c->set.value_kb * 1024 * 0.85), bytes = 0, lines = 0;
  int spare = c->set.txn_ops - 1;
  char key[TMX_KEY_MAX + 1];
  struct tmx_buf v = {0};
  double budget = tmx_link_budget(c->link);
  if (budget < spare + 1) spare = (int)floor(budget) - 1;
  if (spare < 1) {
    c->round_busy = false;
    double rate = c->set.write_rps * TMX_WRITE_SHARE / (double)(c->set.n_peers + 1);
    tmx_ctl_kick_in(c, (2.05 - budget) / rate);
    return;
  }
  tmx_txn_if(&t, TMX_K_HEAD, plan ? plan->head : r->head);
  int keep = spare > 3 ? spare / 2 : 1; /* at least one value goes to the batch */

  struct tmx_worker_facts facts[8];
  size_t n_f = tmx_workers_unregistered(c->workers, facts, 8);
  for (size_t i = 0; i < n_f && spare > keep; i++, spare--) {
    snprintf(key, sizeof key, TMX_K_MACHINE "%.*s", TMX_ID_MAX - 1, facts[i].id);
    v.n = 0;
    tmx_w_map(&v, 4);
    tmx_w_kstr(&v, "addr", facts[i].addr);
    tmx_w_kstr(&v, "type", facts[i].type);
    tmx_w_kstr(&v, "zone", facts[i].zone);
    tmx_w_kbool(&v, "spot", facts[i].spot);
    tmx_txn_put(&t, key, &v, 0);
  }
  struct tmx_buf list = {0};
  size_t e = 0, o = 0, n_plan = plan ? plan->n_ops : 0;
  bool more = false;
  struct tmx_job *finished[64];
  size_t n_fin = 0;
  while (spare > 0 && (e < ends->n || o < n_plan)) {
    list.n = 0;
    lines = bytes = 0;
    while (e < ends->n || o < n_plan) {
      const struct tmx_op *op = e < ends->n ? &ends->ops[e] : &plan->ops[o];
      char line[128];
      int n = tmx_op_print(line, sizeof line, op);
      if (bytes + (size_t)n + 4 > value_max || t.ops.n + list.n > TMX_TXN_BYTES) break;
      if (e < ends->n) {
        struct tmx_task *tk = task_of(r, op);
        if (tk && op->how == TMX_END_DONE && !tk->job->fin) {
          /* the last task's end and the job's final state are one transaction */
          if (tk->job->n_done + ++tk->job->n_ending == tk->job->spec.tasks) {
            if (spare < 2 || n_fin == 64) {
              tk->job->n_ending--;
              e++;
              more = true;
              n_plan = 0; /* its room is not free in the log: nothing may be placed on it */
              continue;
            }
            finished[n_fin++] = tk->job;
            spare--;
          }
        }
        e++;
      } else {
        o++;
      }
      if (tmx_log_on(TMX_DEBUG)) tmx_log(TMX_DEBUG, "op: %s", line);
      tmx_w_str(&list, line);
      bytes += (size_t)n + 4;
      lines++;
    }
    if (!lines) break;
    v.n = 0;
    tmx_w_map(&v, 1);
    tmx_w_str(&v, "ops");
    tmx_w_list(&v, lines);
    tmx_buf_add(&v, list.p, list.n);
    snprintf(key, sizeof key, TMX_K_BATCH "%s/%llx-%08llx", c->set.node,
             (unsigned long long)tmx_link_inc(c->link), (unsigned long long)++c->batch_seq);
    tmx_txn_put(&t, key, &v, 0);
    spare--;
    if (t.ops.n > TMX_TXN_BYTES) break;
  }
  if (e < ends->n || o < n_plan) more = true;
  for (size_t i = 0; i < ends->n; i++) {
    struct tmx_task *tk = task_of(r, &ends->ops[i]);
    if (tk) tk->job->n_ending = 0;
  }
  for (size_t i = 0; i < n_fin; i++) {
    struct tmx_job *j = finished[i];
    snprintf(key, sizeof key, TMX_K_JOB "%s", j->id);
    tmx_txn_if(&t, key, j->stamp);
    v.n = 0;
    tmx_job_encode(&v, &j->spec, j->submitted, TMX_FIN_DONE);
    tmx_txn_put(&t, key, &v, 0);
  }
  tmx_buf_free(&list);
  tmx_buf_free(&v);
  if (!t.n_ops) {
    tmx_buf_free(&t.conds);
    tmx_buf_free(&t.ops);
    c->round_busy = false;
    if (more) tmx_ctl_kick_in(c, 0.1);
    return;
  }
  tmx_txn_head(&t, c->set.node);
  if (tmx_log_on(TMX_DEBUG))
    tmx_log(TMX_DEBUG, "round: %zu ends, %zu planned, %d keys", ends->n, n_plan, t.n_ops);
  if (!tmx_link_commit(c->link, &t, false, on_batch, c)) {
    c->round_busy = false;
    tmx_ctl_kick_in(c, TMX_STATE_RETRY_S);
  }
}

static void on_planned(struct ev_loop *l, ev_async *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_planner *p = w->data;
  struct tmx_ctl *c = p->c;
  pthread_mutex_lock(&p->lock);
  struct tmx_plan_output out = p->out;
  bool ready = p->ready;
  p->ready = false;
  pthread_mutex_unlock(&p->lock);
  if (!ready) return;
  if (!tmx_link_member(c->link) || out.head != c->rep.head) {
    c->round_busy = false; /* planned on what has changed since */
    tmx_ctl_kick(c);
  } else {
    commit_round(c, &out);
  }
  free(out.ops);
}

static void on_round(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_ctl *c = w->data;
  double now = tmx_now();
  if (c->round_busy) return; /* its end kicks the next one */
  round_timer(c, TMX_ROUND_IDLE_S);
  if (!tmx_link_member(c->link) || !tmx_ctl_fresh(c)) return;
  if (c->wait_rev > c->rep.rev && now - c->wait_rev_at < TMX_STATE_TIMEOUT_S) {
    tmx_ctl_kick_in(c, 0.05); /* events kick it sooner */
    return;
  }
  c->round_at = now;
  c->ends->n = tmx_workers_ends(c->workers, c->ends->ops, TMX_ENDS_ROUND);
  size_t waiting, moving = 0;
  struct tmx_machine *m, *mt;
  HASH_ITER(hh, c->rep.machines, m, mt) moving += m->drain && m->n_tasks;
  struct tmx_plan_input *in = snapshot(c, c->ends, &waiting);
  c->round_busy = true;
  if (!waiting && !(moving && in->leading)) {
    tmx_plan_input_free(in);
    commit_round(c, NULL);
    return;
  }
  struct tmx_planner *p = c->planner;
  pthread_mutex_lock(&p->lock);
  p->in = in;
  pthread_cond_signal(&p->more);
  pthread_mutex_unlock(&p->lock);
}

/* ------------------------------------------------------------ events of the replica */

static void on_machine(void *arg, struct tmx_machine *m) {
  struct tmx_ctl *c = arg;
  tmx_workers_changed(c->workers, m->id);
}
static void on_gone(void *arg, struct tmx_machine *m) {
  struct tmx_ctl *c = arg;
  tmx_workers_gone(c->workers, m->id);
}
static void on_change(void *arg) {
  struct tmx_ctl *c = arg;
  tmx_ctl_kick(c);
}

/* Runs after the callbacks of one turn of the loop: events have been applied by then. */
static void on_prepare(struct ev_loop *l, ev_prepare *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_ctl *c = w->data;
  tmx_workers_tick(c->workers);
}

static void on_tick(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_ctl *c = w->data;
  tmx_peers_tick(c->peers);
  if (c->rep.leader_stamp && strcmp(c->rep.leader, c->set.node) &&
      tmx_peers_refused(c->peers, c->rep.leader))
    tmx_link_suspect(c->link, c->rep.leader);
  else
    tmx_link_suspect(c->link, "");
  tmx_link_tick(c->link);
  view_step(c);
  tmx_fold_tick(c->fold);
  tmx_cloud_tick(c->cloud);
}

/* ------------------------------------------------------------ requests */

static void on_request(void *arg, struct tmx_req *q) {
  struct tmx_ctl *c = arg;
  if (!strcmp(q->path, WP_READY)) {
    tmx_req_reply(q, ready(c) ? 200 : 503, NULL, 0);
  } else if (!strcmp(q->path, WP_REPORT)) {
    if (q->method == HTTP_POST)
      tmx_workers_report(c->workers, q);
    else
      tmx_req_reply(q, 405, NULL, 0);
  } else if (!tmx_users_handle(c->users, q)) {
    tmx_req_reply(q, 404, NULL, 0);
  }
}

struct tmx_ctl *tmx_ctl_new(struct ev_loop *loop, const struct tmx_settings *s, char *err,
                            size_t cap) {
  struct tmx_ctl *c = calloc(1, sizeof *c);
  if (!c) abort();
  c->loop = loop;
  c->set = *s;
  tmx_replica_init(&c->rep, &c->set);
  c->rep.arg = c;
  c->rep.on_machine = on_machine;
  c->rep.on_gone = on_gone;
  c->rep.on_change = on_change;
  c->ends = calloc(1, sizeof *c->ends);
  if (!c->ends) abort();
  ev_timer_init(&c->round, on_round, 0, 0);
  c->round.data = c;
  c->workers = tmx_workers_new(c);
  c->users = tmx_users_new(c);
  c->peers = tmx_peers_new(c);
  if (!c->peers) {
    snprintf(err, cap, "settings: peer_listen: %s cannot be listened on", s->peer_listen);
    return NULL;
  }
  c->server =
      tmx_server_new(loop, s->listen, (int)(s->sockets * TMX_SERVER_CONNS_SHARE), on_request, c);
  if (!c->server) {
    snprintf(err, cap, "settings: listen: %s cannot be listened on", s->listen);
    return NULL;
  }
  c->planner = planner_new(c);
  c->link = tmx_link_new(loop, &c->set, &c->rep);
  c->cloud = tmx_cloud_new(c);
  c->fold = tmx_fold_new(c);
  ev_timer_init(&c->tick, on_tick, 0, 0.1);
  c->tick.data = c;
  ev_timer_start(loop, &c->tick);
  ev_prepare_init(&c->prepare, on_prepare);
  c->prepare.data = c;
  ev_prepare_start(loop, &c->prepare);
  return c;
}

void tmx_ctl_free(struct tmx_ctl *c) {
  ev_prepare_stop(c->loop, &c->prepare);
  ev_timer_stop(c->loop, &c->tick);
  ev_timer_stop(c->loop, &c->round);
  planner_free(c->planner);
  tmx_server_free(c->server);
  tmx_cloud_free(c->cloud);
  tmx_fold_free(c->fold);
  tmx_link_free(c->link);
  tmx_peers_free(c->peers);
  tmx_users_free(c->users);
  tmx_workers_free(c->workers);
  tmx_replica_clear(&c->rep);
  free(c->ends);
  free(c);
}
