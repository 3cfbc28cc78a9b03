/**
 * @file
 * Writes log lines to standard error. Each line contains the time of day, the name of the node, the
 * level and the message.
 */
#ifndef TMX_LOG_H
#define TMX_LOG_H
#include <stdbool.h>

/** Severity of a log line, in decreasing order. */
enum tmx_log_level {
  TMX_LOG_ERROR, /**< A failure that needs an operator's attention. */
  TMX_LOG_INFO,  /**< A state change in normal operation. This is the default level. */
  TMX_LOG_DEBUG, /**< Details for development. */
};

/**
 * Sets the log level from the environment variable LOG_LEVEL (`error`, `info` or `debug`; `info` if
 * it is unset or unknown). Copies `node_name`, which appears in each line. Must be called once,
 * before other threads start.
 */
void tmx_log_init(const char *node_name);

/** Returns whether lines of this level are written, so that callers can avoid computing expensive
 * arguments. */
bool tmx_log_enabled(enum tmx_log_level level);

/**
 * Writes one line if its level is enabled. The format is that of printf() without the newline.
 * Lines longer than 1 KiB are truncated. Any thread may call this function.
 */
void tmx_log(enum tmx_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
