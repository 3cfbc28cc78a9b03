/**
 * @file
 * Priority and due time that jobs inherit from their dependents. Internal to src/replica.
 */
#ifndef TMX_JOB_URGENCY_H
#define TMX_JOB_URGENCY_H
#include "replica/job_work_list.h"
#include "replica/replica.h"

/** Raises the urgency of all direct and indirect prerequisites of a newly linked job. */
void tmx_urgency_raise_prerequisites(struct tmx_replica *replica, struct tmx_job *dependent);
/** Adds the job's open direct prerequisites to the list. */
void tmx_urgency_push_prerequisites(struct tmx_job_work_list *list, const struct tmx_job *job);
/** Recomputes the urgency of the listed jobs, and of their direct and indirect prerequisites, from
 * their open dependents. Empties the list. */
void tmx_urgency_recompute(struct tmx_replica *replica, struct tmx_job_work_list *list);
#endif
