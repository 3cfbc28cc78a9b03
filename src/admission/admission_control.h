/**
 * @file
 * Admission in a running controller: decides on submissions by its replica, counts those of its own
 * whose commits are in flight, and reports what it did. Loop's thread only.
 */
#ifndef TMX_ADMISSION_CONTROL_H
#define TMX_ADMISSION_CONTROL_H
#include "admission/admission_policy.h"
#include "catalog/machine_catalog.h"
#include "replica/job_dependencies.h"
#include "replica/replica.h"

/** Admission of one controller. */
struct tmx_admission_control;

/** Creates the admission control, which the caller owns. Returns NULL if admission is not enabled:
 * each function below takes NULL for an admission control that admits everything. The parameters
 * must outlive it, and the replica uses its backlog.
 */
struct tmx_admission_control *tmx_admission_control_new(const struct tmx_settings *settings,
                                                        struct tmx_replica *replica,
                                                        const struct tmx_machine_catalog *catalog);
/** Frees the admission control and its statistics; NULL is allowed. The replica must not be changed
 * afterwards, since it still points to the backlog. */
void tmx_admission_control_free(struct tmx_admission_control *admission);

/** The request for a job of the team with this index. */
struct tmx_admission_request tmx_admission_control_request(
    const struct tmx_admission_control *admission, const struct tmx_job_spec *spec, int team);
/** Decides by the replica as it stands, and by what this controller has in flight. Sets whether the
 * request has open dependencies. */
struct tmx_admission_decision tmx_admission_control_decide(
    const struct tmx_admission_control *admission, struct tmx_admission_request *request,
    const struct tmx_job_ids *dependencies);
/** Whether it is admitted even if it is committed by itself, without head being rewritten. Near a
 * ceiling two such commits could both take the last room. */
bool tmx_admission_control_may_commit_alone(const struct tmx_admission_control *admission,
                                            struct tmx_admission_request *request,
                                            const struct tmx_job_ids *dependencies);
/** Counts a request whose commit is in flight, until it is released. */
void tmx_admission_control_reserve(struct tmx_admission_control *admission,
                                   const struct tmx_admission_request *request);
/** The commit of the request was answered. */
void tmx_admission_control_release(struct tmx_admission_control *admission,
                                   const struct tmx_admission_request *request);
/** Retry-After for a refused submission, s; with a random part, so that retries come apart. */
int tmx_admission_control_retry_after(const struct tmx_admission_decision *decision);

/** The first task of a job was placed: its wait goes into the statistics. */
void tmx_admission_control_job_started(struct tmx_admission_control *admission,
                                       const struct tmx_job *job);
/** Counts what a user was told. */
void tmx_admission_control_count_answer(struct tmx_admission_control *admission,
                                        const struct tmx_admission_request *request,
                                        enum tmx_admission_result result);
/** To be called regularly: logs the accounts from time to time. */
void tmx_admission_control_tick(struct tmx_admission_control *admission);
/** Writes a line for every account that has work or was asked for since the start. */
void tmx_admission_control_log_accounts(const struct tmx_admission_control *admission);
#endif
