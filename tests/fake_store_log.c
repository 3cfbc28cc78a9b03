/* Queries on the log that controllers write to the fake store. */
#include <string.h>

#include "fake_store_internal.h"
#include "replica/replica.h"

typedef void line_callback(void *argument, const char *line);

static void for_each_line(line_callback *callback, void *argument) {
  char line[TMX_LOG_LINE_BYTES];
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    const struct fake_entry *entry = &fake_store.entries[i];
    if (strncmp(entry->key, TMX_KEY_BATCH, strlen(TMX_KEY_BATCH))) continue;
    cbor_item_t *map = tmx_cbor_parse(entry->value, entry->length);
    const cbor_item_t *lines = tmx_cbor_get(map, "ops");
    for (size_t j = 0; j < tmx_cbor_array_length(lines); j++)
      if (tmx_cbor_as_text(tmx_cbor_array_at(lines, j), line, sizeof line))
        callback(argument, line);
    tmx_cbor_free(map);
  }
}

struct search {
  const char *line;
  bool found;
};

static void compare_operation(void *argument, const struct tmx_operation *operation) {
  struct search *search = argument;
  char line[TMX_LOG_LINE_BYTES];
  tmx_operation_print(line, sizeof line, operation);
  search->found |= !strcmp(line, search->line);
}

/* One line may hold several operations of a job, so each operation is also compared by itself. */
static void compare_line(void *argument, const char *line) {
  struct search *search = argument;
  search->found |= !strcmp(line, search->line);
  tmx_log_line_for_each_operation(line, compare_operation, search);
}

bool fake_log_contains(const char *line) {
  struct search search = {.line = line};
  for_each_line(compare_line, &search);
  return search.found;
}

static void count_operation(void *argument, const struct tmx_operation *operation) {
  unsigned *count = argument;
  if (operation->kind == TMX_OPERATION_PLACE) ++*count;
  if (operation->kind == TMX_OPERATION_END) --*count;
}

static void count_line(void *argument, const char *line) {
  tmx_log_line_for_each_operation(line, count_operation, argument);
}

unsigned fake_count_placed_tasks(void) {
  unsigned count = 0;
  for_each_line(count_line, &count);
  return count;
}
