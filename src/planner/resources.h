/**
 * @file
 * Vectors of CPUs, GPUs and memory.
 *
 * Each function computes the three components separately and combines its arguments in the order
 * given. The result of a sum of doubles depends on the order of the additions, and rounds must be
 * deterministic.
 */
#ifndef TMX_RESOURCES_H
#define TMX_RESOURCES_H
#include "catalog/machine_catalog.h"
#include "planner/planner_delta.h"

/**
 * Tolerance of resource comparisons, in CPUs, GPUs and GB. It keeps rounding errors in sums and
 * differences of doubles from deciding whether a task fits.
 */
#define RESOURCE_EPSILON 1e-6

/** An amount of each resource. The amounts of a difference may be negative. */
struct tmx_resources {
  double cpus, /**< CPUs */
      gpus,    /**< GPUs */
      mem_gb;  /**< memory, GB */
};

/** Returns the total resources of a machine of this type. */
static inline struct tmx_resources tmx_resources_of_type(const struct tmx_machine_type *type) {
  return (struct tmx_resources){type->cpus, type->gpus, type->mem_gb};
}

/** Returns the resources that one task of the job requests. */
static inline struct tmx_resources tmx_resources_of_task(const struct tmx_job_spec *spec) {
  return (struct tmx_resources){spec->cpus, spec->gpus, spec->mem_gb};
}

/** Returns the total resources of the machine. */
static inline struct tmx_resources tmx_resources_of_machine(
    const struct tmx_plan_machine *machine) {
  return (struct tmx_resources){machine->cpus, machine->gpus, machine->mem_gb};
}

/** Returns the resources of all tasks placed on the machine. */
static inline struct tmx_resources tmx_resources_booked(const struct tmx_plan_machine *machine) {
  return (struct tmx_resources){machine->booked_cpus, machine->booked_gpus, machine->booked_mem_gb};
}

/** Returns the part of the machine's booked resources that stopping tasks hold. */
static inline struct tmx_resources tmx_resources_releasing(const struct tmx_plan_machine *machine) {
  return (struct tmx_resources){machine->releasing_cpus, machine->releasing_gpus,
                                machine->releasing_mem_gb};
}

/** Sets the resources of all tasks placed on the machine. */
static inline void tmx_resources_set_booked(struct tmx_plan_machine *machine,
                                            struct tmx_resources booked) {
  machine->booked_cpus = booked.cpus;
  machine->booked_gpus = booked.gpus;
  machine->booked_mem_gb = booked.mem_gb;
}

/** Sets the part of the machine's booked resources that stopping tasks hold. */
static inline void tmx_resources_set_releasing(struct tmx_plan_machine *machine,
                                               struct tmx_resources releasing) {
  machine->releasing_cpus = releasing.cpus;
  machine->releasing_gpus = releasing.gpus;
  machine->releasing_mem_gb = releasing.mem_gb;
}

/** Returns `left` plus `right`. */
static inline struct tmx_resources tmx_resources_add(struct tmx_resources left,
                                                     struct tmx_resources right) {
  return (struct tmx_resources){left.cpus + right.cpus, left.gpus + right.gpus,
                                left.mem_gb + right.mem_gb};
}

/** Returns `left` minus `right`. */
static inline struct tmx_resources tmx_resources_subtract(struct tmx_resources left,
                                                          struct tmx_resources right) {
  return (struct tmx_resources){left.cpus - right.cpus, left.gpus - right.gpus,
                                left.mem_gb - right.mem_gb};
}

/** Returns `count` times `amount`. */
static inline struct tmx_resources tmx_resources_multiply(struct tmx_resources amount,
                                                          uint32_t count) {
  return (struct tmx_resources){count * amount.cpus, count * amount.gpus, count * amount.mem_gb};
}

/** Returns whether the requested resources are available, within RESOURCE_EPSILON. */
static inline bool tmx_resources_fit(struct tmx_resources requested,
                                     struct tmx_resources available) {
  return requested.cpus <= available.cpus + RESOURCE_EPSILON &&
         requested.gpus <= available.gpus + RESOURCE_EPSILON &&
         requested.mem_gb <= available.mem_gb + RESOURCE_EPSILON;
}

#endif
