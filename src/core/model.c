#include "core/model.h"

#include <stdlib.h>
#include <string.h>

void *tmx_grow(void *v, size_t *cap, size_t need, size_t size) {
  if (need <= *cap) return v;
  size_t n = *cap ? *cap : 16;
  while (n < need) n *= 2;
  v = realloc(v, n * size);
  if (!v) abort();
  memset((char *)v + *cap * size, 0, (n - *cap) * size);
  *cap = n;
  return v;
}

/* ------------------------------------------------------------ the feed */

struct tmx_plan_machine *tmx_feed_machine(struct tmx_feed *f) {
  f->machines = tmx_grow(f->machines, &f->cap_machines, f->n_machines + 1, sizeof *f->machines);
  struct tmx_plan_machine *m = &f->machines[f->n_machines++];
  memset(m, 0, sizeof *m);
  return m;
}
struct tmx_plan_job *tmx_feed_job(struct tmx_feed *f) {
  f->jobs = tmx_grow(f->jobs, &f->cap_jobs, f->n_jobs + 1, sizeof *f->jobs);
  struct tmx_plan_job *j = &f->jobs[f->n_jobs++];
  memset(j, 0, sizeof *j);
  return j;
}
void tmx_feed_gone(struct tmx_feed *f, int slot) {
  f->gone = tmx_grow(f->gone, &f->cap_gone, f->n_gone + 1, sizeof *f->gone);
  f->gone[f->n_gone++] = slot;
}
void tmx_feed_clear(struct tmx_feed *f) {
  for (size_t i = 0; i < f->n_machines; i++) free(f->machines[i].tasks);
  for (size_t i = 0; i < f->n_jobs; i++) {
    free(f->jobs[i].spec);
    free(f->jobs[i].waits);
  }
  free(f->gone);
  free(f->machines);
  free(f->jobs);
  memset(f, 0, sizeof *f);
}

/* ------------------------------------------------------------ machines */

static struct group *group_of(struct tmx_model *md, const struct tmx_plan_machine *m, int *index) {
  for (size_t i = 0; i < md->n_groups; i++) {
    struct group *g = &md->groups[i];
    if (g->zone == m->zone && g->spot == m->spot && !strcmp(g->type, m->type)) {
      *index = (int)i;
      return g;
    }
  }
  md->groups = tmx_grow(md->groups, &md->cap_groups, md->n_groups + 1, sizeof *md->groups);
  struct group *g = &md->groups[md->n_groups];
  memset(g, 0, sizeof *g);
  memcpy(g->type, m->type, sizeof g->type);
  g->zone = m->zone;
  g->spot = m->spot;
  *index = (int)md->n_groups++;
  return g;
}

static bool counts(const struct tmx_plan_machine *m) { return m->usable && !m->drain; }

static void group_leave(struct tmx_model *md, struct pm *p) {
  if (p->group < 0) return;
  struct group *g = &md->groups[p->group];
  if (counts(&p->r)) g->n_usable--;
  g->slots[p->at] = g->slots[--g->n];
  if (p->at < g->n) md->m[g->slots[p->at]]->at = p->at;
  p->group = -1;
}

static void group_join(struct tmx_model *md, struct pm *p) {
  p->group = -1;
  if (p->r.zone < 0 || p->r.cpus <= 0) return;
  struct group *g = group_of(md, &p->r, &p->group);
  g->cpus = p->r.cpus;
  g->gpus = p->r.gpus;
  g->mem = p->r.mem;
  g->slots = tmx_grow(g->slots, &g->cap, g->n + 1, sizeof *g->slots);
  p->at = g->n;
  g->slots[g->n++] = p->r.slot;
  if (counts(&p->r)) g->n_usable++;
}

static void machine_drop(struct tmx_model *md, int slot) {
  struct pm *p = (size_t)slot < md->cap_m ? md->m[slot] : NULL;
  if (!p) return;
  group_leave(md, p);
  free(p->r.tasks);
  free(p);
  md->m[slot] = NULL;
}

static void machine_take(struct tmx_model *md, struct tmx_plan_machine *m) {
  md->m = tmx_grow(md->m, &md->cap_m, (size_t)m->slot + 1, sizeof *md->m);
  struct pm *p = md->m[m->slot];
  if (!p) {
    p = md->m[m->slot] = calloc(1, sizeof *p);
    if (!p) abort();
    p->group = -1;
  }
  group_leave(md, p);
  free(p->r.tasks);
  p->r = *m;
  p->cap_tasks = m->n_tasks;
  m->tasks = NULL;
  group_join(md, p);
}

/* ------------------------------------------------------------ jobs */

static void job_drop(struct tmx_model *md, int slot) {
  struct pj *p = (size_t)slot < md->cap_j ? md->j[slot] : NULL;
  if (!p) return;
  for (size_t i = 0; p->listed && i < md->n_open; i++)
    if (md->open[i] == p) {
      md->open[i] = md->open[--md->n_open];
      break;
    }
  free(p->r.spec);
  free(p->r.waits);
  free(p);
  md->j[slot] = NULL;
}

static void job_take(struct tmx_model *md, struct tmx_plan_job *j) {
  md->j = tmx_grow(md->j, &md->cap_j, (size_t)j->slot + 1, sizeof *md->j);
  struct pj *p = md->j[j->slot];
  if (!j->open && !j->n_placed) { /* over, and nothing of it is left anywhere */
    job_drop(md, j->slot);
    return;
  }
  if (!p) {
    if (!j->spec) return;
    p = md->j[j->slot] = calloc(1, sizeof *p);
    if (!p) abort();
  }
  if (j->spec)
    free(p->r.spec);
  else
    j->spec = p->r.spec;
  free(p->r.waits);
  p->r = *j;
  j->spec = NULL;
  j->waits = NULL;
  if (!p->listed && j->open) {
    md->open = tmx_grow(md->open, &md->cap_open, md->n_open + 1, sizeof *md->open);
    md->open[md->n_open++] = p;
    p->listed = true;
  } else if (p->listed && !j->open) {
    for (size_t i = 0; i < md->n_open; i++)
      if (md->open[i] == p) {
        md->open[i] = md->open[--md->n_open];
        break;
      }
    p->listed = false;
  }
}

static void forget(struct tmx_model *md) {
  for (size_t i = 0; i < md->cap_m; i++) machine_drop(md, (int)i);
  for (size_t i = 0; i < md->cap_j; i++) job_drop(md, (int)i);
}

struct tmx_model *tmx_model_new(void) {
  struct tmx_model *md = calloc(1, sizeof *md);
  if (!md) abort();
  md->cut_services = md->cut_oldest = md->cut_arrays = -1;
  return md;
}

void tmx_model_free(struct tmx_model *md) {
  forget(md);
  for (size_t i = 0; i < md->n_groups; i++) free(md->groups[i].slots);
  free(md->groups);
  free(md->open);
  free(md->m);
  free(md->j);
  free(md);
}

void tmx_model_feed(struct tmx_model *md, struct tmx_feed *f) {
  if (f->reset) forget(md);
  for (size_t i = 0; i < f->n_gone; i++) machine_drop(md, f->gone[i]);
  for (size_t i = 0; i < f->n_jobs; i++) job_take(md, &f->jobs[i]);
  for (size_t i = 0; i < f->n_machines; i++) machine_take(md, &f->machines[i]);
  tmx_feed_clear(f);
}
