/** @file
 * Error messages for invalid settings. Internal to src/config. */
#ifndef TMX_SETTINGS_ERROR_INTERNAL_H
#define TMX_SETTINGS_ERROR_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Destination of an error message. Only the first error is kept, because later errors are often
 * its consequences. */
struct settings_error {
  const char *source; /**< kind of settings that is invalid; the message starts with it */
  char *text;         /**< receives the message, one line; owned by the caller */
  size_t capacity;    /**< size of `text` in bytes */
  bool is_set;        /**< an error has been recorded */
};

/** Records the message "SOURCE: SECTIONKEY: REASON" unless an error is already recorded. `section`
 * is empty or ends with a dot. */
void tmx_settings_set_error(struct settings_error *error, const char *section, const char *key,
                            const char *reason);

#ifdef __cplusplus
}
#endif
#endif
