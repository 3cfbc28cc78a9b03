#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static int g_level = TMX_LOG_INFO;
static char g_node[64] = "-";

void tmx_log_init(const char *node) {
  const char *v = getenv("LOG_LEVEL");
  if (v && !strcmp(v, "error")) g_level = TMX_LOG_ERROR;
  if (v && !strcmp(v, "debug")) g_level = TMX_LOG_DEBUG;
  snprintf(g_node, sizeof g_node, "%s", node);
}

int tmx_log_enabled(int level) { return level <= g_level; }

static double g_shift;
void tmx_clock_advance(double s) { g_shift += s; }

double tmx_clock_steady(void) {
  struct timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9 + g_shift;
}

double tmx_clock_wall(void) {
  struct timespec t;
  clock_gettime(CLOCK_REALTIME, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

void tmx_log(int level, const char *fmt, ...) {
  static const char *names[] = {"error", "info", "debug"};
  if (level > g_level) return;
  char line[1024];
  int n = snprintf(line, sizeof line, "%.3f %s %s ", tmx_clock_wall(), g_node, names[level]);
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(line + n, sizeof line - (size_t)n, fmt, ap);
  va_end(ap);
  fprintf(stderr, "%s\n", line);
}
