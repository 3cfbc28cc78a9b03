/* What the planner is told: jobs and machines that changed, and what else a round depends on. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "rounds/internal.h"

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
  f->account = j->account;
  f->planner = tmx_planner_index(&c->rep, j->id);
  f->priority = j->urgency.priority;
  f->released = j->released;
  f->stuck_since = j->stuck_since;
  f->retry_at = j->retry_at;
  f->aim_s = last_aim(c, j);
  f->next_aim_s = next_aim(c, j, tmx_clock_wall() - j->released);
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
  double wait = j->retry_at - tmx_clock_steady();
  if (f->n_waits && wait > 0) tmx_rounds_kick_in(c, wait + 0.05);
}

/* Fills the feed and the round from what is dirty. The ends that reports prove count as room: they
 * stand in the batch before whatever is placed into it, so their machines stay dirty. */
void tmx_round_feed(struct tmx_rounds *p, struct tmx_round *in) {
  struct tmx_ctl *c = p->c;
  struct tmx_replica *r = &c->rep;
  memset(in, 0, sizeof *in);
  in->now = tmx_clock_steady();
  in->wall = tmx_clock_wall();
  in->self = tmx_ctl_self(c);
  in->leading = tmx_store_is_leader(c->link);
  in->n_zones = c->set.n_zones;
  in->grace = TMX_LEADER_GRACE_S;
  if (!tmx_store_is_write_load_low(c->link))
    in->grace += tmx_turn_length(c) * (double)(r->view.n_members + 1);
  tmx_turns_fill(&in->turns, r->backlog, &c->set, in->now);
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
    struct tmx_task *t = tmx_round_task(r, &p->ends[i]);
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
    struct tmx_task *t = tmx_round_task(r, &p->ends[i]);
    t->ending = false;
    if (t->machine->zone >= 0) t->job->zone_live[t->machine->zone]++;
    tmx_rounds_machine(p, t->machine);
    tmx_rounds_job(p, t->job);
  }
}
