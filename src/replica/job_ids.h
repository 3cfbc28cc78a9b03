/**
 * @file
 * Job ids, and the set of ids of a job's prerequisites.
 *
 * Pure functions without shared state: any thread may call them.
 */
#ifndef TMX_JOB_IDS_H
#define TMX_JOB_IDS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "tmx/constants.h"

/** A sorted set of job ids without duplicates. It owns its array: see tmx_job_ids_free(). */
struct tmx_job_ids {
  char (*ids)[TMX_ID_BYTES]; /**< `count` ids, each zero-terminated; NULL: none */
  uint32_t count;            /**< number of ids */
};

/** Releases the array and makes the set empty. */
void tmx_job_ids_free(struct tmx_job_ids *ids);

/** Returns whether the text is a valid job id: the common prefix, then at least one character, all
 * of them permitted. */
bool tmx_job_id_is_valid(const char *id);

/**
 * Parses the ids of the prerequisites from a submission.
 * @param map the submission, as a CBOR map.
 * @param ids receives the ids; empty if the submission lacks the field. The caller releases it.
 * @return false if the field is malformed; `ids` is empty in that case.
 */
bool tmx_job_ids_parse(const cbor_item_t *map, struct tmx_job_ids *ids);

/**
 * Writes ids in the format of job records and log lines: without their common prefix, separated by
 * spaces.
 * @param out receives the zero-terminated text.
 * @param capacity size of `out` in bytes.
 * @param ids the ids to write.
 * @param from position of the first id to write; receives the position after the last id written.
 * @return bytes written, without the terminating zero.
 */
size_t tmx_job_ids_to_text(char *out, size_t capacity, const struct tmx_job_ids *ids,
                           uint32_t *from);
#endif
