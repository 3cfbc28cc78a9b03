#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define LINE_MAX_BYTES 1024

static const char *const level_names[] = {"error", "info", "debug"};
static enum tmx_log_level max_level = TMX_LOG_INFO;
static char node[64] = "-";

void tmx_log_init(const char *node_name) {
  const char *level = getenv("LOG_LEVEL");
  if (level && !strcmp(level, "error")) max_level = TMX_LOG_ERROR;
  if (level && !strcmp(level, "debug")) max_level = TMX_LOG_DEBUG;
  snprintf(node, sizeof node, "%s", node_name);
}

bool tmx_log_enabled(enum tmx_log_level level) { return level <= max_level; }

void tmx_log(enum tmx_log_level level, const char *format, ...) {
  if (!tmx_log_enabled(level)) return;
  char line[LINE_MAX_BYTES];
  int length =
      snprintf(line, sizeof line, "%.3f %s %s ", tmx_clock_wall(), node, level_names[level]);
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(line + length, sizeof line - (size_t)length, format, arguments);
  va_end(arguments);
  fprintf(stderr, "%s\n", line);
}
