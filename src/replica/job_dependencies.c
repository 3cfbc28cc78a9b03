#include "replica/job_dependencies.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/memory.h"
#include "replica/job_table.h"
#include "replica/job_urgency.h"
#include "replica/job_work_list.h"
#include "replica/replica.h"
#include "tmx/wire.h"

void tmx_dependencies_free(struct tmx_job *job) {
  tmx_job_ids_free(&job->dependencies.prerequisite_ids);
  free(job->dependencies.prerequisites);
  free(job->dependencies.dependents);
  memset(&job->dependencies, 0, sizeof job->dependencies);
}

bool tmx_job_is_blocked(const struct tmx_job *job) {
  return job->dependencies.prerequisite_ids.count &&
         (!job->dependencies.prerequisites || job->dependencies.n_unfinished);
}

void tmx_dependencies_declare(struct tmx_job *job, uint32_t total) {
  struct tmx_job_ids *ids = &job->dependencies.prerequisite_ids;
  if (ids->count || !total) return;
  ids->ids = tmx_allocate(total, sizeof *ids->ids);
  ids->count = total;
}

void tmx_dependencies_set_id(struct tmx_job *job, uint32_t position, const char *id) {
  const struct tmx_job_ids *ids = &job->dependencies.prerequisite_ids;
  if (position >= ids->count || ids->ids[position][0] || strlen(id) >= TMX_ID_BYTES) return;
  strcpy(ids->ids[position], id);
  job->dependencies.n_read++;
}

void tmx_dependencies_parse_ids(struct tmx_job *job, uint32_t position, const char *text) {
  for (const char *p = text; *p;) {
    const size_t length = strcspn(p, " ");
    char id[TMX_ID_BYTES];
    if (length && length + strlen(W_JOB_PREFIX) < sizeof id) {
      snprintf(id, sizeof id, W_JOB_PREFIX "%.*s", (int)length, p);
      tmx_dependencies_set_id(job, position++, id);
    }
    p += length;
    while (*p == ' ') p++;
  }
}

/* Makes the job schedulable. Its release time is when its last prerequisite was done, according to
 * the stored final states. */
static void release_job(struct tmx_replica *replica, struct tmx_job *job) {
  job->released_at = job->submitted_at;
  for (uint32_t i = 0; i < job->dependencies.prerequisite_ids.count; i++)
    job->released_at = fmax(job->released_at, job->dependencies.prerequisites[i]->ended_at);
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "job: %s %s released, priority %d, due in %.0f s", job->id,
            job->spec.class, job->urgency.priority, job->urgency.due_at - job->released_at);
  tmx_replica_job_updated_schedulable(replica, job);
}

static void cancel_job(struct tmx_replica *replica, struct tmx_job *job,
                       struct tmx_job_work_list *ended) {
  tmx_replica_set_outcome(replica, job, TMX_JOB_CANCELLED);
  replica->unstored_outcomes = tmx_grow(replica->unstored_outcomes, &replica->cap_unstored_outcomes,
                                        replica->n_unstored_outcomes + 1, sizeof(struct tmx_job *));
  replica->unstored_outcomes[replica->n_unstored_outcomes++] = job;
  tmx_job_work_list_push(ended, job);
}

/* Applies the final state of a job to its direct dependents: cancels them, or releases those that
 * have no unfinished prerequisite left. Cancelled dependents are added to the list. */
static void propagate_to_dependents(struct tmx_replica *replica, struct tmx_job *job,
                                    struct tmx_job_work_list *ended) {
  struct tmx_dependencies *dependencies = &job->dependencies;
  for (size_t i = 0; i < dependencies->n_dependents; i++) {
    struct tmx_job *dependent = dependencies->dependents[i];
    if (dependent->outcome) continue;
    if (job->outcome == TMX_JOB_CANCELLED)
      cancel_job(replica, dependent, ended);
    else if (--dependent->dependencies.n_unfinished == 0)
      release_job(replica, dependent);
  }
  free(dependencies->dependents);
  dependencies->dependents = NULL;
  dependencies->n_dependents = dependencies->cap_dependents = 0;
}

/* Applies the final states of the listed jobs to all their direct and indirect dependents, and
 * empties the list. Prerequisites of cancelled jobs get a new urgency. */
static void propagate_outcomes(struct tmx_replica *replica, struct tmx_job_work_list *ended) {
  struct tmx_job_work_list to_recompute = {0};
  while (ended->n) {
    struct tmx_job *job = tmx_job_work_list_pop(ended);
    propagate_to_dependents(replica, job, ended);
    if (job->outcome == TMX_JOB_CANCELLED) tmx_urgency_push_prerequisites(&to_recompute, job);
  }
  tmx_urgency_recompute(replica, &to_recompute);
  free(to_recompute.jobs);
}

void tmx_dependencies_job_ended(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->loaded || !job->outcome) return;
  struct tmx_job_work_list ended = {0};
  tmx_job_work_list_push(&ended, job);
  propagate_outcomes(replica, &ended);
  free(ended.jobs);
}

static void add_dependent(struct tmx_job *prerequisite, struct tmx_job *job) {
  struct tmx_dependencies *dependencies = &prerequisite->dependencies;
  dependencies->dependents = tmx_grow(dependencies->dependents, &dependencies->cap_dependents,
                                      dependencies->n_dependents + 1, sizeof(struct tmx_job *));
  dependencies->dependents[dependencies->n_dependents++] = job;
}

/* Returns false if the replica does not have one of the prerequisites; the job stays blocked. */
static bool find_prerequisites(const struct tmx_replica *replica, struct tmx_job *job) {
  const struct tmx_job_ids *ids = &job->dependencies.prerequisite_ids;
  struct tmx_job **prerequisites = tmx_allocate(ids->count, sizeof(struct tmx_job *));
  for (uint32_t i = 0; i < ids->count; i++) {
    prerequisites[i] = tmx_job_find(replica, ids->ids[i]);
    if (prerequisites[i]) continue;
    tmx_log(TMX_LOG_ERROR, "state: job %s stays blocked: its prerequisite %s does not exist",
            job->id, ids->ids[i]);
    free(prerequisites);
    return false;
  }
  job->dependencies.prerequisites = prerequisites;
  return true;
}

/* Adds the job to the dependents of its prerequisites. Returns true if one of them is cancelled. */
static bool link_to_prerequisites(struct tmx_job *job) {
  struct tmx_dependencies *dependencies = &job->dependencies;
  bool prerequisite_cancelled = false;
  for (uint32_t i = 0; i < dependencies->prerequisite_ids.count; i++) {
    struct tmx_job *prerequisite = dependencies->prerequisites[i];
    prerequisite_cancelled |= prerequisite->outcome == TMX_JOB_CANCELLED;
    dependencies->n_unfinished += prerequisite->outcome != TMX_JOB_DONE;
    if (!prerequisite->outcome) add_dependent(prerequisite, job);
  }
  return prerequisite_cancelled;
}

void tmx_dependencies_resolve(struct tmx_replica *replica, struct tmx_job *job) {
  const struct tmx_dependencies *dependencies = &job->dependencies;
  if (!replica->loaded || job->outcome || dependencies->prerequisites ||
      !dependencies->prerequisite_ids.count ||
      dependencies->n_read < dependencies->prerequisite_ids.count)
    return;
  if (!find_prerequisites(replica, job)) return;
  if (link_to_prerequisites(job)) {
    struct tmx_job_work_list ended = {0};
    cancel_job(replica, job, &ended);
    propagate_outcomes(replica, &ended);
    free(ended.jobs);
    return;
  }
  tmx_urgency_raise_prerequisites(replica, job);
  if (!dependencies->n_unfinished) release_job(replica, job);
}

void tmx_dependencies_replica_loaded(struct tmx_replica *replica) {
  struct tmx_job *job, *next;
  HASH_ITER(hh, replica->jobs, job, next) tmx_dependencies_resolve(replica, job);
}
