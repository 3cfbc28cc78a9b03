/**
 * @file
 * What the files of this folder share. A round hands what changed to the planner's thread, which
 * plans on tables of its own; the result is checked operation by operation on the replica as it
 * then stands, and goes out as one batch. Everything here belongs to the loop's thread.
 */
#ifndef TMX_SCHEDULER_INTERNAL_H
#define TMX_SCHEDULER_INTERNAL_H
#include "planner/planner.h"
#include "scheduler/planner_thread.h"
#include "scheduler/scheduler.h"

/** Where a round is. */
enum tmx_scheduler_phase {
  TMX_SCHEDULER_IDLE,     /**< no round is under way */
  TMX_SCHEDULER_PLANNING, /**< the planner's thread has it */
  TMX_SCHEDULER_PLANNED,  /**< its result is to be committed, or its commit is under way */
};

/** A line for the log that is kept until it is committed. */
struct tmx_pending_line {
  char text[TMX_LINE_MAX]; /**< the line */
  bool sent;               /**< it is in the batch that was sent last */
};

struct tmx_pending_submission;

/** The scheduler of one controller. Arrays in it are its own; the machines and jobs they point to
 * belong to the replica. */
struct tmx_scheduler {
  /** @name Dependencies
   * Not owned, see tmx_scheduler_dependencies. */
  /** @{ */
  struct ev_loop *loop;                      /**< the controller's event loop */
  const struct tmx_settings *settings;       /**< settings of the deployment */
  struct tmx_replica *replica;               /**< the copy of the state */
  struct tmx_store *store;                   /**< sends the transactions */
  const struct tmx_authority *authority;     /**< whether this controller may act */
  const struct tmx_machine_catalog *catalog; /**< machine types */
  struct tmx_admission_control *admission;   /**< NULL: everything that can run is admitted */
  struct tmx_scheduler_source source;        /**< what workers report */
  /** @} */
  struct tmx_planner_thread *planner_thread; /**< the thread that plans; owned */

  ev_timer round_timer;           /**< fires when the next step of a round may be due */
  enum tmx_scheduler_phase phase; /**< where the round is */
  double round_started_at;        /**< steady clock, s: when the latest round began */
  double needed_writes;           /**< that the next batch needs at least */
  uint64_t awaited_revision;      /**< the next step needs the replica to be here */
  double awaited_revision_since;  /**< steady clock, s: when `awaited_revision` was set */

  struct tmx_planner_delta delta;        /**< what the planner gets with the next round */
  struct tmx_machine **changed_machines; /**< machines that the planner is to be told of */
  size_t n_changed_machines,             /**< used entries of `changed_machines` */
      cap_changed_machines;              /**< allocated entries of `changed_machines` */
  struct tmx_job **changed_jobs;         /**< jobs that the planner is to be told of */
  size_t n_changed_jobs,                 /**< used entries of `changed_jobs` */
      cap_changed_jobs;                  /**< allocated entries of `changed_jobs` */
  struct tmx_operation completions[TMX_COMPLETIONS_MAX]; /**< of this round */
  size_t n_completions;                                  /**< used entries of `completions` */

  struct tmx_round_output plan; /**< what was planned; its operations are owned */
  bool batch_in_flight;         /**< the round's batch was sent and not answered */
  uint64_t sent_head_version;   /**< what the batch in flight is conditional on */
  int resends;                  /**< of this round's batch */
  uint64_t next_key_number,     /**< slot to be tried first for the next batch key */
      key_compaction_point;     /**< compaction point since which slots were counted from 0 */
  struct tmx_pending_line *pending_lines; /**< lines to be committed, the oldest first */
  size_t n_pending_lines,                 /**< used entries of `pending_lines` */
      cap_pending_lines;                  /**< allocated entries of `pending_lines` */
  struct tmx_pending_submission *submissions[TMX_PENDING_SUBMISSIONS_MAX]; /**< owned; no order */
  size_t n_submissions; /**< used entries of `submissions` */
};

/** The task that an operation is about; NULL: not known. */
struct tmx_task *tmx_operation_task(const struct tmx_replica *replica,
                                    const struct tmx_operation *operation);
/** Gives up what was planned; the next round begins anew. */
void tmx_scheduler_abandon_round(struct tmx_scheduler *scheduler);
#endif
