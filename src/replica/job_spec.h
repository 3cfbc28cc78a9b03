/**
 * @file
 * What a submission asks for: the specification of a job.
 *
 * Pure functions without shared state: any thread may call them.
 */
#ifndef TMX_JOB_SPEC_H
#define TMX_JOB_SPEC_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "tmx/constants.h"

/** Priorities of jobs, in rising order. The values are stored in job records. */
enum tmx_job_priority {
  TMX_PRIORITY_IDLE,
  TMX_PRIORITY_NORMAL,
  TMX_PRIORITY_HIGH,
  TMX_PRIORITY_PROD
};

/** A job as its owner described it. Sizes are those of one task. */
struct tmx_job_spec {
  char class[TMX_NAME_MAX];
  char team[TMX_NAME_MAX];
  char image[TMX_NAME_MAX];
  char zone[TMX_NAME_MAX];               /**< empty: any zone */
  char types[TMX_TYPES_MAX][TMX_ID_MAX]; /**< machine types that the job may run on */
  size_t n_types;                        /**< 0: any type */
  bool service;                          /**< a service; otherwise a job array */
  bool same_zone, spread, spot_allowed;
  int priority; /**< enum tmx_job_priority */
  uint32_t tasks;
  double cpus, gpus, mem_gb;
  double image_gb;          /**< size of the image, GB */
  double estimate_s;        /**< run time of a task as its owner expects it, s */
  double checkpoint_s;      /**< time between two checkpoints, s; 0: none are made */
  double checkpoint_save_s; /**< time that saving a checkpoint takes, s */
  double deadline_s;        /**< after submission, s; negative: none */
  double fetch_tolerance_s; /**< a fetch of the image that takes this long weighs as much as a full
                               machine, s; derived from the objectives */
  int image_id;             /**< number of the image's name, set by the replica; 0: none */
};

/**
 * Reads a submission.
 * @param id receives the job's id, of at most `id_capacity` bytes with its terminating zero.
 * @return false if a field that may not be left out is missing, or any field is malformed.
 */
bool tmx_job_spec_parse(const cbor_item_t *map, struct tmx_job_spec *spec, char *id,
                        size_t id_capacity);
#endif
