#include "scheduler/pending_lines.h"

#include <stdio.h>
#include <string.h>

#include "base/memory.h"

void tmx_scheduler_queue_log_line(struct tmx_scheduler *scheduler, const char *line) {
  for (size_t i = 0; i < scheduler->n_pending_lines; i++)
    if (!strcmp(scheduler->pending_lines[i].text, line)) return;
  scheduler->pending_lines =
      tmx_grow(scheduler->pending_lines, &scheduler->cap_pending_lines,
               scheduler->n_pending_lines + 1, sizeof *scheduler->pending_lines);
  struct tmx_pending_line *pending = &scheduler->pending_lines[scheduler->n_pending_lines++];
  memset(pending, 0, sizeof *pending);
  snprintf(pending->text, sizeof pending->text, "%s", line);
  tmx_scheduler_trigger(scheduler);
}

void tmx_pending_lines_add_to_batch(struct tmx_scheduler *scheduler, struct tmx_log_batch *batch,
                                    bool *full) {
  for (size_t i = 0; i < scheduler->n_pending_lines; i++) {
    struct tmx_pending_line *pending = &scheduler->pending_lines[i];
    pending->sent = !*full && tmx_log_batch_add_line(batch, pending->text, 0);
    *full |= !pending->sent;
  }
}

void tmx_pending_lines_committed(struct tmx_scheduler *scheduler) {
  size_t n_left = 0;
  for (size_t i = 0; i < scheduler->n_pending_lines; i++)
    if (!scheduler->pending_lines[i].sent)
      scheduler->pending_lines[n_left++] = scheduler->pending_lines[i];
  scheduler->n_pending_lines = n_left;
}
