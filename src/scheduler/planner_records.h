/**
 * @file
 * Builds the records that describe one machine or one job to the planner. Loop's thread only.
 */
#ifndef TMX_PLANNER_RECORDS_H
#define TMX_PLANNER_RECORDS_H
#include "scheduler/scheduler_internal.h"

/** Adds the current state of the machine to the scheduler's delta, if the machine is registered.
 * The resources of tasks with `completion_in_batch` count as free. */
void tmx_planner_records_add_machine(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** Adds the current state of the job to the scheduler's delta. A job that the planner does not know
 * is left out while none of its tasks can be placed or is placed. */
void tmx_planner_records_add_job(struct tmx_scheduler *scheduler, struct tmx_job *job);
#endif
