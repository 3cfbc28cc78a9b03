/**
 * @file
 * How many machines to rent, and of which kind.
 *
 * Pure functions of their arguments, which they only read: they may be called from any thread. In a
 * controller the leader's loop calls them.
 */
#ifndef TMX_SCALE_OUT_PLAN_H
#define TMX_SCALE_OUT_PLAN_H
#include "catalog/machine_catalog.h"
#include "planner/planner.h"
#include "replica/replica.h"

/** Waiting tasks of one job that found no room. */
struct tmx_demand {
  const struct tmx_job_spec *spec;
  uint32_t tasks;
  int zone;     /**< the only one that helps; -1: any */
  double run_s; /**< s: how long one task is expected to run */
};

/** One type, zone and kind of machine that may be rented now. */
struct tmx_offer {
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
  double price; /**< of a machine; offers are compared, so the unit does not matter */
};

/** Room of a machine that is up, or rented and on its way. */
struct tmx_coming {
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
  double cpus, gpus, mem; /**< free; memory in GB */
};

/** Machines to rent of one offer. */
struct tmx_scale_out {
  int offer; /**< its index among the offers */
  uint32_t count;
};

/**
 * Packs the demands into the room that is coming, and what is left into machines of the offers with
 * the lowest price for a task's room.
 *
 * @param have_cpus CPUs of the machines that are up
 * @param out filled with at most `max` entries, one for each offer of which machines are wanted
 * @return the number of entries
 */
size_t tmx_plan_scale_out(const struct tmx_demand *demands, size_t n_demands,
                          const struct tmx_offer *offers, size_t n_offers,
                          const struct tmx_coming *coming, size_t n_coming, double have_cpus,
                          struct tmx_scale_out *out, size_t max);

#endif
