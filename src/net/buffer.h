/** @file
 * A growable array of bytes. It holds encoded CBOR and the data that the HTTP server and client
 * send and receive. */
#ifndef TMX_BUFFER_H
#define TMX_BUFFER_H
#include <stddef.h>
#include <stdint.h>

/** A byte buffer, which owns `data`. A zero-initialised buffer is empty and ready for use. */
struct tmx_buffer {
  uint8_t *data;   /**< the bytes; NULL before the first allocation */
  size_t length;   /**< bytes in use */
  size_t capacity; /**< bytes allocated */
};

/** Appends `length` bytes and grows the buffer as needed. `bytes` may be NULL if `length` is 0. */
void tmx_buffer_append(struct tmx_buffer *buffer, const void *bytes, size_t length);
/** Frees the bytes and empties the buffer. The buffer can be used again. */
void tmx_buffer_free(struct tmx_buffer *buffer);
#endif
