/**
 * @file
 * Memory allocation. The functions never return NULL, so callers need no check: the process aborts
 * if memory is exhausted, since a controller that loses part of its state could violate its
 * guarantees. The service manager then restarts the controller, which loads its state from the
 * store. All memory is released with free(). Any thread may call these functions.
 */
#ifndef TMX_MEMORY_H
#define TMX_MEMORY_H
#include <stddef.h>

/**
 * Allocates zeroed memory for `count` items of `size` bytes, owned by the caller. For a count of 0
 * it returns a pointer that can be freed.
 */
void *tmx_allocate(size_t count, size_t size);

/** Returns a copy of the text, owned by the caller. */
char *tmx_copy_text(const char *text);

/**
 * Grows an array to a capacity of at least `needed` items of `size` bytes. It doubles `*capacity`
 * (in items, at least 16) until that suffices and zeroes the added items. It returns the array,
 * which may have moved; the old pointer is then invalid. `array` may be NULL if `*capacity` is 0.
 */
void *tmx_grow(void *array, size_t *capacity, size_t needed, size_t size);
#endif
