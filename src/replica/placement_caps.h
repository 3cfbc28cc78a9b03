/**
 * @file
 * Limits on the placement of a job's tasks: caps per zone and per machine, and machine types.
 *
 * The planner applies these limits when it places tasks, and operation_check.h applies them again
 * before a batch is committed. Pure functions without shared state: any thread may call them.
 */
#ifndef TMX_PLACEMENT_CAPS_H
#define TMX_PLACEMENT_CAPS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "replica/job_spec.h"

/**
 * Maximum number of the job's tasks that may be placed in one zone at a time.
 *
 * The cap of a service is ceil(tasks / zones), the zone capacity of the Poseidon affinity draft;
 * see docs/design.md. With `spread`, the cap of a service or an array is at most half of the tasks,
 * rounded up, as PROTOCOL requires. If the job is bound to one zone, or there is only one zone,
 * only `spread` limits it.
 *
 * @param spec the job's specification.
 * @param zones number of zones in the settings.
 */
uint32_t tmx_zone_cap(const struct tmx_job_spec *spec, size_t zones);

/**
 * Maximum number of the job's tasks that may be placed on one machine at a time.
 *
 * The cap of a service follows the Poseidon affinity draft: 1, or ceil(tasks / eligible) if fewer
 * machines than tasks are eligible. Arrays have no cap: UINT32_MAX.
 *
 * @param spec the job's specification.
 * @param eligible number of machines in use that could hold a task of the job when empty; 0 gives a
 * cap of 1.
 */
uint32_t tmx_machine_cap(const struct tmx_job_spec *spec, uint32_t eligible);

/** Returns whether the job may run on machines of this type. A job that names no types may run on
 * any.
 */
bool tmx_type_allowed(const struct tmx_job_spec *spec, const char *type);

#endif
