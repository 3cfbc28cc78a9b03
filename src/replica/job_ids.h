/**
 * @file
 * Job ids, and the set of ids that a submission names as its dependencies.
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

/** Ids of jobs, sorted and each present once. The array is owned: see tmx_job_ids_free(). */
struct tmx_job_ids {
  char (*ids)[TMX_ID_BYTES]; /**< `count` ids, each terminated by zero; NULL: none */
  uint32_t count;            /**< number of ids */
};

/** Releases the array and leaves an empty set. */
void tmx_job_ids_free(struct tmx_job_ids *ids);

/** Tells whether the text is a well-formed job id: the common prefix and permitted characters. */
bool tmx_job_id_is_valid(const char *id);

/**
 * Reads the ids that a submission names; one without the field yields an empty set.
 * @return false if the field is malformed; `ids` is empty then.
 */
bool tmx_job_ids_parse(const cbor_item_t *map, struct tmx_job_ids *ids);

/**
 * Writes ids as they stand in a record or a line: without their common prefix, separated by spaces.
 * @param out receives the text with a terminating zero.
 * @param capacity size of `out` in bytes.
 * @param ids the ids to write.
 * @param from position of the first id to write; moves behind the last one that fitted.
 * @return bytes written, without the terminating zero.
 */
size_t tmx_job_ids_to_text(char *out, size_t capacity, const struct tmx_job_ids *ids,
                           uint32_t *from);
#endif
