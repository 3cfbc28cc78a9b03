/**
 * @file
 * The demand that scale-out plans for: the pending tasks of all jobs, grouped by the resources that
 * they request, by zone, by run time and by whether they are overdue. No I/O.
 */
#ifndef TMX_SCALE_OUT_DEMAND_H
#define TMX_SCALE_OUT_DEMAND_H
#include "catalog/machine_catalog.h"
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

/** What the demand is collected from. */
struct tmx_demand_source {
  const struct tmx_settings *settings;       /**< zones, teams */
  const struct tmx_replica *replica;         /**< jobs and their tasks */
  const struct tmx_machine_catalog *catalog; /**< types by zone */
  double leading_since; /**< steady clock, s: this controller has led without a break since then */
  double now;           /**< steady clock, s */
};

/** Adds the pending tasks of all jobs, as far as the zone caps allow them to start. */
void tmx_demand_list_collect(struct tmx_demand_list *list, const struct tmx_demand_source *source);
/** Computes for each team what its quota leaves. `left` has an entry for each team. */
void tmx_quota_left(const struct tmx_settings *settings, const struct tmx_replica *replica,
                    struct tmx_usage left[]);
#endif
