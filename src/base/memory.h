/**
 * @file
 * Allocation. The functions never return NULL: when there is no memory the process aborts, since a
 * controller that drops part of its state could break its guarantees. The service manager starts it
 * again, and it loads its state from the store. Callers need no check. All memory is released with
 * free(). Any thread may call these functions.
 */
#ifndef TMX_MEMORY_H
#define TMX_MEMORY_H
#include <stddef.h>

/**
 * Zeroed memory for `count` items of `size` bytes, owned by the caller. For count 0 it returns a
 * pointer that can be freed.
 */
void *tmx_allocate(size_t count, size_t size);

/** A copy of the text, owned by the caller. */
char *tmx_copy_text(const char *text);

/**
 * Makes room for at least `needed` items of `size` bytes. It doubles `*capacity` (in items) until
 * that suffices and zeroes the added items. It returns the array, which may have moved; the old
 * pointer is then invalid. `array` may be NULL if `*capacity` is 0.
 */
void *tmx_grow(void *array, size_t *capacity, size_t needed, size_t size);
#endif
