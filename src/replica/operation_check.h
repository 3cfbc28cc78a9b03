/* Is an operation that was planned on an earlier state still right: pure. A batch is checked line
 * by line on the replica as it stands when it is sent, each line after those before it. */
#ifndef TMX_OPERATION_CHECK_H
#define TMX_OPERATION_CHECK_H
#include "replica/replica.h"

struct tmx_operation_check {
  struct tmx_replica *replica;
  uint64_t id;
  struct tmx_usage usage[TMX_TEAMS_MAX];
};
void tmx_operation_check_begin(struct tmx_operation_check *check, struct tmx_replica *replica);
/* true: right, and counted for the lines after it */
bool tmx_operation_check_apply(struct tmx_operation_check *check,
                               const struct tmx_operation *operation);
#endif
