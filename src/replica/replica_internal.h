/**
 * @file
 * What the files of the replica share: notifications, and updates of its tables.
 */
#ifndef TMX_REPLICA_INTERNAL_H
#define TMX_REPLICA_INTERNAL_H
#include "replica/replica.h"

/** Tells the observer that the machine's tasks, stop modes, owner or attributes changed. */
void tmx_replica_notify_machine(struct tmx_replica *replica, struct tmx_machine *machine);
/** Tells the observer that a round may be worth while. */
void tmx_replica_notify_schedulable(struct tmx_replica *replica);

/** @name Members and views (ownership.c) */
/** @{ */
/**
 * Index of the member that owns the machine; -1: there is no view.
 * @param replica the replica.
 * @param machine the machine's id.
 * @param zone the machine's zone, an index among the settings' zones; -1: unknown.
 */
int tmx_replica_owner_index(const struct tmx_replica *replica, const char *machine, int zone);
/** Applies a member's key; NULL: it was deleted. */
void tmx_replica_apply_member(struct tmx_replica *replica, const char *name, uint64_t version,
                              const cbor_item_t *value);
/** Applies the view's key; its deletion changes nothing. */
void tmx_replica_apply_view(struct tmx_replica *replica, uint64_t version,
                            const cbor_item_t *value);
/** Notes that the member of this name, of `length` bytes, committed a batch. */
void tmx_replica_note_batch_of(struct tmx_replica *replica, const char *name, size_t length);
/** @} */
#endif
