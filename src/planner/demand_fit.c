#include "planner/demand_fit.h"

#include <math.h>

#include "replica/placement_caps.h"

/* Tolerance, in tasks, of the count of tasks that fit. Rounding errors may put a quotient just
 * below a whole number. */
#define COUNT_EPSILON 1e-9
/* Limit on the tasks that count as fitting on one machine, for tasks that request no resources. */
#define TASKS_PER_MACHINE_MAX 1e6
/* Lower limit on the expected run time of a task, s. */
#define RUN_S_MIN 5

bool tmx_demand_allows(const struct tmx_demand *demand, const struct tmx_machine_type *type,
                       int zone, bool spot) {
  const struct tmx_job_spec *spec = demand->spec;
  return (!spot || spec->spot_allowed) && (demand->zone < 0 || zone == demand->zone) &&
         spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb &&
         tmx_type_allowed(spec, type->name);
}

uint32_t tmx_demand_count_fitting(const struct tmx_demand *demand, struct tmx_resources available) {
  const struct tmx_job_spec *spec = demand->spec;
  double count = TASKS_PER_MACHINE_MAX;
  if (spec->cpus > 0) count = fmin(count, available.cpus / spec->cpus + COUNT_EPSILON);
  if (spec->gpus > 0) count = fmin(count, available.gpus / spec->gpus + COUNT_EPSILON);
  if (spec->mem_gb > 0) count = fmin(count, available.mem_gb / spec->mem_gb + COUNT_EPSILON);
  return count < 0 ? 0 : (uint32_t)count;
}

double tmx_demand_run_s(const struct tmx_demand *demand) { return fmax(demand->run_s, RUN_S_MIN); }
