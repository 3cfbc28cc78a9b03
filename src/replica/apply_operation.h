/**
 * @file
 * Applies task operations to the replica. Internal to the replica.
 */
#ifndef TMX_APPLY_OPERATION_H
#define TMX_APPLY_OPERATION_H
#include "replica/replica.h"

/**
 * Applies an operation of the log. An operation that is repeated, or that refers to an attempt that
 * has ended, changes nothing.
 */
void tmx_replica_apply_operation(struct tmx_replica *replica,
                                 const struct tmx_operation *operation);
/** Removes a placed task from its machine and sets it back to waiting. */
void tmx_replica_unplace_task(struct tmx_replica *replica, struct tmx_task *task);
#endif
