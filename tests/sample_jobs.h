/** @file
 *  Sample jobs for tests of the stored formats. */
#ifndef TMX_SAMPLE_JOBS_H
#define TMX_SAMPLE_JOBS_H
#include "replica/replica.h"

/** Submission time of the sample jobs, seconds since the epoch. */
extern const double sample_submitted_at;
/** Returns the specification of a job with three tasks that sets few fields. */
struct tmx_job_spec sample_job(void);
/** Fills a list with `count` job ids from wk-000010 on; the caller frees it with
 *  tmx_job_ids_free. */
void sample_dependencies(struct tmx_job_ids *ids, uint32_t count);

#endif
