/**
 * @file
 * Slots: small integers that index the planner's tables and are reused after their release.
 */
#ifndef TMX_PLANNER_SLOTS_H
#define TMX_PLANNER_SLOTS_H
#include <stddef.h>

/** Allocator of the slots of one planner table. Zeroed memory is a pool without slots in use. */
struct tmx_slot_pool {
  int *free;     /**< stack of released slots; owned by the pool */
  size_t n_free, /**< entries of `free` in use */
      capacity;  /**< entries of `free` allocated */
  int n_created; /**< number of distinct slots acquired so far; the next new slot */
};

/** Returns the slot released last, or a new one if no released slot is left. */
int tmx_slot_pool_acquire(struct tmx_slot_pool *pool);
/** Makes a slot available for reuse. */
void tmx_slot_pool_release(struct tmx_slot_pool *pool, int slot);
/** Releases the pool's memory. All slots count as unused afterwards. */
void tmx_slot_pool_clear(struct tmx_slot_pool *pool);
#endif
