/* Rounds: what changed is handed to the planner's thread, which plans on tables of its own; the
 * result is checked line by line on the replica as it then stands and goes out as one batch. */
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller.h"
#include "net/log.h"
#include "state/check.h"

enum step { IDLE, PLANNING, READY };

struct line {
  char text[TMX_LINE_MAX];
  bool sent;
};

struct arrival { /* a submission on its way into the log */
  char id[TMX_ID_MAX];
  struct tmx_buf value; /* the job's record ... */
  struct tmx_awaits
      awaits;         /* ... and of the ids that it names, those that have no room in it ... */
  uint32_t in_record; /* ... follow from here on */
  size_t json;        /* length of the record as JSON */
  int values;         /* keys that record and lines take; 1: it may go out by itself */
  double until;
  tmx_arrival_cb cb;
  void *arg;
  struct tmx_rounds *p;
  bool sent; /* in the batch under way */
  bool direct;
  bool answered; /* but its commit is under way */
  double sent_at;
  int tries;
};

struct tmx_rounds {
  struct tmx_ctl *c;
  ev_timer timer;
  enum step step;
  bool sending; /* a batch is under way */
  struct arrival *arrivals[TMX_ARRIVALS_MAX];
  size_t n_arrivals;
  double round_at, wait_rev_at;
  double puts;        /* that the next batch needs at least */
  uint64_t wait_rev;  /* the next step needs the replica to be here */
  uint64_t sent_head; /* what the batch under way is conditional on */
  int resent;
  uint64_t key_seq, key_mark;
  /* what changed since the last feed */
  struct tmx_feed feed;
  struct tmx_machine **machines;
  size_t n_machines, cap_machines;
  struct tmx_job **jobs;
  size_t n_jobs, cap_jobs;
  struct tmx_op ends[TMX_ENDS_ROUND];
  size_t n_ends;
  struct tmx_plan_output plan;
  struct line *lines;
  size_t n_lines, cap_lines;
  /* the planner's thread; under the lock: in, out, ready, quit */
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t more;
  struct tmx_feed in_feed;
  struct tmx_round in_round;
  struct tmx_plan_output out;
  bool asked, ready, quit;
  ev_async done;
};

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
  double spaced = p->round_at + TMX_ROUND_SPACING_S - tmx_now();
  timer(p, s > spaced ? s : spaced);
}
void tmx_rounds_kick(struct tmx_ctl *c) { tmx_rounds_kick_in(c, 0); }

/* ------------------------------------------------------------ what changed */

void tmx_rounds_machine(struct tmx_rounds *p, struct tmx_machine *m) {
  if (m->dirty) return;
  m->dirty = true;
  p->machines = tmx_grow(p->machines, &p->cap_machines, p->n_machines + 1, sizeof *p->machines);
  p->machines[p->n_machines++] = m;
}
void tmx_rounds_job(struct tmx_rounds *p, struct tmx_job *j) {
  if (j->dirty) return;
  j->dirty = true;
  p->jobs = tmx_grow(p->jobs, &p->cap_jobs, p->n_jobs + 1, sizeof *p->jobs);
  p->jobs[p->n_jobs++] = j;
}
void tmx_rounds_gone(struct tmx_rounds *p, struct tmx_machine *m) {
  tmx_feed_gone(&p->feed, m->slot);
  for (size_t i = 0; m->dirty && i < p->n_machines; i++)
    if (p->machines[i] == m) {
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
  struct line *l = &p->lines[p->n_lines++];
  memset(l, 0, sizeof *l);
  snprintf(l->text, sizeof l->text, "%s", line);
  tmx_rounds_kick(p->c);
}

static struct tmx_task *task_of(const struct tmx_replica *r, const struct tmx_op *o) {
  struct tmx_job *j = tmx_job_find(r, o->job);
  return j && j->tasks && o->task < j->spec.tasks ? &j->tasks[o->task] : NULL;
}

/* Of the time of day, for one batch. */
static double turn_s(const struct tmx_ctl *c) {
  return TMX_TURN_PUTS / (c->set.write_rps * TMX_WRITE_SHARE);
}

/* s from the job's release to its deadline, or to that of a job which needs it; <0: none */
static double due_in(const struct tmx_job *j) {
  return isfinite(j->urgency.due_at) ? fmax(j->urgency.due_at - j->released, 0) : -1;
}

static bool is_finish_aim(const struct tmx_objective *o, const struct tmx_spec *s) {
  return !strcmp(o->class_name, s->class) && !strcmp(o->kind, "finished");
}

/* When a job should be done, at the latest: its class's last aim, or its deadline. */
static double last_aim(const struct tmx_ctl *c, const struct tmx_job *j) {
  double last = 0;
  for (size_t i = 0; i < c->set.n_objectives; i++)
    if (is_finish_aim(&c->set.objectives[i], &j->spec))
      last = fmax(last, c->set.objectives[i].within_s);
  last = fmax(last, due_in(j));
  return last > 0 ? last : TMX_NO_AIM_S;
}

/* The first of those that is still ahead, s after the release. */
static double next_aim(const struct tmx_ctl *c, const struct tmx_job *j, double waited) {
  double next = last_aim(c, j), due = due_in(j);
  for (size_t i = 0; i < c->set.n_objectives; i++) {
    double within = c->set.objectives[i].within_s;
    if (is_finish_aim(&c->set.objectives[i], &j->spec) && within > waited)
      next = fmin(next, within);
  }
  return due > waited ? fmin(next, due) : next;
}

/* How long a start may take: the class's own aim, or a plain wait. */
static double patience_of(const struct tmx_ctl *c, const struct tmx_spec *s) {
  for (size_t i = 0; i < c->set.n_objectives; i++)
    if (!strcmp(c->set.objectives[i].class_name, s->class) &&
        !strcmp(c->set.objectives[i].kind, "wait") && c->set.objectives[i].within_s > 0)
      return c->set.objectives[i].within_s;
  return TMX_PATIENCE_S;
}

static void feed_machine(struct tmx_rounds *p, struct tmx_machine *m) {
  struct tmx_ctl *c = p->c;
  const struct tmx_type *ty = tmx_cloud_type(c->cloud, m->type);
  m->dirty = false;
  if (!m->known) return;
  struct tmx_plan_machine *f = tmx_feed_machine(&p->feed);
  f->slot = m->slot;
  memcpy(f->id, m->id, sizeof f->id);
  memcpy(f->type, m->type, sizeof f->type);
  f->zone = m->zone;
  f->spot = m->spot;
  f->drain = m->drain;
  f->owner = m->owner;
  f->usable = ty && m->usable && !(m->errors >= TMX_SICK_ERRORS && m->error_two);
  if (ty) {
    m->size_cpus = f->cpus = ty->cpus;
    m->size_gpus = f->gpus = ty->gpus;
    m->size_mem = f->mem = ty->mem;
    f->fetch = ty->fetch;
  }
  f->ucpus = m->cpus;
  f->ugpus = m->gpus;
  f->umem = m->mem;
  memcpy(f->images, m->images, sizeof f->images);
  f->n_images = m->n_images;
  f->tasks = calloc(m->n_tasks + 1, sizeof *f->tasks);
  if (!f->tasks) abort();
  for (struct tmx_task *t = m->tasks; t; t = t->next) {
    const struct tmx_spec *s = &t->job->spec;
    bool stopping = t->stop || t->job->fin;
    if (t->ending) { /* its end is in the batch before anything that is placed */
      f->ucpus -= s->cpus;
      f->ugpus -= s->gpus;
      f->umem -= s->mem;
      continue;
    }
    if (stopping) {
      f->scpus += s->cpus;
      f->sgpus += s->gpus;
      f->smem += s->mem;
    }
    f->tasks[f->n_tasks++] =
        (struct tmx_plan_task){t->job->slot, tmx_task_index(t), t->attempt, t->placed_at, stopping};
  }
}

static void feed_job(struct tmx_rounds *p, struct tmx_job *j) {
  struct tmx_ctl *c = p->c;
  j->dirty = false;
  bool open = !j->fin && j->tasks && !tmx_job_blocked(j);
  if (!open && !j->n_placed && !j->fed) return;
  struct tmx_plan_job *f = tmx_feed_job(&p->feed);
  f->slot = j->slot;
  memcpy(f->id, j->id, sizeof f->id);
  if (!j->fed) {
    f->spec = malloc(sizeof *f->spec);
    if (!f->spec) abort();
    *f->spec = j->spec;
    f->spec->patience_s = patience_of(c, &j->spec);
    j->fed = true;
  }
  f->zone = j->spec.zone[0] ? tmx_zone_index(&c->set, j->spec.zone) : -1;
  f->team = j->team;
  f->planner = tmx_planner_index(&c->rep, j->id);
  f->priority = j->urgency.priority;
  f->released = j->released;
  f->stuck_since = j->stuck_since;
  f->retry_at = j->retry_at;
  f->aim_s = last_aim(c, j);
  f->next_aim_s = next_aim(c, j, tmx_wall() - j->released);
  f->run_s = fmax(tmx_expected_run(&c->rep, &j->spec), j->longest);
  f->n_done = j->n_done;
  f->n_placed = j->n_placed;
  f->open = open;
  memcpy(f->zone_live, j->zone_live, sizeof f->zone_live);
  memcpy(f->avoid, j->bad_machine, sizeof f->avoid);
  if (!open) {
    if (!j->n_placed) j->fed = false;
    return;
  }
  uint32_t cap = j->spec.tasks - j->n_done - j->n_placed;
  if (cap > TMX_PLAN_TASKS) cap = TMX_PLAN_TASKS;
  f->waits = calloc(cap + 1, sizeof *f->waits);
  if (!f->waits) abort();
  for (uint32_t k = j->first_wait; k < j->spec.tasks && f->n_waits < cap; k++) {
    const struct tmx_task *t = &j->tasks[k];
    if (t->state != TMX_WAITING) continue;
    if (!f->n_waits) j->first_wait = k;
    f->waits[f->n_waits++] = (struct tmx_plan_wait){k, t->attempt + 1};
  }
  double wait = j->retry_at - tmx_now();
  if (f->n_waits && wait > 0) tmx_rounds_kick_in(c, wait + 0.05);
}

/* Fills the feed and the round from what is dirty. The ends that reports prove count as room: they
 * stand in the batch before whatever is placed into it, so their machines stay dirty. */
static void feed(struct tmx_rounds *p, struct tmx_round *in) {
  struct tmx_ctl *c = p->c;
  struct tmx_replica *r = &c->rep;
  memset(in, 0, sizeof *in);
  in->now = tmx_now();
  in->wall = tmx_wall();
  in->self = tmx_ctl_self(c);
  in->leading = tmx_link_leading(c->link);
  in->n_zones = c->set.n_zones;
  in->grace = TMX_LEADER_GRACE_S;
  if (!tmx_link_rich(c->link)) in->grace += turn_s(c) * (double)(r->view.n_members + 1);
  in->n_teams = c->set.n_teams;
  memcpy(in->teams, c->set.teams, sizeof in->teams);
  memcpy(in->usage, r->usage, sizeof in->usage);
  double room = (double)tmx_value_room(&c->set) * (c->set.txn_ops - 1);
  in->max_visits =
      (size_t)fmax(fmin(c->set.core_share * TMX_PLAN_BUSY_S / TMX_PLAN_VISIT_S, TMX_PLAN_VISITS),
                   TMX_PLAN_VISITS_LEAST);
  in->max_ops =
      (size_t)(fmin(room, TMX_TXN_BYTES) / (r->pipelines ? TMX_ITEM_TYPICAL : TMX_LINE_TYPICAL));
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = task_of(r, &p->ends[i]);
    t->ending = true;
    tmx_rounds_machine(p, t->machine);
    tmx_rounds_job(p, t->job);
    if (t->machine->zone >= 0) t->job->zone_live[t->machine->zone]--;
    if (t->job->team < 0) continue;
    in->usage[t->job->team].cpus -= t->job->spec.cpus;
    in->usage[t->job->team].gpus -= t->job->spec.gpus;
  }
  for (size_t i = 0; i < p->n_jobs; i++) feed_job(p, p->jobs[i]);
  for (size_t i = 0; i < p->n_machines; i++) feed_machine(p, p->machines[i]);
  p->n_jobs = p->n_machines = 0;
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = task_of(r, &p->ends[i]);
    t->ending = false;
    if (t->machine->zone >= 0) t->job->zone_live[t->machine->zone]++;
    tmx_rounds_machine(p, t->machine);
    tmx_rounds_job(p, t->job);
  }
}

/* ------------------------------------------------------------ the batch */

/* Keys are written over once a fold has taken their batches into its pages: nothing has to be
 * dropped, which would cost as much as a put. */
static void next_key(struct tmx_rounds *p, char *key, size_t cap) {
  const struct tmx_replica *r = &p->c->rep;
  struct tmx_log_key *k;
  if (p->key_mark != r->fold_mark) {
    p->key_mark = r->fold_mark;
    p->key_seq = 0;
  }
  do {
    snprintf(key, cap, TMX_K_BATCH "%s/%06llx", p->c->set.node, (unsigned long long)p->key_seq++);
    HASH_FIND_STR(r->batches, key, k);
  } while (k && k->stamp > r->fold_mark);
}

struct batch {
  struct tmx_rounds *p;
  struct tmx_txn t;
  struct tmx_buf list, jobs, v;
  size_t lines, n_jobs;
  bool grouped;                 /* operations of one job share lines */
  char group[TMX_LINE_MAX];     /* the line that grows; empty: none */
  struct tmx_op group_op;       /* ... its first operation */
  size_t value, value_max, txn; /* of this value, at most, and of all before it; as JSON */
  int spare;                    /* puts that may still be used, head aside */
};

static void end_group(struct batch *b) {
  if (!b->group[0]) return;
  if (tmx_log_on(TMX_DEBUG)) tmx_log(TMX_DEBUG, "op: %s", b->group);
  tmx_w_str(&b->list, b->group);
  b->lines++;
  b->group[0] = 0;
}

static void flush(struct batch *b) {
  char key[TMX_KEY_MAX + 1];
  end_group(b);
  if (!b->lines && !b->n_jobs) return;
  b->v.n = 0;
  tmx_lines_encode(&b->v, &b->jobs, b->n_jobs, &b->list, b->lines);
  next_key(b->p, key, sizeof key);
  tmx_txn_put(&b->t, key, &b->v, 0);
  b->list.n = b->jobs.n = 0;
  b->lines = b->n_jobs = 0;
  b->txn += b->value + TMX_JSON_FRAME;
  b->value = 0;
  b->spare--;
}

/* Room for n more bytes in a value that is not full; false: the batch is full. Limits are counted
 * as JSON: a value that is larger would be refused again and again, and hold up the log. */
static bool fits(struct batch *b, size_t n, int more_puts) {
  size_t all = b->txn + b->value + n + (size_t)b->t.n_conds * TMX_JSON_FRAME;
  if (all > TMX_TXN_BYTES) return false;
  if (b->value + n > b->value_max) flush(b);
  return b->spare - more_puts >= 1;
}

static bool add_line(struct batch *b, const char *line, int more_puts) {
  size_t len = tmx_json_text(line, strlen(line)) + 1;
  end_group(b);
  if (!fits(b, len, more_puts)) return false;
  b->value += len;
  if (tmx_log_on(TMX_DEBUG)) tmx_log(TMX_DEBUG, "op: %s", line);
  tmx_w_str(&b->list, line);
  b->lines++;
  return true;
}

/* The operation joins the line before it; false: it begins another. */
static bool join_group(struct batch *b, const struct tmx_op *o, const char *item, int more_puts) {
  size_t len = tmx_json_text(item, strlen(item)), used = strlen(b->group);
  if (!used || !tmx_op_same_group(&b->group_op, o)) return false;
  if (used + strlen(item) >= sizeof b->group || b->value + len > b->value_max) return false;
  if (!fits(b, len, more_puts)) return false;
  strcpy(b->group + used, item);
  b->value += len;
  return true;
}

static bool add_op(struct batch *b, const struct tmx_op *o, int more_puts) {
  char line[TMX_LINE_MAX], item[TMX_LINE_MAX];
  if (!b->grouped || !tmx_op_groups(o)) {
    tmx_op_print(line, sizeof line, o);
    return add_line(b, line, more_puts);
  }
  tmx_group_item_print(item, sizeof item, o);
  if (join_group(b, o, item, more_puts)) return true;
  end_group(b);
  int head = tmx_group_head_print(line, sizeof line, o);
  snprintf(line + head, sizeof line - (size_t)head, "%s", item);
  size_t len = tmx_json_text(line, strlen(line)) + 1;
  if (!fits(b, len, more_puts)) return false;
  strcpy(b->group, line);
  b->group_op = *o;
  b->value += len;
  return true;
}

/* ------------------------------------------------------------ submissions */

static void free_arrival(struct arrival *a) {
  tmx_buf_free(&a->value);
  tmx_awaits_free(&a->awaits);
  free(a);
}

static void settle_arrival(struct tmx_rounds *p, size_t i, int res) {
  struct arrival *a = p->arrivals[i];
  if (!a->answered) a->cb(a->arg, res);
  a->answered = true;
  if (a->direct) return; /* goes with the answer to its commit */
  p->arrivals[i] = p->arrivals[--p->n_arrivals];
  free_arrival(a);
}

/* Answers those that are decided or have waited too long; the rest may be sent. Where the answer to
 * a commit is slow, the log may tell sooner that the job is in it. */
static void sort_arrivals(struct tmx_rounds *p) {
  double now = tmx_now();
  for (size_t i = 0; i < p->n_arrivals;) {
    struct arrival *a = p->arrivals[i];
    bool busy = a->direct || a->sent;
    size_t n = p->n_arrivals;
    if (!a->answered && (!busy || now - a->sent_at > TMX_STATE_SLOW_S) &&
        tmx_job_find(&p->c->rep, a->id))
      settle_arrival(p, i, TMX_TXN_CONFLICT);
    else if (!busy && now > a->until)
      settle_arrival(p, i, TMX_TXN_REFUSED);
    i += p->n_arrivals == n;
  }
}

/* Submissions go out with a batch or each by itself. Either is on the condition that head is what
 * the replica saw, which rules out the batches it does not know, and that the job has no key, which
 * rules out the single ones: a name is taken once. */
static void condition(struct tmx_txn *t, const char *id) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_K_JOB "%s", id);
  tmx_txn_if(t, key, 0);
}

/* A submission goes into one transaction or into none: no reader takes a part for the whole. One
 * that needs several values comes first in its batch, which is made as large as it needs. */
static bool has_room(struct batch *b, const struct arrival *a) {
  if (a->values == 1) return fits(b, a->json, 0);
  if (b->lines || b->n_jobs || b->t.n_ops) return false;
  if (b->spare < a->values) b->spare = a->values;
  return fits(b, a->json, 0);
}

static void add_arrival(struct batch *b, const struct arrival *a) {
  char line[TMX_LINE_MAX];
  tmx_buf_add(&b->jobs, a->value.p, a->value.n);
  b->value += a->json;
  b->n_jobs++;
  for (uint32_t at = a->in_record; at < a->awaits.n;) {
    tmx_awaits_print(line, sizeof line, a->id, &a->awaits, &at);
    add_line(b, line, 0);
  }
}

/* In a value they come before the lines, so they are the first to go in. */
static void add_arrivals(struct tmx_rounds *p, struct batch *b) {
  bool full = false;
  int conds =
      p->c->set.txn_ops * 3; /* PROTOCOL allows four times as many; finished jobs need some */
  sort_arrivals(p);
  for (size_t i = 0; i < p->n_arrivals; i++) {
    struct arrival *a = p->arrivals[i];
    if (a->direct || a->answered) continue;
    full = full || b->t.n_conds >= conds || !has_room(b, a);
    a->sent = !full;
    a->sent_at = tmx_now();
    if (full) continue;
    condition(&b->t, a->id);
    add_arrival(b, a);
  }
}

static void answer_arrivals(struct tmx_rounds *p, int res) {
  for (size_t i = 0; i < p->n_arrivals;) {
    struct arrival *a = p->arrivals[i];
    bool sent = a->sent;
    a->sent = false;
    if (sent && res != TMX_TXN_CONFLICT)
      settle_arrival(p, i, res);
    else
      i++;
  }
}

static void on_direct(void *arg, int res, uint64_t rev) {
  struct arrival *a = arg;
  struct tmx_rounds *p = a->p;
  a->direct = false;
  if (res == TMX_TXN_CONFLICT && !a->answered) { /* again once the replica has what won */
    a->tries++;
    if (rev > p->wait_rev) p->wait_rev = rev;
    p->wait_rev_at = tmx_now();
    return;
  }
  for (size_t i = 0; i < p->n_arrivals; i++)
    if (p->arrivals[i] == a) {
      settle_arrival(p, i, res);
      return;
    }
}

/* Keys that a submission takes: its record, and lines for the ids that have no room there. */
static int values_of(const struct tmx_settings *set, const struct arrival *a) {
  size_t room = tmx_value_room(set), used = room; /* lines begin in a value of their own */
  int values = 1;
  char line[TMX_LINE_MAX];
  for (uint32_t at = a->in_record; at < a->awaits.n;) {
    tmx_awaits_print(line, sizeof line, a->id, &a->awaits, &at);
    size_t len = tmx_json_text(line, strlen(line)) + 1;
    values += used + len > room;
    used = used + len > room ? len : used + len;
  }
  return values;
}

static bool too_large(const struct tmx_settings *set, const struct arrival *a) {
  size_t room = tmx_value_room(set);
  return a->json > room || a->values > set->txn_ops - 1 ||
         (size_t)a->values * (room + TMX_JSON_FRAME) > TMX_TXN_BYTES;
}

static struct arrival *make_arrival(struct tmx_rounds *p, const struct tmx_submission *s) {
  struct arrival *a = calloc(1, sizeof *a);
  if (!a) abort();
  memcpy(a->id, s->id, sizeof a->id);
  a->in_record = tmx_job_encode_open(&a->value, s->id, &s->spec, s->submitted, &s->awaits,
                                     tmx_value_room(&p->c->set));
  a->json = tmx_json_len(&a->value);
  a->awaits.n = s->awaits.n;
  a->awaits.ids = calloc(s->awaits.n + 1, sizeof *a->awaits.ids);
  if (!a->awaits.ids) abort();
  if (s->awaits.n) memcpy(a->awaits.ids, s->awaits.ids, s->awaits.n * sizeof *s->awaits.ids);
  a->values = values_of(&p->c->set, a);
  a->p = p;
  return a;
}

enum tmx_arrival_result tmx_rounds_arrival(struct tmx_ctl *c, const struct tmx_submission *s,
                                           double within, tmx_arrival_cb cb, void *arg) {
  struct tmx_rounds *p = c->rounds;
  if (p->n_arrivals == TMX_ARRIVALS_MAX) return TMX_ARRIVAL_LATER;
  for (size_t i = 0; i < p->n_arrivals; i++)
    if (!strcmp(p->arrivals[i]->id, s->id)) return TMX_ARRIVAL_LATER; /* it is on its way already */
  struct arrival *a = make_arrival(p, s);
  if (too_large(&c->set, a)) {
    tmx_log(TMX_INFO, "job: %s refused: %zu bytes and %u awaited jobs take more than a transaction",
            s->id, a->json, s->awaits.n);
    free_arrival(a);
    return TMX_ARRIVAL_TOO_LARGE;
  }
  a->until = tmx_now() + within;
  a->cb = cb;
  a->arg = arg;
  p->arrivals[p->n_arrivals++] = a;
  return TMX_ARRIVAL_TAKEN;
}

/* The next step needs the replica to hold the latest revision that a commit told of. */
static bool caught_up(const struct tmx_rounds *p) {
  return p->wait_rev <= p->c->rep.rev || tmx_now() - p->wait_rev_at > TMX_STATE_TIMEOUT_S;
}

/* A few submissions go out at once, each as a put; when there are many, or puts are short, they
 * wait for the next batch, which holds dozens in one. */
void tmx_rounds_flush(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  size_t idle = 0;
  if (!p->n_arrivals) return;
  sort_arrivals(p);
  for (size_t i = 0; i < p->n_arrivals; i++)
    idle += !p->arrivals[i]->direct && !p->arrivals[i]->sent;
  if (!idle) return;
  /* a batch under way is decided once head has moved, whenever its answer comes */
  bool decided = !p->sending || c->rep.head != p->sent_head;
  if (idle <= TMX_DIRECT_MAX && c->rep.loaded && decided && caught_up(p)) {
    for (size_t i = 0; i < p->n_arrivals; i++) {
      struct arrival *a = p->arrivals[i];
      if (a->direct || a->sent || a->values > 1 || a->tries >= TMX_DIRECT_TRIES ||
          !tmx_link_submit(c->link))
        continue;
      struct tmx_txn t = {0};
      char key[TMX_KEY_MAX + 1];
      snprintf(key, sizeof key, TMX_K_JOB "%s", a->id);
      tmx_txn_if(&t, TMX_K_HEAD, c->rep.head);
      condition(&t, a->id);
      tmx_txn_put(&t, key, &a->value, 0);
      a->sent_at = tmx_now();
      a->direct = tmx_link_commit(c->link, &t, true, on_direct, a);
      idle -= a->direct;
    }
  }
  if (idle) tmx_rounds_kick_in(c, 0.02);
}

/* ------------------------------------------------------------ the commit */

static void over(struct tmx_rounds *p) {
  p->step = IDLE;
  free(p->plan.ops);
  memset(&p->plan, 0, sizeof p->plan);
}

static void on_batch(void *arg, int res, uint64_t rev) {
  struct tmx_rounds *p = arg;
  struct tmx_ctl *c = p->c;
  p->sending = false;
  if (rev > p->wait_rev) p->wait_rev = rev;
  p->wait_rev_at = tmx_now();
  answer_arrivals(p, res);
  if (res == TMX_TXN_CONFLICT && ++p->resent <= TMX_RESENDS) {
    /* what was planned is checked again on the state that won, and sent anew */
    tmx_rounds_kick_in(c, 0.05);
    return;
  }
  if (res == TMX_TXN_OK) {
    size_t n = 0;
    for (size_t i = 0; i < p->n_lines; i++) /* those that came meanwhile stay */
      if (!p->lines[i].sent) p->lines[n++] = p->lines[i];
    p->n_lines = n;
  } else if (tmx_log_on(TMX_DEBUG)) {
    tmx_log(TMX_DEBUG, "round: not committed (%d)", res);
  }
  bool cut = p->plan.cut;
  over(p);
  tmx_rounds_kick_in(c, res == TMX_TXN_OK ? (cut ? 0 : TMX_ROUND_SPACING_S) : TMX_STATE_RETRY_S);
}

/* Jobs that were cancelled through others get a final state of their own while puts are to spare:
 * until then every copy, and every fold, keeps what they were derived from. */
static void add_derived_ends(struct tmx_rounds *p, struct batch *b) {
  struct tmx_ctl *c = p->c;
  tmx_replica_tidy_unstored(&c->rep);
  if (!tmx_link_leading(c->link) || !tmx_link_spare(c->link)) return;
  for (size_t i = 0; i < c->rep.n_unstored && b->spare >= 1; i++, b->spare--) {
    const struct tmx_job *j = c->rep.unstored[i];
    char key[TMX_KEY_MAX + 1];
    snprintf(key, sizeof key, TMX_K_JOB "%s", j->id);
    tmx_txn_if(&b->t, key, j->stamp);
    b->v.n = 0;
    tmx_job_encode_final(&b->v, j, TMX_FIN_CANCELLED, 0, tmx_value_room(&c->set));
    tmx_txn_put(&b->t, key, &b->v, 0);
  }
}

static int by_group(const void *a, const void *b) {
  const struct tmx_op *x = a, *y = b;
  int order = strcmp(x->job, y->job);
  if (!order) order = (x->attempt > y->attempt) - (x->attempt < y->attempt);
  if (!order) order = x->how - y->how;
  return order ? order : (x->task > y->task) - (x->task < y->task);
}

/* Jobs whose last task's end is among those at hand. Their final states need a put each, and users
 * and the jobs after them wait for these. */
static int last_ends(const struct tmx_rounds *p) {
  const struct tmx_replica *r = &p->c->rep;
  int n = 0;
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = task_of(r, &p->ends[i]);
    if (!t || p->ends[i].how != TMX_END_DONE || t->job->fin) continue;
    if (t->job->n_done + ++t->job->n_ending == t->job->spec.tasks) n++;
  }
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = task_of(r, &p->ends[i]);
    if (t) t->job->n_ending = 0;
  }
  return n;
}

/* The log's order in a batch: ends, machines, placements and stops. */
static void commit(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  struct tmx_replica *r = &c->rep;
  struct tmx_check check;
  /* the version in production does not read lines of several operations: see docs/design.md */
  struct batch b = {.p = p, .value_max = tmx_value_room(&c->set), .grouped = r->pipelines};
  char line[TMX_LINE_MAX];
  double budget = tmx_link_budget(c->link);
  struct tmx_job *finished[TMX_FINISHED_MAX];
  size_t n_fin = 0, placed = 0;
  bool more = false, later = false;
  p->puts = TMX_ROUND_PUTS;
  for (size_t i = 0; i < p->n_lines; i++) p->lines[i].sent = false;
  b.spare = c->set.txn_ops - 1;
  if (budget < b.spare + 1) b.spare = (int)floor(budget) - 1;
  if (b.spare < 1) b.spare = 1; /* begin() saw to it that this much may be sent */
  int room_for_ends = (int)fmin(c->set.txn_ops - 1 - b.spare, last_ends(p));
  if (room_for_ends > 0) b.spare += tmx_link_extra(c->link, room_for_ends);
  tmx_txn_if(&b.t, TMX_K_HEAD, r->head);
  tmx_check_begin(&check, r);
  add_arrivals(p, &b);
  if (b.grouped) qsort(p->ends, p->n_ends, sizeof *p->ends, by_group);
  for (size_t i = 0; i < p->n_ends; i++) {
    const struct tmx_op *o = &p->ends[i];
    struct tmx_task *t = task_of(r, o);
    if (!t || t->state != TMX_PLACED || t->attempt != o->attempt) continue;
    /* the last task's end and the job's final state are one transaction */
    bool last = o->how == TMX_END_DONE && !t->job->fin &&
                t->job->n_done + t->job->n_ending + 1 == t->job->spec.tasks;
    /* A job's last end needs a put more. When there is none for it the others go on without it, and
     * the next round waits for enough: or one such end would hold the whole log up for good. */
    if (last && (n_fin == TMX_FINISHED_MAX || b.spare < 2)) {
      p->puts = TMX_ROUND_PUTS + 1;
      later = true;
      if (tmx_log_on(TMX_DEBUG)) tmx_log(TMX_DEBUG, "job: %s is done, and waits for a put", o->job);
      continue;
    }
    if (!add_op(&b, o, last)) {
      more = true;
      break;
    }
    tmx_check_op(&check, o);
    if (o->how == TMX_END_DONE && !t->job->fin) t->job->n_ending++;
    if (!last) continue;
    finished[n_fin++] = t->job;
    b.spare--;
  }
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *t = task_of(r, &p->ends[i]);
    if (t) t->job->n_ending = 0;
  }
  for (size_t i = 0; i < p->n_lines; i++) {
    if (!more && add_line(&b, p->lines[i].text, 0))
      p->lines[i].sent = true;
    else
      more = true;
  }
  struct tmx_worker_facts facts[TMX_REGISTER_MAX];
  size_t n_f = more ? 0 : tmx_workers_unregistered(c->workers, facts, TMX_REGISTER_MAX);
  for (size_t i = 0; i < n_f && !more; i++) {
    snprintf(line, sizeof line, "m %.31s %.63s %.31s %.63s %d 0", facts[i].id, facts[i].addr,
             facts[i].type, facts[i].zone, facts[i].spot);
    more = !add_line(&b, line, 0);
  }
  if (n_f == TMX_REGISTER_MAX) more = true;
  for (size_t i = 0; i < p->plan.n_ops && !more; i++) {
    const struct tmx_op *o = &p->plan.ops[i];
    /* room whose end did not fit into the batch is not free in the log: the check sees that */
    if (!tmx_check_op(&check, o)) continue;
    more = !add_op(&b, o, 0);
    placed += !more;
  }
  flush(&b);
  for (size_t i = 0; i < n_fin; i++) {
    struct tmx_job *j = finished[i];
    char key[TMX_KEY_MAX + 1];
    snprintf(key, sizeof key, TMX_K_JOB "%s", j->id);
    tmx_txn_if(&b.t, key, j->stamp);
    b.v.n = 0;
    tmx_job_encode_final(&b.v, j, TMX_FIN_DONE, r->pipelines ? tmx_wall() : 0,
                         tmx_value_room(&c->set));
    tmx_txn_put(&b.t, key, &b.v, 0);
  }
  add_derived_ends(p, &b);
  tmx_buf_free(&b.list);
  tmx_buf_free(&b.jobs);
  tmx_buf_free(&b.v);
  p->plan.cut |= more || later;
  if (!b.t.n_ops) {
    bool cut = p->plan.cut;
    tmx_buf_free(&b.t.conds);
    tmx_buf_free(&b.t.ops);
    over(p);
    if (cut) tmx_rounds_kick_in(c, 0.1);
    return;
  }
  tmx_txn_head(&b.t, c->set.node);
  if (tmx_log_on(TMX_DEBUG))
    tmx_log(TMX_DEBUG, "round: %zu ends, %zu of %zu planned, %zu looked at, %d keys, resent %d",
            p->n_ends, placed, p->plan.n_ops, p->plan.visits, b.t.n_ops, p->resent);
  p->sent_head = r->head;
  p->sending = tmx_link_commit(c->link, &b.t, true, on_batch, p);
  if (p->sending) return;
  for (size_t i = 0; i < p->n_arrivals; i++) p->arrivals[i]->sent = false;
  over(p);
  tmx_rounds_kick_in(c, TMX_STATE_RETRY_S);
}

/* How long until this member may send a batch, s. Whoever loses the race for head has spent its
 * puts for nothing, so while puts are short each member keeps to its turn of the time of day; the
 * leader has two. A batch that is late finds out by its condition: nothing depends on clocks. */
static double turn(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  size_t n = c->rep.view.n_members;
  int self = tmx_ctl_self(c);
  if (n < 2 || self < 0 || tmx_link_rich(c->link)) return 0;
  double slot = turn_s(c), period = slot * (double)(n + 1);
  double at = fmod(tmx_wall(), period), wait = period;
  for (int k = 0; k < 1 + tmx_link_leading(c->link); k++) {
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
  if (!ready || p->step != PLANNING) return;
  p->step = READY;
  if (!tmx_link_member(c->link) || !tmx_ctl_fresh(c)) {
    over(p);
    tmx_rounds_kick_in(c, TMX_STATE_RETRY_S);
    return;
  }
  if (!p->sending && caught_up(p)) commit(p);
}

static void begin(struct tmx_rounds *p) {
  struct tmx_ctl *c = p->c;
  double now = tmx_now(), budget = tmx_link_budget(c->link);
  /* Rounds are paced by this member's share of the puts. Submissions draw on it too; a round a
   * second goes out in any case, or nothing accepted would ever start. */
  if (budget < p->puts && now - p->round_at < 1.0) {
    tmx_rounds_kick_in(c, fmin(tmx_link_budget_in(c->link, p->puts), 1.0));
    return;
  }
  double wait = turn(p);
  if (wait > 0) {
    tmx_rounds_kick_in(c, wait);
    return;
  }
  p->round_at = now;
  p->resent = 0;
  p->n_ends = tmx_workers_ends(c->workers, p->ends, TMX_ENDS_ROUND);
  struct tmx_round in;
  feed(p, &in);
  p->step = PLANNING;
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
  if (p->step == PLANNING || p->sending) return; /* its end kicks the next one */
  timer(p, TMX_ROUND_IDLE_S);
  bool may = tmx_link_member(c->link) && tmx_ctl_fresh(c);
  if (!may) {
    if (p->step == READY) over(p);
    return;
  }
  if (!caught_up(p)) {
    tmx_rounds_kick_in(c, 0.05); /* events kick it sooner */
    return;
  }
  if (p->step == READY)
    commit(p);
  else
    begin(p);
}

bool tmx_rounds_planning(const struct tmx_rounds *p) { return p->step == PLANNING; }

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
  for (size_t i = 0; i < p->n_arrivals; i++) free_arrival(p->arrivals[i]);
  pthread_cond_destroy(&p->more);
  pthread_mutex_destroy(&p->lock);
  free(p);
}
