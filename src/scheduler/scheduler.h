/**
 * @file
 * Scheduling rounds of one controller. A round collects what changed, plans on the planner's thread
 * and commits the result to the log as one batch.
 *
 * All functions may be called only on the thread of the event loop, and callbacks are called there.
 */
#ifndef TMX_SCHEDULER_H
#define TMX_SCHEDULER_H
#include <ev.h>

#include "admission/admission_control.h"
#include "catalog/machine_catalog.h"
#include "config/settings.h"
#include "membership/authority.h"
#include "replica/replica.h"
#include "store/store.h"

/** The scheduler of one controller. */
struct tmx_scheduler;

/** What a worker reports about its machine. The log registers the machine with these values. */
struct tmx_machine_description {
  char id[TMX_ID_BYTES];     /**< id of the machine */
  char addr[TMX_NAME_BYTES]; /**< address of its worker */
  char type[TMX_ID_BYTES];   /**< name of its machine type */
  char zone[TMX_NAME_BYTES]; /**< name of its zone */
  bool spot;                 /**< a spot instance, which the cloud may reclaim */
};

/** Callbacks through which a round collects what is known only from workers' reports. Each writes
 * at most `max` entries and returns how many it wrote. */
struct tmx_scheduler_source {
  void *context; /**< first argument of both functions; not owned */
  /** Collects an end operation for each placed attempt that is proven to have ended. */
  size_t (*collect_completions)(void *context, struct tmx_operation *operations, size_t max);
  /** Collects machines whose workers report but which the log does not contain. */
  size_t (*collect_unregistered)(void *context, struct tmx_machine_description *machines,
                                 size_t max);
};

/** What the scheduler depends on. Everything that is pointed to must outlive the scheduler. */
struct tmx_scheduler_dependencies {
  struct ev_loop *loop;                /**< the controller's event loop */
  const struct tmx_settings *settings; /**< settings of the deployment */
  struct tmx_replica *replica; /**< local copy of the state; operations are checked against it */
  struct tmx_store *store;     /**< commits transactions and keeps the write budget */
  const struct tmx_authority *authority;     /**< decides whether this controller may plan */
  const struct tmx_machine_catalog *catalog; /**< machine types */
  struct tmx_admission_control *admission;   /**< NULL: every submission that can run is admitted */
  struct tmx_scheduler_source source; /**< callbacks for data from workers' reports; copied */
};

/** Creates a scheduler and starts the planner's thread. The dependencies struct is copied. The
 * caller releases the scheduler with tmx_scheduler_free(). */
struct tmx_scheduler *tmx_scheduler_new(const struct tmx_scheduler_dependencies *dependencies);
/** Waits for the planner's thread to end and releases the scheduler. The callbacks of pending
 * submissions are not called. */
void tmx_scheduler_free(struct tmx_scheduler *scheduler);

/** Requests a round. It begins as soon as the minimum spacing of rounds, the write budget and the
 * commit slots allow. */
void tmx_scheduler_trigger(struct tmx_scheduler *scheduler);
/** Requests a round within `within_s` seconds. It begins later if the minimum spacing of rounds,
 * the write budget or the commit slots require that. */
void tmx_scheduler_trigger_within(struct tmx_scheduler *scheduler, double within_s);

/** Marks the machine as changed: the next round sends its current state to the planner. */
void tmx_scheduler_machine_changed(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** Marks the job as changed: the next round sends its current state to the planner. */
void tmx_scheduler_job_changed(struct tmx_scheduler *scheduler, struct tmx_job *job);
/** Removes the machine from the planner's tables with the next round. Must be called before
 * the machine is freed. */
void tmx_scheduler_machine_removed(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** Discards all pending changes of machines and jobs. The next round clears the planner's tables.
 * Must be called when the replica is cleared. */
void tmx_scheduler_reset(struct tmx_scheduler *scheduler);
/** Queues a line for the log and keeps it until it is committed. Used for machines that drain or
 * were removed. A line that is already queued is not queued again. */
void tmx_scheduler_queue_log_line(struct tmx_scheduler *scheduler, const char *line);

/** The outcome of a queued submission. */
enum tmx_submission_outcome {
  TMX_SUBMISSION_COMMITTED,         /**< the submission was committed: the job is in the log */
  TMX_SUBMISSION_ALREADY_COMMITTED, /**< the replica already contains a job with this id */
  TMX_SUBMISSION_NOT_COMMITTED,     /**< the job is not in the log; the user may retry */
  TMX_SUBMISSION_OUTCOME_UNKNOWN,   /**< the store gave no usable response; it may be committed */
  TMX_SUBMISSION_NOT_ADMITTED,      /**< not sent: admission control rejected it */
};
/** Receives the outcome of a submission on the loop's thread. `arg` is the argument that was passed
 * to tmx_scheduler_submit(). */
typedef void (*tmx_submission_cb)(void *arg, enum tmx_submission_outcome outcome);
/** The result of tmx_scheduler_submit(). */
enum tmx_submit_result {
  TMX_SUBMIT_QUEUED,     /**< queued; the callback is called once */
  TMX_SUBMIT_QUEUE_FULL, /**< the queue is full or contains this id; the callback is not called */
  TMX_SUBMIT_TOO_LARGE,  /**< exceeds a transaction's limits; the callback is not called */
};
/** A job to submit; owned by the caller. */
struct tmx_submission {
  char id[TMX_ID_BYTES];               /**< id of the job */
  struct tmx_job_spec spec;            /**< the job's specification */
  struct tmx_job_ids prerequisite_ids; /**< ids of the job's prerequisites */
  double submitted_at;                 /**< time of day, s */
};
/** Queues a copy of the submission for the log. A submission that is still waiting to be sent after
 * `within_s` seconds gets TMX_SUBMISSION_NOT_COMMITTED. */
enum tmx_submit_result tmx_scheduler_submit(struct tmx_scheduler *scheduler,
                                            const struct tmx_submission *submission,
                                            double within_s, tmx_submission_cb callback, void *arg);
/** Answers submissions whose outcome is known, commits the queued ones that may be committed
 * singly, and requests a round for the rest. Must be called after each event loop iteration. */
void tmx_scheduler_process_submissions(struct tmx_scheduler *scheduler);
/** Returns whether a round is being planned. For tests. */
bool tmx_scheduler_is_planning(const struct tmx_scheduler *scheduler);
#endif
