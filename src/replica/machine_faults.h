/**
 * @file
 * Decides which machines are faulty, from the errors of the tasks that ran on them.
 *
 * A task that ends with an error is evidence against its machine or against its job: a job that was
 * submitted with a mistake fails on every machine. Both records are kept, and the decision is made
 * anew whenever one of them changes. What is learned of a job later therefore also applies to the
 * errors that are recorded already.
 *
 * No decision lasts for ever. A faulty machine gets no tasks for TMX_FAULTY_MACHINE_QUARANTINE_S
 * after its last error. It is then on probation until a task succeeds or fails on it.
 *
 * The records follow from the log alone. They are not stored: a replica that is loaded knows only
 * the errors since the last compaction.
 */
#ifndef TMX_MACHINE_FAULTS_H
#define TMX_MACHINE_FAULTS_H
#include "replica/replica.h"

/**
 * Records that a task of the job ended with an error on the machine.
 * @param replica the replica to change.
 * @param machine the machine that the task was on.
 * @param job the task's job.
 * @param placed_s time since the attempt was placed, seconds.
 */
void tmx_machine_faults_record_error(struct tmx_replica *replica, struct tmx_machine *machine,
                                     struct tmx_job *job, double placed_s);
/**
 * Records that the machine ran a task successfully. Clears the errors before the task was placed: a
 * faulty machine may still complete tasks that it started before the fault.
 * @param replica the replica to change.
 * @param machine the machine that the task was on.
 * @param placed_at when the attempt was placed, monotonic clock, seconds.
 */
void tmx_machine_faults_record_success(struct tmx_replica *replica, struct tmx_machine *machine,
                                       float placed_at);
/**
 * Decides the condition of the machine again. Must be called regularly, as the tasks on other
 * machines may show who is to blame for the errors on this one. Notifies the observer of a change.
 * @param replica the replica to change.
 * @param machine a machine of the replica.
 * @param now monotonic clock, seconds.
 */
void tmx_machine_faults_update(struct tmx_replica *replica, struct tmx_machine *machine,
                               double now);
#endif
