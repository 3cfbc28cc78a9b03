/**
 * @file
 * The record of a job: its stored form, in batches, pages and the job's own key.
 *
 * A record is a CBOR list in a fixed order, since values are small and many jobs may come at once.
 * Readers pass over entries behind those that they know. Pure functions without shared state: any
 * thread may call them.
 */
#ifndef TMX_JOB_RECORD_H
#define TMX_JOB_RECORD_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/cbor.h"
#include "replica/job.h"

/** A job as its record tells of it. */
struct tmx_job_record {
  char id[TMX_ID_BYTES];     /**< the job's id */
  struct tmx_job_spec spec;  /**< what its owner asked for */
  double submitted_at;       /**< time of day, s */
  double ended_at;           /**< time of day, s; 0: not known */
  uint64_t outcome;          /**< enum tmx_job_outcome */
  uint64_t n_awaits;         /**< how many other jobs it names */
  const cbor_item_t *awaits; /**< text: the first of their ids; NULL: none; part of the item read */
};

/** Appends a job's record without dependencies, in the form that every version reads. */
void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_job_spec *spec,
                    double submitted, int outcome);

/**
 * Appends the record of an open job with as many of the ids that it names as `room` leaves. The
 * other ids follow in lines, see tmx_dependency_line_print().
 * @param buffer receives the record at its end; owned by the caller.
 * @param id the job's id.
 * @param spec the job's specification.
 * @param submitted time of day, s.
 * @param ids the jobs that it names.
 * @param room bytes as JSON that the record may take.
 * @return how many ids were written.
 */
uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id,
                             const struct tmx_job_spec *spec, double submitted,
                             const struct tmx_job_ids *ids, size_t room);

/**
 * How many of its machine types a record in `room` bytes as JSON can name, at least one. The other
 * types follow in lines, see tmx_permitted_type_line_print(); a version that passes over these
 * takes the job for one that permits fewer types.
 */
size_t tmx_job_types_within(const char *id, const struct tmx_job_spec *spec, double submitted,
                            const struct tmx_job_ids *ids, size_t room);

/**
 * Appends the record of a job that is over. If it exceeds `room` bytes as JSON, only what still
 * counts is kept.
 * @param buffer receives the record at its end; owned by the caller.
 * @param job the job.
 * @param outcome its final state: enum tmx_job_outcome.
 * @param ended time of day, s; 0 leaves it out.
 * @param room bytes as JSON that the record may take.
 */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *job, int outcome,
                          double ended, size_t room);

/** Reads a record. @return false if it is malformed. */
bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *record);
#endif
