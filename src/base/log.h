#ifndef TMX_LOG_H
#define TMX_LOG_H
enum { TMX_LOG_ERROR, TMX_LOG_INFO, TMX_LOG_DEBUG };
void tmx_log_init(const char *node);
int tmx_log_enabled(int level);
void tmx_log(int level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
double tmx_clock_steady(void);    /* steady clock, s */
void tmx_clock_advance(double s); /* for the tests: steady time that passes at once */
double tmx_clock_wall(void);      /* time of day, s */
#endif
