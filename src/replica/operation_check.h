/**
 * @file
 * Checks whether operations that were planned on an earlier state are still right. Pure.
 *
 * A batch is checked operation by operation on the replica as it stands when the batch is sent,
 * each operation after those before it. Counts are kept in fields of the replica's jobs and
 * machines, so one batch is checked at a time, on the thread of the controller's loop.
 */
#ifndef TMX_OPERATION_CHECK_H
#define TMX_OPERATION_CHECK_H
#include <stdbool.h>
#include <stdint.h>

#include "replica/replica.h"

/** The check of one batch. */
struct tmx_operation_check {
  struct tmx_replica *replica; /**< of the caller; unchanged while the check lasts */
  uint64_t id; /**< of this check: counts of jobs and machines that carry another are out of date */
  struct tmx_usage usage[TMX_TEAMS_MAX]; /**< of each team, with the operations checked so far */
};

/** Begins the check of a batch; the replica must not change before it ends. */
void tmx_operation_check_begin(struct tmx_operation_check *check, struct tmx_replica *replica);
/** Checks the next operation. @return true: it is right, and is counted for those after it. */
bool tmx_operation_check_apply(struct tmx_operation_check *check,
                               const struct tmx_operation *operation);
#endif
