/**
 * @file
 * One controller process: makes the modules, hands each what it needs, and drives them by one event
 * loop.
 */
#ifndef TMX_CONTROLLER_H
#define TMX_CONTROLLER_H
#include <ev.h>
#include <stddef.h>

#include "config/settings.h"

/** One controller process. */
struct tmx_controller;

/** Listens and connects; the settings are copied. NULL: `error` says in one line why. */
struct tmx_controller *tmx_controller_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                          char *error, size_t error_size);
/** Stops the controller's watchers, closes its connections and frees its modules; the loop stays
 * with the caller. */
void tmx_controller_free(struct tmx_controller *controller);
/** Writes a line to the log for each account of admission that has work. */
void tmx_controller_log_accounts(const struct tmx_controller *controller);
#endif
