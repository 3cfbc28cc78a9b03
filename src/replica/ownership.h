/**
 * @file
 * Members of the view. One of them owns each machine, and one of them is the planner of each job.
 *
 * Does no I/O. Like the replica, these functions belong to the thread of the controller's event
 * loop. Returned names are owned by the replica and valid until its view changes.
 */
#ifndef TMX_OWNERSHIP_H
#define TMX_OWNERSHIP_H
#include "replica/view.h"

struct tmx_replica;

/** Index of the member with this name in the view; -1: not a member, or the name is NULL. */
int tmx_member_index(const struct tmx_replica *replica, const char *name);
/** The member with this name in the view; NULL: not a member, or the name is NULL. */
const struct tmx_member *tmx_member_find(const struct tmx_replica *replica, const char *name);
/** Name of the member that owns the machine; NULL: there is no view. */
const char *tmx_machine_owner(const struct tmx_replica *replica, const char *machine);
/**
 * Name of the job's planner; NULL: there is no view. Other members may plan the job only after
 * a grace period.
 */
const char *tmx_job_planner(const struct tmx_replica *replica, const char *job);
/** Index of the job's planner in the view, see tmx_job_planner(); -1: there is no view. */
int tmx_job_planner_index(const struct tmx_replica *replica, const char *job);
/** Monotonic clock, s, when the latest batch of this member was applied; 0: never. */
double tmx_replica_last_batch_at(const struct tmx_replica *replica, const char *node);
#endif
