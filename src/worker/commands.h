/**
 * @file
 * Commands to workers. They are derived anew each time from the log (what should be on the machine)
 * and the latest report (what is), so that a successor needs nothing but the log. They go out in
 * answers to heartbeats, or directly between these. Loop's thread only.
 */
#ifndef TMX_WORKER_COMMANDS_H
#define TMX_WORKER_COMMANDS_H
#include "net/cbor.h"
#include "net/http.h"
#include "worker/workers_internal.h"

/** Commands in their form on the wire. Zeroed: none. */
struct tmx_command_list {
  struct tmx_buffer encoded; /**< owned; one map after the other */
  size_t count;              /**< at most TMX_MESSAGE_COMMANDS_MAX */
  bool has_starts;           /**< at least one command starts an attempt */
};

/** Which commands may go out. */
enum tmx_command_scope {
  TMX_COMMANDS_ALL,        /**< starts, stops, and what the worker may forget */
  TMX_COMMANDS_STOPS_ONLY, /**< these may go at any time, and more than once */
};

/** Appends what the log wants of the worker. */
void tmx_worker_derive_commands(struct tmx_worker *worker, enum tmx_command_scope scope,
                                struct tmx_command_list *list);
/** Appends stops of attempts whose jobs are over, whether or not the log places them there. */
void tmx_worker_derive_stops_of_ended_jobs(const struct tmx_worker *worker,
                                           struct tmx_command_list *list);
/** Frees the encoded commands; the struct stays with the caller. */
void tmx_command_list_free(struct tmx_command_list *list);

/** Sends the list as a direct command with the current token, on the open connection;
 * commands.in_flight tells whether it was sent. The callback gets the worker. */
void tmx_worker_post_commands(struct tmx_worker *worker, const struct tmx_command_list *list,
                              double timeout_s, tmx_http_response_cb callback);
/** Sends direct commands to the queued workers to which some are due. */
void tmx_workers_send_due_commands(struct tmx_workers *workers);
#endif
