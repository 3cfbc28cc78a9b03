/** What the files of the recorder share: they append to the text of a recording. */
#ifndef TMX_RECORDING_INTERNAL_H
#define TMX_RECORDING_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "recording.h"

/** Appends text as it is. */
void recording_add(struct recording *recording, const char *text, size_t length);
/** Appends formatted text of less than 512 bytes. */
void recording_add_format(struct recording *recording, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Appends text with its ports masked.
 *  @param masked set to true for each byte of a port; NULL: not */
void recording_add_text(struct recording *recording, const char *text, size_t length, bool *masked);
/** Appends bytes in hex. @param masked the bytes shown as xx; NULL: none */
void recording_add_hex(struct recording *recording, const uint8_t *bytes, const bool *masked,
                       size_t length);

#endif
