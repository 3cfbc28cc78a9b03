/**
 * @file
 * Slots: small numbers that index the planner's tables and are used again once they are free.
 */
#ifndef TMX_PLANNER_SLOTS_H
#define TMX_PLANNER_SLOTS_H
#include <stddef.h>

/** Slots of one of the planner's tables. Zeroed memory is a pool of which none was taken. */
struct tmx_slot_pool {
  int *free;     /**< slots that were given back; owned by the pool */
  size_t n_free, /**< used entries of `free` */
      capacity;  /**< allocated entries of `free` */
  int n_given;   /**< how many different slots have ever been taken */
};

/** Takes a slot: the one given back last, or else the lowest that was never taken. */
int tmx_slot_pool_take(struct tmx_slot_pool *pool);
/** Gives a slot back. */
void tmx_slot_pool_give_back(struct tmx_slot_pool *pool, int slot);
/** Releases the pool's memory and forgets which slots are taken. */
void tmx_slot_pool_clear(struct tmx_slot_pool *pool);
#endif
