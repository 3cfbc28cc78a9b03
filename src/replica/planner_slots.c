#include "replica/planner_slots.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

int tmx_slot_pool_acquire(struct tmx_slot_pool *pool) {
  return pool->n_free ? pool->free[--pool->n_free] : pool->n_created++;
}

void tmx_slot_pool_release(struct tmx_slot_pool *pool, int slot) {
  pool->free = tmx_grow(pool->free, &pool->capacity, pool->n_free + 1, sizeof *pool->free);
  pool->free[pool->n_free++] = slot;
}

void tmx_slot_pool_clear(struct tmx_slot_pool *pool) {
  free(pool->free);
  memset(pool, 0, sizeof *pool);
}
