/* What the planner is told: jobs and machines that changed, and what else a round depends on. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "rounds/internal.h"

/* s from the job's release to its deadline, or to that of a job which needs it; <0: none */
static double due_in(const struct tmx_job *job) {
  return isfinite(job->urgency.due_at) ? fmax(job->urgency.due_at - job->released_at, 0) : -1;
}

static bool is_finish_aim(const struct tmx_objective *o, const struct tmx_job_spec *spec) {
  return !strcmp(o->class_name, spec->class) && !strcmp(o->kind, "finished");
}

/* When a job should be done, at the latest: its class's last aim, or its deadline. */
static double last_aim(const struct tmx_ctl *c, const struct tmx_job *job) {
  double last = 0;
  for (size_t i = 0; i < c->set.n_objectives; i++)
    if (is_finish_aim(&c->set.objectives[i], &job->spec))
      last = fmax(last, c->set.objectives[i].within_s);
  last = fmax(last, due_in(job));
  return last > 0 ? last : TMX_NO_AIM_S;
}

/* The first of those that is still ahead, s after the release. */
static double next_aim(const struct tmx_ctl *c, const struct tmx_job *job, double waited) {
  double next = last_aim(c, job), due = due_in(job);
  for (size_t i = 0; i < c->set.n_objectives; i++) {
    double within = c->set.objectives[i].within_s;
    if (is_finish_aim(&c->set.objectives[i], &job->spec) && within > waited)
      next = fmin(next, within);
  }
  return due > waited ? fmin(next, due) : next;
}

/* How long a start may take: the class's own aim, or a plain wait. */
static double patience_of(const struct tmx_ctl *c, const struct tmx_job_spec *spec) {
  for (size_t i = 0; i < c->set.n_objectives; i++)
    if (!strcmp(c->set.objectives[i].class_name, spec->class) &&
        !strcmp(c->set.objectives[i].kind, "wait") && c->set.objectives[i].within_s > 0)
      return c->set.objectives[i].within_s;
  return TMX_PATIENCE_S;
}

static void feed_machine(struct tmx_rounds *p, struct tmx_machine *machine) {
  struct tmx_ctl *c = p->c;
  const struct tmx_type *ty = tmx_cloud_type(c->cloud, machine->type);
  machine->planner_update_due = false;
  if (!machine->registered) return;
  struct tmx_plan_machine *f = tmx_feed_machine(&p->feed);
  f->slot = machine->planner_slot;
  memcpy(f->id, machine->id, sizeof f->id);
  memcpy(f->type, machine->type, sizeof f->type);
  f->zone = machine->zone;
  f->spot = machine->spot;
  f->drain = machine->draining;
  f->owner = machine->owner;
  f->usable = ty && machine->usable &&
              !(machine->consecutive_errors >= TMX_SICK_ERRORS && machine->errors_of_several_jobs);
  if (ty) {
    machine->size_cpus = f->cpus = ty->cpus;
    machine->size_gpus = f->gpus = ty->gpus;
    machine->size_mem_gb = f->mem = ty->mem;
    f->fetch = ty->fetch;
  }
  f->ucpus = machine->booked_cpus;
  f->ugpus = machine->booked_gpus;
  f->umem = machine->booked_mem_gb;
  memcpy(f->images, machine->images, sizeof f->images);
  f->n_images = machine->n_images;
  f->tasks = calloc(machine->n_tasks + 1, sizeof *f->tasks);
  if (!f->tasks) abort();
  for (struct tmx_task *task = machine->tasks; task; task = task->next) {
    const struct tmx_job_spec *spec = &task->job->spec;
    bool stopping = task->stop_mode || task->job->outcome;
    if (task->completion_in_batch) { /* its end is in the batch before anything that is placed */
      f->ucpus -= spec->cpus;
      f->ugpus -= spec->gpus;
      f->umem -= spec->mem_gb;
      continue;
    }
    if (stopping) {
      f->scpus += spec->cpus;
      f->sgpus += spec->gpus;
      f->smem += spec->mem_gb;
    }
    f->tasks[f->n_tasks++] = (struct tmx_plan_task){task->job->planner_slot, tmx_task_index(task),
                                                    task->attempt, task->placed_at, stopping};
  }
}

static void feed_job(struct tmx_rounds *p, struct tmx_job *job) {
  struct tmx_ctl *c = p->c;
  job->planner_update_due = false;
  bool open = !job->outcome && job->tasks && !tmx_job_is_blocked(job);
  if (!open && !job->n_placed && !job->known_to_planner) return;
  struct tmx_plan_job *f = tmx_feed_job(&p->feed);
  f->slot = job->planner_slot;
  memcpy(f->id, job->id, sizeof f->id);
  if (!job->known_to_planner) {
    f->spec = malloc(sizeof *f->spec);
    if (!f->spec) abort();
    *f->spec = job->spec;
    f->spec->fetch_tolerance_s = patience_of(c, &job->spec);
    job->known_to_planner = true;
  }
  f->zone = job->spec.zone[0] ? tmx_zone_index(&c->set, job->spec.zone) : -1;
  f->team = job->team;
  f->account = job->account;
  f->planner = tmx_job_planner_index(&c->rep, job->id);
  f->priority = job->urgency.priority;
  f->released = job->released_at;
  f->stuck_since = job->unplaced_since;
  f->retry_at = job->retry_at;
  f->aim_s = last_aim(c, job);
  f->next_aim_s = next_aim(c, job, tmx_clock_wall() - job->released_at);
  f->run_s = fmax(tmx_run_estimate_expected(&c->rep, &job->spec), job->longest_run_s);
  f->n_done = job->n_done;
  f->n_placed = job->n_placed;
  f->open = open;
  memcpy(f->zone_live, job->placed_in_zone, sizeof f->zone_live);
  memcpy(f->avoid, job->failed_machines, sizeof f->avoid);
  if (!open) {
    if (!job->n_placed) job->known_to_planner = false;
    return;
  }
  uint32_t cap = job->spec.tasks - job->n_done - job->n_placed;
  if (cap > TMX_PLAN_TASKS) cap = TMX_PLAN_TASKS;
  f->waits = calloc(cap + 1, sizeof *f->waits);
  if (!f->waits) abort();
  for (uint32_t k = job->first_waiting; k < job->spec.tasks && f->n_waits < cap; k++) {
    const struct tmx_task *task = &job->tasks[k];
    if (task->state != TMX_TASK_WAITING) continue;
    if (!f->n_waits) job->first_waiting = k;
    f->waits[f->n_waits++] = (struct tmx_plan_wait){k, task->attempt + 1};
  }
  double wait = job->retry_at - tmx_clock_steady();
  if (f->n_waits && wait > 0) tmx_rounds_kick_in(c, wait + 0.05);
}

/* Fills the feed and the round from what is dirty. The ends that reports prove count as room: they
 * stand in the batch before whatever is placed into it, so their machines stay dirty. */
void tmx_round_feed(struct tmx_rounds *p, struct tmx_round *in) {
  struct tmx_ctl *c = p->c;
  struct tmx_replica *replica = &c->rep;
  memset(in, 0, sizeof *in);
  in->now = tmx_clock_steady();
  in->wall = tmx_clock_wall();
  in->self = tmx_ctl_self(c);
  in->leading = tmx_store_is_leader(c->link);
  in->n_zones = c->set.n_zones;
  in->grace = TMX_LEADER_GRACE_S;
  if (!tmx_store_is_write_load_low(c->link))
    in->grace += tmx_turn_length(c) * (double)(replica->view.n_members + 1);
  tmx_turns_fill(&in->turns, replica->backlog, &c->set, in->now);
  in->n_teams = c->set.n_teams;
  memcpy(in->teams, c->set.teams, sizeof in->teams);
  memcpy(in->usage, replica->team_usage, sizeof in->usage);
  double room = (double)tmx_value_room(&c->set) * (c->set.txn_ops - 1);
  in->max_visits =
      (size_t)fmax(fmin(c->set.core_share * TMX_PLAN_BUSY_S / TMX_PLAN_VISIT_S, TMX_PLAN_VISITS),
                   TMX_PLAN_VISITS_LEAST);
  in->max_ops = (size_t)(fmin(room, TMX_TXN_BYTES) /
                         (replica->dependencies_in_use ? TMX_ITEM_TYPICAL : TMX_LINE_TYPICAL));
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *task = tmx_round_task(replica, &p->ends[i]);
    task->completion_in_batch = true;
    tmx_rounds_machine(p, task->machine);
    tmx_rounds_job(p, task->job);
    if (task->machine->zone >= 0) task->job->placed_in_zone[task->machine->zone]--;
    if (task->job->team < 0) continue;
    in->usage[task->job->team].cpus -= task->job->spec.cpus;
    in->usage[task->job->team].gpus -= task->job->spec.gpus;
  }
  for (size_t i = 0; i < p->n_jobs; i++) feed_job(p, p->jobs[i]);
  for (size_t i = 0; i < p->n_machines; i++) feed_machine(p, p->machines[i]);
  p->n_jobs = p->n_machines = 0;
  for (size_t i = 0; i < p->n_ends; i++) {
    struct tmx_task *task = tmx_round_task(replica, &p->ends[i]);
    task->completion_in_batch = false;
    if (task->machine->zone >= 0) task->job->placed_in_zone[task->machine->zone]++;
    tmx_rounds_machine(p, task->machine);
    tmx_rounds_job(p, task->job);
  }
}
