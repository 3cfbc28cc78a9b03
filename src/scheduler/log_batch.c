/* Values and lines of a batch, within the limits of the state service. */
#include "scheduler/log_batch.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

/* Keys are written over once a fold has taken their batches into its pages: nothing has to be
 * dropped, which would cost as much as a put. */
static void next_key(struct tmx_scheduler *scheduler, char *key, size_t cap) {
  const struct tmx_replica *replica = scheduler->replica;
  struct tmx_log_key *k;
  if (scheduler->key_compaction_point != replica->compaction_point) {
    scheduler->key_compaction_point = replica->compaction_point;
    scheduler->next_key_number = 0;
  }
  do {
    snprintf(key, cap, TMX_KEY_BATCH "%s/%06llx", scheduler->settings->node_name,
             (unsigned long long)scheduler->next_key_number++);
    HASH_FIND_STR(replica->batch_keys, key, k);
  } while (k && k->version > replica->compaction_point);
}

static void end_group(struct tmx_log_batch *batch) {
  if (!batch->group_line[0]) return;
  if (tmx_log_enabled(TMX_LOG_DEBUG)) tmx_log(TMX_LOG_DEBUG, "op: %s", batch->group_line);
  tmx_cbor_put_text(&batch->operations, batch->group_line);
  batch->n_lines++;
  batch->group_line[0] = 0;
}

void tmx_log_batch_end_value(struct tmx_log_batch *batch) {
  char key[TMX_KEY_MAX + 1];
  end_group(batch);
  if (!batch->n_lines && !batch->n_jobs) return;
  batch->value_buffer.length = 0;
  tmx_log_value_encode(&batch->value_buffer, &batch->jobs, batch->n_jobs, &batch->operations,
                       batch->n_lines);
  next_key(batch->scheduler, key, sizeof key);
  tmx_transaction_put(&batch->transaction, key, &batch->value_buffer, 0);
  batch->operations.length = batch->jobs.length = 0;
  batch->n_lines = batch->n_jobs = 0;
  batch->transaction_json_length += batch->value_json_length + TMX_JSON_FRAME;
  batch->value_json_length = 0;
  batch->writes_left--;
}

/* Room for n more bytes in a value that is not full; false: the batch is full. Limits are counted
 * as JSON: a value that is larger would be refused again and again, and hold up the log. */
bool tmx_log_batch_fits(struct tmx_log_batch *batch, size_t n, int more_puts) {
  size_t all = batch->transaction_json_length + batch->value_json_length + n +
               (size_t)batch->transaction.n_conditions * TMX_JSON_FRAME;
  if (all > TMX_TRANSACTION_BYTES) return false;
  if (batch->value_json_length + n > batch->value_json_max) tmx_log_batch_end_value(batch);
  return batch->writes_left - more_puts >= 1;
}

bool tmx_log_batch_add_line(struct tmx_log_batch *batch, const char *line, int more_puts) {
  size_t len = tmx_json_text_length(line, strlen(line)) + 1;
  end_group(batch);
  if (!tmx_log_batch_fits(batch, len, more_puts)) return false;
  batch->value_json_length += len;
  if (tmx_log_enabled(TMX_LOG_DEBUG)) tmx_log(TMX_LOG_DEBUG, "op: %s", line);
  tmx_cbor_put_text(&batch->operations, line);
  batch->n_lines++;
  return true;
}

/* The operation joins the line before it; false: it begins another. */
static bool join_group(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                       const char *item, int more_puts) {
  size_t len = tmx_json_text_length(item, strlen(item)), used = strlen(batch->group_line);
  if (!used || !tmx_operation_same_group(&batch->group_first, operation)) return false;
  if (used + strlen(item) >= sizeof batch->group_line ||
      batch->value_json_length + len > batch->value_json_max)
    return false;
  if (!tmx_log_batch_fits(batch, len, more_puts)) return false;
  strcpy(batch->group_line + used, item);
  batch->value_json_length += len;
  return true;
}

bool tmx_log_batch_add_operation(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                                 int more_puts) {
  char line[TMX_LINE_MAX], item[TMX_LINE_MAX];
  if (!batch->grouped || !tmx_operation_can_group(operation)) {
    tmx_operation_print(line, sizeof line, operation);
    return tmx_log_batch_add_line(batch, line, more_puts);
  }
  tmx_operation_group_item_print(item, sizeof item, operation);
  if (join_group(batch, operation, item, more_puts)) return true;
  end_group(batch);
  int head = tmx_operation_group_head_print(line, sizeof line, operation);
  snprintf(line + head, sizeof line - (size_t)head, "%s", item);
  size_t len = tmx_json_text_length(line, strlen(line)) + 1;
  if (!tmx_log_batch_fits(batch, len, more_puts)) return false;
  strcpy(batch->group_line, line);
  batch->group_first = *operation;
  batch->value_json_length += len;
  return true;
}
