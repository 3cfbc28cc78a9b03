/**
 * @file
 * Ageing: bounds on how long a job waits whatever else the order would serve first. Internal to
 * src/planner.
 *
 * The draft has a queue; the order of a round is by least remaining work, which alone would starve
 * large jobs. See docs/design.md, "fairness". Work of production precedence is not concerned: it
 * comes first anyway.
 */
#ifndef TMX_AGEING_H
#define TMX_AGEING_H
#include "planner/round.h"

/**
 * Places one task of the oldest job that finds room, for each account that is due for a start, see
 * tmx_turn_due(). Where none finds room, the leader reserves a machine. Returns how many were
 * placed.
 *
 * @param round the round under way
 * @param by_release open jobs, the earliest released first
 * @param count entries of `by_release`
 */
uint32_t tmx_ageing_place_by_rotation(struct round *round, struct planner_job **by_release,
                                      size_t count);

/** Places a first task of each job that has waited TMX_AGED_JOB_S without a start. */
void tmx_ageing_place_first_tasks(struct round *round, struct planner_job **by_release,
                                  size_t count);

/** Places tasks of the oldest jobs that have waited TMX_AGED_JOB_S, however large they are, within
 * the credit that TMX_AGED_JOB_SHARE of all placements earns. Returns how many were placed. */
uint32_t tmx_ageing_place_oldest(struct round *round, struct planner_job **by_release,
                                 size_t count);

#endif
