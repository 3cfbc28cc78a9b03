/* A batch in the making: values of bounded size, and the puts that hold them. */
#ifndef TMX_LOG_BATCH_H
#define TMX_LOG_BATCH_H
#include "scheduler/scheduler_internal.h"

struct tmx_log_batch {
  struct tmx_scheduler *scheduler;
  struct tmx_transaction transaction;
  struct tmx_buffer operations, jobs, value_buffer;
  size_t n_lines, n_jobs;
  bool grouped;                     /* operations of one job share lines */
  char group_line[TMX_LINE_MAX];    /* the line that grows; empty: none */
  struct tmx_operation group_first; /* ... its first operation */
  size_t value_json_length, value_json_max,
      transaction_json_length; /* of this value, at most, and of all before it; as JSON */
  int writes_left;             /* puts that may still be used, head aside */
};

/* Is there room for n more bytes (as JSON), and more_puts besides; false: the batch is full. */
bool tmx_log_batch_fits(struct tmx_log_batch *batch, size_t n, int more_puts);
/* Appends a line, or an operation that may share a line with those before it; false: no room. */
bool tmx_log_batch_add_line(struct tmx_log_batch *batch, const char *line, int more_puts);
bool tmx_log_batch_add_operation(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                                 int more_puts);
/* Ends the value at hand. */
void tmx_log_batch_end_value(struct tmx_log_batch *batch);
#endif
