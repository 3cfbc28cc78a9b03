/**
 * @file
 * A submission on its way into the log. Loop's thread only.
 */
#ifndef TMX_PENDING_SUBMISSION_H
#define TMX_PENDING_SUBMISSION_H
#include "scheduler/scheduler_internal.h"

/** Where a submission is on its way. */
enum tmx_pending_submission_state {
  TMX_PENDING_SUBMISSION_QUEUED,   /**< in no transaction */
  TMX_PENDING_SUBMISSION_IN_BATCH, /**< in the batch that is built or in flight */
  TMX_PENDING_SUBMISSION_SINGLE,   /**< in flight in a transaction of its own */
};

/** A submission that waits for its commit; owned by the scheduler's queue. */
struct tmx_pending_submission {
  char id[TMX_ID_MAX];             /**< the job's id */
  struct tmx_scheduler *scheduler; /**< the scheduler that holds it; not owned */
  struct tmx_buffer record;        /**< the job's record, encoded */
  size_t record_json_length;       /**< bytes of the record as JSON */
  /** Of these ids, as many as have room are in the record; the others follow in lines. */
  struct tmx_job_ids dependencies;
  uint32_t n_dependencies_in_record; /**< how many of `dependencies` the record holds */
  int n_values; /**< puts that record and lines take; 1: it may be committed by itself */
  struct tmx_admission_request admission_request; /**< what admission decides on */
  double deadline;                                /**< steady clock, s */
  tmx_submission_cb callback;                     /**< receives the outcome, once */
  void *callback_arg; /**< first argument of `callback`; owned by the submitter */
  enum tmx_pending_submission_state state; /**< where it is */
  bool answered;          /**< the callback was called; its commit may still be in flight */
  double sent_at;         /**< steady clock, s; of the latest commit or attempt */
  int n_single_conflicts; /**< transactions of its own that lost to another commit */
};

/** Copies the submission. The caller sets deadline and callback, and owns the copy. */
struct tmx_pending_submission *tmx_pending_submission_new(struct tmx_scheduler *scheduler,
                                                          const struct tmx_submission *submission);
/** Releases the submission with its record and ids; the callback is not called. */
void tmx_pending_submission_free(struct tmx_pending_submission *pending);
/** Whether no transaction can hold it. */
bool tmx_pending_submission_is_too_large(const struct tmx_pending_submission *pending);
/** Prints the next line for dependencies that are not in the record, and moves `*position`, which
 * begins at n_dependencies_in_record; false: there is none left. */
bool tmx_pending_submission_next_line(const struct tmx_pending_submission *pending,
                                      uint32_t *position, char *line, size_t capacity);
/** Adds the condition that the job has no key of its own. A submission is committed either with a
 * batch or by itself. Either is conditional on the head that the replica saw, which rules out the
 * batches that the replica does not know, and on this, which rules out the single commits: so an id
 * is taken once. */
void tmx_pending_submission_require_absent(const struct tmx_pending_submission *pending,
                                           struct tmx_transaction *transaction);
#endif
