/**
 * @file
 * Urgency that jobs inherit from those that need them: for the files of the replica only.
 */
#ifndef TMX_JOB_URGENCY_H
#define TMX_JOB_URGENCY_H
#include "replica/job_work_list.h"
#include "replica/replica.h"

/** Raises the urgency of all jobs before a new dependent, to the end of every chain. */
void tmx_urgency_raise_needs(struct tmx_replica *replica, struct tmx_job *dependent);
/** Adds the open jobs that the job needs to the list. */
void tmx_urgency_push_needs(struct tmx_job_work_list *list, const struct tmx_job *job);
/** Computes the urgency of the listed jobs, and of all before them, from the dependents that they
 * have left. Empties the list. */
void tmx_urgency_recompute(struct tmx_replica *replica, struct tmx_job_work_list *list);
#endif
