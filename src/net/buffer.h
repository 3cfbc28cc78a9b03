/** @file
 * A growing array of bytes: what is written as CBOR, and what the HTTP modules send and receive. */
#ifndef TMX_BUFFER_H
#define TMX_BUFFER_H
#include <stddef.h>
#include <stdint.h>

/** A buffer that is all zero is empty and ready for use. The buffer owns `data`. */
struct tmx_buffer {
  uint8_t *data;   /**< the bytes; NULL while none are allocated */
  size_t length;   /**< bytes in use */
  size_t capacity; /**< bytes allocated */
};

/** Appends `length` bytes; `bytes` may be NULL if `length` is 0. */
void tmx_buffer_append(struct tmx_buffer *buffer, const void *bytes, size_t length);
/** Frees the bytes and empties the buffer, which can be used again. */
void tmx_buffer_free(struct tmx_buffer *buffer);
#endif
