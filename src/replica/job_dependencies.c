#include "replica/job_dependencies.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "replica/replica.h"
#include "base/memory.h"

/* Jobs still to be looked at. Chains are as long as users make them, so nothing here recurses. */
struct work_list {
  struct tmx_job **jobs;
  size_t n, cap;
};

static void push(struct work_list *list, struct tmx_job *job) {
  if (job->dependencies.in_work_list) return;
  job->dependencies.in_work_list = true;
  list->jobs = tmx_grow(list->jobs, &list->cap, list->n + 1, sizeof *list->jobs);
  list->jobs[list->n++] = job;
}

static struct tmx_job *pop(struct work_list *list) {
  struct tmx_job *job = list->jobs[--list->n];
  job->dependencies.in_work_list = false;
  return job;
}

void tmx_job_ids_free(struct tmx_job_ids *ids) {
  free(ids->ids);
  ids->ids = NULL;
  ids->count = 0;
}

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
  struct tmx_dependencies *dependencies = &job->dependencies;
  if (dependencies->named.count || !total) return;
  dependencies->named.ids = tmx_allocate(total, sizeof *dependencies->named.ids);
  dependencies->named.count = total;
}

void tmx_dependencies_set_id(struct tmx_job *job, uint32_t position, const char *id) {
  struct tmx_dependencies *dependencies = &job->dependencies;
  if (position >= dependencies->named.count || dependencies->named.ids[position][0] ||
      strlen(id) >= TMX_ID_MAX)
    return;
  strcpy(dependencies->named.ids[position], id);
  dependencies->n_read++;
}

/* ------------------------------------------------------------ inherited urgency */

/* A job's latest end: those that need it still have their own run before their deadline. */
static double due_before(const struct tmx_replica *replica, const struct tmx_job *dependent) {
  return dependent->urgency.due_at - tmx_run_estimate_expected(replica, &dependent->spec);
}

static struct tmx_urgency own_urgency(const struct tmx_job *job) {
  struct tmx_urgency urgency = {.priority = job->spec.priority, .due_at = INFINITY};
  if (job->spec.deadline_s >= 0) urgency.due_at = job->submitted_at + job->spec.deadline_s;
  return urgency;
}

static void inherit(const struct tmx_replica *replica, struct tmx_urgency *urgency,
                    const struct tmx_job *dependent) {
  if (dependent->outcome) return;
  if (dependent->urgency.priority > urgency->priority)
    urgency->priority = dependent->urgency.priority;
  urgency->due_at = fmin(urgency->due_at, due_before(replica, dependent));
}

static bool set_urgency(struct tmx_replica *replica, struct tmx_job *job,
                        struct tmx_urgency urgency) {
  if (urgency.priority == job->urgency.priority && urgency.due_at == job->urgency.due_at)
    return false;
  job->urgency = urgency;
  if (replica->on_job_changed) replica->on_job_changed(replica->observer, job);
  return true;
}

static void push_needs(struct work_list *list, const struct tmx_job *job) {
  for (uint32_t i = 0; job->dependencies.needs && i < job->dependencies.named.count; i++)
    if (!job->dependencies.needs[i]->outcome) push(list, job->dependencies.needs[i]);
}

/* A new dependent can only raise what those before it inherit. */
static void raise_needs(struct tmx_replica *replica, struct tmx_job *from) {
  struct work_list list = {0};
  push(&list, from);
  while (list.n) {
    struct tmx_job *dependent = pop(&list);
    for (uint32_t i = 0; i < dependent->dependencies.named.count; i++) {
      struct tmx_job *need = dependent->dependencies.needs[i];
      struct tmx_urgency urgency = need->urgency;
      if (need->outcome) continue;
      inherit(replica, &urgency, dependent);
      if (set_urgency(replica, need, urgency) && need->dependencies.needs) push(&list, need);
    }
  }
  free(list.jobs);
}

/* Dependents have gone: what is inherited is taken anew from those that are left. */
static void lower(struct tmx_replica *replica, struct work_list *list) {
  while (list->n) {
    struct tmx_job *job = pop(list);
    struct tmx_urgency urgency = own_urgency(job);
    for (size_t i = 0; i < job->dependencies.n_dependents; i++)
      inherit(replica, &urgency, job->dependencies.dependents[i]);
    if (set_urgency(replica, job, urgency)) push_needs(list, job);
  }
}

/* ------------------------------------------------------------ release and cancellation */

/* When the last job that it needs was done, by the time of day that its final state tells. */
static void release_job(struct tmx_replica *replica, struct tmx_job *job) {
  job->released_at = job->submitted_at;
  for (uint32_t i = 0; i < job->dependencies.named.count; i++)
    job->released_at = fmax(job->released_at, job->dependencies.needs[i]->ended_at);
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "job: %s %s released, priority %d, due in %.0f s", job->id,
            job->spec.class, job->urgency.priority, job->urgency.due_at - job->released_at);
  tmx_replica_job_changed(replica, job);
}

static void cancel_job(struct tmx_replica *replica, struct tmx_job *job, struct work_list *ended) {
  tmx_replica_set_outcome(replica, job, TMX_JOB_CANCELLED);
  replica->unstored_outcomes =
      tmx_grow(replica->unstored_outcomes, &replica->cap_unstored_outcomes,
               replica->n_unstored_outcomes + 1, sizeof *replica->unstored_outcomes);
  replica->unstored_outcomes[replica->n_unstored_outcomes++] = job;
  push(ended, job);
}

/* Takes what the ends in the list mean to the jobs after them, to the end of every chain. */
static void spread(struct tmx_replica *replica, struct work_list *ended) {
  struct work_list lost_dependent = {0};
  while (ended->n) {
    struct tmx_job *job = pop(ended);
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
    if (job->outcome == TMX_JOB_CANCELLED) push_needs(&lost_dependent, job);
  }
  lower(replica, &lost_dependent);
  free(lost_dependent.jobs);
}

void tmx_dependencies_job_ended(struct tmx_replica *replica, struct tmx_job *job) {
  if (!replica->loaded || !job->outcome) return;
  struct work_list ended = {0};
  push(&ended, job);
  spread(replica, &ended);
  free(ended.jobs);
}

/* ------------------------------------------------------------ links */

static void add_dependent(struct tmx_job *need, struct tmx_job *job) {
  struct tmx_dependencies *dependencies = &need->dependencies;
  dependencies->dependents =
      tmx_grow(dependencies->dependents, &dependencies->cap_dependents,
               dependencies->n_dependents + 1, sizeof *dependencies->dependents);
  dependencies->dependents[dependencies->n_dependents++] = job;
}

/* false: one of them is not known */
static bool find_needs(const struct tmx_replica *replica, struct tmx_job *job) {
  uint32_t n = job->dependencies.named.count;
  struct tmx_job **needs = tmx_allocate(n, sizeof(struct tmx_job *));
  for (uint32_t i = 0; i < n; i++) {
    needs[i] = tmx_job_find(replica, job->dependencies.named.ids[i]);
    if (needs[i]) continue;
    tmx_log(TMX_LOG_ERROR, "state: %s awaits %s, which is not known", job->id,
            job->dependencies.named.ids[i]);
    free(needs);
    return false;
  }
  job->dependencies.needs = needs;
  return true;
}

void tmx_dependencies_resolve(struct tmx_replica *replica, struct tmx_job *job) {
  struct tmx_dependencies *dependencies = &job->dependencies;
  if (!replica->loaded || job->outcome || dependencies->needs || !dependencies->named.count ||
      dependencies->n_read < dependencies->named.count)
    return;
  if (!find_needs(replica, job)) return;
  bool cancelled = false;
  for (uint32_t i = 0; i < dependencies->named.count; i++) {
    struct tmx_job *need = dependencies->needs[i];
    cancelled |= need->outcome == TMX_JOB_CANCELLED;
    dependencies->n_unfinished += need->outcome != TMX_JOB_DONE;
    if (!need->outcome) add_dependent(need, job);
  }
  if (cancelled) {
    struct work_list ended = {0};
    cancel_job(replica, job, &ended);
    spread(replica, &ended);
    free(ended.jobs);
    return;
  }
  raise_needs(replica, job);
  if (!dependencies->n_unfinished) release_job(replica, job);
}

void tmx_dependencies_replica_loaded(struct tmx_replica *replica) {
  struct tmx_job *job, *next;
  HASH_ITER(hh, replica->jobs, job, next) tmx_dependencies_resolve(replica, job);
}
