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
  tmx_job_ids_free(&job->dependencies.named);
  free(job->dependencies.needs);
  free(job->dependencies.dependents);
  memset(&job->dependencies, 0, sizeof job->dependencies);
}

bool tmx_job_is_blocked(const struct tmx_job *job) {
  return job->dependencies.named.count &&
         (!job->dependencies.needs || job->dependencies.n_unfinished);
}

void tmx_dependencies_declare(struct tmx_job *job, uint32_t total) {
  struct tmx_job_ids *named = &job->dependencies.named;
  if (named->count || !total) return;
  named->ids = tmx_allocate(total, sizeof *named->ids);
  named->count = total;
}

void tmx_dependencies_set_id(struct tmx_job *job, uint32_t position, const char *id) {
  const struct tmx_job_ids *named = &job->dependencies.named;
  if (position >= named->count || named->ids[position][0] || strlen(id) >= TMX_ID_BYTES) return;
  strcpy(named->ids[position], id);
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

/* A job is released when the last job that it needs was done, by the time of day that the final
 * states tell. */
static void release_job(struct tmx_replica *replica, struct tmx_job *job) {
  job->released_at = job->submitted_at;
  for (uint32_t i = 0; i < job->dependencies.named.count; i++)
    job->released_at = fmax(job->released_at, job->dependencies.needs[i]->ended_at);
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "job: %s %s released, priority %d, due in %.0f s", job->id,
            job->spec.class, job->urgency.priority, job->urgency.due_at - job->released_at);
  tmx_replica_job_changed(replica, job);
}

static void cancel_job(struct tmx_replica *replica, struct tmx_job *job,
                       struct tmx_job_work_list *ended) {
  tmx_replica_set_outcome(replica, job, TMX_JOB_CANCELLED);
  replica->unstored_outcomes = tmx_grow(replica->unstored_outcomes, &replica->cap_unstored_outcomes,
                                        replica->n_unstored_outcomes + 1, sizeof(struct tmx_job *));
  replica->unstored_outcomes[replica->n_unstored_outcomes++] = job;
  tmx_job_work_list_push(ended, job);
}

/* Takes the end of a job to those that name it; those that are cancelled by it join the list. */
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

/* Takes the ends in the list to the jobs after them, to the end of every chain, and empties it. */
static void propagate_ends(struct tmx_replica *replica, struct tmx_job_work_list *ended) {
  struct tmx_job_work_list lost_dependent = {0};
  while (ended->n) {
    struct tmx_job *job = tmx_job_work_list_pop(ended);
    propagate_to_dependents(replica, job, ended);
    if (job->outcome == TMX_JOB_CANCELLED) tmx_urgency_push_needs(&lost_dependent, job);
  }
  tmx_urgency_recompute(replica, &lost_dependent);
  free(lost_dependent.jobs);
}

void tmx_dependencies_job_ended(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->loaded || !job->outcome) return;
  struct tmx_job_work_list ended = {0};
  tmx_job_work_list_push(&ended, job);
  propagate_ends(replica, &ended);
  free(ended.jobs);
}

static void add_dependent(struct tmx_job *need, struct tmx_job *job) {
  struct tmx_dependencies *dependencies = &need->dependencies;
  dependencies->dependents = tmx_grow(dependencies->dependents, &dependencies->cap_dependents,
                                      dependencies->n_dependents + 1, sizeof(struct tmx_job *));
  dependencies->dependents[dependencies->n_dependents++] = job;
}

/* false: one of the jobs named is not known, and the job stays blocked */
static bool find_needs(const struct tmx_replica *replica, struct tmx_job *job) {
  const struct tmx_job_ids *named = &job->dependencies.named;
  struct tmx_job **needs = tmx_allocate(named->count, sizeof(struct tmx_job *));
  for (uint32_t i = 0; i < named->count; i++) {
    needs[i] = tmx_job_find(replica, named->ids[i]);
    if (needs[i]) continue;
    tmx_log(TMX_LOG_ERROR, "state: %s awaits %s, which is not known", job->id, named->ids[i]);
    free(needs);
    return false;
  }
  job->dependencies.needs = needs;
  return true;
}

/* true: one of the jobs that it needs was cancelled */
static bool link_to_needs(struct tmx_job *job) {
  struct tmx_dependencies *dependencies = &job->dependencies;
  bool need_cancelled = false;
  for (uint32_t i = 0; i < dependencies->named.count; i++) {
    struct tmx_job *need = dependencies->needs[i];
    need_cancelled |= need->outcome == TMX_JOB_CANCELLED;
    dependencies->n_unfinished += need->outcome != TMX_JOB_DONE;
    if (!need->outcome) add_dependent(need, job);
  }
  return need_cancelled;
}

void tmx_dependencies_resolve(struct tmx_replica *replica, struct tmx_job *job) {
  const struct tmx_dependencies *dependencies = &job->dependencies;
  if (!replica->loaded || job->outcome || dependencies->needs || !dependencies->named.count ||
      dependencies->n_read < dependencies->named.count)
    return;
  if (!find_needs(replica, job)) return;
  if (link_to_needs(job)) {
    struct tmx_job_work_list ended = {0};
    cancel_job(replica, job, &ended);
    propagate_ends(replica, &ended);
    free(ended.jobs);
    return;
  }
  tmx_urgency_raise_needs(replica, job);
  if (!dependencies->n_unfinished) release_job(replica, job);
}

void tmx_dependencies_replica_loaded(struct tmx_replica *replica) {
  struct tmx_job *job, *next;
  HASH_ITER(hh, replica->jobs, job, next) tmx_dependencies_resolve(replica, job);
}
