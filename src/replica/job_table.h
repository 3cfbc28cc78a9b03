/**
 * @file
 * The replica's table of jobs. Internal to src/replica.
 */
#ifndef TMX_JOB_TABLE_H
#define TMX_JOB_TABLE_H
#include "replica/replica.h"

/** Adds an open job as described by its record. No job with this id may exist. */
struct tmx_job *tmx_replica_create_job(struct tmx_replica *replica,
                                       const struct tmx_job_record *record);
/** Removes and releases all jobs. */
void tmx_replica_clear_jobs(struct tmx_replica *replica);

/** Updates all sums that include the job, and notifies the observer. Must be called after each
 * change of a job. */
void tmx_replica_job_updated(struct tmx_replica *replica, struct tmx_job *job);
/** Like tmx_replica_job_updated(), for changes that may allow a scheduling round to place tasks:
 * also notifies the observer of that. */
void tmx_replica_job_updated_schedulable(struct tmx_replica *replica, struct tmx_job *job);
/** Updates the job's contribution to tmx_replica::waiting_cpus. */
void tmx_replica_update_waiting_cpus(struct tmx_replica *replica, struct tmx_job *job);
/** Sets the job's final state, and notifies the observer of the job and of the machines that its
 * tasks are placed on. */
void tmx_replica_set_outcome(struct tmx_replica *replica, struct tmx_job *job,
                             enum tmx_job_outcome outcome);
/** Releases the job's task array if the replica is loaded, the job has a final state and none of
 * its tasks is placed. */
void tmx_replica_release_tasks(struct tmx_replica *replica, struct tmx_job *job);
#endif
