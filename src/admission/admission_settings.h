/**
 * @file
 * Checks the operators' settings of admission control against the settings of the platform.
 */
#ifndef TMX_ADMISSION_SETTINGS_H
#define TMX_ADMISSION_SETTINGS_H
#include "config/settings.h"

/**
 * Checks the teams' shares, and divides the remaining share equally among the teams that are not
 * named. On failure returns false and writes a message with the key to `error`, at most `capacity`
 * bytes.
 */
bool tmx_admission_settings_resolve(struct tmx_settings *settings, char *error, size_t capacity);
#endif
