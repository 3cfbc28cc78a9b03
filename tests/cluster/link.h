/* A link between two parties on loopback: forwards TCP connections, and refuses, holds or delays
 * them on demand. */
#ifndef CLUSTER_LINK_H
#define CLUSTER_LINK_H
#include <ev.h>
#include <stdbool.h>

enum link_mode { LINK_OPEN, LINK_REFUSED, LINK_CUT };
struct link;
struct link *link_new(struct ev_loop *loop, int target_port);
int link_port(const struct link *link);
/* REFUSED closes what is open and whatever comes; CUT holds all bytes until the link opens. Bytes
 * arrive delay_s after they were sent. */
void link_set(struct link *link, enum link_mode mode, double delay_s);
#endif
