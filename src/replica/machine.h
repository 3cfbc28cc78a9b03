/**
 * @file
 * Machines, as stored in the replica.
 *
 * The records belong to the replica and live until the machine is removed or the replica is
 * cleared. Only the thread of the controller's event loop may access them.
 */
#ifndef TMX_MACHINE_H
#define TMX_MACHINE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "tmx/constants.h"

struct tmx_job;
struct tmx_task;
struct tmx_worker;

/** Maximum number of images that a machine's cache is assumed to hold. */
#define TMX_IMAGES_KEPT 12

/** Maximum number of jobs whose errors are remembered per machine. */
#define TMX_FAILED_JOBS_KEPT 8

/** What the errors on a machine show, see machine_faults.h. */
enum tmx_machine_condition {
  TMX_MACHINE_SOUND,        /**< no evidence of a fault */
  TMX_MACHINE_ON_PROBATION, /**< it was faulty and has had no error since for a while; it gets tasks
                               that no other machine has capacity for */
  TMX_MACHINE_FAULTY        /**< it gets no tasks */
};

/** Errors of one job's tasks on a machine. */
struct tmx_job_errors {
  struct tmx_job *job; /**< the job; it lives as long as the replica's content */
  uint32_t count;      /**< attempts that ended with an error */
  float last_at;       /**< when the last of them ended, monotonic clock, seconds */
};

/** An image in a machine's cache. */
struct tmx_image {
  int id;                  /**< numeric id of its name, see tmx_job_spec::image_id */
  double fetch_started_at; /**< when its fetch began, monotonic clock, seconds; far in the past if
                              the placement was read while loading */
};

/** A machine that was registered or that a task was placed on. */
struct tmx_machine {
  char id[TMX_ID_BYTES];     /**< the machine's id, which is never reused */
  char addr[TMX_NAME_BYTES]; /**< registered address of its worker */
  char type[TMX_ID_BYTES];   /**< name of its machine type */
  int zone;                  /**< index of its zone in the settings; -1: unknown */
  bool spot;                 /**< a spot instance, which the provider may reclaim */
  bool registered;           /**< a log line registered it, and none has removed it since */
  double registered_at;      /**< when it was registered, monotonic clock, seconds; 0: before the
                                replica was loaded */
  bool draining;             /**< to be returned to the provider; no more tasks are placed on it */
  struct tmx_task *tasks;    /**< list of the tasks placed on it */
  uint32_t n_tasks;          /**< number of tasks in `tasks` */
  uint32_t change_count;     /**< number of changes reported to the observer */
  int owner;                 /**< index of the member that owns it; -1: there is no view */
  double booked_cpus,        /**< CPUs of all tasks placed on it */
      booked_gpus,           /**< GPUs of all tasks placed on it */
      booked_mem_gb;         /**< memory of all tasks placed on it, GB */
  double service_cpus,       /**< part of `booked_cpus` that belongs to services */
      service_gpus,          /**< part of `booked_gpus` that belongs to services */
      service_mem_gb;        /**< part of `booked_mem_gb` that belongs to services, GB */
  /** Errors after which it had no success yet, by job, in the order of the jobs' first errors. */
  struct tmx_job_errors errors[TMX_FAILED_JOBS_KEPT];
  size_t n_errors;                      /**< entries of `errors` in use */
  enum tmx_machine_condition condition; /**< what these errors show */
  double suspect_since; /**< when it was last found not to be sound, monotonic clock, seconds; valid
                           unless `condition` is TMX_MACHINE_SOUND */
  struct tmx_image images[TMX_IMAGES_KEPT]; /**< most recently placed first, according to the log */
  size_t n_images;                          /**< entries of `images` in use */
  double capacity_cpus, /**< CPUs of its machine type, set by the scheduler; 0: unknown */
      capacity_gpus,    /**< GPUs of its machine type, set by the scheduler */
      capacity_mem_gb;  /**< memory of its machine type, GB, set by the scheduler; 0: unknown */
  bool usable; /**< healthy enough for the planner to place tasks on it, set by src/worker */
  bool planner_update_due;   /**< the next planner delta must include the machine */
  int planner_slot;          /**< its index in the planner's table of machines */
  struct tmx_worker *worker; /**< record of its worker, set by src/worker; NULL: none */
  /** @name Sums of the batch being checked, see operation_check.h */
  /** @{ */
  uint64_t check_id; /**< id of the check that these sums belong to */
  double check_cpus, /**< booked CPUs, including operations checked so far */
      check_gpus,    /**< booked GPUs, including operations checked so far */
      check_mem_gb;  /**< booked memory, GB, including operations checked so far */
  /** @} */
  UT_hash_handle hh; /**< entry in tmx_replica::machines, keyed by id */
};

/** Returns whether the machine's free resources count as capacity when machines are rented, drained
 * or returned. Those of a machine that gets no tasks, or only as a last resort, do not. */
static inline bool tmx_machine_is_capacity(const struct tmx_machine *machine) {
  return machine->registered && !machine->draining && machine->condition == TMX_MACHINE_SOUND;
}
/** Returns whether the machine has just been registered, so that it is expected to become usable
 * when its owner has checked it for the first time. `now`: monotonic clock, seconds. */
static inline bool tmx_machine_is_joining(const struct tmx_machine *machine, double now) {
  return machine->registered_at > 0 && now - machine->registered_at < TMX_MACHINE_JOIN_S;
}
#endif
