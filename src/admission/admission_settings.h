/**
 * @file
 * The operators' settings of admission, checked against those of the platform.
 */
#ifndef TMX_ADMISSION_SETTINGS_H
#define TMX_ADMISSION_SETTINGS_H
#include "config/settings.h"

/** Checks the teams' shares, and gives teams that are not named equal parts of what is left. false:
 * `error` names the key. */
bool tmx_admission_resolve(struct tmx_settings *settings, char *error, size_t capacity);
#endif
