/**
 * @file
 * Admission control of a running controller. It decides on submissions from the state of the
 * replica, counts the controller's own submissions whose commits are in flight, and logs its
 * decisions. Used by the event loop's thread only.
 */
#ifndef TMX_ADMISSION_CONTROL_H
#define TMX_ADMISSION_CONTROL_H
#include "admission/admission_policy.h"
#include "catalog/machine_catalog.h"
#include "replica/job_dependencies.h"
#include "replica/replica.h"

/** Admission control of one controller. */
struct tmx_admission_control;

/**
 * Creates the admission control, which the caller owns. Returns NULL if admission is not enabled;
 * the functions below accept NULL as an admission control that admits everything. The parameters
 * must outlive the admission control. The replica points to its backlog and updates it.
 */
struct tmx_admission_control *tmx_admission_control_new(const struct tmx_settings *settings,
                                                        struct tmx_replica *replica,
                                                        const struct tmx_machine_catalog *catalog);
/**
 * Frees the admission control and its statistics; NULL is allowed. The replica must not be changed
 * afterwards, since it still points to the freed backlog.
 */
void tmx_admission_control_free(struct tmx_admission_control *admission);

/** Returns the admission request for a job of the team with this index. */
struct tmx_admission_request tmx_admission_control_request(
    const struct tmx_admission_control *admission, const struct tmx_job_spec *spec, int team);
/**
 * Decides on a request from the current state of the replica and this controller's submissions in
 * flight. Sets tmx_admission_request::has_open_dependencies.
 */
struct tmx_admission_decision tmx_admission_control_decide(
    const struct tmx_admission_control *admission, struct tmx_admission_request *request,
    const struct tmx_job_ids *dependencies);
/**
 * Returns whether a request is admitted and may be committed on its own, without a write to head.
 * Two such commits do not conflict and could both take the remaining capacity. A request may
 * therefore not be committed on its own if the backlog with the request is above
 * TMX_SINGLE_SUBMISSION_CEILING_SHARE of the ceiling, or if the request is larger than
 * TMX_SINGLE_SUBMISSION_BACKLOG_SHARE of the bound on the backlog. Sets
 * tmx_admission_request::has_open_dependencies.
 */
bool tmx_admission_control_may_commit_alone(const struct tmx_admission_control *admission,
                                            struct tmx_admission_request *request,
                                            const struct tmx_job_ids *dependencies);
/** Counts a request as in flight, from the sending of its commit until it is released. */
void tmx_admission_control_reserve(struct tmx_admission_control *admission,
                                   const struct tmx_admission_request *request);
/** Removes a request from those in flight, once its commit has a response. */
void tmx_admission_control_release(struct tmx_admission_control *admission,
                                   const struct tmx_admission_request *request);
/**
 * Returns the Retry-After of a refused submission in seconds. It includes a random part, so that
 * clients do not retry at the same time.
 */
int tmx_admission_control_retry_after(const struct tmx_admission_decision *decision);

/** Records the time that a job has waited for its first task, when that task is placed. */
void tmx_admission_control_job_started(struct tmx_admission_control *admission,
                                       const struct tmx_job *job);
/** Counts a decision that was sent to a user. */
void tmx_admission_control_count_answer(struct tmx_admission_control *admission,
                                        const struct tmx_admission_request *request,
                                        enum tmx_admission_result result);
/** Logs the accounts every TMX_ADMISSION_LOG_PERIOD_S; called at each tick. */
void tmx_admission_control_tick(struct tmx_admission_control *admission);
/** Logs the whole backlog, and each account that has jobs or had submissions or starts since the
 * controller's start. */
void tmx_admission_control_log_accounts(const struct tmx_admission_control *admission);
#endif
