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
  int job; /**< slot of its job; -1: not known */
  uint32_t task, attempt;
  double lost_since; /**< steady clock, s: stopping it loses the work done since then, unless its
                          job saves checkpoints, see the job's spec */
  bool stopping;     /**< it has been told to stop: its room is counted as being released */
};

/** A machine as it stands. CPUs and GPUs are counted, memory is in GB. */
struct tmx_plan_machine {
  int slot;
  char id[TMX_ID_MAX], type[TMX_ID_MAX];
  int zone;                  /**< index of the zone; -1: not known, nothing is placed there */
  bool spot;                 /**< may be taken back by its provider */
  bool usable;               /**< heard and reached lately, not faulty, no interruption notice */
  bool draining;             /**< about to be returned: its services move, nothing new is placed */
  int owner;                 /**< index of the member that commands it */
  double cpus, gpus, mem_gb; /**< its size */
  double booked_cpus, booked_gpus, booked_mem_gb;          /**< held by all tasks placed on it */
  double releasing_cpus, releasing_gpus, releasing_mem_gb; /**< part of that: tasks that stop */
  double fetch_gb_per_s;                                   /**< speed at which images are fetched */
  struct tmx_image images[TMX_IMAGES_KEPT];                /**< present, or being fetched */
  size_t n_images;
  struct tmx_plan_task *tasks; /**< allocated; the planner takes it over */
  size_t n_tasks;
};

/** A task that waits for a machine. */
struct tmx_plan_waiting_task {
  uint32_t task, attempt; /**< the attempt to be made */
};

/** A job as it stands. */
struct tmx_plan_job {
  int slot;
  char id[TMX_ID_MAX];
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
  uint32_t n_done, n_placed; /**< tasks */
  bool open;                 /**< it has work to place; else only its placed tasks count */
  struct tmx_plan_waiting_task *waiting; /**< the first that wait; allocated; taken over */
  size_t n_waiting;
  uint32_t placed_in_zone[TMX_ZONES_MAX]; /**< tasks */
  char failed_machines[4][TMX_ID_MAX];    /**< where it failed lately; "" in unused entries */
};

/**
 * What changed. The planner applies the reset first, then what was removed, since a new machine may
 * have been given the slot of a removed one, then jobs and machines.
 */
struct tmx_planner_delta {
  bool reset;   /**< forget everything told before */
  int *removed; /**< slots of machines that are gone */
  size_t n_removed, cap_removed;
  struct tmx_plan_machine *machines; /**< the latest state of each that changed */
  size_t n_machines, cap_machines;
  struct tmx_plan_job *jobs; /**< the latest state of each that changed */
  size_t n_jobs, cap_jobs;
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
