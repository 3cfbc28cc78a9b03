#include "planner/clearance.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"
#include "planner/demand_fit.h"

void tmx_clearance_init(struct tmx_clearance *clearance,
                        const struct tmx_provisioned_machine *machines, size_t n_machines) {
  clearance->machines = machines;
  clearance->n_machines = n_machines;
  clearance->busy_s = tmx_allocate(n_machines + 1, sizeof *clearance->busy_s);
}

void tmx_clearance_release(struct tmx_clearance *clearance) {
  free(clearance->busy_s);
  clearance->busy_s = NULL;
}

/* Returns the number of tasks of the demand that the machine can run at a time, once the tasks of
 * arrays on it have ended. */
static uint32_t slots_on(const struct tmx_demand *demand,
                         const struct tmx_provisioned_machine *machine) {
  if (!tmx_demand_allows(demand, machine->type, machine->zone, machine->spot)) return 0;
  return tmx_demand_count_fitting(demand, machine->for_arrays);
}

/* Returns the time that `tasks` tasks take if all machines that can hold one of them run nothing
 * else, s; 0: no machine can. */
static double spread_s(const struct tmx_clearance *clearance, const struct tmx_demand *demand,
                       uint32_t tasks) {
  double slots = 0;
  for (size_t i = 0; i < clearance->n_machines; i++)
    slots += slots_on(demand, &clearance->machines[i]);
  return slots > 0 ? tasks * tmx_demand_run_s(demand) / slots : 0;
}

void tmx_clearance_add(struct tmx_clearance *clearance, const struct tmx_demand *demand,
                       uint32_t tasks) {
  const double seconds = spread_s(clearance, demand, tasks);
  if (seconds <= 0) return;
  for (size_t i = 0; i < clearance->n_machines; i++)
    if (slots_on(demand, &clearance->machines[i])) clearance->busy_s[i] += seconds;
}

bool tmx_clearance_is_soon(const struct tmx_clearance *clearance, const struct tmx_demand *demand,
                           uint32_t tasks) {
  const double own_s = spread_s(clearance, demand, tasks);
  /* Run time that the machines have left, by zone; the first entry is for unknown zones. */
  double left_s[TMX_ZONES_MAX + 1] = {0};
  for (size_t i = 0; i < clearance->n_machines; i++) {
    const struct tmx_provisioned_machine *machine = &clearance->machines[i];
    const uint32_t slots = slots_on(demand, machine);
    const double others_s = clearance->busy_s[i] - own_s;
    if (slots) left_s[machine->zone + 1] += slots * fmax(0, TMX_BACKLOG_CLEAR_S - others_s);
  }
  double available_s = 0;
  for (size_t i = 0; i <= TMX_ZONES_MAX; i++)
    available_s = demand->spec->same_zone ? fmax(available_s, left_s[i]) : available_s + left_s[i];
  return available_s > tasks * tmx_demand_run_s(demand);
}
