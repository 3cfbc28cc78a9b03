/**
 * @file
 * What the configured service-level objectives mean for one job. Pure functions of their arguments.
 */
#ifndef TMX_SERVICE_LEVEL_OBJECTIVES_H
#define TMX_SERVICE_LEVEL_OBJECTIVES_H
#include "config/settings.h"
#include "replica/replica.h"

/** When the job should be done at the latest, s after its release: the last completion objective of
 * its class, or its deadline if that is later. */
double tmx_objectives_final_completion_target(const struct tmx_settings *settings,
                                              const struct tmx_job *job);
/** The first completion objective or deadline that is later than `elapsed_s`, s after the release;
 * the final target if none is. */
double tmx_objectives_next_completion_target(const struct tmx_settings *settings,
                                             const struct tmx_job *job, double elapsed_s);
/** How long a task of this job may spend on starting, s: the objective for the wait of its class,
 * or a default. */
double tmx_objectives_start_tolerance(const struct tmx_settings *settings,
                                      const struct tmx_job_spec *spec);
#endif
