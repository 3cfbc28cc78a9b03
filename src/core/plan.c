/* The greedy round after the affinity draft: see docs/design.md for what was kept. */
#include "core/plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/model.h"

#define EPS 1e-6

uint32_t tmx_zone_cap(const struct tmx_spec *s, size_t zones) {
  if (s->one_zone || s->zone[0] || zones < 2) {
    return s->spread ? (s->tasks + 1) / 2 : s->tasks;
  }
  uint32_t cap = s->service ? (uint32_t)((s->tasks + zones - 1) / zones) : s->tasks;
  uint32_t half = (s->tasks + 1) / 2; /* PROTOCOL: at most half, rounded up, in one zone */
  return s->spread && half < cap ? half : cap;
}

uint32_t tmx_machine_cap(const struct tmx_spec *s, uint32_t eligible) {
  if (!s->service) return UINT32_MAX;
  if (eligible == 0 || eligible >= s->tasks) return 1;
  return (s->tasks + eligible - 1) / eligible;
}

bool tmx_type_allowed(const struct tmx_spec *s, const char *type) {
  if (!s->n_types) return true;
  for (size_t i = 0; i < s->n_types; i++)
    if (!strcmp(s->types[i], type)) return true;
  return false;
}

struct cand { /* a machine that may take a task: the lower the better */
  double v;
  int m;
};
struct heap {
  struct cand *c;
  size_t n, cap;
};
struct set { /* the machines for one job, by zone */
  bool built, none;
  struct heap zone[TMX_ZONES_MAX];
};
struct shape { /* what found no room: nothing as large is tried again in this round */
  const struct pj *j;
  int what;
};
enum { OWN, ANY, SOON, VICTIMS, SETS }; /* the first three in this order: see place */
#define SHAPES 48
#define SECOND 1.0    /* added to the measure of a machine of the kind that comes second */
#define COLD 10.0     /* added to the measure of a machine where a fetch would make it late */
#define AVOIDED 100.0 /* ... where the job failed lately */

struct mark { /* a task that this round stops */
  struct pm *p;
  size_t task;
};
struct round {
  struct tmx_model *md;
  const struct tmx_round *in;
  struct tmx_plan_output *out;
  struct tmx_usage usage[TMX_TEAMS_MAX];
  size_t visits, limit; /* looked at, and at most in this part of the order */
  struct pm **undo;
  size_t n_undo, cap_undo;
  struct pj **undo_j;
  size_t n_undo_j, cap_undo_j;
  struct mark *marks;
  size_t n_marks, cap_marks;
  struct shape blocked[SHAPES];
  size_t n_blocked;
  bool in_the_way; /* a machine was passed over for the job's own sake: its replicas, its errors */
  int *stopping;   /* machines with room on its way */
  size_t n_stopping, cap_stopping;
  struct set sets[SETS]; /* of the job at hand; their memory is kept */
  uint32_t n_eligible, cap;
};

/* ------------------------------------------------------------ steps of the round, taken back */

static void touch(struct round *r, struct pm *p) {
  if (p->touched == r->md->round) return;
  p->touched = r->md->round;
  p->saved = (struct saved){p->r.ucpus, p->r.ugpus, p->r.umem,   p->r.scpus,
                            p->r.sgpus, p->r.smem,  p->r.n_tasks};
  r->undo = tmx_grow(r->undo, &r->cap_undo, r->n_undo + 1, sizeof *r->undo);
  r->undo[r->n_undo++] = p;
}

static void touch_job(struct round *r, struct pj *j) {
  if (j->touched == r->md->round) return;
  j->touched = r->md->round;
  memcpy(j->saved_zone, j->r.zone_live, sizeof j->saved_zone);
  r->undo_j = tmx_grow(r->undo_j, &r->cap_undo_j, r->n_undo_j + 1, sizeof *r->undo_j);
  r->undo_j[r->n_undo_j++] = j;
}

static void mark(struct round *r, struct pm *p, size_t task) {
  r->marks = tmx_grow(r->marks, &r->cap_marks, r->n_marks + 1, sizeof *r->marks);
  r->marks[r->n_marks++] = (struct mark){p, task};
  p->r.tasks[task].stopping = true;
}

static void take_back(struct round *r) {
  for (size_t i = 0; i < r->n_marks; i++) r->marks[i].p->r.tasks[r->marks[i].task].stopping = false;
  for (size_t i = 0; i < r->n_undo; i++) {
    struct pm *p = r->undo[i];
    p->r.ucpus = p->saved.ucpus;
    p->r.ugpus = p->saved.ugpus;
    p->r.umem = p->saved.umem;
    p->r.scpus = p->saved.scpus;
    p->r.sgpus = p->saved.sgpus;
    p->r.smem = p->saved.smem;
    p->r.n_tasks = p->saved.n_tasks;
  }
  for (size_t i = 0; i < r->n_undo_j; i++)
    memcpy(r->undo_j[i]->r.zone_live, r->undo_j[i]->saved_zone, sizeof r->undo_j[i]->saved_zone);
}

static struct tmx_op *emit(struct round *r, char op, const struct pj *j, uint32_t task,
                           uint32_t attempt) {
  struct tmx_plan_output *out = r->out;
  out->ops = tmx_grow(out->ops, &out->cap, out->n_ops + 1, sizeof *out->ops);
  struct tmx_op *o = &out->ops[out->n_ops++];
  memset(o, 0, sizeof *o);
  o->op = op;
  o->task = task;
  o->attempt = attempt;
  memcpy(o->job, j->r.id, sizeof o->job);
  return o;
}

/* ------------------------------------------------------------ what fits where */

static bool group_suits(const struct group *g, const struct tmx_spec *s) {
  return (!g->spot || s->spot) && s->cpus <= g->cpus + EPS && s->gpus <= g->gpus + EPS &&
         s->mem <= g->mem + EPS && tmx_type_allowed(s, g->type);
}

static bool avoided(const struct pj *j, const struct pm *p) {
  for (int i = 0; i < 4; i++)
    if (j->r.avoid[i][0] && !strcmp(j->r.avoid[i], p->r.id)) return true;
  return false;
}

static bool room(const struct pm *p, const struct tmx_spec *s, bool soon) {
  double k = soon ? 1 : 0;
  return p->r.ucpus - k * p->r.scpus + s->cpus <= p->r.cpus + EPS &&
         p->r.ugpus - k * p->r.sgpus + s->gpus <= p->r.gpus + EPS &&
         p->r.umem - k * p->r.smem + s->mem <= p->r.mem + EPS;
}

/* How long the image still takes to be there; one that is being fetched is not there yet. */
static double fetch_time(const struct tmx_plan_machine *m, const struct tmx_spec *s, double now) {
  double whole = m->fetch > 0 ? s->image_gb / m->fetch : 0;
  for (size_t i = 0; i < m->n_images; i++)
    if (m->images[i].id == s->image_id) return fmax(0, whole - (now - m->images[i].since));
  return whole;
}

/* The booked share of the most-asked resource; an image that must still be fetched counts as
 * room booked, the more of it the less time the job's class has to start (ours: the measure is
 * open in the design). */
double tmx_booked_measure(const struct tmx_plan_machine *m, const struct tmx_spec *s, double now) {
  double ask[3] = {m->cpus > 0 ? s->cpus / m->cpus : 0, m->gpus > 0 ? s->gpus / m->gpus : 0,
                   m->mem > 0 ? s->mem / m->mem : 0};
  double used[3] = {m->cpus > 0 ? m->ucpus / m->cpus : 0, m->gpus > 0 ? m->ugpus / m->gpus : 0,
                    m->mem > 0 ? m->umem / m->mem : 0};
  int top = 0;
  for (int i = 1; i < 3; i++)
    if (ask[i] > ask[top]) top = i;
  return used[top] + fmin(fetch_time(m, s, now) / s->patience_s, 3.0);
}

/* Spot machines are taken back, and what runs there is lost. A task that could not make that good
 * before its job's next aim goes elsewhere if there is room; the others leave that room to it, and
 * to services. */
static bool second_choice(const struct round *r, const struct pj *j, bool spot) {
  const struct tmx_spec *s = j->r.spec;
  if (s->service || !s->spot) return false;
  double left = j->r.next_aim_s - (r->in->wall - j->r.released);
  double lost = s->checkpoint_s > 0 ? fmin(s->checkpoint_s, j->r.run_s) : j->r.run_s;
  return spot == (left < j->r.run_s + lost + TMX_PATIENCE_S);
}

static double value(const struct round *r, const struct pj *j, const struct pm *p) {
  const struct tmx_spec *s = j->r.spec;
  double v = tmx_booked_measure(&p->r, s, r->in->now);
  if (second_choice(r, j, p->r.spot)) v += SECOND;
  /* the fetch alone would use up the time that the class has to start */
  if (fetch_time(&p->r, s, r->in->now) > s->patience_s * 0.6) v += COLD;
  return avoided(j, p) ? v + AVOIDED : v;
}

static uint32_t live_on(const struct pj *j, const struct pm *p) {
  uint32_t n = 0;
  for (size_t i = 0; i < p->r.n_tasks; i++) n += p->r.tasks[i].job == j->r.slot;
  return n;
}

static bool zone_ok(const struct round *r, const struct pj *j, int zone) {
  const struct tmx_spec *s = j->r.spec;
  if (j->r.zone_live[zone] >= tmx_zone_cap(s, r->in->n_zones)) return false;
  if (s->one_zone)
    for (size_t z = 0; z < r->in->n_zones; z++)
      if ((int)z != zone && j->r.zone_live[z]) return false;
  return true;
}

static bool quota_ok(const struct round *r, const struct pj *j) {
  if (j->r.team < 0) return false;
  const struct tmx_team_conf *t = &r->in->teams[j->r.team];
  const struct tmx_usage *u = &r->usage[j->r.team];
  if (t->cpus_max > 0 && u->cpus + j->r.spec->cpus > t->cpus_max + EPS) return false;
  if (t->gpus_max > 0 && u->gpus + j->r.spec->gpus > t->gpus_max + EPS) return false;
  return true;
}

/* Services to people come first, then what teams are guaranteed, then the rest. */
static int standing(const struct pj *j) {
  return j->r.priority == TMX_PRIO_PROD ? 2 : j->guaranteed;
}

/* Only work that also stands behind in the order of placing is stopped: anything else would be
 * placed again in the very room that was made, and stopped again. Work that stands in no
 * guarantee waits for room; stopping others for it would cost more than it gains. */
static bool may_stop(const struct round *r, const struct pj *j, const struct tmx_plan_task *v) {
  const struct pj *o = v->job >= 0 && (size_t)v->job < r->md->cap_j ? r->md->j[v->job] : NULL;
  if (!o || v->stopping || standing(j) <= standing(o)) return false;
  if (o->r.priority < j->r.priority) return true;
  if (!j->guaranteed || o->r.team == j->r.team || o->r.team < 0 || o->r.spec->service) return false;
  const struct tmx_team_conf *t = &r->in->teams[o->r.team];
  return r->usage[o->r.team].cpus - o->r.spec->cpus >= t->cpus - EPS &&
         r->usage[o->r.team].gpus - o->r.spec->gpus >= t->gpus - EPS;
}

static double lost_work(const struct round *r, const struct tmx_plan_task *t) {
  const struct tmx_spec *s = r->md->j[t->job]->r.spec;
  if (s->checkpoint_s > 0) return s->save_s + 1; /* it saves before it goes */
  return r->in->now - t->lost_since;
}

/* Stops the cheapest tasks of one machine until the task fits. do_it: marks and emits them.
 * Returns their cost; <0: it cannot be. */
static double victims(struct round *r, const struct pj *j, struct pm *p, bool do_it) {
  const struct tmx_spec *s = j->r.spec;
  double c = p->r.cpus - p->r.ucpus + p->r.scpus, g = p->r.gpus - p->r.ugpus + p->r.sgpus,
         e = p->r.mem - p->r.umem + p->r.smem, cost = 0;
  size_t n = p->r.n_tasks, chosen = 0;
  r->visits += n;
  bool *taken = NULL;
  while (c + EPS < s->cpus || g + EPS < s->gpus || e + EPS < s->mem) {
    struct tmx_plan_task *best = NULL;
    double best_lost = 0;
    int best_prio = 0;
    for (size_t k = 0; k < n; k++) {
      struct tmx_plan_task *t = &p->r.tasks[k];
      if ((taken && taken[k]) || !may_stop(r, j, t)) continue;
      /* lower priority first, then the least lost work */
      int prio = r->md->j[t->job]->r.priority;
      double lost = lost_work(r, t);
      if (best && (prio > best_prio || (prio == best_prio && lost >= best_lost))) continue;
      best = t;
      best_lost = lost;
      best_prio = prio;
    }
    if (!best) {
      free(taken);
      return -1;
    }
    if (!taken) taken = calloc(n, 1);
    if (!taken) abort();
    taken[best - p->r.tasks] = true;
    chosen++;
    const struct pj *o = r->md->j[best->job];
    c += o->r.spec->cpus;
    g += o->r.spec->gpus;
    e += o->r.spec->mem;
    cost += best_lost + 1 + 20.0 * best_prio;
    if (do_it) {
      emit(r, TMX_OP_STOP, o, best->task, best->attempt)->how =
          o->r.spec->checkpoint_s > 0 && !s->service ? '2' : '1';
      touch(r, p);
      mark(r, p, (size_t)(best - p->r.tasks));
      p->r.scpus += o->r.spec->cpus;
      p->r.sgpus += o->r.spec->gpus;
      p->r.smem += o->r.spec->mem;
    }
  }
  free(taken);
  return chosen ? cost : -1;
}

/* ------------------------------------------------------------ candidates */

static void sift_down(struct heap *h, size_t i) {
  for (;;) {
    size_t k = 2 * i + 1;
    if (k >= h->n) return;
    if (k + 1 < h->n && h->c[k + 1].v < h->c[k].v) k++;
    if (h->c[i].v <= h->c[k].v) return;
    struct cand t = h->c[i];
    h->c[i] = h->c[k];
    h->c[k] = t;
    i = k;
  }
}

static void add(struct heap *h, double v, int m) {
  h->c = tmx_grow(h->c, &h->cap, h->n + 1, sizeof *h->c);
  h->c[h->n++] = (struct cand){v, m};
}

/* May the job's next task go there; v: its value. */
static bool judge(struct round *r, const struct pj *j, struct pm *p, int what, double *v) {
  if (!p->r.usable || p->r.drain) return false;
  if (what == OWN && p->r.owner != j->r.planner) return false;
  if (what != VICTIMS && !room(p, j->r.spec, what == SOON)) return false;
  if (j->r.spec->service && live_on(j, p) >= r->cap) {
    r->in_the_way = true;
    return false;
  }
  *v = value(r, j, p);
  if (what == VICTIMS) {
    if (*v >= AVOIDED) {
      r->in_the_way = true;
      return false;
    }
    double cost = victims(r, j, p, false);
    if (cost < 0) return false;
    *v = cost / 1e6 + (*v >= COLD ? COLD : 0); /* below COLD: the cheapest, warm ones first */
  }
  return true;
}

static bool as_large(const struct tmx_spec *s, const struct tmx_spec *t) {
  if (s->cpus + EPS < t->cpus || s->gpus + EPS < t->gpus || s->mem + EPS < t->mem) return false;
  if (s->spot && !t->spot) return false;
  if (strcmp(s->zone, t->zone) || s->n_types != t->n_types) return false;
  return !s->n_types || !memcmp(s->types, t->types, sizeof s->types[0] * s->n_types);
}

/* Whether what one of them finds says something of the other: by its own part only those of one
 * controller, and what may be stopped depends on team and standing. */
static bool alike(const struct pj *a, const struct pj *b, int what) {
  if (what == OWN) return a->r.planner == b->r.planner;
  if (what != VICTIMS) return true;
  return a->r.team == b->r.team && a->r.priority == b->r.priority && a->guaranteed == b->guaranteed;
}

static bool is_blocked(const struct round *r, const struct pj *j, int what) {
  for (size_t i = 0; i < r->n_blocked; i++) {
    const struct shape *b = &r->blocked[i];
    if (b->what == what && alike(b->j, j, what) && as_large(j->r.spec, b->j->r.spec)) return true;
  }
  return false;
}

/* The smallest are kept, as they speak for the most. */
static void block(struct round *r, const struct pj *j, int what) {
  size_t i;
  for (i = 0; i < r->n_blocked; i++) {
    const struct shape *b = &r->blocked[i];
    if (b->what == what && alike(b->j, j, what) && as_large(b->j->r.spec, j->r.spec)) break;
  }
  if (i == SHAPES) return;
  r->blocked[i] = (struct shape){j, what};
  r->n_blocked += i == r->n_blocked;
}

static void build(struct round *r, const struct pj *j, int what) {
  struct set *set = &r->sets[what];
  const struct tmx_spec *s = j->r.spec;
  size_t n = 0;
  set->built = true;
  for (size_t z = 0; z < TMX_ZONES_MAX; z++) set->zone[z].n = 0;
  set->none = is_blocked(r, j, what);
  if (set->none) return;
  r->in_the_way = false;
  for (size_t k = 0; k < r->md->n_groups; k++) {
    const struct group *g = &r->md->groups[k];
    if (what == SOON || !g->n_usable || !group_suits(g, s)) continue;
    if (j->r.zone >= 0 && g->zone != j->r.zone) continue;
    r->visits += g->n;
    for (size_t i = 0; i < g->n; i++) {
      double v;
      if (!judge(r, j, r->md->m[g->slots[i]], what, &v)) continue;
      add(&set->zone[g->zone], v, g->slots[i]);
      n++;
    }
  }
  for (size_t i = 0; what == SOON && i < r->n_stopping; i++) {
    struct pm *p = r->md->m[r->stopping[i]];
    double v;
    r->visits++;
    if (p->group < 0 || !group_suits(&r->md->groups[p->group], s)) continue;
    if ((j->r.zone >= 0 && p->r.zone != j->r.zone) || !judge(r, j, p, what, &v)) continue;
    add(&set->zone[p->r.zone], v, p->r.slot);
    n++;
  }
  for (size_t z = 0; z < r->in->n_zones; z++)
    for (size_t i = set->zone[z].n / 2; i-- > 0;) sift_down(&set->zone[z], i);
  set->none = !n;
  if (!n && !r->in_the_way) block(r, j, what);
}

/* The best machine for the job's next task; -1: none. warm: only where its image lies. */
static int best(struct round *r, struct pj *j, int what, bool warm) {
  struct set *set = &r->sets[what];
  if (!set->built) build(r, j, what);
  if (set->none) return -1;
  int m = -1;
  double top = 0;
  for (size_t z = 0; z < r->in->n_zones; z++) {
    struct heap *h = &set->zone[z];
    if (!h->n || !zone_ok(r, j, (int)z)) continue;
    while (h->n) { /* what the round did since may have changed the first ones */
      struct pm *p = r->md->m[h->c[0].m];
      double v;
      r->visits++;
      if (!judge(r, j, p, what, &v)) {
        h->c[0] = h->c[--h->n];
        sift_down(h, 0);
      } else if (v > h->c[0].v + EPS) {
        h->c[0].v = v;
        sift_down(h, 0);
      } else {
        break;
      }
    }
    if (!h->n || (warm && h->c[0].v >= COLD)) continue;
    /* a service's zones are filled evenly first */
    double v = h->c[0].v + (j->r.spec->service ? 4.0 * j->r.zone_live[z] : 0);
    if (m < 0 || v < top) {
      m = h->c[0].m;
      top = v;
    }
  }
  return m;
}

/* real: placed; else room is held for it until the stopped tasks are gone */
static void take(struct round *r, struct pj *j, int m, bool real) {
  struct pm *p = r->md->m[m];
  const struct tmx_spec *s = j->r.spec;
  touch(r, p);
  p->r.ucpus += s->cpus;
  p->r.ugpus += s->gpus;
  p->r.umem += s->mem;
  p->r.tasks = tmx_grow(p->r.tasks, &p->cap_tasks, p->r.n_tasks + 1, sizeof *p->r.tasks);
  p->r.tasks[p->r.n_tasks++] = (struct tmx_plan_task){.job = j->r.slot, .stopping = true};
  touch_job(r, j);
  j->r.zone_live[p->r.zone]++;
  if (!real) return;
  r->usage[j->r.team].cpus += s->cpus;
  r->usage[j->r.team].gpus += s->gpus;
}

/* ------------------------------------------------------------ one job */

static uint32_t eligible(const struct round *r, const struct tmx_spec *s) {
  uint32_t n = 0;
  for (size_t k = 0; k < r->md->n_groups; k++)
    if (group_suits(&r->md->groups[k], s)) n += r->md->groups[k].n_usable;
  return n;
}

static void begin_job(struct round *r, const struct pj *j) {
  for (int i = 0; i < SETS; i++) r->sets[i].built = r->sets[i].none = false;
  r->n_eligible = eligible(r, j->r.spec);
  r->cap = tmx_machine_cap(j->r.spec, r->n_eligible);
}

/* The leader stops others for it; the room is held until they are gone. */
static bool make_room(struct round *r, struct pj *j, bool warm) {
  if (!r->in->leading || !standing(j)) return false;
  int m = best(r, j, VICTIMS, warm);
  if (m < 0 || victims(r, j, r->md->m[m], true) < 0) return false;
  take(r, j, m, false);
  return true;
}

static bool hold_soon(struct round *r, struct pj *j, bool warm) {
  int m = best(r, j, SOON, warm);
  if (m < 0) return false;
  take(r, j, m, false);
  return true;
}

/* Places up to max of the job's waiting tasks; returns how many were placed. */
static uint32_t place(struct round *r, struct pj *j, uint32_t max) {
  const struct tmx_round *in = r->in;
  bool mine = j->r.planner == in->self;
  bool grace = in->now - j->r.stuck_since <= in->grace;
  uint32_t placed = 0;
  if (j->next_wait >= j->r.n_waits || j->r.team < 0 || j->r.retry_at > in->now) return 0;
  /* Another's job that stands before the arrays here is given its room on paper, or what the leader
   * frees for it would be filled again at once. */
  bool aside = !mine && !in->leading;
  if (aside && !standing(j)) return 0;
  /* while its own controller may still get to it, the leader takes only what finds no room there */
  bool theirs = !mine && grace;
  begin_job(r, j);
  while (j->next_wait < j->r.n_waits && placed < max) {
    if (r->out->n_ops >= in->max_ops || r->visits > r->limit) {
      r->out->cut = true;
      break;
    }
    if (!quota_ok(r, j)) return placed; /* waits for its own team: more machines would not help */
    int m = best(r, j, OWN, true);
    if (aside) {
      for (int k = 1; m < 0 && k < 6; k++) m = best(r, j, k % 3, k < 3);
      if (m < 0) return placed;
      take(r, j, m, true);
      j->next_wait++;
      continue;
    }
    if (theirs && (m >= 0 || (standing(j) != 2 && (m = best(r, j, OWN, false)) >= 0))) {
      take(r, j, m, true); /* room that the other is about to use */
      j->next_wait++;
      continue;
    }
    /* too large for its part: the leader looks in every part */
    if (m < 0 && in->leading) m = best(r, j, ANY, true);
    if (m < 0 && standing(j) == 2) {
      /* Room is only where a fetch would make it late: room where the image lies comes first. */
      if (in->leading && (hold_soon(r, j, true) || make_room(r, j, true))) {
        j->next_wait++;
        r->out->unplaced++;
        continue;
      }
      if (!in->leading && grace) break;
    }
    if (m < 0) m = best(r, j, OWN, false);
    if (m < 0 && in->leading) m = best(r, j, ANY, false);
    if (m >= 0) {
      struct tmx_plan_wait *w = &j->r.waits[j->next_wait++];
      struct tmx_op *o = emit(r, TMX_OP_PLACE, j, w->task, w->attempt);
      memcpy(o->machine, r->md->m[m]->r.id, sizeof o->machine);
      o->cap = r->cap;
      take(r, j, m, true);
      placed++;
      continue;
    }
    if (!in->leading || (!hold_soon(r, j, false) && !make_room(r, j, false))) break;
    j->next_wait++;
    r->out->unplaced++;
  }
  if (placed < max) r->out->unplaced += (uint32_t)(j->r.n_waits - j->next_wait);
  return placed;
}

/* Places up to max tasks of each of these jobs, in order. When so many find no room that the
 * round's bound is reached, the next round goes on with the jobs that were not looked at: those
 * that wait for room again and again must not keep a round from those that would find some. */
static uint32_t place_all(struct round *r, struct pj **v, size_t n, uint32_t max, int *cut) {
  size_t from = 0;
  uint32_t placed = 0;
  for (size_t k = 0; k < n && *cut >= 0; k++)
    if (v[k]->r.slot == *cut) from = k;
  *cut = -1;
  for (size_t k = 0; k < n; k++) {
    struct pj *j = v[(from + k) % n];
    placed += place(r, j, max);
    if (r->visits <= r->limit || k + 1 == n) continue;
    r->out->cut = true;
    *cut = v[(from + k + 1) % n]->r.slot;
    break;
  }
  return placed;
}

/* ------------------------------------------------------------ the order */

/* The place of an array in the order, lower first. What can still meet an aim comes before what
 * cannot, the least remaining work first, since that brings the most jobs home in time. */
static double order_of(const struct tmx_round *in, const struct tmx_plan_job *j) {
  const struct tmx_spec *s = j->spec;
  double waited = in->wall - j->released, run = fmax(j->run_s, 1);
  uint32_t left = s->tasks - j->n_done, waiting = left - j->n_placed;
  double work = (waiting + 0.5 * j->n_placed) * fmax(s->cpus, 0.1) * run;
  return waited + run > j->aim_s ? 1e9 + work : work;
}

static int by_release(const void *a, const void *b) {
  const struct pj *x = *(struct pj *const *)a, *y = *(struct pj *const *)b;
  if (x->r.released != y->r.released) return x->r.released < y->r.released ? -1 : 1;
  return strcmp(x->r.id, y->r.id);
}

static int by_rank(const void *a, const void *b) {
  const struct pj *x = *(struct pj *const *)a, *y = *(struct pj *const *)b;
  int px = standing(x), py = standing(y);
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
        begin_job(r, j);
        touch_job(r, j);
        j->r.zone_live[p->r.zone]--;
        int to = best(r, j, ANY, true);
        j->r.zone_live[p->r.zone]++;
        if (to < 0) continue;
        take(r, j, to, false);
        t = &p->r.tasks[k];
        emit(r, TMX_OP_STOP, j, t->task, t->attempt)->how = '1';
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
    const struct tmx_spec *s = j->r.spec;
    j->next_wait = 0;
    j->order = order_of(in, &j->r);
    j->guaranteed = false;
    if (j->r.team < 0) continue;
    const struct tmx_team_conf *t = &in->teams[j->r.team];
    struct tmx_usage *u = &asked[j->r.team];
    uint32_t left = s->tasks - j->r.n_done;
    u->cpus += left * s->cpus;
    u->gpus += left * s->gpus;
    j->guaranteed = t->cpus > 0 && u->cpus <= t->cpus + EPS && u->gpus <= t->gpus + EPS;
  }
}

static double waited(const struct round *r, const struct pj *j) {
  return r->in->wall - j->r.released;
}

/* One task of the oldest job that finds room, for each account whose turn it is. */
static uint32_t place_turns(struct round *r, struct pj **by_age, size_t n) {
  bool served[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX] = {{false}};
  uint32_t placed = 0;
  if (r->in->turns.start_s <= 0) return 0;
  for (size_t k = 0; k < n && r->visits <= r->limit; k++) {
    struct pj *j = by_age[k];
    if (j->r.team < 0 || standing(j) == 2) continue;
    size_t team = (size_t)j->r.team, account = (size_t)j->r.account;
    if (served[team][account] || !tmx_turn_due(&r->in->turns, team, account, waited(r, j)))
      continue;
    uint32_t got = place(r, j, 1);
    served[team][account] = got > 0;
    placed += got;
  }
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
    if (waited(r, j) < TMX_BEGIN_S || standing(j) == 2) continue;
    if (!j->r.n_done && !j->r.n_placed) begin[n_begin++] = j;
  }
  order_by_turn(r, begin, n_begin);
  place_all(r, begin, n_begin, 1, &r->md->cut_oldest);
  free(begin);
}

/* ... and a share of the room goes to the jobs that are oldest, however large they are. */
static uint32_t place_lane(struct round *r, struct pj **by_age, size_t n) {
  struct tmx_model *md = r->md;
  uint32_t placed = 0;
  for (size_t k = 0; k < n && md->lane_credit >= 1 && r->visits <= r->limit; k++) {
    struct pj *j = by_age[k];
    if (waited(r, j) < TMX_BEGIN_S || standing(j) == 2) continue;
    uint32_t got = place(r, j, (uint32_t)md->lane_credit);
    md->lane_credit -= got;
    placed += got;
  }
  return placed;
}

static void end_round(struct round *r) {
  take_back(r);
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
  while (services < n && standing(order[services]) == 2) services++;
  r.limit = in->max_visits / 2;
  place_all(&r, order, services, UINT32_MAX, &md->cut_services);
  r.limit = r.visits + (in->max_visits - r.limit) / 2;
  uint32_t aside = place_turns(&r, by_age, n);
  place_first_tasks(&r, by_age, n);
  aside += place_lane(&r, by_age, n);
  r.limit = in->max_visits;
  uint32_t rest = place_all(&r, order + services, n - services, UINT32_MAX, &md->cut_arrays);
  md->lane_credit = fmin(md->lane_credit + TMX_LANE_SHARE * (rest + aside), TMX_PLAN_TASKS);
  if (in->leading && !out->unplaced && !out->cut) move_services(&r);
  end_round(&r);
  free(order);
  free(by_age);
}
