/**
 * @file
 * Where the tasks of a job may go at all: caps over zones and machines, and machine types.
 *
 * Pure functions of their arguments: they may be called from any thread. The planner keeps them
 * when it places; the check of an operation before a commit applies them again.
 */
#ifndef TMX_PLACEMENT_CAPS_H
#define TMX_PLACEMENT_CAPS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "replica/job_spec.h"

/**
 * The most tasks of the job that may be placed in one zone at a time.
 *
 * For services the rule is the zone capacity of the Poseidon affinity draft, ceil(tasks / zones);
 * see docs/design.md. `spread` adds PROTOCOL's rule for services and arrays alike: at most half of
 * the tasks, rounded up. A job bound to one zone, and any job where there is only one zone, has no
 * cap but `spread`.
 */
uint32_t tmx_zone_cap(const struct tmx_job_spec *spec, size_t zones);

/**
 * The most tasks of the job that may be placed on one machine at a time.
 *
 * From the Poseidon affinity draft: 1 for services, or ceil(tasks / eligible) where fewer machines
 * than tasks are eligible. Arrays have no such cap: UINT32_MAX.
 *
 * @param spec the job's specification.
 * @param eligible number of machines in use that could hold a task of the job when empty
 */
uint32_t tmx_machine_cap(const struct tmx_job_spec *spec, uint32_t eligible);

/** Whether the job may run on machines of this type; a job that names no types may run on any. */
bool tmx_type_allowed(const struct tmx_job_spec *spec, const char *type);

#endif
