/**
 * @file
 * What it costs to place a task on a machine: internal to src/planner.
 *
 * The unit is the booked share of a machine: 0 is empty with the image at hand, 1 is full. The
 * draft orders machines within a zone by their use; the additions below are ours, see
 * docs/design.md, and are spaced so that the graver reason always outweighs the lesser.
 */
#ifndef TMX_PLACEMENT_COST_H
#define TMX_PLACEMENT_COST_H
#include "planner/round.h"

/** Booked shares: added for a machine of the kind (spot or not) that comes second for the job. It
 * counts as one that is booked in full, so that the first kind is filled before. */
#define SECOND_CHOICE_COST 1.0

/** Booked shares: added where fetching the image would make the start late. It exceeds anything
 * that a machine can cost without it: 1 booked, 3 for the fetch, 1 for the second choice. */
#define COLD_IMAGE_COST 10.0

/** Booked shares: added where the job failed lately. It exceeds every other cost, so that such a
 * machine is taken only where there is no other. */
#define FAILED_MACHINE_COST 100.0

/** The cost of placing the next task of the job on the machine. */
double tmx_placement_cost(const struct round *round, const struct planner_job *job,
                          const struct planner_machine *machine);

#endif
