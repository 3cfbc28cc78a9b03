/**
 * @file
 * The replica's jobs: for the files of the replica only.
 */
#ifndef TMX_JOB_TABLE_H
#define TMX_JOB_TABLE_H
#include "replica/replica.h"

/** Adds an open job as its record describes it. The id must be new. */
struct tmx_job *tmx_replica_create_job(struct tmx_replica *replica,
                                       const struct tmx_job_record *record);
/** Releases all jobs. */
void tmx_replica_clear_jobs(struct tmx_replica *replica);

/** To be called after every change of a job: counts it anew and tells the observer. */
void tmx_replica_job_updated(struct tmx_replica *replica, struct tmx_job *job);
/** As tmx_replica_job_updated(), where the change may also make a round worth while. */
void tmx_replica_job_changed(struct tmx_replica *replica, struct tmx_job *job);
/** Counts what of the job waits into the replica's sum. */
void tmx_replica_count_waiting_cpus(struct tmx_replica *replica, struct tmx_job *job);
/** Gives the job a final state, and tells the observer of it and of the machines it is on. */
void tmx_replica_set_outcome(struct tmx_replica *replica, struct tmx_job *job,
                             enum tmx_job_outcome outcome);
/** Releases the tasks of a job that is over and has left all machines. */
void tmx_replica_release_tasks(struct tmx_replica *replica, struct tmx_job *job);
#endif
