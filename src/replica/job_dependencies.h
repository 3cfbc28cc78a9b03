/**
 * @file
 * Dependencies between jobs, which each replica derives from the log.
 *
 * A submission may specify other jobs as prerequisites. The job is blocked until all its
 * prerequisites are done. When a job is cancelled, all its direct and indirect dependents are
 * cancelled at the same revision. The functions do no I/O. Only the thread of the controller's
 * event loop may call them.
 */
#ifndef TMX_JOB_DEPENDENCIES_H
#define TMX_JOB_DEPENDENCIES_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "replica/job_ids.h"

struct tmx_job;
struct tmx_replica;

/** The edges of one job in the dependency graph. */
struct tmx_dependencies {
  struct tmx_job_ids prerequisite_ids; /**< ids of its prerequisites; empty ids are not read yet */
  uint32_t n_read;                     /**< number of these ids that have been read */
  struct tmx_job **prerequisites; /**< the prerequisites, in the order of their ids; NULL until all
                                     ids are read and resolved */
  uint32_t n_unfinished;          /**< number of prerequisites that are not done */
  struct tmx_job **dependents;    /**< open jobs that have this job as a prerequisite */
  size_t n_dependents,            /**< entries of `dependents` in use */
      cap_dependents;             /**< entries of `dependents` allocated */
  bool in_work_list;              /**< in a tmx_job_work_list */
};

/** Priority and due time used by the planner: the job's own values, tightened by those of its open
 * dependents. */
struct tmx_urgency {
  int priority;  /**< highest priority of the job and its open direct and indirect dependents */
  double due_at; /**< latest end that lets the job and its dependents meet their deadlines, wall
                    clock, seconds; INFINITY: no deadline */
};

/** Sets the number of prerequisites of the job; their ids follow. Later calls change nothing. */
void tmx_dependencies_declare(struct tmx_job *job, uint32_t total);
/** Sets the id of one prerequisite. Does nothing if that id is already set, the position is out of
 * range or the id is too long. */
void tmx_dependencies_set_id(struct tmx_job *job, uint32_t position, const char *id);
/** Parses ids in the format of tmx_job_ids_to_text() and sets them from the given position on. */
void tmx_dependencies_parse_ids(struct tmx_job *job, uint32_t position, const char *text);
/** Links the job to its prerequisites if all their ids are read and the replica is loaded. Cancels
 * the job if a prerequisite is cancelled, and releases it if all are done. */
void tmx_dependencies_resolve(struct tmx_replica *replica, struct tmx_job *job);
/** Propagates the job's final state to its dependents. Must be called when a loaded replica reads
 * that state; does nothing before the replica is loaded. */
void tmx_dependencies_job_ended(struct tmx_replica *replica, struct tmx_job *job);
/** Resolves the dependencies of all jobs. Must be called once when loading is complete. */
void tmx_dependencies_replica_loaded(struct tmx_replica *replica);
/** Releases the memory of the job's dependencies and resets them. */
void tmx_dependencies_free(struct tmx_job *job);

/** Returns whether the job has prerequisites that are unknown or not done. A blocked job is not
 * planned or placed. */
bool tmx_job_is_blocked(const struct tmx_job *job);
#endif
