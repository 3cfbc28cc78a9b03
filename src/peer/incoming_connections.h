/**
 * @file
 * The connections that peers open to send their heartbeats: a listener, and a reader for each
 * connection that splits the stream into records. Loop's thread only.
 */
#ifndef TMX_INCOMING_CONNECTIONS_H
#define TMX_INCOMING_CONNECTIONS_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The listener with the connections that it accepted. */
struct tmx_incoming_connections;

/** Takes one record, without its length. False: it is malformed, and the connection is closed. */
typedef bool (*tmx_record_cb)(void *context, const uint8_t *record, size_t length);

/** Listens on the address, such as 10.0.0.1:7000. NULL: that is not possible. */
struct tmx_incoming_connections *tmx_incoming_connections_new(struct ev_loop *loop,
                                                              const char *address,
                                                              tmx_record_cb take_record,
                                                              void *context);
/** Closes all connections and the listener. */
void tmx_incoming_connections_free(struct tmx_incoming_connections *incoming);
#endif
