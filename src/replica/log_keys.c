#include "replica/log_keys.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

static void remove_entry(struct tmx_log_key **table, struct tmx_log_key *entry) {
  HASH_DEL(*table, entry);
  free(entry->key);
  free(entry);
}

void tmx_log_keys_put(struct tmx_log_key **table, const char *key, uint64_t version) {
  struct tmx_log_key *entry;
  HASH_FIND_STR(*table, key, entry);
  if (!entry) {
    entry = tmx_allocate(1, sizeof *entry);
    entry->key = tmx_copy_text(key);
    HASH_ADD_KEYPTR(hh, *table, entry->key, strlen(entry->key), entry);
  }
  entry->version = version;
}

void tmx_log_keys_remove(struct tmx_log_key **table, const char *key) {
  struct tmx_log_key *entry;
  HASH_FIND_STR(*table, key, entry);
  if (entry) remove_entry(table, entry);
}

bool tmx_log_keys_contain(const struct tmx_log_key *table, const char *key) {
  struct tmx_log_key *entry;
  HASH_FIND_STR(table, key, entry);
  return entry != NULL;
}

void tmx_log_keys_clear(struct tmx_log_key **table) {
  struct tmx_log_key *entry, *next;
  HASH_ITER(hh, *table, entry, next) remove_entry(table, entry);
}
