/**
 * @file
 * Whether the event loop is on time. A loop that was late has its own timeouts to blame for what
 * did not arrive, so they say nothing about other machines.
 */
#ifndef TMX_LOOP_MONITOR_H
#define TMX_LOOP_MONITOR_H
#include <stdbool.h>

/** Times on the monotonic clock, s; 0: never. */
struct tmx_loop_monitor {
  double last_tick_at;
  double last_late_tick_at;
};

/** To be called at every tick of the loop. Returns by how many seconds it was late; 0: on time. */
double tmx_loop_monitor_tick(struct tmx_loop_monitor *monitor, double now);
/** Whether no tick since `since` was late, and none is overdue now. */
bool tmx_loop_monitor_on_time_since(const struct tmx_loop_monitor *monitor, double since,
                                    double now);
#endif
