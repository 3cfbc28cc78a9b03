/**
 * @file
 * Derives targets for one job from the configured service-level objectives. All functions are pure.
 */
#ifndef TMX_SERVICE_LEVEL_OBJECTIVES_H
#define TMX_SERVICE_LEVEL_OBJECTIVES_H
#include "config/settings.h"
#include "replica/replica.h"

/** The latest time at which the job should be done, s after its release: the longest completion
 * objective of its class, or its deadline if that is later. Without both, TMX_DEFAULT_OBJECTIVE_S.
 */
double tmx_objectives_final_completion_target(const struct tmx_settings *settings,
                                              const struct tmx_job *job);
/** The earliest completion objective or deadline that is later than `elapsed_s`, s after the
 * release. Returns the final target if there is none. */
double tmx_objectives_next_completion_target(const struct tmx_settings *settings,
                                             const struct tmx_job *job, double elapsed_s);
/** How long the start of a task of this job may take, s: the wait objective of its class, or
 * TMX_FETCH_TOLERANCE_S if the class has none. */
double tmx_objectives_start_tolerance(const struct tmx_settings *settings,
                                      const struct tmx_job_spec *spec);
#endif
