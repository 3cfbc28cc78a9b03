/**
 * @file
 * Jobs and their tasks as the replica keeps them.
 *
 * The records belong to the replica and live until it is cleared; only the thread of the
 * controller's loop may touch them. Other modules keep values of their own in some of the fields,
 * as said there.
 */
#ifndef TMX_JOB_H
#define TMX_JOB_H
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "replica/backlog.h"
#include "replica/job_dependencies.h"
#include "replica/job_spec.h"
#include "tmx/constants.h"

struct tmx_machine;

/** Final states of a job. The values are stored in job records. */
enum tmx_job_outcome {
  TMX_JOB_OPEN,     /**< no final state yet */
  TMX_JOB_DONE,     /**< all tasks completed */
  TMX_JOB_CANCELLED /**< cancelled by a user, or because a job that it needs was */
};
/** States of a task. */
enum tmx_task_state {
  TMX_TASK_WAITING, /**< on no machine; to be placed */
  TMX_TASK_PLACED,  /**< an attempt is assigned to a machine */
  TMX_TASK_DONE     /**< completed */
};
/** How an attempt is asked to stop. In lines of the log the value stands as a digit. */
enum tmx_stop_mode {
  TMX_STOP_NONE,        /**< not asked to stop */
  TMX_STOP_AT_ONCE,     /**< without saving a checkpoint */
  TMX_STOP_AFTER_SAVING /**< once a checkpoint has been saved */
};

/** Limits of a job's record in memory. */
enum {
  TMX_FAILED_MACHINES_KEPT = 4 /**< machines on which a job failed that are remembered */
};

/** One task of a job. */
struct tmx_task {
  struct tmx_job *job;         /**< the job that owns this task */
  struct tmx_machine *machine; /**< where it is placed; NULL: nowhere */
  struct tmx_task *prev,       /**< previous task on the machine's list */
      *next;                   /**< next task on the machine's list */
  uint32_t attempt;            /**< number of its latest attempt; only grows; 0: none yet */
  uint8_t state;               /**< enum tmx_task_state */
  uint8_t stop_mode;           /**< enum tmx_stop_mode */
  float placed_at;             /**< steady clock, s: when this process first saw it placed */
  float running_since;         /**< steady clock, s: its worker reported it running; 0: not yet */
  bool completion_in_batch;    /**< its end is in the batch being made */
  /** @name What the worker's latest report says of this attempt
   * Valid while `reported_in` equals the number of the worker's latest report. */
  /** @{ */
  uint32_t reported_in;   /**< number of the report that named the attempt last */
  uint8_t reported_state; /**< the attempt's state on its worker: TMX_REPORTED_* */
  char reported_end;      /**< how it ended, if it has exited: enum tmx_end_reason */
  /** @} */
};

/** A job that was submitted. */
struct tmx_job {
  char id[TMX_ID_BYTES]; /**< the job's id, as its owner submitted it */
  uint64_t version;      /**< of its key, which is written with its final state; 0: there is none */
  struct tmx_job_spec spec; /**< what its owner asked for */
  double submitted_at;      /**< time of day, s */
  double released_at;  /**< time of day, s: submitted, or the last job that it needs was done */
  double ended_at;     /**< time of day, s: its final state was written; 0: not known */
  bool outcome_stored; /**< its final state is in its own key, rather than derived from another's */
  struct tmx_dependencies dependencies; /**< jobs that it needs, and that need it */
  struct tmx_urgency urgency;           /**< priority and due time that the planner uses */
  double loaded_at;                     /**< steady clock, s */
  int outcome;                          /**< enum tmx_job_outcome */
  int team; /**< index among the settings' teams; negative: not one of them */
  struct tmx_task
      *tasks;      /**< `spec.tasks` of them; NULL once it is over and has left all machines */
  uint32_t n_done, /**< tasks that are done */
      n_placed;    /**< tasks that are placed */
  uint32_t first_waiting;                 /**< no task before this index waits */
  uint32_t placed_in_zone[TMX_ZONES_MAX]; /**< tasks placed, by zone */
  double
      outcome_after; /**< steady clock, s: its final state was committed after this; 0: unknown */
  double
      unplaced_since;  /**< steady clock, s: tasks wait and none was placed since; 0: none waits */
  double waiting_cpus; /**< CPUs of its tasks that wait, as counted in the replica's sum */
  struct tmx_load remaining_load;  /**< what is left of it, as counted in its account */
  int account;                     /**< of its class within the team; valid while `in_account` */
  bool in_account;                 /**< it counts as open in its account */
  bool started;                    /**< a task of it was seen placed here */
  double answered_at;              /**< steady clock, s: a user was last told of it here */
  double longest_run_s;            /**< the longest run of a task that was seen to its end, s */
  uint32_t consecutive_failures;   /**< attempts in a row that ended with an error */
  double retry_at;                 /**< steady clock, s: the backoff after failures ends */
  uint32_t n_completions_in_batch; /**< of the batch being made: tasks that end as done */
  int planner_slot;                /**< its place in the planner's tables */
  bool planner_update_due;         /**< the planner is to be told of it */
  bool known_to_planner;           /**< the planner has its specification */
  /** @name Counts of the batch being checked, see operation_check.h */
  /** @{ */
  uint64_t check_id; /**< the check that these counts belong to */
  uint32_t
      check_placed_in_zone[TMX_ZONES_MAX]; /**< tasks placed, by zone, with those of the batch */
  /** @} */
  char failed_machines[TMX_FAILED_MACHINES_KEPT][TMX_ID_BYTES]; /**< where it failed lately */
  unsigned next_failed_machine; /**< counts up; modulo the size, the next entry to be replaced */
  UT_hash_handle hh;            /**< in the replica's `jobs`, by id */
};

/** The task's index within its job. */
static inline uint32_t tmx_task_index(const struct tmx_task *task) {
  return (uint32_t)(task - task->job->tasks);
}
#endif
