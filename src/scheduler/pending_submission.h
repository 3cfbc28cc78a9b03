/**
 * @file
 * A submission that waits to be committed to the log.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_PENDING_SUBMISSION_H
#define TMX_PENDING_SUBMISSION_H
#include "scheduler/scheduler_internal.h"

/** State of a pending submission. */
enum tmx_pending_submission_state {
  TMX_PENDING_SUBMISSION_QUEUED,      /**< in no transaction */
  TMX_PENDING_SUBMISSION_IN_BATCH,    /**< in a batch that is being built or is in flight */
  TMX_PENDING_SUBMISSION_SENT_SINGLY, /**< in flight in a separate transaction */
};

/** A submission that waits to be committed; owned by the scheduler's queue. */
struct tmx_pending_submission {
  char id[TMX_ID_BYTES];           /**< id of the job */
  struct tmx_scheduler *scheduler; /**< scheduler that owns the queue; not owned */
  struct tmx_buffer record;        /**< the job's record, encoded */
  size_t record_json_length;       /**< bytes of the record as JSON */
  /** Ids of the job's prerequisites. The record contains as many as fit; the others follow in
   * lines. */
  struct tmx_job_ids prerequisite_ids;
  uint32_t n_prerequisites_in_record; /**< number of prerequisites in the record */
  int n_values; /**< puts that the record and its lines need; 1: may be committed singly */
  struct tmx_admission_request admission_request; /**< input of the admission decision */
  double deadline;            /**< steady clock, s: end of the wait in the queue */
  tmx_submission_cb callback; /**< called once with the outcome */
  void *callback_arg;         /**< first argument of `callback`; owned by the submitter */
  enum tmx_pending_submission_state state; /**< where the submission is */
  bool answered;          /**< the callback was called; a commit may still be in flight */
  double sent_at;         /**< steady clock, s: latest attempt to send the submission */
  int n_single_conflicts; /**< conflicts of its single transactions */
};

/** Creates a pending submission from a copy of `submission`. The caller owns it and sets the
 * deadline and the callback. */
struct tmx_pending_submission *tmx_pending_submission_new(struct tmx_scheduler *scheduler,
                                                          const struct tmx_submission *submission);
/** Releases the submission. The callback is not called. */
void tmx_pending_submission_free(struct tmx_pending_submission *pending);
/** Returns whether the submission exceeds the limits of a transaction. */
bool tmx_pending_submission_is_too_large(const struct tmx_pending_submission *pending);
/** Prints the next line of prerequisites that are not in the record and advances `*position`. The
 * caller sets `*position` to n_prerequisites_in_record before the first call. Returns false if no
 * prerequisites are left. */
bool tmx_pending_submission_next_line(const struct tmx_pending_submission *pending,
                                      uint32_t *position, char *line, size_t capacity);
/** Adds the condition that the job's own key does not exist. Together with the condition on the
 * head key it ensures that each id is committed only once: the head condition fails if a batch was
 * committed that the replica has not seen, and this condition fails if the job was committed
 * singly. */
void tmx_pending_submission_require_absent(const struct tmx_pending_submission *pending,
                                           struct tmx_transaction *transaction);
#endif
