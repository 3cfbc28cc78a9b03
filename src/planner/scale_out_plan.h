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

/** Waiting tasks that found no room: of one job, or of several that ask for the same. */
struct tmx_demand {
  const struct tmx_job_spec *spec; /**< what one task asks for; borrowed */
  uint32_t tasks;                  /**< how many wait */
  int zone;                        /**< index of the only zone that helps; -1: any */
  double run_s;                    /**< s: how long one task is expected to run */
};

/** One type, zone and kind of machine that may be rented now. */
struct tmx_offer {
  const struct tmx_machine_type *type; /**< borrowed from the catalogue */
  int zone;                            /**< index of the zone */
  bool spot;                           /**< spot, else on demand */
  double price; /**< of a machine; offers are compared, so the unit does not matter */
};

/** Room of a machine that is up, or rented and on its way. */
struct tmx_coming {
  const struct tmx_machine_type *type; /**< borrowed from the catalogue */
  int zone;                            /**< index of the zone; -1: not known */
  bool spot;                           /**< spot, else on demand */
  double cpus,                         /**< free CPUs */
      gpus,                            /**< free GPUs */
      mem;                             /**< free memory, GB */
};

/** Machines to rent of one offer. */
struct tmx_scale_out {
  int offer;      /**< its index among the offers */
  uint32_t count; /**< machines to rent */
};

/** What a decision to scale out depends on; the arrays belong to the caller. */
struct tmx_scale_out_situation {
  const struct tmx_demand *demands; /**< waiting tasks */
  size_t n_demands;                 /**< entries of `demands` */
  const struct tmx_offer *offers;   /**< what may be rented now */
  size_t n_offers;                  /**< entries of `offers` */
  const struct tmx_coming *coming;  /**< machines that are up or on their way */
  size_t n_coming;                  /**< entries of `coming` */
  double have_cpus;                 /**< CPUs of the machines that are up */
};

/**
 * Packs the demands into the room that is coming, and what is left into machines of the offers with
 * the lowest price for a task's room.
 *
 * @param situation read only
 * @param out filled with at most `max` entries, one for each offer of which machines are wanted
 * @param max length of `out`
 * @return the number of entries
 */
size_t tmx_plan_scale_out(const struct tmx_scale_out_situation *situation,
                          struct tmx_scale_out *out, size_t max);

#endif
