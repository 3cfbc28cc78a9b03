/** @file
 *  Real controllers that run in the process of the test. They are named hand-0, hand-1 and so on,
 *  and each has its own endpoint of the fake store. */
#ifndef TMX_FAKE_CONTROLLERS_H
#define TMX_FAKE_CONTROLLERS_H
#include <stdbool.h>

#include "controller/controller_internal.h"

#define FAKE_CONTROLLERS_MAX 5 /**< maximum number of controllers */

/** Called to change the settings of each controller that is started; NULL: no change. fake_stop
 *  resets it. */
extern void (*fake_adjust_settings)(struct tmx_settings *settings);
/** Whether controllers that are started get unreachable peer addresses. fake_stop resets it. */
extern bool fake_peers_unreachable;

/** Fills in the settings of controller `index` in a cluster of `count` controllers. */
void fake_settings(struct tmx_settings *settings, int index, int count);
/** Returns a reserved port on which controller `index` listens for users and workers when it runs
 *  as a separate process. A controller in the test's process listens on any free port. */
int fake_listen_port(int index);

/** Starts controller `index` in a cluster of `count` controllers. The caller stops it with
 *  stop_controller. */
struct tmx_controller *start_controller(int index, int count);
/** Stops and frees a controller without sending any message, like a killed process. */
void stop_controller(struct tmx_controller *controller);

/** Condition for run_loop_until: the controller is a member, may act under its lease, and knows
 *  the machine types.
 *  @param controller a struct tmx_controller */
bool fake_controller_is_ready(void *controller);
/** Whether the planner thread of any controller is busy. */
bool fake_any_planner_busy(void);

/** Creates an HTTP client that connects to the controller; the caller frees it. */
struct tmx_http_client *new_controller_client(struct tmx_controller *controller);

/** Reserves the ports for heartbeats between controllers. Called by fake_start. */
void fake_controllers_open(void);
/** Releases these ports and resets the variables above. Called by fake_stop. */
void fake_controllers_close(void);

#endif
