/** A link between two parties on loopback: it forwards TCP connections, and refuses, withholds or
 *  delays on demand. */
#ifndef CLUSTER_LINK_H
#define CLUSTER_LINK_H
#include <ev.h>
#include <stdbool.h>

enum link_mode {
  LINK_OPEN,    /**< bytes are forwarded */
  LINK_REFUSED, /**< open connections are closed, and new ones at once */
  LINK_CUT      /**< bytes are withheld until the link is open again */
};

struct link;

/** Makes an open link that listens on a free port and lasts as long as the process. */
struct link *link_new(struct ev_loop *loop, int target_port);
/** The port that it listens on. */
int link_port(const struct link *link);
/** Sets the mode. @param delay_s bytes arrive so long after they were sent */
void link_set(struct link *link, enum link_mode mode, double delay_s);

#endif
