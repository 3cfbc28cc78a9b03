/**
 * @file
 * One controller process: creates the modules, passes each its dependencies, and drives them on one
 * event loop. All functions must be called on the loop's thread.
 */
#ifndef TMX_CONTROLLER_H
#define TMX_CONTROLLER_H
#include <ev.h>
#include <stddef.h>

#include "config/settings.h"

/** One controller process. */
struct tmx_controller;

/**
 * Creates a controller, which starts to listen and to open its connections.
 * @param loop        drives the controller; not owned, must outlive it
 * @param settings    copied
 * @param error       receives a one-line message on failure
 * @param error_size  size of `error` in bytes
 * @return the controller, which the caller frees with tmx_controller_free(); NULL on failure
 */
struct tmx_controller *tmx_controller_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                          char *error, size_t error_size);
/** Stops the controller's watchers, closes its connections, and frees the controller with its
 * modules. Does not free the loop. */
void tmx_controller_free(struct tmx_controller *controller);
/** Logs one line for each account of admission control that has work or has received a submission
 * since the start. */
void tmx_controller_log_accounts(const struct tmx_controller *controller);
#endif
