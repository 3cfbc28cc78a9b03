/* What the files of the replica share. */
#ifndef TMX_REPLICA_INTERNAL_H
#define TMX_REPLICA_INTERNAL_H
#include "replica/replica.h"

void *tmx_replica_allocate(size_t n); /* zeroed; ends the process when memory is out */
/* The machine's tasks, orders or owner changed; something worth a round happened. */
void tmx_replica_notify_machine(struct tmx_replica *replica, struct tmx_machine *machine);
void tmx_replica_notify_schedulable(struct tmx_replica *replica);

/* members.c */
int tmx_replica_owner_index(const struct tmx_replica *replica, const char *machine, int zone);
void tmx_replica_apply_node(struct tmx_replica *replica, const char *name, uint64_t version,
                            const cbor_item_t *value);
void tmx_replica_apply_view(struct tmx_replica *replica, uint64_t version,
                            const cbor_item_t *value);
#endif
