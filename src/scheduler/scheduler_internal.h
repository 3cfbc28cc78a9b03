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
  TMX_SCHEDULER_IDLE,
  TMX_SCHEDULER_PLANNING, /**< the planner's thread has it */
  TMX_SCHEDULER_PLANNED,  /**< its result is to be committed, or its commit is under way */
};

/** A line for the log that is kept until it is committed. */
struct tmx_pending_line {
  char text[TMX_LINE_MAX];
  bool sent; /**< it is in the batch that was sent last */
};

struct tmx_pending_submission;

struct tmx_scheduler {
  struct ev_loop *loop;
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  const struct tmx_authority *authority;
  const struct tmx_machine_catalog *catalog;
  struct tmx_admission_control *admission;
  struct tmx_scheduler_source source;
  struct tmx_planner_thread *planner_thread;

  ev_timer round_timer;
  enum tmx_scheduler_phase phase;
  double round_started_at;
  double needed_writes;      /**< that the next batch needs at least */
  uint64_t awaited_revision; /**< the next step needs the replica to be here */
  double awaited_revision_since;

  struct tmx_planner_delta delta; /**< what the planner gets with the next round */
  struct tmx_machine **changed_machines;
  size_t n_changed_machines, cap_changed_machines;
  struct tmx_job **changed_jobs;
  size_t n_changed_jobs, cap_changed_jobs;
  struct tmx_operation completions[TMX_COMPLETIONS_MAX]; /**< of this round */
  size_t n_completions;

  struct tmx_round_output plan;
  bool batch_in_flight;
  uint64_t sent_head_version; /**< what the batch in flight is conditional on */
  int resends;                /**< of this round's batch */
  uint64_t next_key_number, key_compaction_point;
  struct tmx_pending_line *pending_lines;
  size_t n_pending_lines, cap_pending_lines;
  struct tmx_pending_submission *submissions[TMX_PENDING_SUBMISSIONS_MAX];
  size_t n_submissions;
};

/** The task that an operation is about; NULL: not known. */
struct tmx_task *tmx_operation_task(const struct tmx_replica *replica,
                                    const struct tmx_operation *operation);
/** Gives up what was planned; the next round begins anew. */
void tmx_scheduler_abandon_round(struct tmx_scheduler *scheduler);
#endif
