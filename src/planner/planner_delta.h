/**
 * @file
 * Deltas update the planner's tables: each holds the current state of the machines and jobs that
 * changed since the previous delta.
 *
 * Ownership: the holder of a `struct tmx_planner_delta` owns it and all memory that it points to.
 * The event loop's thread fills a delta, hands it to the planner's thread by value under the lock
 * of struct tmx_planner_thread, and zeroes its own copy. The planner's thread passes the delta to
 * tmx_planner_apply(), which takes over the memory that the planner keeps, releases the rest and
 * leaves the delta empty. tmx_planner_delta_clear() releases a delta that was not handed over. The
 * functions of this header take no locks; only the holder of a delta may call them.
 *
 * A slot is a small number that identifies a machine or a job within this process. Machines and
 * jobs have separate slot numbers.
 */
#ifndef TMX_PLANNER_DELTA_H
#define TMX_PLANNER_DELTA_H
#include "replica/replica.h"

/** A task that is placed on a machine. */
struct tmx_plan_task {
  int job;          /**< slot of its job; -1: unknown */
  uint32_t task,    /**< index of the task within its job */
      attempt;      /**< number of the placed attempt */
  double placed_at; /**< steady clock, s: when this process first saw the attempt placed. A stop
                         loses the work done since then, unless the job saves checkpoints */
  bool stopping;    /**< a stop was requested: its resources count as being released */
};

/** The current state of a machine. CPUs and GPUs are counts, memory is in GB. */
struct tmx_plan_machine {
  int slot;               /**< slot of the machine */
  char id[TMX_ID_BYTES],  /**< id of the machine, assigned by the cloud */
      type[TMX_ID_BYTES]; /**< name of the machine type */
  int zone;               /**< index of the zone; -1: unknown, the machine gets no tasks */
  bool spot;              /**< spot instance: the provider may reclaim it */
  bool usable;       /**< recent contact in both directions, not faulty, no interruption notice */
  bool on_probation; /**< it was faulty recently: it gets only tasks that find no other machine */
  bool draining; /**< will be returned to the cloud: services move off it, it gets no new tasks */
  int owner;     /**< index of the member that controls it */
  double cpus,   /**< total CPUs */
      gpus,      /**< total GPUs */
      mem_gb;    /**< total memory, GB */
  double booked_cpus,                       /**< CPUs of all tasks placed on it */
      booked_gpus,                          /**< GPUs of all tasks placed on it */
      booked_mem_gb;                        /**< memory of all tasks placed on it, GB */
  double releasing_cpus,                    /**< part of booked_cpus that stopping tasks hold */
      releasing_gpus,                       /**< part of booked_gpus that stopping tasks hold */
      releasing_mem_gb;                     /**< part of booked_mem_gb that stopping tasks hold */
  double fetch_gb_per_s;                    /**< throughput of image fetches, GB/s */
  struct tmx_image images[TMX_IMAGES_KEPT]; /**< images that are present or being fetched */
  size_t n_images;                          /**< entries of `images` in use */
  struct tmx_plan_task *tasks;              /**< allocated; the planner takes the array over */
  size_t n_tasks;                           /**< entries of `tasks` */
};

/** A task that waits for a machine. */
struct tmx_plan_waiting_task {
  uint32_t task, /**< index of the task within its job */
      attempt;   /**< number of the next attempt */
};

/** The current state of a job. */
struct tmx_plan_job {
  int slot;                  /**< slot of the job */
  char id[TMX_ID_BYTES];     /**< id of the job, as in the log */
  struct tmx_job_spec *spec; /**< allocated; the planner takes it over. NULL: unchanged */
  int team;                  /**< index of the team; -1: unknown, no task is placed */
  int planning_member;       /**< index of the member that plans the job; -1: there is no view */
  int account;  /**< account of the job's class within its team, see struct tmx_backlog */
  int priority; /**< enum tmx_job_priority: its own, or inherited from a job that depends on it */
  int required_zone;     /**< index of the only allowed zone; -1: any zone */
  double released_at;    /**< wall clock, s: when the job could first start; its waiting time counts
                            from here */
  double unplaced_since; /**< steady clock, s: no task was placed since then; 0: no task waits */
  double retry_at;       /**< steady clock, s: end of the backoff, before which no task is placed */
  double completion_target_s;      /**< s after its release: when it should be done */
  double expected_run_s;           /**< expected run time of one task, s */
  double next_completion_target_s; /**< s after its release: its next completion objective or
                                      deadline; as completion_target_s if all have passed */
  uint32_t n_done,                 /**< completed tasks */
      n_placed;                    /**< tasks placed on machines */
  bool open; /**< neither finished nor blocked by a dependency; if false, the job is kept for its
                placed tasks */
  struct tmx_plan_waiting_task *waiting;  /**< first waiting tasks; the planner takes it over */
  size_t n_waiting;                       /**< entries of `waiting` */
  uint32_t placed_in_zone[TMX_ZONES_MAX]; /**< placed tasks by zone */
  char failed_machines[TMX_FAILED_MACHINES_KEPT]
                      [TMX_ID_BYTES]; /**< where its tasks failed recently; unused: "" */
};

/**
 * Changes to the planner's tables. The planner applies the reset first, then removals, then jobs
 * and machines. Removals come before machines because a new machine may have the slot of a removed
 * one.
 */
struct tmx_planner_delta {
  bool reset;                        /**< remove all machines and jobs first */
  int *removed;                      /**< slots of removed machines */
  size_t n_removed,                  /**< entries in use */
      cap_removed;                   /**< entries allocated */
  struct tmx_plan_machine *machines; /**< current state of each changed machine */
  size_t n_machines,                 /**< entries in use */
      cap_machines;                  /**< entries allocated */
  struct tmx_plan_job *jobs;         /**< current state of each changed job */
  size_t n_jobs,                     /**< entries in use */
      cap_jobs;                      /**< entries allocated */
};

/** Appends a zeroed machine record, which the caller fills. The pointer is valid until the next
 * call. */
struct tmx_plan_machine *tmx_planner_delta_add_machine(struct tmx_planner_delta *delta);

/** Appends a zeroed job record, which the caller fills. The pointer is valid until the next
 * call. */
struct tmx_plan_job *tmx_planner_delta_add_job(struct tmx_planner_delta *delta);

/** Appends the slot of a removed machine. */
void tmx_planner_delta_add_removed(struct tmx_planner_delta *delta, int slot);

/** Releases all memory that the delta owns and leaves it empty and reusable. */
void tmx_planner_delta_clear(struct tmx_planner_delta *delta);

#endif
