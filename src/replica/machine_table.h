/**
 * @file
 * The replica's machines: for the files of the replica only.
 */
#ifndef TMX_MACHINE_TABLE_H
#define TMX_MACHINE_TABLE_H
#include "replica/replica.h"

/** The machine with this id; one that is new is not registered and has no zone. */
struct tmx_machine *tmx_replica_ensure_machine(struct tmx_replica *replica, const char *id);
/** Releases all machines. The records of their agents in src/worker outlive this: the controller
 * finds them again by name. */
void tmx_replica_clear_machines(struct tmx_replica *replica);
/**
 * Applies a line of kind TMX_LINE_MACHINE, TMX_LINE_MACHINE_DRAINING or TMX_LINE_MACHINE_REMOVED.
 * @param replica the replica to change.
 * @param line is split in place; one that is malformed changes nothing.
 */
void tmx_replica_apply_machine_line(struct tmx_replica *replica, char *line);
/** Ends loading: machines that are not registered by now are gone, and their tasks wait again. */
void tmx_replica_drop_unregistered_machines(struct tmx_replica *replica);
#endif
