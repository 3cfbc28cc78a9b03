/** Real controllers in the process of the test, named hand-0, hand-1 and on, each with its own
 *  endpoint of the scripted store. */
#ifndef TMX_FAKE_CONTROLLERS_H
#define TMX_FAKE_CONTROLLERS_H
#include <stdbool.h>

#include "controller/controller_internal.h"

#define FAKE_NODES 5 /**< controllers at most */

/** Changes the settings of controllers started from now on; NULL: nothing. fake_stop resets it. */
extern void (*fake_adjust_settings)(struct tmx_settings *settings);
/** Controllers started from now on do not reach their peers. fake_stop resets it. */
extern bool fake_peers_unreachable;

/** Writes the settings of controller `index` of `count`. */
void fake_settings(struct tmx_settings *settings, int index, int count);
/** The port reserved for the users and workers of controller `index`, for one that runs as a
 *  process. In the test's own process a controller listens on any free port. */
int fake_listen_port(int index);

/** Starts controller `index` of `count`. It ends by stop_controller. */
struct tmx_controller *start_controller(int index, int count);
/** Ends a controller at once, without a message to anybody, as a killed process ends. */
void stop_controller(struct tmx_controller *controller);

/** For run_loop_until: the controller is a member, its lease is fresh, and it knows the machine
 *  types.
 *  @param controller a struct tmx_controller */
bool fake_controller_is_ready(void *controller);
/** Whether the planner's thread of any controller has work. */
bool fake_any_planner_busy(void);

/** A new HTTP client of the controller; the caller frees it. */
struct tmx_http_client *client_of(struct tmx_controller *controller);

/** Reserves the ports of the heartbeats between controllers. Part of fake_start. */
void fake_controllers_open(void);
/** Returns them and resets the variables above. Part of fake_stop. */
void fake_controllers_close(void);

#endif
