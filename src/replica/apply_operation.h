/**
 * @file
 * Applying operations to tasks: for the files of the replica only.
 */
#ifndef TMX_APPLY_OPERATION_H
#define TMX_APPLY_OPERATION_H
#include "replica/replica.h"

/** Applies an operation of the log. One that was applied before, or that speaks of an attempt that
 * is over, changes nothing. */
void tmx_replica_apply_operation(struct tmx_replica *replica,
                                 const struct tmx_operation *operation);
/** Takes a placed task off its machine: it waits again. */
void tmx_replica_unplace_task(struct tmx_replica *replica, struct tmx_task *task);
#endif
