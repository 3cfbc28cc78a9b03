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
#include <stdint.h>
#include <uthash.h>

#include "planner/scale_out_plan.h"

/** What machines with the same properties have in common, without padding: it is hashed. */
struct tmx_machine_class_key {
  const struct tmx_machine_type *type; /**< borrowed */
  int64_t cpus_milli,                  /**< CPUs that services leave to arrays, thousandths */
      gpus_milli,                      /**< GPUs that services leave to arrays, thousandths */
      mem_mb;                          /**< memory that services leave to arrays, MB */
  int32_t zone;                        /**< index of the zone; -1: unknown */
  int32_t spot;                        /**< 1: spot; 0: on demand */
};

/** Machines that can hold the same tasks. */
struct tmx_machine_class {
  struct tmx_machine_class_key key; /**< key of the hash */
  struct tmx_resources for_arrays;  /**< of one machine: not booked by services */
  uint32_t machines;                /**< number of machines */
  double busy_s;                    /**< s that the share of the work of one machine takes */
  UT_hash_handle hh;                /**< by key */
};

/** The waiting work of the demands added so far, spread over the machines. A zeroed estimate has no
 * machines. Release it with tmx_clearance_release(). */
struct tmx_clearance {
  struct tmx_machine_class *classes; /**< owned; hash by key */
};

/** Adds the machines. Must be called before any work is added. */
void tmx_clearance_add_machines(struct tmx_clearance *clearance,
                                const struct tmx_provisioned_machine *machines, size_t count);
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
