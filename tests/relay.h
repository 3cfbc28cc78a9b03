/** A relay between the program and a scripted peer, on the loop of the test. It keeps every request
 *  and its answer as they were sent. */
#ifndef TMX_RELAY_H
#define TMX_RELAY_H
#include "raw_client.h"

struct relay {
  int fd;           /**< listening socket */
  int target;       /**< port of the scripted peer */
  char address[32]; /**< where it listens; empty: it is not open */
  ev_io accept;
  struct exchange *first, *last; /**< in the order of the requests */
  struct relay_link *links;
};

/** Starts to listen. */
void relay_open(struct relay *relay, int target_port);
/** Closes the relay and its connections and frees the exchanges; nothing if it is not open. */
void relay_close(struct relay *relay);
/** Waits for an answered exchange and fails the test if none comes.
 *  @param after only later ones count; NULL: all do
 *  @param start how the request begins
 *  @param part a text in the request; NULL: anything
 *  @return the first such exchange; it stays the relay's */
const struct exchange *relay_wait(struct relay *relay, const struct exchange *after,
                                  const char *start, const char *part);

#endif
