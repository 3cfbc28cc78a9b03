/**
 * @file
 * The demand that scale-out plans for: the waiting tasks of all jobs, by shape and zone. No I/O.
 */
#ifndef TMX_SCALE_OUT_DEMAND_H
#define TMX_SCALE_OUT_DEMAND_H
#include "config/settings.h"
#include "planner/scale_out_plan.h"
#include "replica/replica.h"

/** A zeroed list is empty; the specs belong to the replica. Free `demands` with free(). */
struct tmx_demand_list {
  struct tmx_demand *demands; /**< allocated; NULL: empty */
  size_t count,               /**< demands in use */
      capacity;               /**< demands allocated */
};

/** Adds to the list the tasks that wait and that their team's limit lets start. `now`: steady
 * clock, s. */
void tmx_demand_list_collect(struct tmx_demand_list *list, const struct tmx_settings *settings,
                             const struct tmx_replica *replica, double now);
#endif
