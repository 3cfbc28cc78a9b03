/**
 * @file
 * Whether the event loop runs on time. Timeouts that expire while the loop itself is late are no
 * evidence that another machine failed. Only the event loop's thread may call these functions.
 */
#ifndef TMX_LOOP_MONITOR_H
#define TMX_LOOP_MONITOR_H
#include <stdbool.h>

/** Times on the monotonic clock in seconds; 0 means never, so a zeroed struct is a valid start. */
struct tmx_loop_monitor {
  double last_tick_at;      /**< The latest tick, s. */
  double last_late_tick_at; /**< The latest tick that was late, s. */
};

/** To be called at every tick of the loop. Returns by how many seconds it was late; 0: on time. */
double tmx_loop_monitor_tick(struct tmx_loop_monitor *monitor, double now);

/** Whether no tick since `since` was late, and none is overdue now. */
bool tmx_loop_monitor_on_time_since(const struct tmx_loop_monitor *monitor, double since,
                                    double now);
#endif
