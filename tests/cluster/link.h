/** @file A TCP proxy on the loopback interface that simulates network failures: it forwards
 * connections, and can refuse them, withhold their bytes or delay them. */
#ifndef CLUSTER_LINK_H
#define CLUSTER_LINK_H
#include <ev.h>
#include <stdbool.h>

enum link_mode {
  LINK_OPEN,    /**< bytes are forwarded */
  LINK_REFUSED, /**< open connections are closed, and new ones are closed at once */
  LINK_CUT      /**< bytes are withheld until the link is open again */
};

struct link;

/** Creates a link in mode LINK_OPEN that listens on a free port. It lasts until the process exits.
 */
struct link *link_new(struct ev_loop *loop, int target_port);
/** Returns the port that the link listens on. */
int link_port(const struct link *link);
/** Sets the mode. @param delay_s time by which bytes are delayed, s */
void link_set(struct link *link, enum link_mode mode, double delay_s);

#endif
