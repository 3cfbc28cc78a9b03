#include "scheduler/round_commit.h"

#include "base/log.h"
#include "scheduler/pending_lines.h"
#include "scheduler/round_batch.h"
#include "scheduler/round_timing.h"
#include "scheduler/submission_queue.h"

static void on_batch_result(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_scheduler *scheduler = arg;
  bool committed = result == TMX_TRANSACTION_COMMITTED;
  scheduler->batch_in_flight = false;
  tmx_scheduler_await_revision(scheduler, revision);
  tmx_submission_queue_handle_batch_result(scheduler, result);
  if (result == TMX_TRANSACTION_CONFLICT && ++scheduler->n_resends <= TMX_BATCH_RESENDS_MAX) {
    /* the plan is checked again against the newer state and sent again */
    tmx_scheduler_trigger_within(scheduler, 0.05);
    return;
  }
  if (committed)
    tmx_pending_lines_committed(scheduler);
  else if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "round: batch not committed, transaction result %d", result);
  double next_round_within_s = scheduler->plan.truncated ? 0 : TMX_ROUND_SPACING_MIN_S;
  tmx_scheduler_end_round(scheduler);
  tmx_scheduler_trigger_within(scheduler,
                               committed ? next_round_within_s : TMX_STORE_RETRY_DELAY_S);
}

static void end_empty_round(struct tmx_scheduler *scheduler, struct tmx_transaction *transaction) {
  bool truncated = scheduler->plan.truncated;
  tmx_buffer_free(&transaction->conditions);
  tmx_buffer_free(&transaction->operations);
  tmx_scheduler_end_round(scheduler);
  if (truncated) tmx_scheduler_trigger_within(scheduler, TMX_EMPTY_ROUND_RETRY_DELAY_S);
}

static void log_batch_summary(const struct tmx_scheduler *scheduler,
                              const struct tmx_round_batch *batch) {
  if (!tmx_log_enabled(TMX_LOG_DEBUG)) return;
  tmx_log(TMX_LOG_DEBUG,
          "round: %zu completions, %zu of %zu planned operations sent, %zu visits, %d puts, %d "
          "conflicts",
          scheduler->n_completions, batch->n_planned_operations, scheduler->plan.n_operations,
          scheduler->plan.visits, batch->log_batch.transaction.n_operations, scheduler->n_resends);
}

static void send_batch(struct tmx_scheduler *scheduler, struct tmx_round_batch *batch) {
  struct tmx_transaction *transaction = &batch->log_batch.transaction;
  tmx_transaction_advance_head(transaction, scheduler->settings->node_name);
  log_batch_summary(scheduler, batch);
  scheduler->sent_head_version = scheduler->replica->head_version;
  scheduler->batch_in_flight =
      tmx_store_commit(scheduler->store, transaction, true, on_batch_result, scheduler);
  if (scheduler->batch_in_flight) return;
  /* not sent: submissions stay queued, as after a conflict */
  tmx_submission_queue_handle_batch_result(scheduler, TMX_TRANSACTION_CONFLICT);
  tmx_scheduler_end_round(scheduler);
  tmx_scheduler_trigger_within(scheduler, TMX_STORE_RETRY_DELAY_S);
}

void tmx_scheduler_commit_round(struct tmx_scheduler *scheduler) {
  struct tmx_round_batch batch;
  tmx_round_batch_build(&batch, scheduler);
  scheduler->plan.truncated |= batch.full || batch.completion_deferred;
  if (batch.log_batch.transaction.n_operations)
    send_batch(scheduler, &batch);
  else
    end_empty_round(scheduler, &batch.log_batch.transaction);
}
