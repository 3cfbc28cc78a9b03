/**
 * @file
 * Preemption: stops tasks of lower precedence to free capacity. Internal to src/planner.
 */
#ifndef TMX_PREEMPTION_H
#define TMX_PREEMPTION_H
#include "planner/round.h"

/**
 * Returns the cost of stopping tasks of the machine until a task of the job fits: the lost work, s,
 * plus a surcharge for each stopped task that grows with its priority. Negative: the task does not
 * fit even if all eligible tasks are stopped, or it fits once the tasks that are already stopping
 * have ended.
 */
double tmx_preemption_cost(struct round *round, const struct planner_job *job,
                           struct planner_machine *machine);

/** Stops the tasks of the machine that tmx_preemption_cost() chose, until a task of the job fits.
 * Emits the stop operations and counts the resources of the stopped tasks as being released. Must
 * be called only if tmx_preemption_cost() is not negative; otherwise it may stop some tasks before
 * it returns false. */
bool tmx_preempt(struct round *round, const struct planner_job *job,
                 struct planner_machine *machine);

#endif
