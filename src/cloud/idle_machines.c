/* Idle timers, one for each registered machine that the leader examines for scale-in. Only the
 * leader starts and restarts them. A controller that loses the leadership keeps its timers, and
 * uses them again if it becomes the leader again. */
#include <stdio.h>
#include <stdlib.h>

#include "base/memory.h"
#include "cloud/cloud_internal.h"

struct tmx_idle_timer *tmx_cloud_idle_timer(struct tmx_cloud *cloud, const char *id, double now) {
  struct tmx_idle_timer *timer;
  HASH_FIND_STR(cloud->idle_timers, id, timer);
  if (timer) return timer;
  timer = tmx_allocate(1, sizeof *timer);
  snprintf(timer->id, sizeof timer->id, "%s", id);
  timer->since = now;
  HASH_ADD_STR(cloud->idle_timers, id, timer);
  return timer;
}

static void drop(struct tmx_cloud *cloud, struct tmx_idle_timer *timer) {
  HASH_DEL(cloud->idle_timers, timer);
  free(timer);
}

void tmx_cloud_drop_idle_timers(struct tmx_cloud *cloud) {
  struct tmx_idle_timer *timer, *next_timer;
  HASH_ITER(hh, cloud->idle_timers, timer, next_timer) {
    if (!tmx_machine_find(cloud->replica, timer->id)) drop(cloud, timer);
  }
}

void tmx_cloud_free_idle_timers(struct tmx_cloud *cloud) {
  struct tmx_idle_timer *timer, *next_timer;
  HASH_ITER(hh, cloud->idle_timers, timer, next_timer) { drop(cloud, timer); }
}
