/* What the files of the replica share. */
#ifndef TMX_STATE_INTERNAL_H
#define TMX_STATE_INTERNAL_H
#include "state/replica.h"

void *tmx_replica_alloc(size_t n); /* zeroed; ends the process when memory is out */
/* The machine's tasks, orders or owner changed; something worth a round happened. */
void tmx_replica_touched(struct tmx_replica *r, struct tmx_machine *m);
void tmx_replica_changed(struct tmx_replica *r);

/* members.c */
int tmx_replica_owner_index(const struct tmx_replica *r, const char *machine, int zone);
void tmx_replica_apply_node(struct tmx_replica *r, const char *name, uint64_t stamp,
                            const cbor_item_t *value);
void tmx_replica_apply_view(struct tmx_replica *r, uint64_t stamp, const cbor_item_t *value);
#endif
