#include "scheduler/log_batch.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

/* Operations share lines only once dependencies are in use: the version in production cannot read
 * shared lines, see docs/design.md. */
void tmx_log_batch_begin(struct tmx_log_batch *batch, struct tmx_scheduler *scheduler,
                         int max_writes) {
  memset(batch, 0, sizeof *batch);
  batch->scheduler = scheduler;
  batch->value_json_max = tmx_value_json_length_max(scheduler->settings);
  batch->grouping_enabled = scheduler->replica->dependencies_in_use;
  batch->writes_left = max_writes;
  tmx_transaction_require_version(&batch->transaction, TMX_KEY_HEAD,
                                  scheduler->replica->head_version);
}

void tmx_log_batch_free_buffers(struct tmx_log_batch *batch) {
  tmx_buffer_free(&batch->lines);
  tmx_buffer_free(&batch->job_records);
  tmx_buffer_free(&batch->value_buffer);
}

/* Picks the key for the next batch. The keys of batches that a compaction has copied into snapshot
 * pages are overwritten rather than deleted, since a deletion costs as much as a put. */
static void next_batch_key(struct tmx_scheduler *scheduler, char *key, size_t capacity) {
  const struct tmx_replica *replica = scheduler->replica;
  const struct tmx_log_key *existing;
  if (scheduler->key_compaction_point != replica->compaction_point) {
    scheduler->key_compaction_point = replica->compaction_point;
    scheduler->next_key_number = 0;
  }
  do {
    snprintf(key, capacity, TMX_KEY_BATCH "%s/%06llx", scheduler->settings->node_name,
             (unsigned long long)scheduler->next_key_number++);
    HASH_FIND_STR(replica->batch_keys, key, existing);
  } while (existing && existing->version > replica->compaction_point);
}

static void append_line(struct tmx_log_batch *batch, const char *line) {
  if (tmx_log_enabled(TMX_LOG_DEBUG)) tmx_log(TMX_LOG_DEBUG, "log line: %s", line);
  tmx_cbor_put_text(&batch->lines, line);
  batch->n_lines++;
}

static void end_group(struct tmx_log_batch *batch) {
  if (!batch->group_line[0]) return;
  append_line(batch, batch->group_line);
  batch->group_line[0] = 0;
}

void tmx_log_batch_end_value(struct tmx_log_batch *batch) {
  char key[TMX_KEY_MAX + 1];
  end_group(batch);
  if (!batch->n_lines && !batch->n_job_records) return;
  batch->value_buffer.length = 0;
  tmx_log_value_encode(&batch->value_buffer, &batch->job_records, batch->n_job_records,
                       &batch->lines, batch->n_lines);
  next_batch_key(batch->scheduler, key, sizeof key);
  tmx_transaction_put(&batch->transaction, key, &batch->value_buffer, 0);
  batch->lines.length = batch->job_records.length = 0;
  batch->n_lines = batch->n_job_records = 0;
  batch->transaction_json_length += batch->value_json_length + TMX_JSON_OVERHEAD_BYTES;
  batch->value_json_length = 0;
  batch->writes_left--;
}

/* The store rejects a value above the limit on every retry, which would block the log. */
bool tmx_log_batch_fits(struct tmx_log_batch *batch, size_t length, int extra_puts) {
  size_t total = batch->transaction_json_length + batch->value_json_length + length +
                 (size_t)batch->transaction.n_conditions * TMX_JSON_OVERHEAD_BYTES;
  if (total > TMX_TRANSACTION_JSON_BYTES_MAX) return false;
  if (batch->value_json_length + length > batch->value_json_max) tmx_log_batch_end_value(batch);
  return batch->writes_left - extra_puts >= 1;
}

void tmx_log_batch_add_job(struct tmx_log_batch *batch, const struct tmx_buffer *record,
                           size_t json_length) {
  tmx_buffer_append(&batch->job_records, record->data, record->length);
  batch->value_json_length += json_length;
  batch->n_job_records++;
}

/* Returns the bytes of the line as JSON, including the comma after it. */
static size_t line_length(const char *line) { return tmx_json_text_length(line, strlen(line)) + 1; }

bool tmx_log_batch_add_line(struct tmx_log_batch *batch, const char *line, int extra_puts) {
  size_t length = line_length(line);
  end_group(batch);
  if (!tmx_log_batch_fits(batch, length, extra_puts)) return false;
  batch->value_json_length += length;
  append_line(batch, line);
  return true;
}

/* Adds the operation to the shared line. Returns false if the operation cannot join this line. */
static bool join_group(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                       const char *item, int extra_puts) {
  size_t length = tmx_json_text_length(item, strlen(item)), used = strlen(batch->group_line);
  if (!used || !tmx_operation_same_group(&batch->group_first, operation)) return false;
  if (used + strlen(item) >= sizeof batch->group_line) return false;
  if (batch->value_json_length + length > batch->value_json_max) return false;
  if (!tmx_log_batch_fits(batch, length, extra_puts)) return false;
  strcpy(batch->group_line + used, item);
  batch->value_json_length += length;
  return true;
}

/* Begins a shared line with the operation. Returns false if the batch is full. */
static bool begin_group(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                        const char *item, int extra_puts) {
  char line[TMX_LOG_LINE_BYTES];
  end_group(batch);
  int head_length = tmx_operation_group_head_print(line, sizeof line, operation);
  snprintf(line + head_length, sizeof line - (size_t)head_length, "%s", item);
  size_t length = line_length(line);
  if (!tmx_log_batch_fits(batch, length, extra_puts)) return false;
  strcpy(batch->group_line, line);
  batch->group_first = *operation;
  batch->value_json_length += length;
  return true;
}

bool tmx_log_batch_add_operation(struct tmx_log_batch *batch, const struct tmx_operation *operation,
                                 int extra_puts) {
  char text[TMX_LOG_LINE_BYTES];
  if (!batch->grouping_enabled || !tmx_operation_can_group(operation)) {
    tmx_operation_print(text, sizeof text, operation);
    return tmx_log_batch_add_line(batch, text, extra_puts);
  }
  tmx_operation_group_item_print(text, sizeof text, operation);
  return join_group(batch, operation, text, extra_puts) ||
         begin_group(batch, operation, text, extra_puts);
}

void tmx_log_batch_put_outcome(struct tmx_log_batch *batch, const struct tmx_job *job, int outcome,
                               double ended_at) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", job->id);
  tmx_transaction_require_version(&batch->transaction, key, job->version);
  batch->value_buffer.length = 0;
  tmx_job_encode_final(&batch->value_buffer, job, outcome, ended_at,
                       tmx_value_json_length_max(batch->scheduler->settings));
  tmx_transaction_put(&batch->transaction, key, &batch->value_buffer, 0);
}
