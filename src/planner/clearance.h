/**
 * @file
 * Estimates whether the provisioned machines complete the waiting work of job arrays soon. Internal
 * to src/planner; pure functions.
 *
 * The estimate considers only the machines that can hold a task of the demand: by zone, type, size
 * and kind, and by the resources that services leave to arrays. It does not know when the tasks end
 * that run now. tmx_demand::overdue tells that an earlier estimate was wrong.
 */
#ifndef TMX_CLEARANCE_H
#define TMX_CLEARANCE_H
#include "planner/scale_out_plan.h"

/** The waiting work of the demands added so far, spread over the machines. */
struct tmx_clearance {
  const struct tmx_provisioned_machine *machines; /**< borrowed */
  size_t n_machines;                              /**< entries of `machines` and `busy_s` */
  double *busy_s; /**< owned; by machine: s that its share of the work takes */
};

/** Prepares the estimate for these machines. Release it with tmx_clearance_release(). */
void tmx_clearance_init(struct tmx_clearance *clearance,
                        const struct tmx_provisioned_machine *machines, size_t n_machines);
/** Releases the memory of the estimate. */
void tmx_clearance_release(struct tmx_clearance *clearance);

/** Adds the work of `tasks` tasks of the demand. It is spread evenly over all machines that can
 * hold one of them. */
void tmx_clearance_add(struct tmx_clearance *clearance, const struct tmx_demand *demand,
                       uint32_t tasks);
/** Returns whether the machines complete the demand within TMX_BACKLOG_CLEAR_S, besides the work of
 * the other demands. `tasks` tasks of the demand must have been added before. */
bool tmx_clearance_is_soon(const struct tmx_clearance *clearance, const struct tmx_demand *demand,
                           uint32_t tasks);

#endif
