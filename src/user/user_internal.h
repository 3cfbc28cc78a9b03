/**
 * @file
 * What the files of this folder share. Nothing is answered before it is certain, and no request is
 * held back for long: one that cannot be decided gets a 503 with a Retry-After. Loop's thread only.
 */
#ifndef TMX_USER_INTERNAL_H
#define TMX_USER_INTERNAL_H
#include "user/user_api.h"

/** State of the module; the pointers are not owned, see tmx_users_dependencies. */
struct tmx_users {
  const struct tmx_settings *settings;       /**< teams, zones and limits */
  struct tmx_replica *replica;               /**< the jobs that are known */
  struct tmx_store *store;                   /**< reads the state anew and commits cancellations */
  const struct tmx_machine_catalog *catalog; /**< machine types that jobs may need */
  struct tmx_admission_control *admission;   /**< NULL: everything that can run is admitted */
  struct tmx_scheduler *scheduler;           /**< takes the submissions that are to be committed */
  int n_waiting;                             /**< requests without an answer */
};

/** What a user asks for: a job's state (poll), a new job (submit), or a job's end (cancel). */
enum tmx_user_request_kind { TMX_USER_POLL, TMX_USER_SUBMIT, TMX_USER_CANCEL };

/** What becomes of a request once the state was read, if its job is not known then. */
enum tmx_unknown_job_step {
  TMX_UNKNOWN_JOB_NOT_FOUND, /**< 404 */
  TMX_UNKNOWN_JOB_MALFORMED, /**< 400: the submission's body */
  TMX_UNKNOWN_JOB_REJECTED,  /**< 422: the job could never run */
  TMX_UNKNOWN_JOB_RETRY,     /**< 503: not decided; the user is to repeat the request */
  TMX_UNKNOWN_JOB_OVERLOAD,  /**< 503: its team or class has no room */
  TMX_UNKNOWN_JOB_SUBMIT,    /**< the submission is validated anew and queued for the log */
};

/** A request that waits: for the state to be read, or for a commit. */
struct tmx_user_request {
  struct tmx_users *users;              /**< not owned */
  struct tmx_http_request *http;        /**< owned until it is answered */
  enum tmx_user_request_kind kind;      /**< what is asked for */
  enum tmx_unknown_job_step if_unknown; /**< next step if the job is not known */
  char id[TMX_ID_BYTES];                /**< of the job */
  double received_at;                   /**< monotonic clock, seconds */
  double deadline; /**< of a cancellation's retries: monotonic clock, seconds */
  int n_conflicts; /**< of a cancellation's commits */
  /* Only for submissions: */
  struct tmx_submission *submission; /**< owned; NULL once it is decided or handed over */
  bool depends_on_cancelled;         /**< a job that it depends on is cancelled */
  struct tmx_admission_request admission_request;   /**< what admission decides on */
  struct tmx_admission_decision admission_decision; /**< the latest decision of admission */
};

/** Answers 503 with Retry-After. This and the three that follow (user_answers.c) free the request.
 */
void tmx_user_reply_unavailable(struct tmx_http_request *http, const char *why);
/** Answers with the job's id and state only. */
void tmx_user_reply_state(struct tmx_http_request *http, int status, const char *id,
                          const char *state);
/** Answers with the job's state and progress. */
void tmx_user_reply_job(struct tmx_http_request *http, struct tmx_job *job);
/** Answers the cancellation of a job that is over: the state in which it ended. */
void tmx_user_reply_cancel_too_late(struct tmx_http_request *http, const struct tmx_job *job);

/** waiting_request.c: waits until the replica holds all that was committed before the request came,
 * and takes the next step then. `request` tells which, and is copied; its submission is handed
 * over. */
void tmx_user_request_wait(struct tmx_users *users, struct tmx_http_request *http,
                           const struct tmx_user_request *request);
/** Reads the state anew, within `within_s` seconds, for a request that waits already.
 * @return false if too many reads wait already; the request is left as it is then. */
bool tmx_user_request_read_state(struct tmx_user_request *request, double within_s);
/** Counts a copy of the request among those that wait. */
struct tmx_user_request *tmx_user_request_new(struct tmx_users *users,
                                              struct tmx_http_request *http,
                                              const struct tmx_user_request *request);
/** Frees the request, which must have been answered. */
void tmx_user_request_finish(struct tmx_user_request *request);

/** Answers with the job's state: at once if it is final, otherwise after a read of the state.
 * polls.c */
void tmx_user_poll(struct tmx_users *users, struct tmx_http_request *http, const char *id);

/** Cancels the job after a read of the state, or answers at once if it is over. cancellations.c */
void tmx_user_cancel(struct tmx_users *users, struct tmx_http_request *http, const char *id);
/** The step after the state was read: the job is known and not over. */
void tmx_user_request_commit_cancellation(struct tmx_user_request *request);

/** Reads and validates the body, and answers at once or after a read of the state. submissions.c */
void tmx_user_submit(struct tmx_users *users, struct tmx_http_request *http);
/** The step after the state was read: the job is not known. */
void tmx_user_request_submit(struct tmx_user_request *request);
/** Answers a submission for which admission had no room. */
void tmx_user_request_reply_overload(const struct tmx_user_request *request);
#endif
