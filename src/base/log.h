/* Log lines on standard error: time of day, controller, level, message. */
#ifndef TMX_LOG_H
#define TMX_LOG_H
#include <stdbool.h>

enum tmx_log_level { TMX_LOG_ERROR, TMX_LOG_INFO, TMX_LOG_DEBUG };

/* Reads the level from the environment variable LOG_LEVEL; `node_name` goes into each line. */
void tmx_log_init(const char *node_name);
/* Whether lines of this level are written, for arguments that are costly to compute. */
bool tmx_log_enabled(enum tmx_log_level level);
void tmx_log(enum tmx_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
#endif
