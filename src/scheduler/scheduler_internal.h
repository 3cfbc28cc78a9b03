/**
 * @file
 * Types and functions shared by the files of src/scheduler.
 *
 * A round sends the changed machines and jobs to the planner's thread, which plans on its own
 * tables. When the plan is ready, each planned operation is checked against the current replica,
 * and the valid ones are committed as one batch. Everything here belongs to the loop's thread.
 */
#ifndef TMX_SCHEDULER_INTERNAL_H
#define TMX_SCHEDULER_INTERNAL_H
#include "planner/planner.h"
#include "scheduler/planner_thread.h"
#include "scheduler/scheduler.h"

/** Phase of the current round. */
enum tmx_scheduler_phase {
  TMX_SCHEDULER_IDLE,     /**< no round is in progress */
  TMX_SCHEDULER_PLANNING, /**< the planner's thread is planning the round */
  TMX_SCHEDULER_PLANNED,  /**< the plan waits for its commit, or its commit is in flight */
};

/** A line for the log, kept until it is committed. */
struct tmx_pending_line {
  char text[TMX_LOG_LINE_BYTES]; /**< text of the line */
  bool sent;                     /**< the line is in the batch that was built last */
};

struct tmx_pending_submission;

/** The scheduler of one controller. It owns its arrays; the machines and jobs that they point to
 * belong to the replica. */
struct tmx_scheduler {
  /** @name Dependencies
   * Not owned, see tmx_scheduler_dependencies. */
  /** @{ */
  struct ev_loop *loop;                      /**< the controller's event loop */
  const struct tmx_settings *settings;       /**< settings of the deployment */
  struct tmx_replica *replica;               /**< local copy of the state */
  struct tmx_store *store;                   /**< commits transactions */
  const struct tmx_authority *authority;     /**< decides whether this controller may plan */
  const struct tmx_machine_catalog *catalog; /**< machine types */
  struct tmx_admission_control *admission;   /**< NULL: every submission that can run is admitted */
  struct tmx_scheduler_source source;        /**< callbacks for data from workers' reports */
  /** @} */
  struct tmx_planner_thread *planner_thread; /**< the planner's thread; owned */

  ev_timer round_timer;           /**< fires when a round may begin or its plan may be committed */
  enum tmx_scheduler_phase phase; /**< phase of the current round */
  double round_started_at;        /**< steady clock, s: start of the latest round */
  double min_batch_writes;        /**< puts that the next batch needs at least */
  uint64_t awaited_revision;      /**< revision that the replica must reach before the next step */
  double awaited_revision_since;  /**< steady clock, s: when the latest wait started */

  struct tmx_planner_delta delta;        /**< changes to send to the planner with the next round */
  struct tmx_machine **changed_machines; /**< machines whose state the next delta includes */
  size_t n_changed_machines,             /**< used entries of `changed_machines` */
      cap_changed_machines;              /**< allocated entries of `changed_machines` */
  struct tmx_job **changed_jobs;         /**< jobs whose state the next delta includes */
  size_t n_changed_jobs,                 /**< used entries of `changed_jobs` */
      cap_changed_jobs;                  /**< allocated entries of `changed_jobs` */
  struct tmx_operation completions[TMX_ROUND_COMPLETIONS_MAX]; /**< ended attempts to commit */
  size_t n_completions;                                        /**< used entries of `completions` */

  struct tmx_round_output plan; /**< result of planning; its operations are owned */
  bool batch_in_flight;         /**< the round's batch was sent, and there is no response yet */
  uint64_t sent_head_version;   /**< version of the head key that the latest batch requires */
  int n_resends;                /**< how often the batch of this round conflicted */
  uint64_t next_key_number,     /**< first number to try for the next batch key */
      key_compaction_point;     /**< compaction point at which the numbers restarted at 0 */
  struct tmx_pending_line *pending_lines; /**< lines to commit, the oldest first */
  size_t n_pending_lines,                 /**< used entries of `pending_lines` */
      cap_pending_lines;                  /**< allocated entries of `pending_lines` */
  struct tmx_pending_submission *submissions[TMX_PENDING_SUBMISSIONS_MAX]; /**< owned; unordered */
  size_t n_submissions; /**< used entries of `submissions` */
};

/** Returns the task that the operation refers to, or NULL if the replica does not contain it. */
struct tmx_task *tmx_operation_find_task(const struct tmx_replica *replica,
                                         const struct tmx_operation *operation);
/** Ends the current round and discards what is left of its plan. */
void tmx_scheduler_end_round(struct tmx_scheduler *scheduler);
#endif
