#include "state/check.h"

#include <string.h>

#include "core/plan.h"

#define EPS 1e-6

static uint64_t checks;

void tmx_check_begin(struct tmx_check *c, struct tmx_replica *r) {
  c->r = r;
  c->no = ++checks;
  memcpy(c->usage, r->usage, sizeof c->usage);
}

static void look_at(struct tmx_check *c, struct tmx_job *j, struct tmx_machine *m) {
  if (j->check != c->no) {
    j->check = c->no;
    memcpy(j->check_zone, j->zone_live, sizeof j->check_zone);
  }
  if (m->check != c->no) {
    m->check = c->no;
    m->check_cpus = m->cpus;
    m->check_gpus = m->gpus;
    m->check_mem = m->mem;
  }
}

static void count(struct tmx_check *c, struct tmx_job *j, struct tmx_machine *m, int sign) {
  const struct tmx_spec *s = &j->spec;
  m->check_cpus += sign * s->cpus;
  m->check_gpus += sign * s->gpus;
  m->check_mem += sign * s->mem;
  if (m->zone >= 0) j->check_zone[m->zone] += (uint32_t)sign;
  if (j->team < 0) return;
  c->usage[j->team].cpus += sign * s->cpus;
  c->usage[j->team].gpus += sign * s->gpus;
}

static bool may_place(const struct tmx_check *c, const struct tmx_job *j,
                      const struct tmx_machine *m, uint32_t cap) {
  const struct tmx_spec *s = &j->spec;
  const struct tmx_settings *set = c->r->set;
  if (!m->known || m->drain || m->zone < 0 || j->team < 0 || (m->spot && !s->spot)) return false;
  if (!tmx_type_allowed(s, m->type)) return false;
  if (s->zone[0] && tmx_zone_index(set, s->zone) != m->zone) return false;
  if (m->check_cpus + s->cpus > m->size_cpus + EPS ||
      m->check_gpus + s->gpus > m->size_gpus + EPS || m->check_mem + s->mem > m->size_mem + EPS)
    return false;
  const struct tmx_team_conf *t = &set->teams[j->team];
  const struct tmx_usage *u = &c->usage[j->team];
  if (t->cpus_max > 0 && u->cpus + s->cpus > t->cpus_max + EPS) return false;
  if (t->gpus_max > 0 && u->gpus + s->gpus > t->gpus_max + EPS) return false;
  if (j->check_zone[m->zone] >= tmx_zone_cap(s, set->n_zones)) return false;
  if (s->one_zone)
    for (size_t z = 0; z < set->n_zones; z++)
      if ((int)z != m->zone && j->check_zone[z]) return false;
  if (s->service && cap) {
    uint32_t on = 0;
    for (const struct tmx_task *t2 = m->tasks; t2; t2 = t2->next) on += t2->job == j;
    if (on >= cap) return false;
  }
  return true;
}

bool tmx_check_op(struct tmx_check *c, const struct tmx_op *o) {
  struct tmx_job *j = tmx_job_find(c->r, o->job);
  if (!j || !j->tasks || o->task >= j->spec.tasks) return false;
  const struct tmx_task *t = &j->tasks[o->task];
  if (o->op == TMX_OP_PLACE) {
    struct tmx_machine *m = tmx_machine_find(c->r, o->machine);
    if (!m || j->fin || tmx_job_blocked(j) || t->state != TMX_WAITING ||
        o->attempt != t->attempt + 1)
      return false;
    look_at(c, j, m);
    if (!may_place(c, j, m, o->cap)) return false;
    count(c, j, m, 1);
    return true;
  }
  if (t->state != TMX_PLACED || t->attempt != o->attempt) return false;
  if (o->op == TMX_OP_STOP) return !t->stop && !j->fin;
  look_at(c, j, t->machine);
  count(c, j, t->machine, -1);
  return true;
}
