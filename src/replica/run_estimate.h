/**
 * @file
 * Learns, per job class, the ratio of actual run times to the owners' estimates. No I/O. Only the
 * thread of the controller's event loop may call these functions.
 */
#ifndef TMX_RUN_ESTIMATE_H
#define TMX_RUN_ESTIMATE_H
#include "replica/job_spec.h"
#include "tmx/constants.h"

struct tmx_replica;

/** The ratio of run times to estimates of one class. */
struct tmx_run_estimate {
  char name[TMX_NAME_BYTES]; /**< name of the class */
  double log_ratio;          /**< moving average of ln(run time / owner's estimate) */
  unsigned samples;          /**< observed tasks, at most TMX_RUN_ESTIMATE_SAMPLES_MAX */
};

/** Expected run time of a task of the job, seconds: the owner's estimate, corrected by the learned
 * ratio of the class once TMX_RUN_ESTIMATE_SAMPLES_MIN tasks were observed. */
double tmx_run_estimate_expected(const struct tmx_replica *replica,
                                 const struct tmx_job_spec *spec);
/**
 * Updates the ratio of a class with a completed task.
 * @param replica the replica that keeps the estimates.
 * @param spec specification of the task's job.
 * @param ran its run time, seconds; 0 or less: unknown, the task is ignored.
 */
void tmx_run_estimate_observe(struct tmx_replica *replica, const struct tmx_job_spec *spec,
                              double ran);
#endif
