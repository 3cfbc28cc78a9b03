/**
 * @file
 * A stack of jobs that are still to be visited. Internal to src/replica.
 *
 * Dependency chains have no length limit, so they are traversed with a stack on the heap instead of
 * recursion. A job can be in only one list at a time, and only once.
 */
#ifndef TMX_JOB_WORK_LIST_H
#define TMX_JOB_WORK_LIST_H
#include <stddef.h>

#include "replica/job.h"

/** Jobs to visit, last in, first out. Zeroed memory is an empty list. The owner of the list
 * releases the array with free(). */
struct tmx_job_work_list {
  struct tmx_job **jobs; /**< allocated array; the jobs belong to the replica */
  size_t n,              /**< entries of `jobs` in use */
      capacity;          /**< entries of `jobs` allocated */
};

/** Adds the job unless it is already in a list. */
void tmx_job_work_list_push(struct tmx_job_work_list *list, struct tmx_job *job);
/** Removes and returns the job added last. The list must not be empty. */
struct tmx_job *tmx_job_work_list_pop(struct tmx_job_work_list *list);
#endif
