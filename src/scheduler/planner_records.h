/**
 * @file
 * What the planner is told of one machine or one job. Loop's thread only.
 */
#ifndef TMX_PLANNER_RECORDS_H
#define TMX_PLANNER_RECORDS_H
#include "scheduler/scheduler_internal.h"

/** Adds the machine's present state to the scheduler's delta, if the machine is registered. The end
 * of a task that is in the next batch counts: its room is free. */
void tmx_planner_records_add_machine(struct tmx_scheduler *scheduler, struct tmx_machine *machine);
/** Adds the job's present state to the delta, unless the planner does not know the job and has
 * nothing to do for it. */
void tmx_planner_records_add_job(struct tmx_scheduler *scheduler, struct tmx_job *job);
#endif
