/* Timers of machines without a task. They live on the leader alone: a new one starts them anew. */
#include <stdio.h>
#include <stdlib.h>

#include "base/memory.h"
#include "cloud/cloud_internal.h"

struct tmx_idle_machine *tmx_cloud_idle_timer(struct tmx_cloud *cloud, const char *id, double now) {
  struct tmx_idle_machine *idle;
  HASH_FIND_STR(cloud->idle_machines, id, idle);
  if (idle) return idle;
  idle = tmx_allocate(1, sizeof *idle);
  snprintf(idle->id, sizeof idle->id, "%s", id);
  idle->since = now;
  HASH_ADD_STR(cloud->idle_machines, id, idle);
  return idle;
}

static void drop(struct tmx_cloud *cloud, struct tmx_idle_machine *idle) {
  HASH_DEL(cloud->idle_machines, idle);
  free(idle);
}

void tmx_cloud_drop_idle_timers(struct tmx_cloud *cloud) {
  struct tmx_idle_machine *idle, *next_idle;
  HASH_ITER(hh, cloud->idle_machines, idle, next_idle) {
    if (!tmx_machine_find(cloud->replica, idle->id)) drop(cloud, idle);
  }
}

void tmx_cloud_free_idle_timers(struct tmx_cloud *cloud) {
  struct tmx_idle_machine *idle, *next_idle;
  HASH_ITER(hh, cloud->idle_machines, idle, next_idle) { drop(cloud, idle); }
}
