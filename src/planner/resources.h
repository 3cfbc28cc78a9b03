/**
 * @file
 * Amounts of CPUs, GPUs and memory as one value: internal to the planner.
 *
 * The functions work on each of the three in turn, in the order of their arguments: sums of doubles
 * depend on the order of the operations, and rounds must be reproducible.
 */
#ifndef TMX_RESOURCES_H
#define TMX_RESOURCES_H
#include "planner/planner_delta.h"

/**
 * Slack of comparisons of resources, in CPUs, GPUs and GB: sums and differences of doubles may miss
 * the exact value by rounding, and that must not decide whether a task fits.
 */
#define RESOURCE_EPSILON 1e-6

/** An amount of each resource; may be below 0 as a difference. */
struct tmx_resources {
  double cpus, /**< CPUs */
      gpus,    /**< GPUs */
      mem_gb;  /**< memory, GB */
};

/** What one task of the job asks for. */
static inline struct tmx_resources tmx_resources_of_task(const struct tmx_job_spec *spec) {
  return (struct tmx_resources){spec->cpus, spec->gpus, spec->mem_gb};
}

/** The size of the machine. */
static inline struct tmx_resources tmx_resources_of_machine(
    const struct tmx_plan_machine *machine) {
  return (struct tmx_resources){machine->cpus, machine->gpus, machine->mem_gb};
}

/** What all tasks placed on the machine hold. */
static inline struct tmx_resources tmx_resources_booked(const struct tmx_plan_machine *machine) {
  return (struct tmx_resources){machine->booked_cpus, machine->booked_gpus, machine->booked_mem_gb};
}

/** The part of that which is held by tasks that are stopping. */
static inline struct tmx_resources tmx_resources_releasing(const struct tmx_plan_machine *machine) {
  return (struct tmx_resources){machine->releasing_cpus, machine->releasing_gpus,
                                machine->releasing_mem_gb};
}

/** Sets what all tasks placed on the machine hold. */
static inline void tmx_resources_set_booked(struct tmx_plan_machine *machine,
                                            struct tmx_resources booked) {
  machine->booked_cpus = booked.cpus;
  machine->booked_gpus = booked.gpus;
  machine->booked_mem_gb = booked.mem_gb;
}

/** Sets the part of the booked amount that is held by tasks which are stopping. */
static inline void tmx_resources_set_releasing(struct tmx_plan_machine *machine,
                                               struct tmx_resources releasing) {
  machine->releasing_cpus = releasing.cpus;
  machine->releasing_gpus = releasing.gpus;
  machine->releasing_mem_gb = releasing.mem_gb;
}

/** `left` plus `right`. */
static inline struct tmx_resources tmx_resources_add(struct tmx_resources left,
                                                     struct tmx_resources right) {
  return (struct tmx_resources){left.cpus + right.cpus, left.gpus + right.gpus,
                                left.mem_gb + right.mem_gb};
}

/** `left` minus `right`. */
static inline struct tmx_resources tmx_resources_subtract(struct tmx_resources left,
                                                          struct tmx_resources right) {
  return (struct tmx_resources){left.cpus - right.cpus, left.gpus - right.gpus,
                                left.mem_gb - right.mem_gb};
}

/** `count` times the amount. */
static inline struct tmx_resources tmx_resources_multiply(struct tmx_resources amount,
                                                          uint32_t count) {
  return (struct tmx_resources){count * amount.cpus, count * amount.gpus, count * amount.mem_gb};
}

/** Whether what is asked for is there, within RESOURCE_EPSILON. */
static inline bool tmx_resources_fit(struct tmx_resources asked, struct tmx_resources available) {
  return asked.cpus <= available.cpus + RESOURCE_EPSILON &&
         asked.gpus <= available.gpus + RESOURCE_EPSILON &&
         asked.mem_gb <= available.mem_gb + RESOURCE_EPSILON;
}

#endif
