/**
 * @file
 * The cost of placing a task on a machine. Internal to src/planner.
 *
 * The unit is the booked share of a machine: an empty machine that has the image costs 0, a full
 * one costs 1. The draft orders the machines of a zone by their booked share. The penalties below
 * are additions to the draft, see docs/design.md. They are spaced so that a more serious reason
 * always outweighs the less serious ones.
 */
#ifndef TMX_PLACEMENT_COST_H
#define TMX_PLACEMENT_COST_H
#include "planner/round.h"

/** Booked shares: added if the job prefers spot machines and this is not one, or the reverse. The
 * value is the booked share of a full machine, so that the preferred kind is filled first. */
#define SPOT_PREFERENCE_COST 1.0

/** Booked shares: added if fetching the image would make the start late. It exceeds the highest
 * cost without penalties for a cold image and failures: 1 for the booked share, 3 for the fetch and
 * SPOT_PREFERENCE_COST. */
#define COLD_IMAGE_COST 10.0

/** Booked shares: added if a task of the job failed recently on the machine. It exceeds the sum of
 * all other costs in tmx_placement_cost(), so that such a machine is used only if the pool has no
 * other one in its zone. */
#define FAILED_MACHINE_COST 100.0

/** Returns the cost of placing the job's next task on the machine, in booked shares. */
double tmx_placement_cost(const struct round *round, const struct planner_job *job,
                          const struct planner_machine *machine);

#endif
