/**
 * @file
 * The state of a running round, and the functions with which it changes the planner's tables.
 * Internal to src/planner.
 *
 * A round changes the tables while it plans. Before it changes a machine or a job, it saves the old
 * state with tmx_round_snapshot_machine() or tmx_round_snapshot_job(). At the end of the round
 * tmx_round_undo() restores all saved states: a planned operation may fail to commit, and a
 * committed one reaches the tables with a later delta.
 */
#ifndef TMX_ROUND_H
#define TMX_ROUND_H
#include "planner/candidate_heap.h"
#include "planner/planner_tables.h"

/**
 * Pools of machines that are candidates for a task. A shard is the set of machines that one member
 * controls. As in the draft, machines are divided by hash, and a member places its own jobs in its
 * own shard.
 */
enum candidate_pool {
  POOL_OWN_SHARD,   /**< enough free capacity, in the shard of the member that plans the job */
  POOL_ANY_SHARD,   /**< enough free capacity, in any shard */
  POOL_RELEASING,   /**< enough free capacity once its stopping tasks have ended */
  POOL_PREEMPTIBLE, /**< enough free capacity once tasks of lower precedence are stopped */
  POOL_COUNT        /**< number of pools */
};

/** The candidates of one pool for the current job. */
struct candidate_set {
  bool built; /**< the set was built for the current job */
  bool empty; /**< the set had no candidate when it was built */
  struct candidate_heap zone_heaps[TMX_ZONES_MAX]; /**< one heap of candidates for each zone */
};

/** A job that had no candidate in a pool. */
struct failed_fit {
  const struct planner_job *job; /**< borrowed from the planner's tables */
  enum candidate_pool pool;      /**< the pool without a candidate */
};

/**
 * Limit on the failed fits that a round keeps. The limit bounds the work for each job, which is
 * compared with each failed fit. A failed fit that is not kept only costs another search of
 * the machines.
 */
enum {
  FAILED_FITS_MAX = 48 /**< entries */
};

/** A task that the round stops to free capacity. */
struct preemption {
  struct planner_machine *machine; /**< borrowed from the planner's tables */
  size_t task;                     /**< index among the machine's tasks */
};

/** A running round. It is a local variable of tmx_planner_run_round(), which frees its arrays. */
struct round {
  struct tmx_planner *planner;           /**< borrowed; its tables are changed and restored */
  const struct tmx_round_input *input;   /**< borrowed from the caller */
  struct tmx_round_output *output;       /**< borrowed from the caller; the round fills it */
  struct tmx_usage usage[TMX_TEAMS_MAX]; /**< by team, including the placements of this round */
  size_t visited;                        /**< machines and tasks examined so far */
  size_t visit_limit;                    /**< limit on `visited` in the current part of the round */

  /* State that tmx_round_undo() restores. */
  struct planner_machine **modified_machines; /**< each machine with a snapshot of this round */
  size_t n_modified_machines,                 /**< entries in use */
      cap_modified_machines;                  /**< entries allocated */
  struct planner_job **modified_jobs;         /**< each job with a snapshot of this round */
  size_t n_modified_jobs,                     /**< entries in use */
      cap_modified_jobs;                      /**< entries allocated */
  struct preemption *preemptions;             /**< tasks that the round marked as stopping */
  size_t n_preemptions,                       /**< entries in use */
      cap_preemptions;                        /**< entries allocated */

  struct failed_fit failed_fits[FAILED_FITS_MAX]; /**< see failed_fits.h */
  size_t n_failed_fits;                           /**< entries in use */
  int *releasing_machines;     /**< slots of machines with stopping tasks when the round started */
  size_t n_releasing_machines, /**< entries in use */
      cap_releasing_machines;  /**< entries allocated */

  /** Candidates for the current job. The heaps keep their memory from job to job. */
  struct candidate_set candidate_sets[POOL_COUNT];
  /** Limit on the current job's tasks on one machine, see tmx_machine_cap(). */
  uint32_t machine_cap;
  /** A machine was rejected for a reason that applies to the current job only: the job's replicas
   * or failures on it. A search that found no candidate then proves nothing about other jobs. */
  bool job_specific_rejection;

  /** Machines that get no more tasks in this round, see ageing.h. They are marked as not usable
   * until the round ends. */
  struct planner_machine *reserved_machines[TMX_RESERVED_MACHINES_MAX];
  size_t n_reserved_machines; /**< entries in use */
};

/** The purpose of a reservation of capacity on a machine. */
enum reservation {
  RESERVATION_FOR_PLACEMENT, /**< for a placement here or by the planning member; in team usage */
  RESERVATION_UNTIL_RELEASE  /**< until stopping tasks have ended; not in team usage yet */
};

/** Saves the machine's booked and releasing resources and its number of tasks. Must be called
 * before the round changes them. */
void tmx_round_snapshot_machine(struct round *round, struct planner_machine *machine);

/** Saves the job's placed tasks by zone. Must be called before the round changes them. */
void tmx_round_snapshot_job(struct round *round, struct planner_job *job);

/** Marks the task with index `task` on the machine as stopping. */
void tmx_round_mark_preempted(struct round *round, struct planner_machine *machine, size_t task);

/** Restores all saved states and clears the marks of preempted tasks. */
void tmx_round_undo(struct round *round);

/**
 * Appends an operation to the round's output. The pointer is valid until the next call.
 *
 * @param round the running round, whose output owns the operation
 * @param kind TMX_OPERATION_PLACE or TMX_OPERATION_STOP
 * @param job the job of the task
 * @param task index of the task within the job
 * @param attempt number of the attempt to place or stop
 * @return the operation; fields without a parameter here are zero
 */
struct tmx_operation *tmx_round_emit(struct round *round, char kind, const struct planner_job *job,
                                     uint32_t task, uint32_t attempt);

/** Books the resources of one task of the job on the machine of this slot. */
void tmx_round_reserve(struct round *round, struct planner_job *job, int machine_slot,
                       enum reservation reservation);

#endif
