/* A compaction has low priority: it performs a step only if the write budget has spare puts. Once
 * the compaction point has moved, batches up to it are obsolete and their keys are reused. */
#include "store/compaction.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "store/snapshot_writer.h"

enum compaction_state {
  COMPACTION_IDLE,
  COMPACTION_WRITING_PAGES,
  COMPACTION_MOVING_POINT,
  COMPACTION_DELETING_PAGES, /* deletes the pages of all other compactions */
};

struct tmx_compaction {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  struct tmx_snapshot_writer *writer;
  enum compaction_state state;
  bool transaction_in_flight;
  size_t key_threshold;   /* a compaction starts above this number of batch keys */
  double checked_at;      /* time of the latest check of the threshold, steady clock, s */
  uint64_t point;         /* the new compaction point: the snapshot covers all batches up to this
                             revision */
  uint64_t point_version; /* version of the compaction key when the compaction started; 0: no key */
};

struct tmx_compaction *tmx_compaction_new(const struct tmx_settings *settings,
                                          struct tmx_replica *replica, struct tmx_store *store) {
  struct tmx_compaction *compaction = tmx_allocate(1, sizeof *compaction);
  compaction->settings = settings;
  compaction->replica = replica;
  compaction->store = store;
  compaction->writer = tmx_snapshot_writer_new(settings, replica);
  compaction->key_threshold = TMX_COMPACTION_BATCH_KEYS;
  return compaction;
}

void tmx_compaction_free(struct tmx_compaction *compaction) {
  tmx_snapshot_writer_free(compaction->writer);
  free(compaction);
}

void tmx_compaction_set_threshold(struct tmx_compaction *compaction, size_t keys) {
  compaction->key_threshold = keys;
}

/* Returns the maximum number of puts in the next transaction; may be negative. */
static int max_puts(const struct tmx_compaction *compaction) {
  int budget = (int)tmx_store_write_budget(compaction->store);
  return budget > compaction->settings->txn_ops ? compaction->settings->txn_ops : budget;
}

static void send_transaction(struct tmx_compaction *compaction, struct tmx_transaction *transaction,
                             tmx_transaction_cb on_response) {
  compaction->transaction_in_flight =
      tmx_store_commit(compaction->store, transaction, true, on_response, compaction);
}

/* Counts the batches that are newer than the compaction point. */
static size_t count_batches(const struct tmx_replica *replica) {
  const struct tmx_log_key *key, *next_key;
  size_t n = 0;
  HASH_ITER(hh, replica->batch_keys, key, next_key) n += key->version > replica->compaction_point;
  return n;
}

/* Checks once per second whether there are enough batches to start a compaction. */
static void begin_if_due(struct tmx_compaction *compaction) {
  double now = tmx_clock_steady();
  if (now - compaction->checked_at < 1) return;
  compaction->checked_at = now;
  size_t n_batches = count_batches(compaction->replica);
  if (n_batches <= compaction->key_threshold) return;
  tmx_snapshot_writer_begin(compaction->writer);
  compaction->point = tmx_snapshot_writer_generation(compaction->writer);
  compaction->point_version = compaction->replica->compaction_version;
  compaction->state = COMPACTION_WRITING_PAGES;
  tmx_log(TMX_LOG_INFO, "compaction: %zu machines, %zu jobs, %zu batches",
          tmx_snapshot_writer_machine_count(compaction->writer),
          tmx_snapshot_writer_job_count(compaction->writer), n_batches);
}

static void on_pages_response(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_compaction *compaction = arg;
  (void)revision;
  compaction->transaction_in_flight = false;
  if (result == TMX_TRANSACTION_COMMITTED)
    tmx_snapshot_writer_mark_pages_committed(compaction->writer);
}

static void write_pages(struct tmx_compaction *compaction) {
  struct tmx_transaction transaction = {0};
  switch (tmx_snapshot_writer_add_pages(compaction->writer, &transaction, max_puts(compaction))) {
    case TMX_SNAPSHOT_PAGES_ADDED:
      send_transaction(compaction, &transaction, on_pages_response);
      return;
    case TMX_SNAPSHOT_COMPLETE:
      compaction->state = COMPACTION_MOVING_POINT;
      break;
    case TMX_SNAPSHOT_ITEM_TOO_LARGE:
      tmx_log(TMX_LOG_ERROR,
              "compaction: abandoned at job %s: the next item exceeds the maximum size of a value",
              tmx_snapshot_writer_next_job_id(compaction->writer));
      compaction->state = COMPACTION_IDLE;
      break;
    case TMX_SNAPSHOT_NO_BUDGET:
      break;
  }
  tmx_buffer_free(&transaction.conditions);
  tmx_buffer_free(&transaction.operations);
}

/* Unless the result is that the transaction was committed, this compaction ends and the next one
 * starts with a new snapshot. One cause is that another leader has moved the compaction point. */
static void on_point_response(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_compaction *compaction = arg;
  (void)revision;
  compaction->transaction_in_flight = false;
  compaction->state =
      result == TMX_TRANSACTION_COMMITTED ? COMPACTION_DELETING_PAGES : COMPACTION_IDLE;
}

static void move_point(struct tmx_compaction *compaction) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_transaction_require_version(&transaction, TMX_KEY_COMPACTION, compaction->point_version);
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_u64_field(&value, "mark", compaction->point);
  tmx_cbor_put_u64_field(&value, "gen", compaction->point);
  tmx_transaction_put(&transaction, TMX_KEY_COMPACTION, &value, 0);
  tmx_buffer_free(&value);
  send_transaction(compaction, &transaction, on_point_response);
}

static void on_deletion_response(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_compaction *compaction = arg;
  (void)result;
  (void)revision;
  compaction->transaction_in_flight = false;
}

/* Returns whether the page belongs to another compaction than the one that is in force. */
static bool is_obsolete_page(const struct tmx_replica *replica, const struct tmx_log_key *key) {
  unsigned long long generation;
  return sscanf(key->key + strlen(TMX_KEY_PAGE), "%llx", &generation) == 1 &&
         generation != replica->compaction_generation;
}

/* Deletes obsolete pages, and ends the compaction if none remains. The condition on the compaction
 * key ensures that the point has not moved again; otherwise the pages might belong to the
 * compaction that is now in force. */
static void delete_pages(struct tmx_compaction *compaction) {
  struct tmx_transaction transaction = {0};
  const struct tmx_replica *replica = compaction->replica;
  const struct tmx_log_key *key, *next_key;
  if (replica->compaction_generation != compaction->point)
    return; /* the replica does not contain the new point yet */
  int max_deletions = max_puts(compaction);
  tmx_transaction_require_version(&transaction, TMX_KEY_COMPACTION, replica->compaction_version);
  HASH_ITER(hh, replica->page_keys, key, next_key) {
    if (transaction.n_operations < max_deletions && is_obsolete_page(replica, key))
      tmx_transaction_delete(&transaction, key->key);
  }
  if (transaction.n_operations) {
    send_transaction(compaction, &transaction, on_deletion_response);
    return;
  }
  tmx_buffer_free(&transaction.conditions);
  compaction->state = COMPACTION_IDLE;
}

void tmx_compaction_tick(struct tmx_compaction *compaction) {
  if (compaction->transaction_in_flight) return;
  if (!tmx_store_is_leader(compaction->store) || !compaction->replica->loaded) {
    compaction->state = COMPACTION_IDLE;
    return;
  }
  if (!tmx_store_has_housekeeping_budget(compaction->store)) return;
  if (compaction->state == COMPACTION_IDLE) begin_if_due(compaction);
  switch (compaction->state) {
    case COMPACTION_IDLE:
      break;
    case COMPACTION_WRITING_PAGES:
      write_pages(compaction);
      break;
    case COMPACTION_MOVING_POINT:
      move_point(compaction);
      break;
    case COMPACTION_DELETING_PAGES:
      delete_pages(compaction);
      break;
  }
}
