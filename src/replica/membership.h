/**
 * @file
 * Members and owners on the replica: which controller owns a machine and plans a job. Pure.
 *
 * Names that are returned belong to the replica and are valid until its view changes.
 */
#ifndef TMX_MEMBERSHIP_H
#define TMX_MEMBERSHIP_H
#include "replica/view.h"

struct tmx_replica;

/** Index of the member in the view; -1: it is none, or the name is NULL. */
int tmx_member_index(const struct tmx_replica *replica, const char *name);
/** The member of this name in the view; NULL: it is none. */
const struct tmx_member *tmx_member_find(const struct tmx_replica *replica, const char *name);
/** Name of the member that owns the machine; NULL: there is no view. */
const char *tmx_machine_owner(const struct tmx_replica *replica, const char *machine);
/** Name of the member that plans the job first; NULL: there is no view. */
const char *tmx_job_planner(const struct tmx_replica *replica, const char *job);
/** Index of the member that plans the job first; -1: there is no view. */
int tmx_job_planner_index(const struct tmx_replica *replica, const char *job);
/** Steady clock, s, at which a batch of this member was last seen; 0: never. */
double tmx_replica_last_batch_at(const struct tmx_replica *replica, const char *node);
#endif
