#include "scheduler/pending_submission.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

bool tmx_pending_submission_next_line(const struct tmx_pending_submission *pending,
                                      uint32_t *position, char *line, size_t capacity) {
  if (*position >= pending->prerequisite_ids.count) return false;
  tmx_dependency_line_print(line, capacity, pending->id, &pending->prerequisite_ids, position);
  return true;
}

/* Counts the puts that the submission needs: one for the record, and one for each value
 * that its lines need. */
static int count_values(const struct tmx_pending_submission *pending) {
  size_t value_bytes = tmx_value_json_length_max(pending->scheduler->settings), used = value_bytes;
  int n_values = 1;
  char line[TMX_LOG_LINE_BYTES];
  uint32_t position = pending->n_prerequisites_in_record;
  while (tmx_pending_submission_next_line(pending, &position, line, sizeof line)) {
    size_t length = tmx_json_text_length(line, strlen(line)) + 1;
    bool begins_value = used + length > value_bytes;
    n_values += begins_value;
    used = begins_value ? length : used + length;
  }
  return n_values;
}

static void copy_ids(struct tmx_job_ids *to, const struct tmx_job_ids *from) {
  to->count = from->count;
  to->ids = tmx_allocate(from->count + 1, sizeof *to->ids);
  if (from->count) memcpy(to->ids, from->ids, from->count * sizeof *from->ids);
}

struct tmx_pending_submission *tmx_pending_submission_new(struct tmx_scheduler *scheduler,
                                                          const struct tmx_submission *submission) {
  const struct tmx_settings *settings = scheduler->settings;
  struct tmx_pending_submission *pending = tmx_allocate(1, sizeof *pending);
  memcpy(pending->id, submission->id, sizeof pending->id);
  pending->scheduler = scheduler;
  pending->n_prerequisites_in_record = tmx_job_encode_open(
      &pending->record, submission->id, &submission->spec, submission->submitted_at,
      &submission->prerequisite_ids, tmx_value_json_length_max(settings));
  pending->record_json_length = tmx_json_length(&pending->record);
  copy_ids(&pending->prerequisite_ids, &submission->prerequisite_ids);
  pending->n_values = count_values(pending);
  pending->admission_request = tmx_admission_control_request(
      scheduler->admission, &submission->spec, tmx_team_index(settings, submission->spec.team));
  return pending;
}

void tmx_pending_submission_free(struct tmx_pending_submission *pending) {
  tmx_buffer_free(&pending->record);
  tmx_job_ids_free(&pending->prerequisite_ids);
  free(pending);
}

bool tmx_pending_submission_is_too_large(const struct tmx_pending_submission *pending) {
  const struct tmx_settings *settings = pending->scheduler->settings;
  size_t value_bytes = tmx_value_json_length_max(settings);
  return pending->record_json_length > value_bytes || pending->n_values > settings->txn_ops - 1 ||
         (size_t)pending->n_values * (value_bytes + TMX_JSON_OVERHEAD_BYTES) >
             TMX_TRANSACTION_JSON_BYTES_MAX;
}

void tmx_pending_submission_require_absent(const struct tmx_pending_submission *pending,
                                           struct tmx_transaction *transaction) {
  char key[TMX_KEY_MAX + 1];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", pending->id);
  tmx_transaction_require_version(transaction, key, 0);
}
