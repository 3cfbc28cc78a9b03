/* Values and lines of a batch, within the limits of the state service. */
#include "rounds/batch.h"

#include <stdio.h>
#include <string.h>

#include "net/log.h"

/* Keys are written over once a fold has taken their batches into its pages: nothing has to be
 * dropped, which would cost as much as a put. */
static void next_key(struct tmx_rounds *p, char *key, size_t cap) {
  const struct tmx_replica *replica = &p->c->rep;
  struct tmx_log_key *k;
  if (p->key_mark != replica->compaction_point) {
    p->key_mark = replica->compaction_point;
    p->key_seq = 0;
  }
  do {
    snprintf(key, cap, TMX_KEY_BATCH "%s/%06llx", p->c->set.node, (unsigned long long)p->key_seq++);
    HASH_FIND_STR(replica->batch_keys, key, k);
  } while (k && k->version > replica->compaction_point);
}

static void end_group(struct tmx_batch *b) {
  if (!b->group[0]) return;
  if (tmx_log_enabled(TMX_LOG_DEBUG)) tmx_log(TMX_LOG_DEBUG, "op: %s", b->group);
  tmx_cbor_put_text(&b->list, b->group);
  b->lines++;
  b->group[0] = 0;
}

void tmx_batch_flush(struct tmx_batch *b) {
  char key[TMX_KEY_MAX + 1];
  end_group(b);
  if (!b->lines && !b->n_jobs) return;
  b->v.length = 0;
  tmx_log_value_encode(&b->v, &b->jobs, b->n_jobs, &b->list, b->lines);
  next_key(b->p, key, sizeof key);
  tmx_transaction_put(&b->t, key, &b->v, 0);
  b->list.length = b->jobs.length = 0;
  b->lines = b->n_jobs = 0;
  b->txn += b->value + TMX_JSON_FRAME;
  b->value = 0;
  b->spare--;
}

/* Room for n more bytes in a value that is not full; false: the batch is full. Limits are counted
 * as JSON: a value that is larger would be refused again and again, and hold up the log. */
bool tmx_batch_fits(struct tmx_batch *b, size_t n, int more_puts) {
  size_t all = b->txn + b->value + n + (size_t)b->t.n_conditions * TMX_JSON_FRAME;
  if (all > TMX_TXN_BYTES) return false;
  if (b->value + n > b->value_max) tmx_batch_flush(b);
  return b->spare - more_puts >= 1;
}

bool tmx_batch_line(struct tmx_batch *b, const char *line, int more_puts) {
  size_t len = tmx_json_text_length(line, strlen(line)) + 1;
  end_group(b);
  if (!tmx_batch_fits(b, len, more_puts)) return false;
  b->value += len;
  if (tmx_log_enabled(TMX_LOG_DEBUG)) tmx_log(TMX_LOG_DEBUG, "op: %s", line);
  tmx_cbor_put_text(&b->list, line);
  b->lines++;
  return true;
}

/* The operation joins the line before it; false: it begins another. */
static bool join_group(struct tmx_batch *b, const struct tmx_operation *operation, const char *item,
                       int more_puts) {
  size_t len = tmx_json_text_length(item, strlen(item)), used = strlen(b->group);
  if (!used || !tmx_operation_same_group(&b->group_op, operation)) return false;
  if (used + strlen(item) >= sizeof b->group || b->value + len > b->value_max) return false;
  if (!tmx_batch_fits(b, len, more_puts)) return false;
  strcpy(b->group + used, item);
  b->value += len;
  return true;
}

bool tmx_batch_op(struct tmx_batch *b, const struct tmx_operation *operation, int more_puts) {
  char line[TMX_LINE_MAX], item[TMX_LINE_MAX];
  if (!b->grouped || !tmx_operation_can_group(operation)) {
    tmx_operation_print(line, sizeof line, operation);
    return tmx_batch_line(b, line, more_puts);
  }
  tmx_operation_group_item_print(item, sizeof item, operation);
  if (join_group(b, operation, item, more_puts)) return true;
  end_group(b);
  int head = tmx_operation_group_head_print(line, sizeof line, operation);
  snprintf(line + head, sizeof line - (size_t)head, "%s", item);
  size_t len = tmx_json_text_length(line, strlen(line)) + 1;
  if (!tmx_batch_fits(b, len, more_puts)) return false;
  strcpy(b->group, line);
  b->group_op = *operation;
  b->value += len;
  return true;
}
