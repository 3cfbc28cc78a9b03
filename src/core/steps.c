/* Steps of a round: what it takes and stops, taken back at its end, since only what is committed
 * comes back in the next feed. */
#include "core/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

void tmx_step_touch(struct round *r, struct pm *p) {
  if (p->touched == r->md->round) return;
  p->touched = r->md->round;
  p->saved = (struct saved){p->r.ucpus, p->r.ugpus, p->r.umem,   p->r.scpus,
                            p->r.sgpus, p->r.smem,  p->r.n_tasks};
  r->undo = tmx_grow(r->undo, &r->cap_undo, r->n_undo + 1, sizeof *r->undo);
  r->undo[r->n_undo++] = p;
}

void tmx_step_touch_job(struct round *r, struct pj *j) {
  if (j->touched == r->md->round) return;
  j->touched = r->md->round;
  memcpy(j->saved_zone, j->r.zone_live, sizeof j->saved_zone);
  r->undo_j = tmx_grow(r->undo_j, &r->cap_undo_j, r->n_undo_j + 1, sizeof *r->undo_j);
  r->undo_j[r->n_undo_j++] = j;
}

void tmx_step_mark(struct round *r, struct pm *p, size_t task) {
  r->marks = tmx_grow(r->marks, &r->cap_marks, r->n_marks + 1, sizeof *r->marks);
  r->marks[r->n_marks++] = (struct mark){p, task};
  p->r.tasks[task].stopping = true;
}

void tmx_step_take_back(struct round *r) {
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

struct tmx_operation *tmx_step_emit(struct round *r, char op, const struct pj *j, uint32_t task,
                                    uint32_t attempt) {
  struct tmx_plan_output *out = r->out;
  out->ops = tmx_grow(out->ops, &out->cap, out->n_ops + 1, sizeof *out->ops);
  struct tmx_operation *operation = &out->ops[out->n_ops++];
  memset(operation, 0, sizeof *operation);
  operation->kind = op;
  operation->task = task;
  operation->attempt = attempt;
  memcpy(operation->job, j->r.id, sizeof operation->job);
  return operation;
}
void tmx_step_take(struct round *r, struct pj *j, int m, bool real) {
  struct pm *p = r->md->m[m];
  const struct tmx_job_spec *spec = j->r.spec;
  tmx_step_touch(r, p);
  p->r.ucpus += spec->cpus;
  p->r.ugpus += spec->gpus;
  p->r.umem += spec->mem_gb;
  p->r.tasks = tmx_grow(p->r.tasks, &p->cap_tasks, p->r.n_tasks + 1, sizeof *p->r.tasks);
  p->r.tasks[p->r.n_tasks++] = (struct tmx_plan_task){.job = j->r.slot, .stopping = true};
  tmx_step_touch_job(r, j);
  j->r.zone_live[p->r.zone]++;
  if (!real) return;
  r->usage[j->r.team].cpus += spec->cpus;
  r->usage[j->r.team].gpus += spec->gpus;
}
