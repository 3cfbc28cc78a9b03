#include "base/loop_monitor.h"

#include "tmx/constants.h"

double tmx_loop_monitor_tick(struct tmx_loop_monitor *monitor, double now) {
  double late_s = monitor->last_tick_at > 0 ? now - monitor->last_tick_at - TMX_TICK_PERIOD_S : 0;
  monitor->last_tick_at = now;
  if (late_s <= TMX_LOOP_LATE_S) return 0;
  monitor->last_late_tick_at = now;
  return late_s;
}

bool tmx_loop_monitor_on_time_since(const struct tmx_loop_monitor *monitor, double since,
                                    double now) {
  return monitor->last_late_tick_at < since &&
         now - monitor->last_tick_at < TMX_TICK_PERIOD_S + TMX_LOOP_LATE_S;
}
