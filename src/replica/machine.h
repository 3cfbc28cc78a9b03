/**
 * @file
 * Machines as the replica keeps them.
 *
 * The records belong to the replica and live until the machine is removed or the replica is
 * cleared; only the thread of the controller's loop may touch them.
 */
#ifndef TMX_MACHINE_H
#define TMX_MACHINE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "tmx/constants.h"

struct tmx_task;
struct tmx_worker;

/** Images that a machine is taken to have in its cache, at most. */
#define TMX_IMAGES_KEPT 12

/** An image on a machine. */
struct tmx_image {
  int id;                  /**< number of its name, see tmx_job_spec::image_id */
  double fetch_started_at; /**< steady clock, s: when its fetch began; long ago, if read at start */
};

/** A machine that was registered, or on which a task was placed. */
struct tmx_machine {
  char id[TMX_ID_BYTES];        /**< the machine's id, which is never used again */
  char addr[TMX_NAME_BYTES];    /**< address of its worker, as registered */
  char type[TMX_ID_BYTES];      /**< name of its machine type */
  int zone;                     /**< index among the settings' zones; -1: unknown */
  bool spot;                    /**< a spot instance, which may be taken away */
  bool registered;              /**< a line registered it, and none has removed it */
  bool draining;                /**< to be returned: it takes no more tasks */
  struct tmx_task *tasks;       /**< tasks that are placed on it */
  uint32_t n_tasks;             /**< number of tasks in `tasks` */
  uint32_t change_count;        /**< counts the changes that observers were told of */
  int owner;                    /**< index of the member that owns it; -1: there is no view */
  double booked_cpus,           /**< CPUs of all tasks placed on it */
      booked_gpus,              /**< GPUs of all tasks placed on it */
      booked_mem_gb;            /**< memory of all tasks placed on it, GB */
  double service_cpus;          /**< of these CPUs, those of services */
  uint32_t consecutive_errors;  /**< attempts in a row that ended with an error */
  char error_job[TMX_ID_BYTES]; /**< the job of the latest of them */
  bool errors_of_several_jobs;  /**< they were of more than one job */
  struct tmx_image images[TMX_IMAGES_KEPT]; /**< the one used latest first, as the log tells */
  size_t n_images;                          /**< used entries of `images` */
  double size_cpus,          /**< CPUs of its type, set by the controller; 0: unknown */
      size_gpus,             /**< GPUs of its type, set by the controller */
      size_mem_gb;           /**< memory of its type, GB, set by the controller; 0: unknown */
  bool usable;               /**< the planner may use it, set by the controller */
  bool planner_update_due;   /**< the planner is to be told of it */
  int planner_slot;          /**< its place in the planner's tables */
  struct tmx_worker *worker; /**< its agent, kept by src/worker */
  /** @name Sums of the batch being checked, see operation_check.h */
  /** @{ */
  uint64_t check_id; /**< the check that these sums belong to */
  double check_cpus, /**< CPUs booked, with those of the batch */
      check_gpus,    /**< GPUs booked, with those of the batch */
      check_mem_gb;  /**< memory booked, GB, with that of the batch */
  /** @} */
  UT_hash_handle hh; /**< in the replica's `machines`, by id */
};
#endif
