#include "base/memory.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Initial capacity of an array, in items. */
#define CAPACITY_MIN 16

void *tmx_allocate(size_t count, size_t size) {
  void *memory = calloc(count ? count : 1, size);
  if (!memory) abort();
  return memory;
}

char *tmx_copy_text(const char *text) {
  char *copy = strdup(text);
  if (!copy) abort();
  return copy;
}

void *tmx_grow(void *array, size_t *capacity, size_t needed, size_t size) {
  if (needed <= *capacity) return array;
  size_t grown = *capacity ? *capacity : CAPACITY_MIN;
  while (grown < needed) grown *= 2;
  void *moved = realloc(array, grown * size);
  if (!moved) abort();
  memset((uint8_t *)moved + *capacity * size, 0, (grown - *capacity) * size);
  *capacity = grown;
  return moved;
}
