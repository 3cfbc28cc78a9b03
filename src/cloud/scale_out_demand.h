/**
 * @file
 * The demand that scale-out plans for: the pending tasks of all jobs, grouped by the resources that
 * they request, by zone and by run time. No I/O.
 */
#ifndef TMX_SCALE_OUT_DEMAND_H
#define TMX_SCALE_OUT_DEMAND_H
#include "config/settings.h"
#include "planner/scale_out_plan.h"
#include "replica/replica.h"

/** A zeroed list is empty. The job specs in it are borrowed from the replica. Free `demands` with
 * free(). */
struct tmx_demand_list {
  struct tmx_demand *demands; /**< allocated; NULL: empty */
  size_t count,               /**< demands in use */
      capacity;               /**< demands allocated */
};

/** Adds the tasks that are pending and that their team's CPU limit allows to start. `now`: steady
 * clock, s. */
void tmx_demand_list_collect(struct tmx_demand_list *list, const struct tmx_settings *settings,
                             const struct tmx_replica *replica, double now);
#endif
