/**
 * @file
 * Connections that peers open to send their heartbeats: a listener, and for each connection a
 * reader that splits the stream into records. Only the event loop's thread may call these
 * functions.
 */
#ifndef TMX_INCOMING_CONNECTIONS_H
#define TMX_INCOMING_CONNECTIONS_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The listener and the connections that it has accepted. */
struct tmx_incoming_connections;

/** Handles one record, which excludes the length prefix and is valid only during the call. Returns
 * false if the record is malformed; the connection is then closed. */
typedef bool (*tmx_record_cb)(void *context, const uint8_t *record, size_t length);

/** Listens on the address, such as 10.0.0.1:7000, and calls `on_record` with `context` for each
 * record. Returns NULL if the address is invalid or cannot be listened on. */
struct tmx_incoming_connections *tmx_incoming_connections_new(struct ev_loop *loop,
                                                              const char *address,
                                                              tmx_record_cb on_record,
                                                              void *context);
/** Closes all connections and the listener. */
void tmx_incoming_connections_free(struct tmx_incoming_connections *incoming);
#endif
