/**
 * @file
 * Dependencies between jobs, derived from the log as each replica applies it. Pure.
 *
 * A job that names others is blocked until all of them are done. One that names a cancelled job,
 * directly or through others, is cancelled at the same revision. Only the thread of the
 * controller's loop may call these functions.
 */
#ifndef TMX_JOB_DEPENDENCIES_H
#define TMX_JOB_DEPENDENCIES_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "replica/job_ids.h"

struct tmx_job;
struct tmx_replica;

/** A job's place in the graph of dependencies. */
struct tmx_dependencies {
  struct tmx_job_ids named;    /**< by position; an empty id has not been read yet */
  uint32_t n_read;             /**< how many of these ids have been read */
  struct tmx_job **needs;      /**< the jobs named; NULL until every id is read and known */
  uint32_t n_unfinished;       /**< how many of `needs` are not done */
  struct tmx_job **dependents; /**< open jobs that name this one */
  size_t n_dependents,         /**< used entries of `dependents` */
      cap_dependents;          /**< allocated entries of `dependents` */
  bool in_work_list;           /**< on the work list of the function that is under way */
};

/** What the planner goes by: the job's own values, until a dependent asks for more. */
struct tmx_urgency {
  int priority;  /**< the highest of its own and of those that need it */
  double due_at; /**< time of day, s: its latest end for every deadline after it; INFINITY: none */
};

/** Announces that the job names `total` others, whose ids follow. */
void tmx_dependencies_declare(struct tmx_job *job, uint32_t total);
/** Sets one of these ids; one that is known already, or lies beyond the total, changes nothing. */
void tmx_dependencies_set_id(struct tmx_job *job, uint32_t position, const char *id);
/** Sets ids from a text as tmx_job_ids_to_text() writes it, the first at this position. */
void tmx_dependencies_parse_ids(struct tmx_job *job, uint32_t position, const char *text);
/** Links the job to those it names, once all ids are read and the replica is loaded. */
void tmx_dependencies_resolve(struct tmx_replica *replica, struct tmx_job *job);
/** To be called when the job's final state becomes known to a loaded replica. */
void tmx_dependencies_job_ended(struct tmx_replica *replica, struct tmx_job *job);
/** To be called once when the replica is loaded: links all jobs, and derives what follows. */
void tmx_dependencies_replica_loaded(struct tmx_replica *replica);
/** Releases what the job's dependencies hold. */
void tmx_dependencies_free(struct tmx_job *job);

/** Tells whether the job still waits for others: it takes part in nothing until then. */
bool tmx_job_is_blocked(const struct tmx_job *job);
#endif
