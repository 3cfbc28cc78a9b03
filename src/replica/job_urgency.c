#include "replica/job_urgency.h"

#include <math.h>
#include <stdlib.h>

/* Latest end of a prerequisite that leaves the dependent time to run before its due time; wall
 * clock, seconds. */
static double latest_prerequisite_end(const struct tmx_replica *replica,
                                      const struct tmx_job *dependent) {
  return dependent->urgency.due_at - tmx_run_estimate_expected(replica, &dependent->spec);
}

static struct tmx_urgency own_urgency(const struct tmx_job *job) {
  struct tmx_urgency urgency = {.priority = job->spec.priority, .due_at = INFINITY};
  if (job->spec.deadline_s >= 0) urgency.due_at = job->submitted_at + job->spec.deadline_s;
  return urgency;
}

static void inherit_urgency(const struct tmx_replica *replica, struct tmx_urgency *urgency,
                            const struct tmx_job *dependent) {
  if (dependent->outcome) return;
  if (dependent->urgency.priority > urgency->priority)
    urgency->priority = dependent->urgency.priority;
  urgency->due_at = fmin(urgency->due_at, latest_prerequisite_end(replica, dependent));
}

/* Returns false if the job already has this urgency. */
static bool set_urgency(struct tmx_replica *replica, struct tmx_job *job,
                        struct tmx_urgency urgency) {
  if (urgency.priority == job->urgency.priority && urgency.due_at == job->urgency.due_at)
    return false;
  job->urgency = urgency;
  if (replica->on_job_changed) replica->on_job_changed(replica->observer, job);
  return true;
}

void tmx_urgency_push_prerequisites(struct tmx_job_work_list *list, const struct tmx_job *job) {
  const struct tmx_dependencies *dependencies = &job->dependencies;
  for (uint32_t i = 0; dependencies->prerequisites && i < dependencies->prerequisite_ids.count; i++)
    if (!dependencies->prerequisites[i]->outcome)
      tmx_job_work_list_push(list, dependencies->prerequisites[i]);
}

/* Raises the urgency of the dependent's open prerequisites. Those that changed and have
 * prerequisites of their own are added to the list. */
static void raise_direct_prerequisites(struct tmx_replica *replica, const struct tmx_job *dependent,
                                       struct tmx_job_work_list *raised) {
  for (uint32_t i = 0; i < dependent->dependencies.prerequisite_ids.count; i++) {
    struct tmx_job *prerequisite = dependent->dependencies.prerequisites[i];
    if (prerequisite->outcome) continue;
    struct tmx_urgency urgency = prerequisite->urgency;
    inherit_urgency(replica, &urgency, dependent);
    if (set_urgency(replica, prerequisite, urgency) && prerequisite->dependencies.prerequisites)
      tmx_job_work_list_push(raised, prerequisite);
  }
}

/* A new dependent can only raise the urgency of its prerequisites, so they inherit from it alone
 * and their other dependents need not be visited. */
void tmx_urgency_raise_prerequisites(struct tmx_replica *replica, struct tmx_job *dependent) {
  struct tmx_job_work_list list = {0};
  tmx_job_work_list_push(&list, dependent);
  while (list.n) raise_direct_prerequisites(replica, tmx_job_work_list_pop(&list), &list);
  free(list.jobs);
}

void tmx_urgency_recompute(struct tmx_replica *replica, struct tmx_job_work_list *list) {
  while (list->n) {
    struct tmx_job *job = tmx_job_work_list_pop(list);
    struct tmx_urgency urgency = own_urgency(job);
    for (size_t i = 0; i < job->dependencies.n_dependents; i++)
      inherit_urgency(replica, &urgency, job->dependencies.dependents[i]);
    if (set_urgency(replica, job, urgency)) tmx_urgency_push_prerequisites(list, job);
  }
}
