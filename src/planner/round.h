/**
 * @file
 * The state of a round under way, and the steps by which it changes the planner's tables: internal
 * to src/planner.
 *
 * A round plans on the tables themselves. Before a machine or a job is changed, one of the
 * functions tmx_round_touch_*() records how it stood; tmx_round_undo() restores all of them at the
 * end of the round, since only what is committed comes back with the next delta.
 */
#ifndef TMX_ROUND_H
#define TMX_ROUND_H
#include "planner/candidate_heap.h"
#include "planner/planner_tables.h"

/**
 * Which machines are candidates for a task. A shard is the part of the machines that one member
 * commands; the draft's division by hash lets a member place its own jobs within its own shard.
 */
enum candidate_pool {
  POOL_OWN_SHARD,   /**< with room, in the shard of the member that plans the job */
  POOL_ANY_SHARD,   /**< with room, in any shard */
  POOL_RELEASING,   /**< with room once the tasks that are stopping there are gone */
  POOL_PREEMPTIBLE, /**< with room once tasks of lower precedence are stopped */
  POOL_COUNT
};

/** The candidates for one job in one pool. */
struct candidate_set {
  bool built;                                      /**< for the job at hand */
  bool empty;                                      /**< there was none when it was built */
  struct candidate_heap zone_heaps[TMX_ZONES_MAX]; /**< candidates by zone */
};

/** A job that found no candidate in a pool. */
struct failed_fit {
  const struct planner_job *job; /**< borrowed from the planner's tables */
  enum candidate_pool pool;      /**< the pool that held none */
};

/**
 * Failed fits remembered in a round. They are compared with each job one after the other, so their
 * number bounds the work for each job. A failure beyond it is forgotten, which costs no more than
 * another look at the machines.
 */
enum {
  FAILED_FITS_MAX = 48 /**< entries */
};

/** A task that this round stops to make room. */
struct preemption {
  struct planner_machine *machine; /**< borrowed from the planner's tables */
  size_t task;                     /**< index among the machine's tasks */
};

/** The round: it lives on the stack of tmx_planner_run_round(), and its arrays end with it. */
struct round {
  struct tmx_planner *planner;           /**< borrowed; its tables are changed and restored */
  const struct tmx_round_input *input;   /**< borrowed from the caller */
  struct tmx_round_output *output;       /**< borrowed from the caller, to be filled */
  struct tmx_usage usage[TMX_TEAMS_MAX]; /**< by team, with what the round has placed */
  size_t visited;                        /**< machines and tasks looked at */
  size_t visit_limit;                    /**< bound on it in the present part of the round */

  /* What must be restored at the end of the round. */
  struct planner_machine **touched_machines; /**< machines that the round changed, each once */
  size_t n_touched_machines,                 /**< entries in use */
      cap_touched_machines;                  /**< entries allocated */
  struct planner_job **touched_jobs;         /**< jobs that the round changed, each once */
  size_t n_touched_jobs,                     /**< entries in use */
      cap_touched_jobs;                      /**< entries allocated */
  struct preemption *preemptions;            /**< tasks that the round marked as stopping */
  size_t n_preemptions,                      /**< entries in use */
      cap_preemptions;                       /**< entries allocated */

  struct failed_fit failed_fits[FAILED_FITS_MAX]; /**< see failed_fits.h */
  size_t n_failed_fits;                           /**< entries in use */
  int *releasing_machines;     /**< slots of machines with tasks that are stopping */
  size_t n_releasing_machines, /**< entries in use */
      cap_releasing_machines;  /**< entries allocated */

  /** Of the job at hand; the memory of the heaps is kept from job to job. */
  struct candidate_set candidate_sets[POOL_COUNT];
  uint32_t machine_cap; /**< see tmx_machine_cap() */
  /** A machine was rejected for a reason that holds for this job alone: its replicas or failures
   * there. What it did not find then says nothing of other jobs. */
  bool rejected_for_this_job_alone;

  /** Machines on which nothing else is placed in this round, see ageing.h: until it ends they are
   * marked as not usable. */
  struct planner_machine *reserved_machines[TMX_RESERVED_MACHINES_MAX];
  size_t n_reserved_machines; /**< entries in use */
};

/** How a worker stops a task: `reason` of an operation TMX_OPERATION_STOP, a letter of the log. */
enum stop_mode {
  STOP_AT_ONCE = '1',         /**< the work since the latest checkpoint is lost */
  STOP_AFTER_CHECKPOINT = '2' /**< the task saves a checkpoint first */
};

/** What room on a machine is taken for. */
enum reservation {
  RESERVATION_FOR_PLACEMENT, /**< a placement, here or by the job's own planner: counts as usage */
  RESERVATION_UNTIL_RELEASE  /**< held until stopping tasks are gone: no usage of the team yet */
};

/** To be called before the round changes what a machine has booked or runs. */
void tmx_round_touch_machine(struct round *round, struct planner_machine *machine);

/** To be called before the round changes the counts of a job. */
void tmx_round_touch_job(struct round *round, struct planner_job *job);

/** Marks the machine's task as stopping. */
void tmx_round_mark_preempted(struct round *round, struct planner_machine *machine, size_t task);

/** Restores the tables as they were before the round. */
void tmx_round_undo(struct round *round);

/**
 * Appends an operation to the round's output. The pointer is valid until the next call.
 *
 * @param round receives the operation in its output, which owns it
 * @param kind TMX_OPERATION_PLACE or TMX_OPERATION_STOP
 * @param job whose task it is
 * @param task number of the task within the job
 * @param attempt attempt to be placed or stopped
 * @return the operation, in which the fields that no parameter gives are zeroed
 */
struct tmx_operation *tmx_round_emit(struct round *round, char kind, const struct planner_job *job,
                                     uint32_t task, uint32_t attempt);

/** Books room for one task of the job on the machine of this slot. */
void tmx_round_reserve(struct round *round, struct planner_job *job, int machine_slot,
                       enum reservation reservation);

#endif
