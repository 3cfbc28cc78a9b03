/** @file
 * A TCP relay between the program and a fake peer. It runs on the event loop of the test and
 * keeps the bytes of every request and of its response. */
#ifndef TMX_RELAY_H
#define TMX_RELAY_H
#include "raw_client.h"

/** A relay and the exchanges that passed through it. */
struct relay {
  int fd;           /**< listening socket */
  int target_port;  /**< port of the fake peer */
  char address[32]; /**< address of the listening socket; empty: the relay is not open */
  ev_io accept;     /**< watches the listening socket */
  struct exchange *first, *last;        /**< list of the exchanges, in the order of the requests */
  struct relay_connection *connections; /**< list of the open connections */
};

/** Listens on a free port of the loopback interface and relays each connection to `target_port`. */
void relay_open(struct relay *relay, int target_port);
/** Closes the relay and its connections and frees the exchanges. Does nothing if the relay is not
 *  open. */
void relay_close(struct relay *relay);
/** Runs the event loop until a complete exchange matches, and fails the test if none does in time.
 *  @param after only exchanges after this one are searched; NULL: all are
 *  @param prefix the request starts with this text
 *  @param substring the request contains this text; NULL: any request matches
 *  @return the first matching exchange; owned by the relay, valid until relay_close() */
const struct exchange *relay_wait(struct relay *relay, const struct exchange *after,
                                  const char *prefix, const char *substring);

#endif
