/**
 * @file
 * Applying records of jobs, and values of batches and pages: for the files of the replica only.
 */
#ifndef TMX_APPLY_LOG_H
#define TMX_APPLY_LOG_H
#include "replica/replica.h"

/**
 * Applies the record of a job.
 * @param replica the replica to change.
 * @param item the record, as CBOR; the caller keeps it. A malformed one changes nothing.
 * @param key_version version of the job's own key, if the record comes from there; otherwise 0.
 */
void tmx_replica_apply_job_record(struct tmx_replica *replica, const cbor_item_t *item,
                                  uint64_t key_version);
/** Applies the value of a batch or of a page. */
void tmx_replica_apply_log_value(struct tmx_replica *replica, const cbor_item_t *value);
#endif
