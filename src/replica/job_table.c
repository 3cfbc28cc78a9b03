#include "replica/job_table.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "replica/replica_internal.h"

struct tmx_job *tmx_job_find(const struct tmx_replica *replica, const char *id) {
  struct tmx_job *job;
  HASH_FIND_STR(replica->jobs, id, job);
  return job;
}

static int ensure_image_id(struct tmx_replica *replica, const char *name) {
  struct tmx_image_name *image;
  HASH_FIND_STR(replica->images, name, image);
  if (image) return image->id;
  image = tmx_allocate(1, sizeof *image);
  snprintf(image->name, sizeof image->name, "%s", name);
  image->id = (int)HASH_COUNT(replica->images) + 1;
  HASH_ADD_STR(replica->images, name, image);
  return image->id;
}

struct tmx_job *tmx_replica_create_job(struct tmx_replica *replica,
                                       const struct tmx_job_record *record) {
  struct tmx_job *job = tmx_allocate(1, sizeof *job);
  memcpy(job->id, record->id, sizeof job->id);
  job->spec = record->spec;
  job->submitted_at = job->released_at = record->submitted_at;
  job->urgency.priority = job->spec.priority;
  job->urgency.due_at =
      job->spec.deadline_s >= 0 ? job->submitted_at + job->spec.deadline_s : INFINITY;
  job->loaded_at = replica->now;
  job->team = tmx_team_index(replica->settings, job->spec.team);
  job->spec.image_id = ensure_image_id(replica, job->spec.image);
  job->tasks = tmx_allocate(job->spec.tasks, sizeof *job->tasks);
  for (uint32_t i = 0; i < job->spec.tasks; i++) job->tasks[i].job = job;
  job->planner_slot = tmx_slot_pool_acquire(&replica->job_slots);
  HASH_ADD_STR(replica->jobs, id, job);
  return job;
}

void tmx_replica_clear_jobs(struct tmx_replica *replica) {
  struct tmx_job *job, *next;
  HASH_ITER(hh, replica->jobs, job, next) {
    HASH_DEL(replica->jobs, job);
    tmx_dependencies_free(job);
    free(job->tasks);
    free(job);
  }
  free(replica->unstored_outcomes);
  replica->unstored_outcomes = NULL;
  replica->n_unstored_outcomes = replica->cap_unstored_outcomes = 0;
  replica->dependencies_in_use = false;
  tmx_slot_pool_clear(&replica->job_slots);
}

/* Number of tasks that wait and may be placed; 0 if the job has a final state or is blocked. */
static uint32_t count_waiting_tasks(const struct tmx_job *job) {
  if (job->outcome || tmx_job_is_blocked(job)) return 0;
  return job->spec.tasks - job->n_done - job->n_placed;
}

void tmx_replica_update_waiting_cpus(struct tmx_replica *replica, struct tmx_job *job) {
  const double waiting_cpus = count_waiting_tasks(job) * job->spec.cpus;
  replica->waiting_cpus += waiting_cpus - job->waiting_cpus;
  job->waiting_cpus = waiting_cpus;
}

void tmx_replica_job_updated(struct tmx_replica *replica, struct tmx_job *job) {
  tmx_replica_update_waiting_cpus(replica, job);
  if (replica->backlog) tmx_backlog_update(replica->backlog, job);
  if (!count_waiting_tasks(job))
    job->unplaced_since = 0;
  else if (!job->unplaced_since)
    job->unplaced_since = replica->now;
  if (replica->on_job_changed) replica->on_job_changed(replica->observer, job);
}

void tmx_replica_job_updated_schedulable(struct tmx_replica *replica, struct tmx_job *job) {
  tmx_replica_job_updated(replica, job);
  tmx_replica_notify_schedulable(replica);
}

void tmx_replica_release_tasks(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->loaded || !job->outcome || job->n_placed) return;
  free(job->tasks);
  job->tasks = NULL;
}

void tmx_replica_set_outcome(struct tmx_replica *replica, struct tmx_job *job,
                             enum tmx_job_outcome outcome) {
  job->outcome = (int)outcome;
  job->outcome_committed_after = replica->loaded ? replica->fresh_as_of : 0;
  for (uint32_t i = 0; job->n_placed && i < job->spec.tasks; i++)
    if (job->tasks[i].machine) tmx_replica_notify_machine(replica, job->tasks[i].machine);
  if (outcome == TMX_JOB_DONE) job->n_done = job->spec.tasks;
  tmx_replica_release_tasks(replica, job);
  tmx_replica_job_updated_schedulable(replica, job);
}

void tmx_replica_prune_unstored_outcomes(struct tmx_replica *replica) {
  size_t n = 0;
  for (size_t i = 0; i < replica->n_unstored_outcomes; i++)
    if (!replica->unstored_outcomes[i]->outcome_stored)
      replica->unstored_outcomes[n++] = replica->unstored_outcomes[i];
  replica->n_unstored_outcomes = n;
}
