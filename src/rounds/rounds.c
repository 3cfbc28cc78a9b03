/* When rounds begin, the planner's thread, and what changed since the last one. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "rounds/internal.h"

/* ------------------------------------------------------------ planner thread */

static void *planner_main(void *arg) {
  struct tmx_rounds *p = arg;
  struct tmx_model *md = tmx_model_new();
  pthread_mutex_lock(&p->lock);
  for (;;) {
    while (!p->asked && !p->quit) pthread_cond_wait(&p->more, &p->lock);
    if (p->quit) break;
    struct tmx_feed feed = p->in_feed;
    struct tmx_round in = p->in_round;
    memset(&p->in_feed, 0, sizeof p->in_feed);
    p->asked = false;
    pthread_mutex_unlock(&p->lock);
    struct tmx_plan_output out;
    tmx_model_feed(md, &feed);
    tmx_plan(md, &in, &out);
    pthread_mutex_lock(&p->lock);
    p->out = out;
    p->ready = true;
    ev_async_send(p->c->loop, &p->done);
  }
  pthread_mutex_unlock(&p->lock);
  tmx_model_free(md);
  return NULL;
}

/* ------------------------------------------------------------ timing */

static void timer(struct tmx_rounds *p, double after) {
  if (ev_is_active(&p->timer) && ev_timer_remaining(p->c->loop, &p->timer) <= after) return;
  ev_timer_stop(p->c->loop, &p->timer);
  ev_timer_set(&p->timer, after > 0.0005 ? after : 0.0005, 0);
  ev_timer_start(p->c->loop, &p->timer);
}
void tmx_rounds_kick_in(struct tmx_ctl *c, double s) {
  struct tmx_rounds *p = c->rounds;
  if (!p) return;
  double spaced = p->round_at + TMX_ROUND_SPACING_S - tmx_clock_steady();
  timer(p, s > spaced ? s : spaced);
}
void tmx_rounds_kick(struct tmx_ctl *c) { tmx_rounds_kick_in(c, 0); }

/* ------------------------------------------------------------ what changed */

void tmx_rounds_machine(struct tmx_rounds *p, struct tmx_machine *machine) {
  if (machine->planner_update_due) return;
  machine->planner_update_due = true;
  p->machines = tmx_grow(p->machines, &p->cap_machines, p->n_machines + 1, sizeof *p->machines);
  p->machines[p->n_machines++] = machine;
}
void tmx_rounds_job(struct tmx_rounds *p, struct tmx_job *job) {
  if (job->planner_update_due) return;
  job->planner_update_due = true;
  p->jobs = tmx_grow(p->jobs, &p->cap_jobs, p->n_jobs + 1, sizeof *p->jobs);
  p->jobs[p->n_jobs++] = job;
}
void tmx_rounds_gone(struct tmx_rounds *p, struct tmx_machine *machine) {
  tmx_feed_gone(&p->feed, machine->planner_slot);
  for (size_t i = 0; machine->planner_update_due && i < p->n_machines; i++)
    if (p->machines[i] == machine) {
      p->machines[i] = p->machines[--p->n_machines];
      break;
    }
}
void tmx_rounds_reset(struct tmx_rounds *p) {
  tmx_feed_clear(&p->feed);
  p->feed.reset = true;
  p->n_machines = p->n_jobs = 0;
}
void tmx_rounds_line(struct tmx_rounds *p, const char *line) {
  for (size_t i = 0; i < p->n_lines; i++)
    if (!strcmp(p->lines[i].text, line)) return;
  p->lines = tmx_grow(p->lines, &p->cap_lines, p->n_lines + 1, sizeof *p->lines);
  struct tmx_pending_line *l = &p->lines[p->n_lines++];
  memset(l, 0, sizeof *l);
  snprintf(l->text, sizeof l->text, "%s", line);
  tmx_rounds_kick(p->c);
}

/* ------------------------------------------------------------ steps */

struct tmx_task *tmx_round_task(const struct tmx_replica *replica,
                                const struct tmx_operation *operation) {
  struct tmx_job *job = tmx_job_find(replica, operation->job);
  return job && job->tasks && operation->task < job->spec.tasks ? &job->tasks[operation->task]
                                                                : NULL;
}

/* Of the time of day, for one batch. */
double tmx_turn_length(const struct tmx_ctl *c) {
  return TMX_TURN_PUTS / (c->set.write_rps * TMX_WRITE_SHARE);
}

/* The next step needs the replica to hold the latest revision that a commit told of. */
bool tmx_rounds_caught_up(const struct tmx_rounds *p) {
  return p->wait_rev <= p->c->rep.revision ||
         tmx_clock_steady() - p->wait_rev_at > TMX_STATE_TIMEOUT_S;
}

void tmx_round_over(struct tmx_rounds *p) {
  p->step = TMX_ROUND_IDLE;
  free(p->plan.ops);
  memset(&p->plan, 0, sizeof p->plan);
}

/* How long until this member may send a batch, s. Whoever loses the race for head has spent its
 * puts for nothing, so while puts are short each member keeps to its turn of the time of day; the
 * leader has two. A batch that is late finds out by its condition: nothing depends on clocks. */
static double turn(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  size_t n = c->rep.view.n_members;
  int self = tmx_ctl_self(c);
  if (n < 2 || self < 0 || tmx_store_is_write_load_low(c->link)) return 0;
  double slot = tmx_turn_length(c), period = slot * (double)(n + 1);
  double at = fmod(tmx_clock_wall(), period), wait = period;
  for (int k = 0; k < 1 + tmx_store_is_leader(c->link); k++) {
    double into = at - slot * (k ? (double)n : self);
    if (into >= 0 && into < slot * TMX_TURN_BEGIN) return 0;
    wait = fmin(wait, into < 0 ? -into : period - into);
  }
  return wait + 0.001;
}

static void on_planned(struct ev_loop *l, ev_async *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_rounds *p = w->data;
  struct tmx_ctl *c = p->c;
  pthread_mutex_lock(&p->lock);
  bool ready = p->ready;
  if (ready) p->plan = p->out;
  p->ready = false;
  pthread_mutex_unlock(&p->lock);
  if (!ready || p->step != TMX_ROUND_PLANNING) return;
  p->step = TMX_ROUND_READY;
  if (!tmx_store_is_member(c->link) || !tmx_ctl_fresh(c)) {
    tmx_round_over(p);
    tmx_rounds_kick_in(c, TMX_STATE_RETRY_S);
    return;
  }
  if (!p->sending && tmx_rounds_caught_up(p)) tmx_round_commit(p);
}

static void begin(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  double now = tmx_clock_steady(), budget = tmx_store_write_budget(c->link);
  /* Rounds are paced by this member's share of the puts. Submissions draw on it too; a round a
   * second goes out in any case, or nothing accepted would ever start. */
  if (budget < p->puts && now - p->round_at < 1.0) {
    tmx_rounds_kick_in(c, fmin(tmx_store_write_budget_delay(c->link, p->puts), 1.0));
    return;
  }
  double wait = turn(p);
  if (wait > 0) {
    tmx_rounds_kick_in(c, wait);
    return;
  }
  p->round_at = now;
  p->resent = 0;
  p->n_ends = tmx_workers_collect_completions(c->workers, p->ends, TMX_ENDS_ROUND);
  struct tmx_round in;
  tmx_round_feed(p, &in);
  p->step = TMX_ROUND_PLANNING;
  pthread_mutex_lock(&p->lock);
  p->in_feed = p->feed;
  p->in_round = in;
  p->asked = true;
  pthread_cond_signal(&p->more);
  pthread_mutex_unlock(&p->lock);
  memset(&p->feed, 0, sizeof p->feed);
}

static void on_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_rounds *p = w->data;
  struct tmx_ctl *c = p->c;
  if (p->step == TMX_ROUND_PLANNING || p->sending) return; /* its end kicks the next one */
  timer(p, TMX_ROUND_IDLE_S);
  bool may = tmx_store_is_member(c->link) && tmx_ctl_fresh(c);
  if (!may) {
    if (p->step == TMX_ROUND_READY) tmx_round_over(p);
    return;
  }
  if (!tmx_rounds_caught_up(p)) {
    tmx_rounds_kick_in(c, 0.05); /* events kick it sooner */
    return;
  }
  if (p->step == TMX_ROUND_READY)
    tmx_round_commit(p);
  else
    begin(p);
}

bool tmx_rounds_planning(const struct tmx_rounds *p) { return p->step == TMX_ROUND_PLANNING; }

struct tmx_rounds *tmx_rounds_new(struct tmx_ctl *c) {
  struct tmx_rounds *p = calloc(1, sizeof *p);
  pthread_attr_t a;
  if (!p) abort();
  p->c = c;
  p->puts = TMX_ROUND_PUTS;
  pthread_mutex_init(&p->lock, NULL);
  pthread_cond_init(&p->more, NULL);
  ev_timer_init(&p->timer, on_timer, 0, 0);
  p->timer.data = p;
  ev_async_init(&p->done, on_planned);
  p->done.data = p;
  ev_async_start(c->loop, &p->done);
  pthread_attr_init(&a);
  pthread_attr_setstacksize(&a, TMX_PLANNER_STACK);
  if (pthread_create(&p->thread, &a, planner_main, p)) abort();
  pthread_attr_destroy(&a);
  return p;
}

void tmx_rounds_free(struct tmx_rounds *p) {
  pthread_mutex_lock(&p->lock);
  p->quit = true;
  pthread_cond_signal(&p->more);
  pthread_mutex_unlock(&p->lock);
  pthread_join(p->thread, NULL);
  ev_async_stop(p->c->loop, &p->done);
  ev_timer_stop(p->c->loop, &p->timer);
  tmx_feed_clear(&p->feed);
  tmx_feed_clear(&p->in_feed);
  if (p->ready) free(p->out.ops);
  free(p->plan.ops);
  free(p->machines);
  free(p->jobs);
  free(p->lines);
  for (size_t i = 0; i < p->n_arrivals; i++) tmx_submission_free(p->arrivals[i]);
  pthread_cond_destroy(&p->more);
  pthread_mutex_destroy(&p->lock);
  free(p);
}
