/**
 * @file
 * Applies job records and the values of batches and snapshot pages. Internal to the replica.
 */
#ifndef TMX_APPLY_LOG_H
#define TMX_APPLY_LOG_H
#include "replica/replica.h"

/**
 * Applies a job record. A malformed record is logged and ignored.
 * @param replica the replica to change.
 * @param item the record as CBOR, owned by the caller.
 * @param key_version version of the job's own key if the record was read from it; otherwise 0.
 */
void tmx_replica_apply_job_record(struct tmx_replica *replica, const cbor_item_t *item,
                                  uint64_t key_version);
/** Applies the value of a batch or snapshot page. */
void tmx_replica_apply_log_value(struct tmx_replica *replica, const cbor_item_t *value);
#endif
