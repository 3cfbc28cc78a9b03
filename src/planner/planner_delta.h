/**
 * @file
 * What the loop's thread tells the planner: the machines and jobs that changed since it was last
 * told, each as it stands now.
 *
 * Ownership: whoever holds a `struct tmx_planner_delta` owns it with everything it points to; there
 * is no sharing. The loop's thread fills one, then hands it over by value under the scheduler's
 * lock and zeroes its own copy. The planner's thread passes it to tmx_planner_apply(), which takes
 * over what the planner keeps, releases the rest and leaves the delta empty. A delta that is not
 * handed over is released by tmx_planner_delta_clear(). The functions here take no locks: only the
 * holder may call them.
 *
 * Slots are small numbers that name machines and jobs within this process; the two are numbered
 * apart.
 */
#ifndef TMX_PLANNER_DELTA_H
#define TMX_PLANNER_DELTA_H
#include "replica/replica.h"

/** A task that is placed on a machine. */
struct tmx_plan_task {
  int job;           /**< slot of its job; -1: not known */
  uint32_t task,     /**< number of the task within its job */
      attempt;       /**< number of the attempt that was placed */
  double lost_since; /**< steady clock, s: stopping it loses the work done since then, unless its
                          job saves checkpoints, see the job's spec */
  bool stopping;     /**< it has been told to stop: its room is counted as being released */
};

/** A machine as it stands. CPUs and GPUs are counted, memory is in GB. */
struct tmx_plan_machine {
  int slot;              /**< number of the machine, see above */
  char id[TMX_ID_MAX],   /**< given by the cloud */
      type[TMX_ID_MAX];  /**< name of the machine type */
  int zone;              /**< index of the zone; -1: not known, nothing is placed there */
  bool spot;             /**< may be taken back by its provider */
  bool usable;           /**< heard and reached lately, not faulty, no interruption notice */
  bool draining;         /**< about to be returned: its services move, nothing new is placed */
  int owner;             /**< index of the member that commands it */
  double cpus,           /**< its size: CPUs */
      gpus,              /**< its size: GPUs */
      mem_gb;            /**< its size: memory, GB */
  double booked_cpus,    /**< CPUs held by all tasks placed on it */
      booked_gpus,       /**< GPUs held by them */
      booked_mem_gb;     /**< memory held by them, GB */
  double releasing_cpus, /**< part of booked_cpus: held by tasks that stop */
      releasing_gpus,    /**< part of booked_gpus: likewise */
      releasing_mem_gb;  /**< part of booked_mem_gb: likewise */
  double fetch_gb_per_s; /**< GB/s: speed at which images are fetched */
  struct tmx_image images[TMX_IMAGES_KEPT]; /**< present, or being fetched */
  size_t n_images;                          /**< entries of `images` in use */
  struct tmx_plan_task *tasks;              /**< allocated; the planner takes it over */
  size_t n_tasks;                           /**< entries of `tasks` */
};

/** A task that waits for a machine. */
struct tmx_plan_waiting_task {
  uint32_t task, /**< number of the task within its job */
      attempt;   /**< number of the attempt to be made */
};

/** A job as it stands. */
struct tmx_plan_job {
  int slot;                  /**< number of the job, see above */
  char id[TMX_ID_MAX];       /**< as in the log */
  struct tmx_job_spec *spec; /**< allocated; the planner takes it over. NULL: as told before */
  int team;                  /**< index of the team; -1: not known, nothing is placed */
  int planner;               /**< index of the member that plans it */
  int account;               /**< of its class within the team, see src/admission */
  int priority;              /**< its own, or that of a job which depends on it */
  int zone;                  /**< the only one allowed; -1: any */
  double released_at; /**< time of day, s: it could have begun since; its waits count from here */
  double unplaced_since; /**< steady clock, s: no task of it was placed since; 0: none waits */
  double retry_at;       /**< steady clock, s: nothing is placed before (backoff) */
  double target_s;       /**< s from its release: when it should be done */
  double run_s;          /**< s: how long one task is expected to run */
  double next_target_s; /**< the first of its objectives that is still ahead; as target_s if none */
  uint32_t n_done,      /**< tasks that are done */
      n_placed;         /**< tasks that are placed on machines */
  bool open;            /**< it has work to place; else only its placed tasks count */
  struct tmx_plan_waiting_task *waiting;  /**< the first that wait; allocated; taken over */
  size_t n_waiting;                       /**< entries of `waiting` */
  uint32_t placed_in_zone[TMX_ZONES_MAX]; /**< tasks */
  char failed_machines[4][TMX_ID_MAX];    /**< where it failed lately; "" in unused entries */
};

/**
 * What changed. The planner applies the reset first, then what was removed, since a new machine may
 * have been given the slot of a removed one, then jobs and machines.
 */
struct tmx_planner_delta {
  bool reset;                        /**< forget everything told before */
  int *removed;                      /**< slots of machines that are gone */
  size_t n_removed,                  /**< entries in use */
      cap_removed;                   /**< entries allocated */
  struct tmx_plan_machine *machines; /**< the latest state of each that changed */
  size_t n_machines,                 /**< entries in use */
      cap_machines;                  /**< entries allocated */
  struct tmx_plan_job *jobs;         /**< the latest state of each that changed */
  size_t n_jobs,                     /**< entries in use */
      cap_jobs;                      /**< entries allocated */
};

/** A zeroed machine record at the end of the delta, to be filled; valid until the next one. */
struct tmx_plan_machine *tmx_planner_delta_machine(struct tmx_planner_delta *delta);

/** A zeroed job record at the end of the delta, to be filled; valid until the next one. */
struct tmx_plan_job *tmx_planner_delta_job(struct tmx_planner_delta *delta);

/** Notes that the machine of this slot is gone. */
void tmx_planner_delta_removed(struct tmx_planner_delta *delta, int slot);

/** Releases everything the delta owns and leaves it empty, ready to be filled again. */
void tmx_planner_delta_clear(struct tmx_planner_delta *delta);

#endif
