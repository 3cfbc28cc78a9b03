/**
 * @file
 * The connection for sending heartbeats to one peer. It is reopened when it breaks or has been
 * blocked for too long. Only the event loop's thread may call these functions.
 */
#ifndef TMX_OUTGOING_CONNECTION_H
#define TMX_OUTGOING_CONNECTION_H
#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "net/cbor.h"

/** The connection to one peer. Times are in seconds on the monotonic clock. */
struct tmx_outgoing_connection {
  struct ev_loop *loop;          /**< not owned */
  struct sockaddr_in address;    /**< address of the peer */
  int fd;                        /**< socket, owned; -1: the connection is closed */
  bool connecting;               /**< an attempt to connect is in progress */
  ev_io write_watcher;           /**< signals that an attempt to connect has ended or that the
                                      socket accepts more data */
  struct tmx_buffer send_buffer; /**< the heartbeat that is being sent, owned */
  size_t sent_bytes;             /**< number of bytes of `send_buffer` that have been sent */
  double blocked_since;          /**< time since which the unsent data or the attempt to connect has
                                      been pending */
  int consecutive_refusals; /**< refused attempts to connect since the latest successful attempt
                                 or the peer's latest heartbeat */
  double refused_at;        /**< time of the latest refusal */
};

/** Initialises a zeroed connection to the address, without opening it. */
void tmx_outgoing_connection_init(struct tmx_outgoing_connection *connection, struct ev_loop *loop,
                                  const char *address);
/** Closes the connection and frees the send buffer. */
void tmx_outgoing_connection_release(struct tmx_outgoing_connection *connection);

/** Closes the connection if it has been blocked for longer than TMX_HEARTBEAT_EXPIRY_S, and opens
 * it if it is closed. */
void tmx_outgoing_connection_maintain(struct tmx_outgoing_connection *connection, double now);
/** Starts to send the bytes. Drops them if the connection is not established or earlier bytes are
 * still unsent; the peer then receives a later heartbeat instead. */
void tmx_outgoing_connection_send(struct tmx_outgoing_connection *connection,
                                  const struct tmx_buffer *bytes);
#endif
