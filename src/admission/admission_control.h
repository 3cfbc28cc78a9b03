/* Admission in a running controller: judges submissions on its replica, keeps account of its own
 * that are being committed, and tells what it did. */
#ifndef TMX_ADMISSION_CONTROL_H
#define TMX_ADMISSION_CONTROL_H
#include "admission/admission_policy.h"
#include "catalog/machine_catalog.h"
#include "replica/job_dependencies.h"
#include "replica/replica.h"

struct tmx_admission_control;

/* NULL: admission is not enabled. Every function below takes NULL for a gate that admits all. */
struct tmx_admission_control *tmx_admission_control_new(const struct tmx_settings *settings,
                                                        struct tmx_replica *replica,
                                                        const struct tmx_machine_catalog *catalog);
void tmx_admission_control_free(struct tmx_admission_control *admission);

/* The first task of a job was placed: its wait goes into the statistics. */
void tmx_admission_control_job_started(struct tmx_admission_control *admission,
                                       const struct tmx_job *job);

struct tmx_candidate tmx_admission_control_candidate(const struct tmx_admission_control *admission,
                                                     const struct tmx_job_spec *spec, int team);
/* Judges on the replica as it stands, and on what this controller is committing. */
struct tmx_ruling tmx_admission_control_judge(const struct tmx_admission_control *admission,
                                              struct tmx_candidate *candidate,
                                              const struct tmx_job_ids *awaits);
/* Is it admitted even if it is committed by itself, without head being rewritten. Near a ceiling
 * two such commits could both take the last room. */
bool tmx_admission_control_may_commit_alone(const struct tmx_admission_control *admission,
                                            struct tmx_candidate *candidate,
                                            const struct tmx_job_ids *awaits);
/* A commit of it is under way; it has been answered. */
void tmx_admission_control_hold(struct tmx_admission_control *admission,
                                const struct tmx_candidate *candidate);
void tmx_admission_control_release(struct tmx_admission_control *admission,
                                   const struct tmx_candidate *candidate);
/* Counts what a user was told. */
void tmx_admission_control_count_answer(struct tmx_admission_control *admission,
                                        const struct tmx_candidate *candidate,
                                        enum tmx_admission_verdict verdict);
/* s, for the answer to a refused submission; with a random part, so that returns come apart. */
int tmx_admission_control_retry_after(const struct tmx_ruling *ruling);
void tmx_admission_control_tick(struct tmx_admission_control *admission);
/* Writes a line for every account that has work or was asked for since the start. */
void tmx_admission_control_log_accounts(const struct tmx_admission_control *admission);
#endif
