#include <stdio.h>
#include <string.h>

#include "cluster/history.h"
#include "net/cbor.h"
#include "replica/replica.h"

static void record_placement(void *unused, const struct tmx_operation *operation) {
  char task[TMX_LOG_LINE_BYTES];
  (void)unused;
  if (operation->kind != TMX_OPERATION_PLACE) return;
  snprintf(task, sizeof task, "%s/%u", operation->job, operation->task);
  history_placed(task, operation->attempt, operation->machine);
}

void history_commit(const char *key, const uint8_t *value, size_t length) {
  char line[TMX_LOG_LINE_BYTES];
  if (strncmp(key, TMX_KEY_BATCH, strlen(TMX_KEY_BATCH))) return;
  cbor_item_t *map = tmx_cbor_parse(value, length);
  const cbor_item_t *lines = tmx_cbor_get(map, "ops");
  for (size_t i = 0; i < tmx_cbor_array_length(lines); i++)
    if (tmx_cbor_as_text(tmx_cbor_array_at(lines, i), line, sizeof line))
      tmx_log_line_for_each_operation(line, record_placement, NULL);
  tmx_cbor_free(map);
}
