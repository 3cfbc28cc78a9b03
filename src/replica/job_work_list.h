/**
 * @file
 * A stack of jobs that are still to be looked at: for the files of the replica only.
 *
 * Chains of dependencies are as long as users make them, so they are followed with a list instead
 * of recursion. A job is in one list at a time, and once.
 */
#ifndef TMX_JOB_WORK_LIST_H
#define TMX_JOB_WORK_LIST_H
#include <stddef.h>

#include "replica/job.h"

/** A list of jobs to be visited, last in, first out. Zeroed memory is an empty list. The array is
 * owned by whoever holds the list: free() it. */
struct tmx_job_work_list {
  struct tmx_job **jobs; /**< the array; the jobs belong to the replica */
  size_t n,              /**< used entries of `jobs` */
      capacity;          /**< allocated entries of `jobs` */
};

/** Adds the job unless it is in a list. */
void tmx_job_work_list_push(struct tmx_job_work_list *list, struct tmx_job *job);
/** Takes out the job added last; the list must not be empty. */
struct tmx_job *tmx_job_work_list_pop(struct tmx_job_work_list *list);
#endif
