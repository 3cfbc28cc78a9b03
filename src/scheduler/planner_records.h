/**
 * @file
 * Builds the records that describe one machine or one job to the planner.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_PLANNER_RECORDS_H
#define TMX_PLANNER_RECORDS_H
#include "scheduler/scheduler_internal.h"

/** Adds the current state of the machine to the scheduler's delta, if the machine is registered.
 * The resources of tasks with `completion_in_batch` count as free. */
void tmx_planner_records_add_machine(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** Adds the current state of the job to the scheduler's delta. Leaves out a job that the planner
 * does not know while the job has no placed task and none of its tasks can be placed. */
void tmx_planner_records_add_job(struct tmx_scheduler *scheduler, struct tmx_job *job);
#endif
