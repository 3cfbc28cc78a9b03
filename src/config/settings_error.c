#include <stdio.h>

#include "config/settings_error_internal.h"

void tmx_settings_set_error(struct settings_error *error, const char *section, const char *key,
                            const char *reason) {
  if (error->is_set) return;
  error->is_set = true;
  snprintf(error->text, error->capacity, "%s: %s%s: %s", error->source, section, key, reason);
}
