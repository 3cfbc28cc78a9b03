/**
 * @file
 * The specification of a job, as described by its submission.
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

/** Priorities of jobs, in ascending order. The values are stored in job records. */
enum tmx_job_priority {
  TMX_PRIORITY_IDLE,   /**< `idle`, the lowest */
  TMX_PRIORITY_NORMAL, /**< `normal` */
  TMX_PRIORITY_HIGH,   /**< `high` */
  TMX_PRIORITY_PROD    /**< `prod`, the highest */
};

/** A job as described by its owner. Resource amounts are per task. */
struct tmx_job_spec {
  char class[TMX_NAME_BYTES]; /**< job class, which selects the service-level objectives */
  char team[TMX_NAME_BYTES];  /**< team whose quota and share the job counts towards */
  char image[TMX_NAME_BYTES]; /**< name of the image of its tasks */
  char zone[TMX_NAME_BYTES];  /**< empty: any zone */
  char types[TMX_MACHINE_TYPES_MAX][TMX_ID_BYTES]; /**< permitted machine types */
  size_t n_types;                                  /**< entries of `types` in use; 0: any type */
  bool service;                                    /**< true: a service; false: a job array */
  bool same_zone,                                  /**< all tasks must be placed in one zone */
      spread,        /**< at most half of the tasks may be placed in one zone, see tmx_zone_cap() */
      spot_allowed;  /**< tasks may run on spot instances */
  int priority;      /**< enum tmx_job_priority */
  uint32_t tasks;    /**< number of tasks */
  double cpus,       /**< CPUs of one task */
      gpus,          /**< GPUs of one task */
      mem_gb;        /**< memory of one task, GB */
  double image_gb;   /**< size of the image, GB */
  double estimate_s; /**< the owner's estimate of a task's run time, seconds */
  double checkpoint_s;      /**< interval between checkpoints, seconds; 0: no checkpoints */
  double checkpoint_save_s; /**< time to save a checkpoint, seconds */
  double deadline_s;        /**< deadline, seconds after submission; negative: none */
  double fetch_tolerance_s; /**< an image fetch of this many seconds costs as much as a full machine
                               in placement; derived from the objectives */
  int image_id;             /**< numeric id of the image name, set by the replica; 0: none */
};

/**
 * Parses a submission.
 * @param map the submission, as a CBOR map.
 * @param spec receives the specification.
 * @param id receives the zero-terminated id of the job.
 * @param id_capacity size of `id` in bytes.
 * @return false if a required field is missing or any field is malformed.
 */
bool tmx_job_spec_parse(const cbor_item_t *map, struct tmx_job_spec *spec, char *id,
                        size_t id_capacity);
#endif
