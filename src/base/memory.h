/* Allocation. A controller that is out of memory cannot keep its promises: it ends, and the
 * service starts it again with an empty copy of the state. So no function here returns NULL, and
 * callers check nothing. Everything is released with free(). */
#ifndef TMX_MEMORY_H
#define TMX_MEMORY_H
#include <stddef.h>

/* Zeroed memory for `count` items of `size` bytes; for count 0 a pointer that can be freed. */
void *tmx_allocate(size_t count, size_t size);
/* A copy of the text, owned by the caller. */
char *tmx_copy_text(const char *text);
/* Makes room for at least `needed` items of `size` bytes: doubles `*capacity` until it suffices
 * and zeroes what is new. Returns the array, which may have moved. */
void *tmx_grow(void *array, size_t *capacity, size_t needed, size_t size);
#endif
