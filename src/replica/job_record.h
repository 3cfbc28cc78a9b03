/**
 * @file
 * The record of a job: its stored form in batches, snapshot pages and the job's own key.
 *
 * A record is a CBOR list of fields in a fixed order. It has no field names, because the size of
 * stored values is limited and many jobs may be submitted at once. Readers ignore entries after
 * those that they know. Pure functions without shared state: any thread may call them.
 */
#ifndef TMX_JOB_RECORD_H
#define TMX_JOB_RECORD_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "replica/job.h"

/** A decoded job record. */
struct tmx_job_record {
  char id[TMX_ID_BYTES];    /**< the job's id */
  struct tmx_job_spec spec; /**< specification from the submission */
  double submitted_at;      /**< when it was submitted, wall clock, seconds */
  double ended_at;  /**< when its final state was written, wall clock, seconds; 0: unknown */
  uint64_t outcome; /**< enum tmx_job_outcome */
  uint64_t n_prerequisites;            /**< number of its prerequisites */
  const cbor_item_t *prerequisite_ids; /**< text with the first of their ids; NULL: none; owned by
                                          the decoded item */
};

/** Appends a job's record without dependency fields, which every release can read. `submitted` is
 * in seconds of the wall clock, `outcome` an enum tmx_job_outcome. */
void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_job_spec *spec,
                    double submitted, int outcome);

/**
 * Appends the record of an open job with as many ids of its prerequisites as the size limit allows.
 * The caller writes the other ids as log lines, see tmx_dependency_line_print().
 * @param buffer receives the record at its end; owned by the caller.
 * @param id the job's id.
 * @param spec the job's specification.
 * @param submitted when it was submitted, wall clock, seconds.
 * @param ids the ids of its prerequisites.
 * @param max_json_bytes maximum size of the record in JSON form, bytes.
 * @return number of ids written.
 */
uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id,
                             const struct tmx_job_spec *spec, double submitted,
                             const struct tmx_job_ids *ids, size_t max_json_bytes);

/**
 * Number of the job's machine types that fit into a record of at most `max_json_bytes` bytes in
 * JSON form. If the job names types, at least one is always counted. The caller writes the other
 * types as log lines, see tmx_permitted_type_line_print(). An older release that ignores these
 * lines treats the job as one that permits fewer types.
 */
size_t tmx_job_count_types_that_fit(const char *id, const struct tmx_job_spec *spec,
                                    double submitted, const struct tmx_job_ids *ids,
                                    size_t max_json_bytes);

/**
 * Appends the record of a job with a final state. If the record would exceed the size limit, fields
 * that are no longer used are left empty.
 * @param buffer receives the record at its end; owned by the caller.
 * @param job the job.
 * @param outcome its final state: enum tmx_job_outcome.
 * @param ended when the final state was written, wall clock, seconds; 0 omits the field.
 * @param max_json_bytes maximum size of the record in JSON form, bytes.
 */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *job, int outcome,
                          double ended, size_t max_json_bytes);

/** Decodes a record. @return false if it is malformed. */
bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *record);
#endif
