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
  TMX_PRIORITY_IDLE,   /**< `idle`, the lowest */
  TMX_PRIORITY_NORMAL, /**< `normal` */
  TMX_PRIORITY_HIGH,   /**< `high` */
  TMX_PRIORITY_PROD    /**< `prod`, the highest */
};

/** A job as its owner described it. Sizes are those of one task. */
struct tmx_job_spec {
  char class[TMX_NAME_BYTES];                      /**< job class, by which objectives are set */
  char team[TMX_NAME_BYTES];                       /**< team that the job is accounted to */
  char image[TMX_NAME_BYTES];                      /**< name of the image that its tasks run */
  char zone[TMX_NAME_BYTES];                       /**< empty: any zone */
  char types[TMX_MACHINE_TYPES_MAX][TMX_ID_BYTES]; /**< machine types that the job may run on */
  size_t n_types;                                  /**< 0: any type */
  bool service;                                    /**< a service; otherwise a job array */
  bool same_zone,                                  /**< all tasks must be in one zone */
      spread,               /**< at most half of the tasks may be in one zone, see tmx_zone_cap() */
      spot_allowed;         /**< tasks may run on spot instances */
  int priority;             /**< enum tmx_job_priority */
  uint32_t tasks;           /**< number of tasks */
  double cpus,              /**< CPUs of one task */
      gpus,                 /**< GPUs of one task */
      mem_gb;               /**< memory of one task, GB */
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
 * @param map the submission, as a CBOR map.
 * @param spec receives the specification.
 * @param id receives the job's id, of at most `id_capacity` bytes with its terminating zero.
 * @param id_capacity size of `id` in bytes.
 * @return false if a field that may not be left out is missing, or any field is malformed.
 */
bool tmx_job_spec_parse(const cbor_item_t *map, struct tmx_job_spec *spec, char *id,
                        size_t id_capacity);
#endif
