/* What fits where: the machines that may take a task, and their order. */
#include "core/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

bool tmx_fit_suits(const struct group *g, const struct tmx_job_spec *spec) {
  return (!g->spot || spec->spot_allowed) && spec->cpus <= g->cpus + EPS &&
         spec->gpus <= g->gpus + EPS && spec->mem_gb <= g->mem + EPS &&
         tmx_type_allowed(spec, g->type);
}

static bool avoided(const struct pj *j, const struct pm *p) {
  for (int i = 0; i < 4; i++)
    if (j->r.avoid[i][0] && !strcmp(j->r.avoid[i], p->r.id)) return true;
  return false;
}

static bool room(const struct pm *p, const struct tmx_job_spec *spec, bool soon) {
  double k = soon ? 1 : 0;
  return p->r.ucpus - k * p->r.scpus + spec->cpus <= p->r.cpus + EPS &&
         p->r.ugpus - k * p->r.sgpus + spec->gpus <= p->r.gpus + EPS &&
         p->r.umem - k * p->r.smem + spec->mem_gb <= p->r.mem + EPS;
}

/* How long the image still takes to be there; one that is being fetched is not there yet. */
static double fetch_time(const struct tmx_plan_machine *m, const struct tmx_job_spec *spec,
                         double now) {
  double whole = m->fetch > 0 ? spec->image_gb / m->fetch : 0;
  for (size_t i = 0; i < m->n_images; i++)
    if (m->images[i].id == spec->image_id)
      return fmax(0, whole - (now - m->images[i].fetch_started_at));
  return whole;
}

/* The booked share of the most-asked resource; an image that must still be fetched counts as
 * room booked, the more of it the less time the job's class has to start (ours: the measure is
 * open in the design). */
double tmx_booked_measure(const struct tmx_plan_machine *m, const struct tmx_job_spec *spec,
                          double now) {
  double ask[3] = {m->cpus > 0 ? spec->cpus / m->cpus : 0, m->gpus > 0 ? spec->gpus / m->gpus : 0,
                   m->mem > 0 ? spec->mem_gb / m->mem : 0};
  double used[3] = {m->cpus > 0 ? m->ucpus / m->cpus : 0, m->gpus > 0 ? m->ugpus / m->gpus : 0,
                    m->mem > 0 ? m->umem / m->mem : 0};
  int top = 0;
  for (int i = 1; i < 3; i++)
    if (ask[i] > ask[top]) top = i;
  return used[top] + fmin(fetch_time(m, spec, now) / spec->fetch_tolerance_s, 3.0);
}

/* Spot machines are taken back, and what runs there is lost. A task that could not make that good
 * before its job's next aim goes elsewhere if there is room; the others leave that room to it, and
 * to services. */
static bool second_choice(const struct round *r, const struct pj *j, bool spot) {
  const struct tmx_job_spec *spec = j->r.spec;
  if (spec->service || !spec->spot_allowed) return false;
  double left = j->r.next_aim_s - (r->in->wall - j->r.released);
  double lost = spec->checkpoint_s > 0 ? fmin(spec->checkpoint_s, j->r.run_s) : j->r.run_s;
  return spot == (left < j->r.run_s + lost + TMX_PATIENCE_S);
}

static double value(const struct round *r, const struct pj *j, const struct pm *p) {
  const struct tmx_job_spec *spec = j->r.spec;
  double v = tmx_booked_measure(&p->r, spec, r->in->now);
  if (second_choice(r, j, p->r.spot)) v += SECOND;
  /* the fetch alone would use up the time that the class has to start */
  if (fetch_time(&p->r, spec, r->in->now) > spec->fetch_tolerance_s * 0.6) v += COLD;
  return avoided(j, p) ? v + AVOIDED : v;
}

static uint32_t live_on(const struct pj *j, const struct pm *p) {
  uint32_t n = 0;
  for (size_t i = 0; i < p->r.n_tasks; i++) n += p->r.tasks[i].job == j->r.slot;
  return n;
}

static bool zone_ok(const struct round *r, const struct pj *j, int zone) {
  const struct tmx_job_spec *spec = j->r.spec;
  if (j->r.zone_live[zone] >= tmx_zone_cap(spec, r->in->n_zones)) return false;
  if (spec->same_zone)
    for (size_t z = 0; z < r->in->n_zones; z++)
      if ((int)z != zone && j->r.zone_live[z]) return false;
  return true;
}

bool tmx_fit_quota(const struct round *r, const struct pj *j) {
  if (j->r.team < 0) return false;
  const struct tmx_team_conf *t = &r->in->teams[j->r.team];
  const struct tmx_usage *usage = &r->usage[j->r.team];
  if (t->cpus_max > 0 && usage->cpus + j->r.spec->cpus > t->cpus_max + EPS) return false;
  if (t->gpus_max > 0 && usage->gpus + j->r.spec->gpus > t->gpus_max + EPS) return false;
  return true;
}

/* Services to people come first, then what teams are guaranteed, then the rest. */
int tmx_fit_standing(const struct pj *j) {
  return j->r.priority == TMX_PRIORITY_PROD ? 2 : j->guaranteed;
}

/* Only work that also stands behind in the order of placing is stopped: anything else would be
 * placed again in the very room that was made, and stopped again. Work that stands in no
 * guarantee waits for room; stopping others for it would cost more than it gains. */
static bool may_stop(const struct round *r, const struct pj *j, const struct tmx_plan_task *v) {
  const struct pj *o = v->job >= 0 && (size_t)v->job < r->md->cap_j ? r->md->j[v->job] : NULL;
  if (!o || v->stopping || tmx_fit_standing(j) <= tmx_fit_standing(o)) return false;
  if (o->r.priority < j->r.priority) return true;
  if (!j->guaranteed || o->r.team == j->r.team || o->r.team < 0 || o->r.spec->service) return false;
  const struct tmx_team_conf *t = &r->in->teams[o->r.team];
  return r->usage[o->r.team].cpus - o->r.spec->cpus >= t->cpus - EPS &&
         r->usage[o->r.team].gpus - o->r.spec->gpus >= t->gpus - EPS;
}

static double lost_work(const struct round *r, const struct tmx_plan_task *t) {
  const struct tmx_job_spec *spec = r->md->j[t->job]->r.spec;
  if (spec->checkpoint_s > 0) return spec->checkpoint_save_s + 1; /* it saves before it goes */
  return r->in->now - t->lost_since;
}

/* Stops the cheapest tasks of one machine until the task fits. do_it: marks and emits them.
 * Returns their cost; <0: it cannot be. */
double tmx_fit_victims(struct round *r, const struct pj *j, struct pm *p, bool do_it) {
  const struct tmx_job_spec *spec = j->r.spec;
  double c = p->r.cpus - p->r.ucpus + p->r.scpus, g = p->r.gpus - p->r.ugpus + p->r.sgpus,
         e = p->r.mem - p->r.umem + p->r.smem, cost = 0;
  size_t n = p->r.n_tasks, chosen = 0;
  r->visits += n;
  bool *taken = NULL;
  while (c + EPS < spec->cpus || g + EPS < spec->gpus || e + EPS < spec->mem_gb) {
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
    e += o->r.spec->mem_gb;
    cost += best_lost + 1 + 20.0 * best_prio;
    if (do_it) {
      tmx_step_emit(r, TMX_OPERATION_STOP, o, best->task, best->attempt)->reason =
          o->r.spec->checkpoint_s > 0 && !spec->service ? '2' : '1';
      tmx_step_touch(r, p);
      tmx_step_mark(r, p, (size_t)(best - p->r.tasks));
      p->r.scpus += o->r.spec->cpus;
      p->r.sgpus += o->r.spec->gpus;
      p->r.smem += o->r.spec->mem_gb;
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
    double cost = tmx_fit_victims(r, j, p, false);
    if (cost < 0) return false;
    *v = cost / 1e6 + (*v >= COLD ? COLD : 0); /* below COLD: the cheapest, warm ones first */
  }
  return true;
}

static bool as_large(const struct tmx_job_spec *spec, const struct tmx_job_spec *t) {
  if (spec->cpus + EPS < t->cpus || spec->gpus + EPS < t->gpus || spec->mem_gb + EPS < t->mem_gb)
    return false;
  if (spec->spot_allowed && !t->spot_allowed) return false;
  if (strcmp(spec->zone, t->zone) || spec->n_types != t->n_types) return false;
  return !spec->n_types || !memcmp(spec->types, t->types, sizeof spec->types[0] * spec->n_types);
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
  const struct tmx_job_spec *spec = j->r.spec;
  size_t n = 0;
  set->built = true;
  for (size_t z = 0; z < TMX_ZONES_MAX; z++) set->zone[z].n = 0;
  set->none = is_blocked(r, j, what);
  if (set->none) return;
  r->in_the_way = false;
  for (size_t k = 0; k < r->md->n_groups; k++) {
    const struct group *g = &r->md->groups[k];
    if (what == SOON || !g->n_usable || !tmx_fit_suits(g, spec)) continue;
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
    if (p->group < 0 || !tmx_fit_suits(&r->md->groups[p->group], spec)) continue;
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
int tmx_fit_best(struct round *r, struct pj *j, int what, bool warm) {
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

static uint32_t eligible(const struct round *r, const struct tmx_job_spec *spec) {
  uint32_t n = 0;
  for (size_t k = 0; k < r->md->n_groups; k++)
    if (tmx_fit_suits(&r->md->groups[k], spec)) n += r->md->groups[k].n_usable;
  return n;
}

void tmx_fit_begin(struct round *r, const struct pj *j) {
  for (int i = 0; i < SETS; i++) r->sets[i].built = r->sets[i].none = false;
  r->n_eligible = eligible(r, j->r.spec);
  r->cap = tmx_machine_cap(j->r.spec, r->n_eligible);
}
