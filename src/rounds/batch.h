/* A batch in the making: values of bounded size, and the puts that hold them. */
#ifndef TMX_BATCH_H
#define TMX_BATCH_H
#include "rounds/internal.h"

struct tmx_batch {
  struct tmx_rounds *p;
  struct tmx_transaction t;
  struct tmx_buffer list, jobs, v;
  size_t lines, n_jobs;
  bool grouped;                  /* operations of one job share lines */
  char group[TMX_LINE_MAX];      /* the line that grows; empty: none */
  struct tmx_operation group_op; /* ... its first operation */
  size_t value, value_max, txn;  /* of this value, at most, and of all before it; as JSON */
  int spare;                     /* puts that may still be used, head aside */
};

/* Is there room for n more bytes (as JSON), and more_puts besides; false: the batch is full. */
bool tmx_batch_fits(struct tmx_batch *b, size_t n, int more_puts);
/* Appends a line, or an operation that may share a line with those before it; false: no room. */
bool tmx_batch_line(struct tmx_batch *b, const char *line, int more_puts);
bool tmx_batch_op(struct tmx_batch *b, const struct tmx_operation *operation, int more_puts);
/* Ends the value at hand. */
void tmx_batch_flush(struct tmx_batch *b);
#endif
