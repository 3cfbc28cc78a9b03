/**
 * @file
 * Functions shared by the files of the replica: notifications, members and views.
 */
#ifndef TMX_REPLICA_INTERNAL_H
#define TMX_REPLICA_INTERNAL_H
#include "replica/replica.h"

/** Notifies the observer that the machine's tasks, stop modes, owner or attributes changed. */
void tmx_replica_notify_machine(struct tmx_replica *replica, struct tmx_machine *machine);
/** Notifies the observer of a change that may justify a scheduling round. */
void tmx_replica_notify_schedulable(struct tmx_replica *replica);

/** @name Members and views (ownership.c) */
/** @{ */
/**
 * Index of the member that owns the machine; -1: there is no view.
 * @param replica the replica.
 * @param machine the machine's id.
 * @param zone index of the machine's zone in the settings; -1: unknown.
 */
int tmx_replica_owner_index(const struct tmx_replica *replica, const char *machine, int zone);
/**
 * Applies a member's key.
 * @param replica the replica to change.
 * @param name the member's node name.
 * @param version the key's version.
 * @param value the decoded value, owned by the caller; NULL: the key was deleted.
 */
void tmx_replica_apply_member(struct tmx_replica *replica, const char *name, uint64_t version,
                              const cbor_item_t *value);
/** Applies the view's key. A deletion, where `value` is NULL, changes nothing. */
void tmx_replica_apply_view(struct tmx_replica *replica, uint64_t version,
                            const cbor_item_t *value);
/** Records that the member whose name is the first `length` bytes of `name` committed a batch. */
void tmx_replica_record_batch_of(struct tmx_replica *replica, const char *name, size_t length);
/** @} */
#endif
