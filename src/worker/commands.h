/**
 * @file
 * Commands to workers. Each list of commands is derived from the log (what should be on the
 * machine) and the worker's latest report (what is on it), so that a new owner needs no state
 * besides the log. Commands travel in responses to heartbeats, or in requests of their own between
 * heartbeats (direct commands). Loop's thread only.
 */
#ifndef TMX_WORKER_COMMANDS_H
#define TMX_WORKER_COMMANDS_H
#include "net/cbor.h"
#include "net/http.h"
#include "worker/workers_internal.h"

/** A list of commands, encoded for the wire. A zeroed struct is an empty list. */
struct tmx_command_list {
  struct tmx_buffer encoded; /**< owned; the CBOR maps of the commands, concatenated */
  size_t count;              /**< number of commands, at most TMX_MESSAGE_COMMANDS_MAX */
  size_t n_starts;           /**< of `count`, those that start an attempt */
  size_t n_forgets;          /**< of `count`, those that make the worker forget an attempt */
};

/** Which commands may be sent. */
enum tmx_command_scope {
  TMX_COMMANDS_ALL,    /**< starts, stops, and attempts that the worker may forget; for heartbeat
                            responses */
  TMX_COMMANDS_DIRECT, /**< the same for direct commands: starts only if their token is not the
                            last one of the term */
  TMX_COMMANDS_STOPS_ONLY, /**< stops only: they may be sent at any time and are idempotent */
};

/** Appends the commands that reconcile the worker with the log. Appends nothing if its machine
 * is not registered. May raise the worker's token, so the message must get its token afterwards. */
void tmx_worker_derive_commands(struct tmx_worker *worker, enum tmx_command_scope scope,
                                struct tmx_command_list *list);
/** Appends stops for reported attempts whose jobs have ended, whether or not the log places these
 * attempts on this machine. */
void tmx_worker_derive_stops_of_ended_jobs(const struct tmx_worker *worker,
                                           struct tmx_command_list *list);
/** Frees the encoded commands; the struct stays with the caller. */
void tmx_command_list_free(struct tmx_command_list *list);

/** Sends the list as a direct command with the current fencing token over the open connection,
 * which must exist. Sets commands.in_flight to whether the request was sent. `timeout_s` is in
 * seconds; the callback receives the worker as its argument. */
void tmx_worker_post_commands(struct tmx_worker *worker, const struct tmx_command_list *list,
                              double timeout_s, tmx_http_response_cb callback);
/** Sends direct commands to each queued worker that has commands due, and empties the queue. */
void tmx_workers_send_due_commands(struct tmx_workers *workers);
#endif
