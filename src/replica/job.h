/**
 * @file
 * Jobs and their tasks, as stored in the replica.
 *
 * The records belong to the replica and live until it is cleared. Only the thread of the
 * controller's event loop may access them. Some fields hold values of other modules: user requests,
 * the scheduler, the planner, the worker module and the operation check.
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
  TMX_JOB_CANCELLED /**< cancelled by a user, or because a prerequisite was cancelled */
};
/** States of a task. */
enum tmx_task_state {
  TMX_TASK_WAITING, /**< not on any machine; to be placed */
  TMX_TASK_PLACED,  /**< an attempt is assigned to a machine */
  TMX_TASK_DONE     /**< completed */
};
/** How an attempt is asked to stop. Log lines contain the value as a digit. */
enum tmx_stop_mode {
  TMX_STOP_NONE,        /**< not asked to stop */
  TMX_STOP_AT_ONCE,     /**< stop without saving a checkpoint */
  TMX_STOP_AFTER_SAVING /**< stop after saving a checkpoint */
};

/** Limits of a job in memory. */
enum {
  TMX_FAILED_MACHINES_KEPT = 4 /**< most recent failed machines remembered per job */
};

/** A task of a job. */
struct tmx_task {
  struct tmx_job *job;         /**< the job that owns this task */
  struct tmx_machine *machine; /**< machine that it is placed on; NULL: none */
  struct tmx_task *prev,       /**< previous task on the machine's list */
      *next;                   /**< next task on the machine's list */
  uint32_t attempt;            /**< number of its latest attempt; never decreases; 0: none yet */
  uint8_t state;               /**< enum tmx_task_state */
  uint8_t stop_mode;           /**< enum tmx_stop_mode */
  float placed_at;     /**< when this process applied its placement, monotonic clock, seconds */
  float running_since; /**< when its worker first reported it running, monotonic clock, seconds; 0:
                          not yet */
  bool completion_in_batch; /**< the batch being built contains its completion */
  /** @name The attempt in the worker's latest report
   * Valid while `last_report_number` equals the number of the worker's latest report. */
  /** @{ */
  uint32_t last_report_number; /**< number of the last report that contained the attempt */
  uint8_t reported_state;      /**< the attempt's state on its worker: TMX_REPORTED_* */
  char reported_end;           /**< how it ended if it has exited: enum tmx_end_reason */
  /** @} */
};

/** Attempts of a job's tasks that ended with an error. */
struct tmx_job_failures {
  char machines[TMX_FAILED_MACHINES_KEPT][TMX_ID_BYTES]; /**< where they ended, each machine once */
  uint32_t n_machines;  /**< number of entries ever written to `machines`; modulo the array size:
                           the next one to replace */
  uint32_t consecutive; /**< number of them since the last success */
  double longest_s;     /**< longest time from a placement to its error, seconds */
  double survivor_searched_at; /**< when `has_survivor` was decided, monotonic clock, seconds */
  bool has_survivor; /**< a task has outlasted the failed attempts, see machine_faults.c */
};

/** A submitted job. */
struct tmx_job {
  char id[TMX_ID_BYTES];    /**< the job's id, chosen by its owner */
  uint64_t version;         /**< version of the job's own key; 0: there is none */
  struct tmx_job_spec spec; /**< specification from the submission */
  double submitted_at;      /**< when it was submitted, wall clock, seconds */
  double released_at;  /**< when it was submitted or its last prerequisite was done, whichever is
                          later; wall clock, seconds */
  double ended_at;     /**< when its final state was written, wall clock, seconds; 0: unknown */
  bool outcome_stored; /**< its final state is stored in its own key, not only derived */
  struct tmx_dependencies dependencies; /**< its prerequisites and dependents */
  struct tmx_urgency urgency;           /**< priority and due time used by the planner */
  double loaded_at; /**< when this process added the record, monotonic clock, seconds */
  int outcome;      /**< enum tmx_job_outcome */
  int team;         /**< index of its team in the settings; negative: the settings do not name it */
  struct tmx_task *tasks; /**< `spec.tasks` entries; NULL once it has ended and none is placed */
  uint32_t n_done,        /**< number of tasks that are done */
      n_placed;           /**< number of tasks that are placed */
  uint32_t first_waiting; /**< all tasks before this index are placed or done */
  uint32_t placed_in_zone[TMX_ZONES_MAX]; /**< number of placed tasks, by zone */
  double outcome_committed_after; /**< its final state was committed after this time, monotonic
                                     clock, seconds; 0: unknown */
  double unplaced_since; /**< when its tasks began to wait or one was last placed, whichever is
                            later, monotonic clock, seconds; 0: no task waits */
  double waiting_cpus;   /**< CPUs of its waiting tasks, as included in tmx_replica::waiting_cpus */
  struct tmx_load remaining_load; /**< remaining work, as included in its account */
  int account;     /**< index of its account within the team; valid while `in_account` */
  bool in_account; /**< its account counts it as an open job */
  bool started;    /**< since loading, this process has applied a placement of one of its tasks */
  double answered_at;   /**< when this controller last sent its state to a user, monotonic clock,
                           seconds */
  double longest_run_s; /**< longest observed run of a completed task, seconds */
  double retry_at;      /**< when the backoff after failures ends, monotonic clock, seconds */
  uint32_t n_completions_in_batch; /**< tasks that the batch being built completes */
  int planner_slot;                /**< its index in the planner's table of jobs */
  bool planner_update_due;         /**< the next planner delta must include the job */
  bool known_to_planner; /**< the planner's tables contain the job and its specification */
  /** @name Counts of the batch being checked, see operation_check.h */
  /** @{ */
  uint64_t check_id;                            /**< id of the check that these counts belong to */
  uint32_t check_placed_in_zone[TMX_ZONES_MAX]; /**< number of placed tasks, by zone, including
                                                   operations checked so far */
  /** @} */
  struct tmx_job_failures failures; /**< attempts that ended with an error */
  UT_hash_handle hh;                /**< entry in tmx_replica::jobs, keyed by id */
};

/** The task's index within its job. */
static inline uint32_t tmx_task_index(const struct tmx_task *task) {
  return (uint32_t)(task - task->job->tasks);
}
#endif
