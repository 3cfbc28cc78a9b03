/* Is an operation that was planned on an earlier state still right: pure. A batch is checked line
 * by line on the replica as it stands when it is sent, each line after those before it. */
#ifndef TMX_CHECK_H
#define TMX_CHECK_H
#include "state/replica.h"

struct tmx_check {
  struct tmx_replica *r;
  uint64_t no;
  struct tmx_usage usage[TMX_TEAMS_MAX];
};
void tmx_check_begin(struct tmx_check *c, struct tmx_replica *r);
/* true: right, and counted for the lines after it */
bool tmx_check_op(struct tmx_check *c, const struct tmx_op *o);
#endif
