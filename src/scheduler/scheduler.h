/**
 * @file
 * Scheduling rounds of one controller: when a round begins, what the planner is told, and the batch
 * that a round writes. The planner plans on a thread of its own; everything declared here belongs
 * to the loop's thread.
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

struct tmx_scheduler;

/** A machine as its worker reports it, before it is registered in the log. */
struct tmx_machine_facts {
  char id[TMX_ID_MAX];     /**< the machine's id */
  char addr[TMX_NAME_MAX]; /**< address of its worker */
  char type[TMX_ID_MAX];   /**< name of its machine type */
  char zone[TMX_NAME_MAX]; /**< name of its zone */
  bool spot;               /**< a spot instance, which may be taken away */
};

/** Where a round gets what only workers' reports tell. Both return how many they wrote. */
struct tmx_scheduler_source {
  void *context; /**< first argument of both functions; not owned */
  /** Attempts whose end is proven by reports. */
  size_t (*collect_completions)(void *context, struct tmx_operation *operations, size_t max);
  /** Machines that report and are not in the log. */
  size_t (*collect_unregistered)(void *context, struct tmx_machine_facts *facts, size_t max);
};

/** What the scheduler works on; all of it must outlive the scheduler. */
struct tmx_scheduler_dependencies {
  struct ev_loop *loop;                  /**< the controller's event loop */
  const struct tmx_settings *settings;   /**< settings of the deployment */
  struct tmx_replica *replica;           /**< the copy of the state that rounds are checked on */
  struct tmx_store *store;               /**< sends the transactions and keeps the write budget */
  const struct tmx_authority *authority; /**< whether this controller may act */
  const struct tmx_machine_catalog *catalog; /**< machine types */
  struct tmx_admission_control *admission;   /**< NULL: everything that can run is admitted */
  struct tmx_scheduler_source source;        /**< what workers report; copied */
};

/** Starts the planner's thread. */
struct tmx_scheduler *tmx_scheduler_new(const struct tmx_scheduler_dependencies *dependencies);
/** Waits for the planner's thread to end. Submissions that are still queued get no answer. */
void tmx_scheduler_free(struct tmx_scheduler *scheduler);

/** Something is worth a round: one begins as soon as spacing and write budget allow. */
void tmx_scheduler_trigger(struct tmx_scheduler *scheduler);
/** The same, within this many seconds. */
void tmx_scheduler_trigger_within(struct tmx_scheduler *scheduler, double within_s);

/** The planner will be told of the machine's present state with the next round. */
void tmx_scheduler_machine_changed(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** The same for a job. */
void tmx_scheduler_job_changed(struct tmx_scheduler *scheduler, struct tmx_job *job);
/** The machine is about to be freed. */
void tmx_scheduler_machine_removed(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** The replica is being cleared: the planner forgets everything. */
void tmx_scheduler_reset(struct tmx_scheduler *scheduler);
/** Queues a line for the log until it is committed: a machine that is draining, or was removed. A
 * line that is queued already is queued once. */
void tmx_scheduler_append_line(struct tmx_scheduler *scheduler, const char *line);

/** What became of a submission that was queued. */
enum tmx_submission_outcome {
  TMX_SUBMISSION_COMMITTED,     /**< the job is in the log */
  TMX_SUBMISSION_KNOWN,         /**< the job was accepted before */
  TMX_SUBMISSION_NOT_COMMITTED, /**< not in the log; the user may repeat it */
  TMX_SUBMISSION_UNDECIDED,     /**< the store's answer is missing: committed or not */
  TMX_SUBMISSION_OVERLOAD,      /**< not sent: its team or class had no room by then */
};
/** Receives a submission's outcome, on the loop's thread. `arg` is the one that was given to
 * tmx_scheduler_submit(). */
typedef void (*tmx_submission_cb)(void *arg, enum tmx_submission_outcome outcome);
/** Whether a submission was queued. */
enum tmx_submit_result {
  TMX_SUBMIT_QUEUED,     /**< the callback will be called once */
  TMX_SUBMIT_QUEUE_FULL, /**< no room now, or the id is queued already; no callback */
  TMX_SUBMIT_TOO_LARGE,  /**< more than a transaction can hold; no callback */
};
/** A job to be submitted; owned by the caller. */
struct tmx_submission {
  char id[TMX_ID_MAX];             /**< the job's id */
  struct tmx_job_spec spec;        /**< what its owner asks for */
  struct tmx_job_ids dependencies; /**< jobs that it needs */
  double submitted_at;             /**< time of day, s */
};
/** Queues a submission for the log; it is copied. Without a commit within `within_s` it is settled
 * as not committed. */
enum tmx_submit_result tmx_scheduler_submit(struct tmx_scheduler *scheduler,
                                            const struct tmx_submission *submission,
                                            double within_s, tmx_submission_cb callback, void *arg);
/** To be called after each turn of the loop: sends submissions that may go out by themselves. */
void tmx_scheduler_flush(struct tmx_scheduler *scheduler);
/** For tests: whether the planner's thread has work. */
bool tmx_scheduler_is_planning(const struct tmx_scheduler *scheduler);
#endif
