/**
 * @file
 * The replica's table of machines. Internal to src/replica.
 */
#ifndef TMX_MACHINE_TABLE_H
#define TMX_MACHINE_TABLE_H
#include "replica/replica.h"

/** Returns the machine with this id. If there is none, adds one that is not registered and has no
 * zone. */
struct tmx_machine *tmx_replica_ensure_machine(struct tmx_replica *replica, const char *id);
/** Removes and releases all machines. The worker records in src/worker are kept;
 * tmx_workers_machine_changed() links them again by machine id. */
void tmx_replica_clear_machines(struct tmx_replica *replica);
/**
 * Applies a line of kind TMX_LINE_MACHINE, TMX_LINE_MACHINE_DRAINING or TMX_LINE_MACHINE_REMOVED.
 * @param replica the replica to change.
 * @param line the line, which is split in place. A malformed line changes nothing.
 */
void tmx_replica_apply_machine_line(struct tmx_replica *replica, char *line);
/** Removes all machines that are not registered; their tasks wait again. Must be called when
 * loading is complete: a machine that is still not registered no longer exists. */
void tmx_replica_drop_unregistered_machines(struct tmx_replica *replica);
#endif
