/**
 * @file
 * Builds a batch of the log: puts whose values contain job records and lines. The batch respects
 * the limits of the store for a value and for a transaction.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_LOG_BATCH_H
#define TMX_LOG_BATCH_H
#include "replica/operation_check.h"
#include "scheduler/scheduler_internal.h"

/** A batch under construction. */
struct tmx_log_batch {
  struct tmx_scheduler *scheduler;    /**< provides the replica and the settings; not owned */
  struct tmx_transaction transaction; /**< conditions, and the puts of complete values */
  /** @name The value under construction
   * Lengths are bytes of the equivalent JSON, as the store's limits count them. */
  /** @{ */
  struct tmx_buffer job_records; /**< encoded job records */
  struct tmx_buffer lines;       /**< encoded lines */
  size_t n_job_records,          /**< number of records in `job_records` */
      n_lines;                   /**< number of lines in `lines` */
  size_t value_json_length,      /**< bytes of the records and lines, including `group_line` */
      value_json_max;            /**< limit of `value_json_length`, bytes */
  /** @} */
  size_t transaction_json_length; /**< bytes of all complete values, as JSON */
  int writes_left;       /**< puts that the batch may still add, besides that of the head key */
  bool grouping_enabled; /**< operations of one job may share a line */
  char group_line[TMX_LOG_LINE_BYTES]; /**< shared line under construction; empty: none */
  struct tmx_operation group_first;    /**< first operation of `group_line` */
  struct tmx_buffer value_buffer;      /**< scratch buffer for encoding a value */
};

/** Begins a batch of at most `max_writes` puts besides the put of the head key. The batch requires
 * the head key to have the version that the replica contains. */
void tmx_log_batch_begin(struct tmx_log_batch *batch, struct tmx_scheduler *scheduler,
                         int max_writes);
/** Frees the buffers of the batch; the transaction remains. */
void tmx_log_batch_free_buffers(struct tmx_log_batch *batch);
/** Returns whether `length` more bytes (as JSON) and `extra_puts` separate puts fit into the batch.
 * Ends the value under construction if the bytes do not fit into it. Returns false if the batch is
 * full. */
bool tmx_log_batch_fits(struct tmx_log_batch *batch, size_t length, int extra_puts);
/** Appends a line. Returns false if the line and `extra_puts` puts do not fit into the batch. */
bool tmx_log_batch_add_line(struct tmx_log_batch *batch, const char *line, int extra_puts);
/** Appends an operation, which may share a line with preceding ones. Returns false if the operation
 * and `extra_puts` puts do not fit into the batch. */
bool tmx_log_batch_add_operation(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                                 int extra_puts);
/** Appends an encoded job record of `json_length` bytes as JSON. The caller has checked with
 * tmx_log_batch_fits() that it fits. */
void tmx_log_batch_add_job(struct tmx_log_batch *batch, const struct tmx_buffer *record,
                           size_t json_length);
/**
 * Adds a put of the job's final state under the job's own key, and the condition that this key has
 * not changed. Does not change `writes_left`.
 * @param batch     receives the put and the condition
 * @param job       the job that has ended
 * @param outcome   a value of enum tmx_job_outcome
 * @param ended_at  time of day, s; 0: the time is not stored
 */
void tmx_log_batch_put_outcome(struct tmx_log_batch *batch, const struct tmx_job *job, int outcome,
                               double ended_at);
/** Ends the value under construction and adds its put, unless the value is empty. */
void tmx_log_batch_end_value(struct tmx_log_batch *batch);
#endif
