/**
 * @file
 * State and functions shared by the files of src/user. A response contains only what is known to be
 * committed. A request that cannot be decided within a few seconds is answered 503 with
 * Retry-After. All functions must be called on the event loop's thread.
 */
#ifndef TMX_USER_INTERNAL_H
#define TMX_USER_INTERNAL_H
#include "user/user_api.h"

/** The state of the module. The pointers are not owned; see tmx_user_api_dependencies. */
struct tmx_user_api {
  const struct tmx_settings *settings;       /**< teams, zones and limits */
  struct tmx_replica *replica;               /**< the jobs in the log */
  struct tmx_store *store;                   /**< linearizable reads; commits cancellations */
  const struct tmx_machine_catalog *catalog; /**< machine types that jobs can run on */
  struct tmx_admission_control *admission;   /**< NULL: every job that can run is admitted */
  struct tmx_scheduler *scheduler;           /**< commits submissions */
  int n_waiting; /**< number of requests that wait for a read or a commit */
};

/** The kinds of requests: read a job's state, submit a job, cancel a job. */
enum tmx_user_request_kind { TMX_USER_POLL, TMX_USER_SUBMIT, TMX_USER_CANCEL };

/** What to do with a request whose job is not in the replica after the read of the state. */
enum tmx_unknown_job_action {
  TMX_UNKNOWN_JOB_NOT_FOUND, /**< 404 */
  TMX_UNKNOWN_JOB_MALFORMED, /**< 400: the submission's body is malformed */
  TMX_UNKNOWN_JOB_REJECTED,  /**< 422: the job could never run */
  TMX_UNKNOWN_JOB_RETRY,     /**< 503: undecided; the client should retry */
  TMX_UNKNOWN_JOB_OVERLOAD,  /**< 503: the team or class has reached its admission ceiling */
  TMX_UNKNOWN_JOB_SUBMIT,    /**< validate the prerequisites again and queue the submission */
};

/** A request that waits for a read of the state or for a commit. */
struct tmx_user_request {
  struct tmx_user_api *api;               /**< not owned */
  struct tmx_http_request *http;          /**< owned until it is answered */
  enum tmx_user_request_kind kind;        /**< what the user requests */
  enum tmx_unknown_job_action if_unknown; /**< what to do if the job is unknown after the read */
  char id[TMX_ID_BYTES];                  /**< ID of the job */
  double received_at; /**< when this request was received, monotonic clock, seconds */
  double deadline;    /**< end of a cancellation's retries, monotonic clock, seconds */
  int n_conflicts;    /**< number of conflicts that the cancellation's commits have met */
  /* Submissions only: */
  struct tmx_submission *submission;                /**< owned; NULL once it is refused or queued */
  bool depends_on_cancelled;                        /**< at least one prerequisite is cancelled */
  struct tmx_admission_request admission_request;   /**< input of admission control */
  struct tmx_admission_decision admission_decision; /**< latest decision of admission control */
};

/** Answers 503 with Retry-After and logs the reason at debug level. Like the next three functions,
 * it frees the HTTP request and is defined in user_answers.c. */
void tmx_user_reply_unavailable(struct tmx_http_request *http, const char *reason);
/** Answers with the job's ID and state only. */
void tmx_user_reply_state(struct tmx_http_request *http, int status, const char *id,
                          const char *state);
/** Answers 200 with the job's ID, state and numbers of done and running tasks. Records the time of
 * the answer in the job. */
void tmx_user_reply_job(struct tmx_http_request *http, struct tmx_job *job);
/** Answers the cancellation of a job that has ended: 200 with the job's final state. */
void tmx_user_reply_cancel_too_late(struct tmx_http_request *http, const struct tmx_job *job);

/**
 * Defers a request until the replica contains everything that was committed before the request was
 * received, and then continues it. Answers 503 immediately if the store is unreachable or too many
 * requests wait. Defined in waiting_request.c.
 * @param api      the users' API
 * @param http     the HTTP request, which is answered now or later
 * @param request  copied; its `if_unknown` says how to continue if the job is unknown. Ownership of
 *                 its submission passes to this function.
 */
void tmx_user_request_defer(struct tmx_user_api *api, struct tmx_http_request *http,
                            const struct tmx_user_request *request);
/** Starts a linearizable read, with a timeout of `within_s` seconds, for a request made by
 * tmx_user_request_new(), and continues the request afterwards.
 * @return false if too many reads wait already; the request is then unchanged. */
bool tmx_user_request_read_state(struct tmx_user_request *request, double within_s);
/** Returns a copy of the request, counted in `n_waiting`. The copy owns the submission; the caller
 * passes it to tmx_user_request_finish() in the end. */
struct tmx_user_request *tmx_user_request_new(struct tmx_user_api *api,
                                              struct tmx_http_request *http,
                                              const struct tmx_user_request *request);
/** Frees the request, which must have been answered, and its submission. */
void tmx_user_request_finish(struct tmx_user_request *request);

/** Answers with the job's state: immediately if the state is final, otherwise after a read of the
 * state. Defined in polls.c. */
void tmx_user_poll(struct tmx_user_api *api, struct tmx_http_request *http, const char *id);

/** Cancels the job after a read of the state, or answers immediately if the job has ended. Defined
 * in cancellations.c. */
void tmx_user_cancel(struct tmx_user_api *api, struct tmx_http_request *http, const char *id);
/** Commits the cancellation after the read of the state. The job must be in the replica and must
 * not have ended. Defined in cancellations.c. */
void tmx_user_request_commit_cancellation(struct tmx_user_request *request);

/** Parses and validates the body, and answers immediately, after a read of the state, or after the
 * commit. Defined in submissions.c. */
void tmx_user_submit(struct tmx_user_api *api, struct tmx_http_request *http);
/** Validates the prerequisites again after the read of the state and queues the submission. The job
 * must not be in the replica. Defined in submissions.c. */
void tmx_user_request_submit(struct tmx_user_request *request);
/** Answers 503 to a submission that admission control refused, with the Retry-After that the
 * decision implies. Does not free the request. Defined in submissions.c. */
void tmx_user_request_reply_overload(const struct tmx_user_request *request);
#endif
