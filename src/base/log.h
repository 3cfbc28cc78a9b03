/**
 * @file
 * Log lines on standard error. Each holds the time of day, the node's name, the level and the
 * message.
 */
#ifndef TMX_LOG_H
#define TMX_LOG_H
#include <stdbool.h>

/** Severity of a log line, the most severe first. */
enum tmx_log_level {
  TMX_LOG_ERROR, /**< A failure that an operator has to know of. */
  TMX_LOG_INFO,  /**< A change of state in normal operation; written by default. */
  TMX_LOG_DEBUG, /**< Detail for development. */
};

/**
 * Reads the highest level to write from the environment variable LOG_LEVEL (`error`, `info` or
 * `debug`; `info` if it is unset or unknown). `node_name` is copied and goes into each line. To be
 * called once, before other threads start.
 */
void tmx_log_init(const char *node_name);

/** Whether lines of this level are written, to skip arguments that are costly to compute. */
bool tmx_log_enabled(enum tmx_log_level level);

/**
 * Writes one line if its level is enabled. The format is that of printf(), without the newline;
 * lines longer than 1 KiB are cut. Any thread may call it.
 */
void tmx_log(enum tmx_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
