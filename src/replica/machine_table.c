#include "replica/machine_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "replica/apply_operation.h"
#include "replica/job_table.h"
#include "replica/replica_internal.h"

/* Positions of the fields in log lines about machines. */
enum {
  LINE_KIND,
  LINE_ID,
  LINE_ADDRESS,
  LINE_DRAINING_ONLY = LINE_ADDRESS, /* in TMX_LINE_MACHINE_DRAINING */
  LINE_TYPE,
  LINE_ZONE,
  LINE_SPOT,
  LINE_DRAINING,
  LINE_FIELDS
};

struct tmx_machine *tmx_machine_find(const struct tmx_replica *replica, const char *id) {
  struct tmx_machine *machine;
  HASH_FIND_STR(replica->machines, id, machine);
  return machine;
}

bool tmx_machine_was_removed(const struct tmx_replica *replica, const char *id) {
  return tmx_log_keys_contain(replica->removed_machines, id);
}

struct tmx_machine *tmx_replica_ensure_machine(struct tmx_replica *replica, const char *id) {
  struct tmx_machine *machine = tmx_machine_find(replica, id);
  if (machine) return machine;
  machine = tmx_allocate(1, sizeof *machine);
  snprintf(machine->id, sizeof machine->id, "%s", id);
  machine->zone = -1;
  machine->planner_slot = tmx_slot_pool_acquire(&replica->machine_slots);
  machine->owner = tmx_replica_owner_index(replica, id, -1);
  HASH_ADD_STR(replica->machines, id, machine);
  return machine;
}

void tmx_replica_clear_machines(struct tmx_replica *replica) {
  struct tmx_machine *machine, *next;
  HASH_ITER(hh, replica->machines, machine, next) {
    HASH_DEL(replica->machines, machine);
    free(machine);
  }
  tmx_log_keys_clear(&replica->removed_machines);
  tmx_slot_pool_clear(&replica->machine_slots);
  replica->n_type_counts = 0;
}

/* Removes a machine from the replica. Its tasks wait again. */
static void drop_machine(struct tmx_replica *replica, struct tmx_machine *machine) {
  while (machine->tasks) {
    struct tmx_job *job = machine->tasks->job;
    tmx_replica_unplace_task(replica, machine->tasks);
    tmx_replica_release_tasks(replica, job);
  }
  if (replica->on_machine_removed) replica->on_machine_removed(replica->observer, machine);
  tmx_slot_pool_release(&replica->machine_slots, machine->planner_slot);
  HASH_DEL(replica->machines, machine);
  free(machine);
}

void tmx_replica_drop_unregistered_machines(struct tmx_replica *replica) {
  struct tmx_machine *machine, *next;
  HASH_ITER(hh, replica->machines, machine, next) {
    if (!machine->registered) drop_machine(replica, machine);
  }
}

/* Sets the machine's zone, and moves its tasks to the counters of that zone. A machine can have
 * tasks before its zone is known: a snapshot page or an early batch may place them before the line
 * that registers the machine is read. */
static void set_zone(struct tmx_machine *machine, int zone) {
  if (machine->zone == zone) return;
  for (const struct tmx_task *task = machine->tasks; task; task = task->next) {
    if (machine->zone >= 0) task->job->placed_in_zone[machine->zone]--;
    if (zone >= 0) task->job->placed_in_zone[zone]++;
  }
  machine->zone = zone;
}

/* Adds a machine to the count of its type, or subtracts it if `sign` is -1. Types beyond the first
 * TMX_MACHINE_TYPES_MAX are not counted. */
static void count_type(struct tmx_replica *replica, const struct tmx_machine *machine, int sign) {
  size_t i = 0;
  while (i < replica->n_type_counts && strcmp(replica->type_counts[i].type, machine->type)) i++;
  if (i == TMX_MACHINE_TYPES_MAX) return;
  if (i == replica->n_type_counts) {
    replica->n_type_counts++;
    replica->type_counts[i].machines = 0;
    memcpy(replica->type_counts[i].type, machine->type, sizeof machine->type);
  }
  replica->type_counts[i].machines += (uint32_t)sign;
}

static void register_machine(struct tmx_replica *replica, char *const *field) {
  if (strlen(field[LINE_ADDRESS]) >= TMX_NAME_BYTES || strlen(field[LINE_TYPE]) >= TMX_ID_BYTES)
    return;
  struct tmx_machine *machine = tmx_replica_ensure_machine(replica, field[LINE_ID]);
  if (machine->registered) count_type(replica, machine, -1);
  snprintf(machine->addr, sizeof machine->addr, "%s", field[LINE_ADDRESS]);
  snprintf(machine->type, sizeof machine->type, "%s", field[LINE_TYPE]);
  set_zone(machine, tmx_zone_index(replica->settings, field[LINE_ZONE]));
  machine->owner = tmx_replica_owner_index(replica, machine->id, machine->zone);
  machine->spot = field[LINE_SPOT][0] != '0';
  machine->draining = field[LINE_DRAINING][0] != '0';
  if (!machine->registered) machine->registered_at = replica->loaded ? replica->now : 0;
  machine->registered = true;
  count_type(replica, machine, 1);
  tmx_replica_notify_machine(replica, machine);
  tmx_replica_notify_schedulable(replica);
}

static void set_draining(struct tmx_replica *replica, char *const *field) {
  struct tmx_machine *machine = tmx_machine_find(replica, field[LINE_ID]);
  if (!machine) return;
  machine->draining = field[LINE_DRAINING_ONLY][0] != '0';
  tmx_replica_notify_machine(replica, machine);
  tmx_replica_notify_schedulable(replica);
}

/* Remembers the id of a removed machine. If the ids fill their share of the controller's memory,
 * the oldest id is forgotten. */
static void remember_removed(struct tmx_replica *replica, const char *id) {
  const double bytes =
      replica->settings->ram_mb * TMX_BYTES_PER_MB * TMX_REMOVED_MACHINES_MEMORY_SHARE;
  const size_t kept = 1 + (size_t)(bytes / TMX_REMOVED_MACHINE_BYTES);
  if (HASH_COUNT(replica->removed_machines) >= kept)
    tmx_log_keys_remove(&replica->removed_machines, replica->removed_machines->key);
  tmx_log_keys_put(&replica->removed_machines, id, 1);
}

static void remove_machine(struct tmx_replica *replica, const char *id) {
  remember_removed(replica, id);
  struct tmx_machine *machine = tmx_machine_find(replica, id);
  if (!machine) return;
  if (machine->registered) count_type(replica, machine, -1);
  machine->registered = false;
  if (!replica->loaded) return; /* dropped by tmx_replica_drop_unregistered_machines() */
  drop_machine(replica, machine);
  tmx_replica_notify_schedulable(replica);
}

void tmx_replica_apply_machine_line(struct tmx_replica *replica, char *line) {
  const enum tmx_line_kind kind = (enum tmx_line_kind)line[0];
  char *field[LINE_FIELDS];
  const size_t n = tmx_log_line_split(line, field, LINE_FIELDS);
  if (n <= LINE_ID || strlen(field[LINE_ID]) >= TMX_ID_BYTES) return;
  if (kind == TMX_LINE_MACHINE) {
    if (n == LINE_FIELDS) register_machine(replica, field);
  } else if (kind == TMX_LINE_MACHINE_DRAINING) {
    if (n == LINE_DRAINING_ONLY + 1) set_draining(replica, field);
  } else {
    remove_machine(replica, field[LINE_ID]);
  }
}
