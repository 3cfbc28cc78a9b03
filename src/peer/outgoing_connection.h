/**
 * @file
 * The connection on which heartbeats go to one peer. It is opened again whenever it breaks or has
 * been blocked for long. Loop's thread only.
 */
#ifndef TMX_OUTGOING_CONNECTION_H
#define TMX_OUTGOING_CONNECTION_H
#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "net/cbor.h"

/** The connection to one peer. Times are of the monotonic clock, seconds. */
struct tmx_outgoing_connection {
  struct ev_loop *loop;       /**< not owned */
  struct sockaddr_in address; /**< of the peer */
  int fd;                     /**< the socket, owned; -1: closed */
  bool connecting;            /**< the attempt to connect has not ended yet */
  ev_io write_watcher;        /**< for the end of an attempt to connect, and for room to send */
  struct tmx_buffer unsent;   /**< the latest bytes to be sent, owned */
  size_t sent;                /**< bytes of `unsent` that have been sent */
  double blocked_since;       /**< of what is unsent, or of the attempt to connect */
  int refusals;               /**< in a row, of attempts to connect */
  double refused_at;          /**< the latest refusal */
};

/** Prepares a closed connection to the address. */
void tmx_outgoing_connection_init(struct tmx_outgoing_connection *connection, struct ev_loop *loop,
                                  const char *address);
/** Closes the connection and frees what is unsent. */
void tmx_outgoing_connection_release(struct tmx_outgoing_connection *connection);

/** Closes the connection if it has been blocked for long, and opens it if it is closed. */
void tmx_outgoing_connection_maintain(struct tmx_outgoing_connection *connection, double now);
/** Sends the bytes, or drops them if the connection is closed or blocked: the peer gets the next
 * heartbeat instead. */
void tmx_outgoing_connection_send(struct tmx_outgoing_connection *connection,
                                  const struct tmx_buffer *bytes);
#endif
