/** Jobs for the tests of the stored forms. */
#ifndef TMX_SAMPLE_JOBS_H
#define TMX_SAMPLE_JOBS_H
#include "replica/replica.h"

/** When the sample jobs were submitted, s of the epoch. */
extern const double sample_submitted_at;
/** A job of three tasks that uses few fields. */
struct tmx_job_spec sample_job(void);
/** Fills a list with the ids wk-000010 and on; the caller frees it by tmx_job_ids_free. */
void sample_awaits(struct tmx_job_ids *ids, uint32_t count);

#endif
