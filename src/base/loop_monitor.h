/**
 * @file
 * Detects delays of the event loop. A timeout that expires while the loop itself is late is no
 * evidence that another machine has failed. Only the event loop's thread may call these functions.
 */
#ifndef TMX_LOOP_MONITOR_H
#define TMX_LOOP_MONITOR_H
#include <stdbool.h>

/** Latest ticks of the event loop, in seconds on the monotonic clock. 0 means never, so a zeroed
 * struct is a valid initial state. */
struct tmx_loop_monitor {
  double last_tick_at;      /**< time of the latest tick */
  double last_late_tick_at; /**< time of the latest tick that was late */
};

/** Records a tick; must be called at every tick of the loop. Returns the delay in seconds if it
 * exceeds TMX_LOOP_LATE_S, otherwise 0. */
double tmx_loop_monitor_tick(struct tmx_loop_monitor *monitor, double now);

/** Returns whether every tick since the time `since` was on time and none is overdue now. */
bool tmx_loop_monitor_on_time_since(const struct tmx_loop_monitor *monitor, double since,
                                    double now);
#endif
