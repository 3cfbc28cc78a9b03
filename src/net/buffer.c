#include "net/buffer.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

/* bytes; most messages fit, so most buffers need a single allocation */
enum { INITIAL_CAPACITY = 256 };

void tmx_buffer_append(struct tmx_buffer *buffer, const void *bytes, size_t length) {
  size_t needed = buffer->length + length;
  if (needed > buffer->capacity) {
    size_t wanted = needed > INITIAL_CAPACITY ? needed : INITIAL_CAPACITY;
    buffer->data = tmx_grow(buffer->data, &buffer->capacity, wanted, 1);
  }
  if (length) memcpy(buffer->data + buffer->length, bytes, length);
  buffer->length = needed;
}

void tmx_buffer_free(struct tmx_buffer *buffer) {
  free(buffer->data);
  memset(buffer, 0, sizeof *buffer);
}
