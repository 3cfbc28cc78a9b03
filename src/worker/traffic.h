/**
 * @file
 * Log lines about the messages between this controller and the workers. Loop's thread only.
 */
#ifndef TMX_WORKER_TRAFFIC_H
#define TMX_WORKER_TRAFFIC_H
#include "worker/commands.h"
#include "worker/workers_internal.h"

/** Writes a line at level debug about the commands of a message to the worker, with its fencing
 * token and session, unless the list is empty. `kind` says how they are sent: "direct" or
 * "response". Must be called before the token is raised again. */
void tmx_worker_log_commands(const struct tmx_worker *worker, const struct tmx_command_list *list,
                             const char *kind);
/** Writes a line at level info with the counts of messages and resets them, every
 * TMX_TRAFFIC_LOG_PERIOD_S. `now` is in seconds on the steady clock. */
void tmx_workers_log_traffic(struct tmx_workers *workers, double now);
#endif
