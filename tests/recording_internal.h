/** @file
 * Functions shared by the source files of the recorder. They append to the text of a recording. */
#ifndef TMX_RECORDING_INTERNAL_H
#define TMX_RECORDING_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "recording.h"

/** Appends text unchanged. */
void recording_append(struct recording *recording, const char *text, size_t length);
/** Appends formatted text. The test fails if it has 512 bytes or more. */
void recording_append_format(struct recording *recording, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Appends text and masks the ports in it.
 *  @param masked an array of `length` flags; the flags of the bytes of ports are set to true. NULL:
 *  none are set */
void recording_append_masking_ports(struct recording *recording, const char *text, size_t length,
                                    bool *masked);
/** Appends bytes in hex.
 *  @param masked an array of `length` flags; a byte whose flag is true appears as xx. NULL: no byte
 *  is masked */
void recording_append_hex(struct recording *recording, const uint8_t *bytes, const bool *masked,
                          size_t length);

#endif
