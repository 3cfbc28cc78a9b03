/** @file
 * The text of an error in the settings. Internal to src/config. */
#ifndef TMX_SETTINGS_ERROR_INTERNAL_H
#define TMX_SETTINGS_ERROR_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Where an error goes. Only the first one is kept: those that follow are often its consequences.
 */
struct settings_error {
  const char *source; /**< the settings at fault: the first words of the text */
  char *text;         /**< receives the text, one line; owned by the caller */
  size_t capacity;    /**< bytes of `text` */
  bool is_set;        /**< an error has been written */
};

/** Writes "SOURCE: SECTIONKEY: REASON"; `section` is empty or ends with a dot. */
void tmx_settings_set_error(struct settings_error *error, const char *section, const char *key,
                            const char *reason);

#ifdef __cplusplus
}
#endif
#endif
