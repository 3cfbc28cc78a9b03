/**
 * @file
 * Tables of keys with their versions. Iteration follows the order of insertion.
 *
 * A table is a uthash head, which readers may iterate; NULL is an empty table. Only the thread of
 * the controller's event loop may access it.
 */
#ifndef TMX_LOG_KEYS_H
#define TMX_LOG_KEYS_H
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/** An entry of a table. */
struct tmx_log_key {
  char *key;         /**< owned by the entry */
  uint64_t version;  /**< the key's version, as the store last reported it */
  UT_hash_handle hh; /**< hash handle in the table, by key */
};

/** Adds the key, or updates its version if it is present. */
void tmx_log_keys_put(struct tmx_log_key **table, const char *key, uint64_t version);
/** Removes the key if it is present. */
void tmx_log_keys_remove(struct tmx_log_key **table, const char *key);
/** Returns whether the key is present. */
bool tmx_log_keys_contain(const struct tmx_log_key *table, const char *key);
/** Removes all keys. */
void tmx_log_keys_clear(struct tmx_log_key **table);
#endif
