/**
 * @file
 * Tables of keys of one kind that stand in the state service, by name and in order of insertion.
 *
 * A table is a uthash head, which readers may iterate; NULL is an empty one. Only the thread of the
 * controller's loop may touch it.
 */
#ifndef TMX_LOG_KEYS_H
#define TMX_LOG_KEYS_H
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/** A key that stands. */
struct tmx_log_key {
  char *key;         /**< owned by the entry */
  uint64_t version;  /**< of the key, as the store reported it last */
  UT_hash_handle hh; /**< in the table, by key */
};

/** Adds the key, or sets its version. */
void tmx_log_keys_put(struct tmx_log_key **table, const char *key, uint64_t version);
/** Removes the key if it is there. */
void tmx_log_keys_remove(struct tmx_log_key **table, const char *key);
/** Tells whether the key is there. */
bool tmx_log_keys_contain(const struct tmx_log_key *table, const char *key);
/** Removes all keys. */
void tmx_log_keys_clear(struct tmx_log_key **table);
#endif
