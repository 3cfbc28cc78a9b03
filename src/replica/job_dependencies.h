/* Dependencies between jobs, derived from the log as each replica applies it: pure. A job that
 * names others is blocked until all of them are done; one that names a cancelled job, directly or
 * through others, is cancelled at the same revision. */
#ifndef TMX_JOB_DEPENDENCIES_H
#define TMX_JOB_DEPENDENCIES_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tmx/constants.h"

struct tmx_job;
struct tmx_replica;

/* The ids that a submission names. */
struct tmx_job_ids {
  char (*ids)[TMX_ID_MAX];
  uint32_t count;
};
void tmx_job_ids_free(struct tmx_job_ids *ids);

struct tmx_dependencies {
  struct tmx_job_ids named;    /* by position; an empty id has not been read yet */
  uint32_t n_read;             /* of these ids */
  struct tmx_job **needs;      /* as many as named; NULL until every id is read and known */
  uint32_t n_unfinished;       /* of `needs`: not done */
  struct tmx_job **dependents; /* jobs that name this one */
  size_t n_dependents, cap_dependents;
  bool in_work_list; /* on the work list of the function at hand */
};

/* What the planner goes by; the job's own values until a dependent asks for more. */
struct tmx_urgency {
  int priority;  /* the highest of its own and of those that need it */
  double due_at; /* time of day, s: latest end for every deadline after it; INFINITY: none */
};

/* Announces that the job names `total` others, whose ids follow. */
void tmx_dependencies_declare(struct tmx_job *job, uint32_t total);
/* Reads one of these ids; one that is known already changes nothing. */
void tmx_dependencies_set_id(struct tmx_job *job, uint32_t position, const char *id);
/* Links the job to those it names, once all ids are read and the replica is loaded. */
void tmx_dependencies_resolve(struct tmx_replica *replica, struct tmx_job *job);
/* To be called when the job's final state becomes known to a loaded replica. */
void tmx_dependencies_job_ended(struct tmx_replica *replica, struct tmx_job *job);
/* To be called once when the replica is loaded: links all, and derives what follows. */
void tmx_dependencies_replica_loaded(struct tmx_replica *replica);
void tmx_dependencies_free(struct tmx_job *job);

/* Does it still wait for others: it takes part in nothing then. */
bool tmx_job_is_blocked(const struct tmx_job *job);
#endif
