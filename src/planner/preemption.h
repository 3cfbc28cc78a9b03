/**
 * @file
 * Stopping tasks of lower precedence to make room: internal to src/planner.
 */
#ifndef TMX_PREEMPTION_H
#define TMX_PREEMPTION_H
#include "planner/round.h"

/**
 * What it would cost to stop tasks of the machine until a task of the job fits: s of lost work,
 * plus a charge for each task by its priority. Below 0: it cannot be, or nothing need be stopped.
 */
double tmx_preemption_cost(struct round *round, const struct planner_job *job,
                           struct planner_machine *machine);

/** Stops the cheapest tasks of the machine until a task of the job fits: emits the operations and
 * counts the room as being released. Returns whether it could be done. */
bool tmx_preempt(struct round *round, const struct planner_job *job,
                 struct planner_machine *machine);

#endif
