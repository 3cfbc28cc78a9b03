#include "core/plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

/* Affinity alone, without room: may the job use this machine at all. */
static bool eligible(const struct tmx_plan_job *j, const struct tmx_plan_machine *m,
                     const struct tmx_plan_input *in) {
  const struct tmx_spec *s = j->spec;
  if (!m->usable || m->zone < 0 || (m->spot && !s->spot)) return false;
  if (s->cpus > m->cpus + EPS || s->gpus > m->gpus + EPS || s->mem > m->mem + EPS) return false;
  if (!tmx_type_allowed(s, m->type)) return false;
  (void)in;
  return true;
}

static bool avoided(const struct tmx_plan_job *j, const struct tmx_plan_machine *m) {
  for (int i = 0; i < 4; i++)
    if (j->avoid[i][0] && !strcmp(j->avoid[i], m->id)) return true;
  return false;
}

static bool room(const struct tmx_plan_machine *m, const struct tmx_spec *s, bool soon) {
  double k = soon ? 1 : 0;
  return m->ucpus - k * m->scpus + s->cpus <= m->cpus + EPS &&
         m->ugpus - k * m->sgpus + s->gpus <= m->gpus + EPS &&
         m->umem - k * m->smem + s->mem <= m->mem + EPS;
}

/* The booked share of the most-asked resource; an image that must still be fetched counts as
 * room booked, the more of it the less time the job's class has to start (ours: the measure is
 * open in the design). */
/* How long the image still takes to be there; one that is being fetched is not there yet. */
static double fetch_time(const struct tmx_plan_machine *m, const struct tmx_spec *s) {
  double whole = m->fetch > 0 ? s->image_gb / m->fetch : 0;
  for (size_t i = 0; i < m->n_images; i++)
    if (!strcmp(m->images[i].name, s->image)) return fmax(0, whole - (m->now - m->images[i].since));
  return whole;
}

double tmx_booked_measure(const struct tmx_plan_machine *m, const struct tmx_spec *s) {
  double ask[3] = {m->cpus > 0 ? s->cpus / m->cpus : 0, m->gpus > 0 ? s->gpus / m->gpus : 0,
                   m->mem > 0 ? s->mem / m->mem : 0};
  double used[3] = {m->cpus > 0 ? m->ucpus / m->cpus : 0, m->gpus > 0 ? m->ugpus / m->gpus : 0,
                    m->mem > 0 ? m->umem / m->mem : 0};
  int top = 0;
  for (int i = 1; i < 3; i++)
    if (ask[i] > ask[top]) top = i;
  return used[top] + fmin(fetch_time(m, s) / s->patience_s, 3.0);
}

struct round {
  struct tmx_plan_input *in;
  struct tmx_plan_output *out;
};

static void emit(struct round *r, const struct tmx_op *o) {
  struct tmx_plan_output *out = r->out;
  if (out->n_ops == out->cap) {
    out->cap = out->cap ? out->cap * 2 : 64;
    out->ops = realloc(out->ops, out->cap * sizeof *out->ops);
    if (!out->ops) abort();
  }
  out->ops[out->n_ops++] = *o;
}

static uint32_t live_on(const struct tmx_plan_job *j, int machine) {
  uint32_t n = 0;
  for (size_t i = 0; i < j->n_live; i++) n += j->live[i] == machine;
  return n;
}

static bool zone_ok(const struct tmx_plan_job *j, int zone, const struct tmx_plan_input *in) {
  const struct tmx_spec *s = j->spec;
  if (j->zone_live[zone] >= tmx_zone_cap(s, in->n_zones)) return false;
  if (s->one_zone)
    for (size_t z = 0; z < in->n_zones; z++)
      if ((int)z != zone && j->zone_live[z]) return false;
  return true;
}

/* The fetch alone would use up the time that the class has to start. */
static bool is_cold(const struct tmx_plan_machine *m, const struct tmx_spec *s) {
  return fetch_time(m, s) > s->patience_s * 0.6;
}

/* part: only machines of this member; -1: any. Returns a machine index or -1. */
static int pick(const struct round *r, const struct tmx_plan_job *j, int part, bool soon, bool warm,
                uint32_t n_eligible) {
  const struct tmx_plan_input *in = r->in;
  uint32_t cap = tmx_machine_cap(j->spec, n_eligible);
  int best = -1;
  double best_m = 0;
  for (int pass = 0; pass < 2 && best < 0; pass++) { /* machines it failed on come last */
    for (size_t i = 0; i < in->n_machines; i++) {
      const struct tmx_plan_machine *m = &in->machines[i];
      if (part >= 0 && m->owner != part) continue;
      if (!eligible(j, m, in) || !room(m, j->spec, soon) || !zone_ok(j, m->zone, in)) continue;
      if (avoided(j, m) != (pass == 1)) continue;
      if (j->spec->service && live_on(j, (int)i) >= cap) continue;
      if (warm && is_cold(m, j->spec)) continue;
      double v = tmx_booked_measure(m, j->spec);
      /* a service's zones are filled evenly first */
      if (j->spec->service) v += 4.0 * j->zone_live[m->zone];
      if (best < 0 || v < best_m) {
        best = (int)i;
        best_m = v;
      }
    }
  }
  return best;
}

static bool quota_ok(const struct round *r, const struct tmx_plan_job *j) {
  const struct tmx_plan_input *in = r->in;
  if (j->team < 0) return false;
  const struct tmx_team_conf *t = &in->teams[j->team];
  const struct tmx_usage *u = &in->usage[j->team];
  if (t->cpus_max > 0 && u->cpus + j->spec->cpus > t->cpus_max + EPS) return false;
  if (t->gpus_max > 0 && u->gpus + j->spec->gpus > t->gpus_max + EPS) return false;
  return true;
}

static void take(struct round *r, struct tmx_plan_job *j, int mi, bool real) {
  struct tmx_plan_machine *m = &r->in->machines[mi];
  m->ucpus += j->spec->cpus;
  m->ugpus += j->spec->gpus;
  m->umem += j->spec->mem;
  if (!real) return; /* room held for it until the stopped tasks are gone */
  r->in->usage[j->team].cpus += j->spec->cpus;
  r->in->usage[j->team].gpus += j->spec->gpus;
  j->zone_live[m->zone]++;
  j->live[j->n_live++] = mi;
}

/* Services to people come first, then what teams are guaranteed, then the rest. */
static int standing(const struct tmx_plan_job *j) {
  return j->spec->priority == TMX_PRIO_PROD ? 2 : j->guaranteed;
}

/* Only work that also stands behind in the order of placing is stopped: anything else would be
 * placed again in the very room that was made, and stopped again. Work that stands in no
 * guarantee waits for room; stopping others for it would cost more than it gains. */
static bool may_stop(const struct round *r, const struct tmx_plan_job *j,
                     const struct tmx_plan_running *v) {
  const struct tmx_plan_input *in = r->in;
  const struct tmx_plan_job *o = &in->jobs[v->job];
  if (v->stopping || standing(j) <= standing(o)) return false;
  if (o->spec->priority < j->spec->priority) return true;
  if (!j->guaranteed || o->team == j->team || o->team < 0 || o->spec->service) return false;
  const struct tmx_team_conf *t = &in->teams[o->team];
  return in->usage[o->team].cpus - o->spec->cpus >= t->cpus - EPS &&
         in->usage[o->team].gpus - o->spec->gpus >= t->gpus - EPS;
}

/* Stops the cheapest tasks of one machine so that the task fits; true if room is on its way. */
static bool make_room(struct round *r, struct tmx_plan_job *j, bool warm, uint32_t n_eligible) {
  struct tmx_plan_input *in = r->in;
  const struct tmx_spec *s = j->spec;
  int best = -1;
  double best_cost = 0;
  uint32_t cap = tmx_machine_cap(s, n_eligible);
  for (int take_it = 0; take_it < 2; take_it++) {
    for (size_t i = 0; i < in->n_machines; i++) {
      if (take_it && (int)i != best) continue;
      struct tmx_plan_machine *m = &in->machines[i];
      if (!eligible(j, m, in) || !zone_ok(j, m->zone, in) || avoided(j, m)) continue;
      if (s->service && live_on(j, (int)i) >= cap) continue;
      if (warm && is_cold(m, s)) continue;
      double c = m->cpus - m->ucpus + m->scpus, g = m->gpus - m->ugpus + m->sgpus,
             e = m->mem - m->umem + m->smem, cost = 0;
      bool chosen[256] = {false};
      size_t base = 0;
      while (c + EPS < s->cpus || g + EPS < s->gpus || e + EPS < s->mem) {
        int v = -1;
        size_t vi = 0;
        for (size_t k = 0, n = 0; k < in->n_running && n < 256; k++) {
          struct tmx_plan_running *t = &in->running[k];
          if (t->machine != (int)i) continue;
          size_t at = n++;
          if (chosen[at] || !may_stop(r, j, t)) continue;
          /* lower priority first, then the least lost work */
          if (v >= 0) {
            const struct tmx_plan_running *b = &in->running[v];
            int pa = in->jobs[t->job].spec->priority, pb = in->jobs[b->job].spec->priority;
            if (pa > pb || (pa == pb && t->lost >= b->lost)) continue;
          }
          v = (int)k;
          vi = at;
        }
        if (v < 0) break;
        chosen[vi] = true;
        base++;
        struct tmx_plan_running *t = &in->running[v];
        const struct tmx_spec *o = in->jobs[t->job].spec;
        c += o->cpus;
        g += o->gpus;
        e += o->mem;
        cost += t->lost + 1 + 20.0 * o->priority;
        if (take_it) {
          struct tmx_op op = {.op = TMX_OP_STOP,
                              .task = t->task,
                              .attempt = t->attempt,
                              .how = o->checkpoint_s > 0 && !s->service ? '2' : '1'};
          snprintf(op.job, sizeof op.job, "%s", in->jobs[t->job].id);
          emit(r, &op);
          t->stopping = true;
          m->scpus += o->cpus;
          m->sgpus += o->gpus;
          m->smem += o->mem;
        }
      }
      bool fits = c + EPS >= s->cpus && g + EPS >= s->gpus && e + EPS >= s->mem;
      if (!take_it && fits && base && (best < 0 || cost < best_cost)) {
        best = (int)i;
        best_cost = cost;
      }
    }
    if (best < 0) return false;
  }
  take(r, j, best, false);
  return true;
}

static int by_rank(const void *a, const void *b) {
  const struct tmx_plan_job *x = *(struct tmx_plan_job *const *)a,
                            *y = *(struct tmx_plan_job *const *)b;
  int px = standing(x), py = standing(y);
  if (px != py) return py - px;
  if (x->spec->priority != y->spec->priority) return y->spec->priority - x->spec->priority;
  if (x->order != y->order) return x->order < y->order ? -1 : 1;
  return strcmp(x->id, y->id);
}

#define MOVES_A_ROUND 2 /* replicas down at the same time because machines are returned */

/* Replicas leave a machine that is to be returned, one by one, and only for room that is free
 * now where their image lies. */
static void move_services(struct round *r) {
  struct tmx_plan_input *in = r->in;
  int moves = 0;
  for (size_t i = 0; i < in->n_running; i++) {
    struct tmx_plan_running *v = &in->running[i];
    struct tmx_plan_job *j = &in->jobs[v->job];
    if (in->machines[v->machine].drain && j->spec->service && v->stopping) moves++;
  }
  for (size_t i = 0; i < in->n_running && moves < MOVES_A_ROUND; i++) {
    struct tmx_plan_running *v = &in->running[i];
    struct tmx_plan_job *j = &in->jobs[v->job];
    struct tmx_plan_machine *m = &in->machines[v->machine];
    if (!m->drain || !j->spec->service || v->stopping || m->zone < 0) continue;
    uint32_t n_eligible = 0;
    for (size_t k = 0; k < in->n_machines; k++) n_eligible += eligible(j, &in->machines[k], in);
    j->zone_live[m->zone]--;
    int to = pick(r, j, -1, false, true, n_eligible);
    j->zone_live[m->zone]++;
    if (to < 0) continue;
    take(r, j, to, false);
    struct tmx_op op = {.op = TMX_OP_STOP, .task = v->task, .attempt = v->attempt, .how = '1'};
    snprintf(op.job, sizeof op.job, "%s", j->id);
    emit(r, &op);
    moves++;
  }
}

void tmx_plan(struct tmx_plan_input *in, struct tmx_plan_output *out) {
  struct round r = {.in = in, .out = out};
  memset(out, 0, sizeof *out);
  out->head = in->head;
  out->rev = in->rev;
  struct tmx_plan_job **order = calloc(in->n_jobs + 1, sizeof *order);
  if (!order) abort();
  for (size_t i = 0; i < in->n_jobs; i++) order[i] = &in->jobs[i];
  qsort(order, in->n_jobs, sizeof *order, by_rank);
  for (size_t i = 0; i < in->n_jobs; i++) {
    struct tmx_plan_job *j = order[i];
    if (!j->n_waits || j->team < 0) continue;
    uint32_t n_eligible = 0;
    for (size_t m = 0; m < in->n_machines; m++) n_eligible += eligible(j, &in->machines[m], in);
    bool no_room = false;
    for (size_t w = 0; w < j->n_waits; w++) {
      if (no_room || out->n_ops >= in->max_ops) {
        out->unplaced += (uint32_t)(j->n_waits - w);
        break;
      }
      if (!quota_ok(&r, j)) break; /* waits for its own team, more machines would not help */
      bool mine = j->planner == in->self, grace = j->waited <= in->grace;
      int m = pick(&r, j, j->planner, false, true, n_eligible);
      if (m < 0) {
        /* too large for its part: the leader looks in every part */
        m = pick(&r, j, -1, false, true, n_eligible);
        if (m >= 0) mine = in->leading;
      }
      if (m < 0 && standing(j) == 2) {
        /* Room is only where a fetch would make it late: room where the image lies comes first. */
        int soon = pick(&r, j, -1, true, true, n_eligible);
        if (soon >= 0) {
          take(&r, j, soon, false);
          out->unplaced++;
          continue;
        }
        if (in->leading && make_room(&r, j, true, n_eligible)) {
          out->unplaced++;
          continue;
        }
        if (!in->leading && grace) {
          out->unplaced += (uint32_t)(j->n_waits - w);
          break;
        }
      }
      if (m < 0) m = pick(&r, j, j->planner, false, false, n_eligible);
      if (m < 0) {
        m = pick(&r, j, -1, false, false, n_eligible);
        mine = in->leading;
      } else if (!mine && in->leading && !grace) {
        mine = true; /* its own controller does not get to it */
      }
      if (m >= 0) {
        if (mine) {
          struct tmx_op op = {
              .op = TMX_OP_PLACE, .task = j->waits[w].task, .attempt = j->waits[w].attempt};
          snprintf(op.job, sizeof op.job, "%s", j->id);
          snprintf(op.machine, sizeof op.machine, "%s", in->machines[m].id);
          emit(&r, &op);
        }
        take(&r, j, m, true); /* also room that another controller is about to use */
        continue;
      }
      int soon = pick(&r, j, -1, true, false, n_eligible);
      if (soon >= 0) {
        take(&r, j, soon, false);
        out->unplaced++;
        continue;
      }
      out->unplaced++;
      if (!in->leading || !make_room(&r, j, false, n_eligible)) no_room = true;
    }
  }
  if (in->leading && !out->unplaced) move_services(&r);
  free(order);
}

void tmx_plan_input_free(struct tmx_plan_input *in) {
  for (size_t i = 0; i < in->n_jobs; i++) {
    free(in->jobs[i].waits);
    free(in->jobs[i].live);
    free((void *)in->jobs[i].spec);
  }
  free(in->jobs);
  free(in->machines);
  free(in->running);
  free(in);
}
