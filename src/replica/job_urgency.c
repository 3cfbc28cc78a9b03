#include "replica/job_urgency.h"

#include <math.h>
#include <stdlib.h>

/* The latest end of what the dependent needs: it still has its own run before its deadline. */
static double latest_end_before(const struct tmx_replica *replica,
                                const struct tmx_job *dependent) {
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
  urgency->due_at = fmin(urgency->due_at, latest_end_before(replica, dependent));
}

/* false: the job has this urgency already */
static bool set_urgency(struct tmx_replica *replica, struct tmx_job *job,
                        struct tmx_urgency urgency) {
  if (urgency.priority == job->urgency.priority && urgency.due_at == job->urgency.due_at)
    return false;
  job->urgency = urgency;
  if (replica->on_job_changed) replica->on_job_changed(replica->observer, job);
  return true;
}

void tmx_urgency_push_needs(struct tmx_job_work_list *list, const struct tmx_job *job) {
  const struct tmx_dependencies *dependencies = &job->dependencies;
  for (uint32_t i = 0; dependencies->needs && i < dependencies->named.count; i++)
    if (!dependencies->needs[i]->outcome) tmx_job_work_list_push(list, dependencies->needs[i]);
}

static void raise_direct_needs(struct tmx_replica *replica, const struct tmx_job *dependent,
                               struct tmx_job_work_list *raised) {
  for (uint32_t i = 0; i < dependent->dependencies.named.count; i++) {
    struct tmx_job *need = dependent->dependencies.needs[i];
    if (need->outcome) continue;
    struct tmx_urgency urgency = need->urgency;
    inherit(replica, &urgency, dependent);
    if (set_urgency(replica, need, urgency) && need->dependencies.needs)
      tmx_job_work_list_push(raised, need);
  }
}

/* A new dependent can only raise what those before it inherit. */
void tmx_urgency_raise_needs(struct tmx_replica *replica, struct tmx_job *dependent) {
  struct tmx_job_work_list list = {0};
  tmx_job_work_list_push(&list, dependent);
  while (list.n) raise_direct_needs(replica, tmx_job_work_list_pop(&list), &list);
  free(list.jobs);
}

void tmx_urgency_recompute(struct tmx_replica *replica, struct tmx_job_work_list *list) {
  while (list->n) {
    struct tmx_job *job = tmx_job_work_list_pop(list);
    struct tmx_urgency urgency = own_urgency(job);
    for (size_t i = 0; i < job->dependencies.n_dependents; i++)
      inherit(replica, &urgency, job->dependencies.dependents[i]);
    if (set_urgency(replica, job, urgency)) tmx_urgency_push_needs(list, job);
  }
}
