/* What the files of a controller's rounds share. A round hands what changed to the planner's
 * thread, which plans on tables of its own; the result is checked line by line on the replica as it
 * then stands and goes out as one batch. All but the planner's thread runs on the loop's thread. */
#ifndef TMX_SCHEDULER_INTERNAL_H
#define TMX_SCHEDULER_INTERNAL_H
#include <pthread.h>

#include "planner/planner.h"
#include "replica/operation_check.h"
#include "scheduler/scheduler.h"

/* Where a round is. */
enum tmx_scheduler_phase { TMX_SCHEDULER_IDLE, TMX_SCHEDULER_PLANNING, TMX_SCHEDULER_PLANNED };

/* A line for the log that is kept until it is committed. */
struct tmx_pending_line {
  char text[TMX_LINE_MAX];
  bool sent;
};

/* A submission on its way into the log. */
struct tmx_pending_submission {
  char id[TMX_ID_MAX];
  struct tmx_buffer value; /* the job's record ... */
  struct tmx_job_ids
      dependencies;       /* ... and of the ids that it names, those that have no room in it ... */
  uint32_t ids_in_record; /* ... follow from here on */
  size_t record_json_length;      /* length of the record as JSON */
  int n_values;                   /* keys that record and lines take; 1: it may go out by itself */
  struct tmx_candidate candidate; /* what admission judges */
  double deadline;
  tmx_submission_cb cb;
  void *arg;
  struct tmx_scheduler *scheduler;
  bool in_batch; /* in the batch under way */
  bool sent_alone;
  bool answered; /* but its commit is under way */
  double sent_at;
  int tries;
};

struct tmx_scheduler {
  struct ev_loop *loop;
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  const struct tmx_authority *authority;
  const struct tmx_machine_catalog *catalog;
  struct tmx_admission_control *admission;
  struct tmx_scheduler_source source;
  ev_timer timer;
  enum tmx_scheduler_phase phase;
  bool batch_in_flight; /* a batch is under way */
  struct tmx_pending_submission *submissions[TMX_PENDING_SUBMISSIONS_MAX];
  size_t n_submissions;
  double round_started_at, awaited_revision_since;
  double needed_writes;       /* that the next batch needs at least */
  uint64_t awaited_revision;  /* the next step needs the replica to be here */
  uint64_t sent_head_version; /* what the batch under way is conditional on */
  int resends;
  uint64_t next_key_number, key_compaction_point;
  /* what changed since the last feed */
  struct tmx_planner_delta delta;
  struct tmx_machine **changed_machines;
  size_t n_changed_machines, cap_changed_machines;
  struct tmx_job **changed_jobs;
  size_t n_changed_jobs, cap_changed_jobs;
  struct tmx_operation completions[TMX_COMPLETIONS_MAX];
  size_t n_completions;
  struct tmx_round_output plan;
  struct tmx_pending_line *pending_lines;
  size_t n_pending_lines, cap_pending_lines;
  /* the planner's thread; under the lock: in, out, ready, quit */
  pthread_t planner_thread;
  pthread_mutex_t lock;
  pthread_cond_t work_available;
  struct tmx_planner_delta input_delta;
  struct tmx_round_input input_round;
  struct tmx_round_output output;
  bool requested, ready, quit;
  ev_async planned_event;
};

/* The task that an operation speaks of; NULL: not known. */
struct tmx_task *tmx_operation_task(const struct tmx_replica *replica,
                                    const struct tmx_operation *operation);
/* Of the time of day, for one batch: s. */
double tmx_commit_slot_length(const struct tmx_settings *settings);
/* Does the replica hold the latest revision that a commit told of: the next step needs it. */
bool tmx_scheduler_caught_up(const struct tmx_scheduler *scheduler);
/* Gives up what was planned; the next round begins anew. */
void tmx_scheduler_abandon_round(struct tmx_scheduler *scheduler);

/* feed.c: fills the feed and the round from what changed. */
void tmx_scheduler_collect_delta(struct tmx_scheduler *scheduler, struct tmx_round_input *input);

/* submissions.c */
struct tmx_log_batch;
void tmx_submission_queue_add_to_batch(struct tmx_scheduler *scheduler,
                                       struct tmx_log_batch *batch);
void tmx_submission_queue_settle(struct tmx_scheduler *scheduler,
                                 enum tmx_transaction_result result);
void tmx_pending_submission_free(struct tmx_pending_submission *pending);

/* commit.c: checks what was planned and sends it. */
void tmx_scheduler_commit(struct tmx_scheduler *scheduler);
#endif
