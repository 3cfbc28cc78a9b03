/**
 * @file
 * How long the tasks of a class run, against what their owners estimate. Pure.
 */
#ifndef TMX_RUN_ESTIMATE_H
#define TMX_RUN_ESTIMATE_H
#include "replica/job_spec.h"
#include "tmx/constants.h"

struct tmx_replica;

/** What was learned of the run times of one class. */
struct tmx_run_estimate {
  char name[TMX_NAME_BYTES]; /**< of the class */
  double log_ratio;          /**< average of the logarithm of run time over the owner's estimate */
  unsigned samples;          /**< tasks seen, up to a bound */
};

/** How long a task of the job is expected to run, s: the owner's estimate, corrected by how far
 * estimates of the class have been off lately. */
double tmx_run_estimate_expected(const struct tmx_replica *replica,
                                 const struct tmx_job_spec *spec);
/**
 * Learns from a task that was done.
 * @param replica the replica that keeps the estimates.
 * @param spec specification of the task's job.
 * @param ran its run time, s; 0 or less: not known.
 */
void tmx_run_estimate_observe(struct tmx_replica *replica, const struct tmx_job_spec *spec,
                              double ran);
#endif
