/**
 * @file
 * Checks whether operations planned on an earlier state are still valid. Does no I/O.
 *
 * The operations of a batch are checked in order against the replica as it is when the batch is
 * sent, with the effects of the operations accepted before them. The running totals are fields of
 * the replica's jobs and machines, so only one batch can be checked at a time, on the thread of the
 * controller's event loop.
 */
#ifndef TMX_OPERATION_CHECK_H
#define TMX_OPERATION_CHECK_H
#include <stdbool.h>
#include <stdint.h>

#include "replica/replica.h"

/** State of the check of one batch. */
struct tmx_operation_check {
  struct tmx_replica *replica; /**< owned by the caller; must not change during the check */
  uint64_t id; /**< identifies this check; totals of a job or machine with another id are stale */
  struct tmx_usage team_usage[TMX_TEAMS_MAX]; /**< resources used by each team, with the operations
                                                 accepted so far */
};

/** Begins the check of a batch. The replica must not change until the last operation is checked. */
void tmx_operation_check_begin(struct tmx_operation_check *check, struct tmx_replica *replica);
/**
 * Checks the next operation, and adds a valid one to the totals for the operations after it.
 * @return whether the operation is valid.
 */
bool tmx_operation_check_apply(struct tmx_operation_check *check,
                               const struct tmx_operation *operation);
#endif
