/**
 * @file
 * A log batch under construction: puts whose values hold job records and lines, within the limits
 * of the state service for a value and for a transaction. Loop's thread only.
 */
#ifndef TMX_LOG_BATCH_H
#define TMX_LOG_BATCH_H
#include "replica/operation_check.h"
#include "scheduler/scheduler_internal.h"

/** A batch under construction. */
struct tmx_log_batch {
  struct tmx_scheduler *scheduler;    /**< whose replica and settings it goes by; not owned */
  struct tmx_transaction transaction; /**< the values that are complete */
  /** @name The value under construction
   * Lengths are counted as JSON, which is how the limits count. */
  /** @{ */
  struct tmx_buffer jobs;       /**< encoded job records */
  struct tmx_buffer operations; /**< encoded lines */
  size_t n_jobs,                /**< records in `jobs` */
      n_lines;                  /**< lines in `operations` */
  size_t value_json_length,     /**< bytes of the records and lines, with the line that grows */
      value_json_max;           /**< limit of `value_json_length`, bytes */
  /** @} */
  size_t transaction_json_length;   /**< bytes of all values that are complete */
  int writes_left;                  /**< puts that may still be used, the one of head aside */
  bool grouped;                     /**< operations of one job may share lines */
  char group_line[TMX_LINE_MAX];    /**< the line that grows; empty: none */
  struct tmx_operation group_first; /**< first operation of `group_line` */
  struct tmx_buffer value_buffer;   /**< where values are encoded */
};

/** Begins a batch of at most `max_writes` puts beside the one of head, conditional on the head that
 * the replica holds. */
void tmx_log_batch_begin(struct tmx_log_batch *batch, struct tmx_scheduler *scheduler,
                         int max_writes);
/** Frees the buffers; the transaction remains. */
void tmx_log_batch_free_buffers(struct tmx_log_batch *batch);
/** Whether `length` more bytes (as JSON) have room, and `more_puts` puts besides. Ends the present
 * value if they need another one. false: the batch is full. */
bool tmx_log_batch_fits(struct tmx_log_batch *batch, size_t length, int more_puts);
/** Appends a line; false: it has no room. */
bool tmx_log_batch_add_line(struct tmx_log_batch *batch, const char *line, int more_puts);
/** Appends an operation, which may share a line with those before it; false: it has no room. */
bool tmx_log_batch_add_operation(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                                 int more_puts);
/** Appends an encoded job record, for which there must be room. */
void tmx_log_batch_add_job(struct tmx_log_batch *batch, const struct tmx_buffer *record,
                           size_t json_length);
/** Puts the job's final state under the job's own key, on the condition that its record did not
 * change. `ended_at`: time of day, s; 0: not stored. */
void tmx_log_batch_put_outcome(struct tmx_log_batch *batch, const struct tmx_job *job, int outcome,
                               double ended_at);
/** Ends the value under construction, if anything is in it. */
void tmx_log_batch_end_value(struct tmx_log_batch *batch);
#endif
