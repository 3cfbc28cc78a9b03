#include "planner/clearance.h"

#include <math.h>
#include <stdlib.h>

#include "base/memory.h"
#include "planner/demand_fit.h"

static struct tmx_machine_class_key class_key(const struct tmx_provisioned_machine *machine) {
  return (struct tmx_machine_class_key){
      .type = machine->type,
      .cpus_milli = llround(machine->for_arrays.cpus * TMX_MILLI),
      .gpus_milli = llround(machine->for_arrays.gpus * TMX_MILLI),
      .mem_mb = llround(machine->for_arrays.mem_gb * TMX_MB_PER_GB),
      .zone = machine->zone,
      .spot = machine->spot};
}

static struct tmx_machine_class *find_or_add_class(struct tmx_clearance *clearance,
                                                   const struct tmx_provisioned_machine *machine) {
  const struct tmx_machine_class_key key = class_key(machine);
  struct tmx_machine_class *found;
  HASH_FIND(hh, clearance->classes, &key, sizeof key, found);
  if (found) return found;
  found = tmx_allocate(1, sizeof *found);
  found->key = key;
  found->for_arrays = machine->for_arrays;
  HASH_ADD(hh, clearance->classes, key, sizeof found->key, found);
  return found;
}

void tmx_clearance_add_machines(struct tmx_clearance *clearance,
                                const struct tmx_provisioned_machine *machines, size_t count) {
  for (size_t i = 0; i < count; i++) find_or_add_class(clearance, &machines[i])->machines++;
}

void tmx_clearance_release(struct tmx_clearance *clearance) {
  struct tmx_machine_class *class, *next;
  HASH_ITER(hh, clearance->classes, class, next) {
    HASH_DEL(clearance->classes, class);
    free(class);
  }
}

/* Returns the number of tasks of the demand that the machines of the class can run at a time, once
 * the tasks of arrays on them have ended. */
static double slots_in(const struct tmx_demand *demand, const struct tmx_machine_class *class) {
  if (!tmx_demand_allows(demand, class->key.type, class->key.zone, class->key.spot)) return 0;
  return (double)class->machines * tmx_demand_count_fitting(demand, class->for_arrays);
}

/* Returns the time that `tasks` tasks take if all machines that can hold one of them run nothing
 * else, s; 0: no machine can. */
static double spread_s(const struct tmx_clearance *clearance, const struct tmx_demand *demand,
                       uint32_t tasks) {
  double slots = 0;
  for (const struct tmx_machine_class *class = clearance->classes; class; class = class->hh.next)
    slots += slots_in(demand, class);
  return slots > 0 ? tasks * tmx_demand_run_s(demand) / slots : 0;
}

void tmx_clearance_add(struct tmx_clearance *clearance, const struct tmx_demand *demand,
                       uint32_t tasks) {
  const double seconds = spread_s(clearance, demand, tasks);
  if (seconds <= 0) return;
  for (struct tmx_machine_class *class = clearance->classes; class; class = class->hh.next)
    if (slots_in(demand, class) > 0) class->busy_s += seconds;
}

bool tmx_clearance_is_soon(const struct tmx_clearance *clearance, const struct tmx_demand *demand,
                           uint32_t tasks) {
  const double own_s = spread_s(clearance, demand, tasks);
  /* Run time that the machines have left, by zone; the first entry is for unknown zones. */
  double left_s[TMX_ZONES_MAX + 1] = {0};
  for (const struct tmx_machine_class *class = clearance->classes; class; class = class->hh.next)
    left_s[class->key.zone + 1] +=
        slots_in(demand, class) * fmax(0, TMX_BACKLOG_CLEAR_S - (class->busy_s - own_s));
  double available_s = 0;
  for (size_t i = 0; i <= TMX_ZONES_MAX; i++)
    available_s = demand->spec->same_zone ? fmax(available_s, left_s[i]) : available_s + left_s[i];
  return available_s > tasks * tmx_demand_run_s(demand);
}
