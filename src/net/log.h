#ifndef TMX_LOG_H
#define TMX_LOG_H
enum { TMX_ERROR, TMX_INFO, TMX_DEBUG };
void tmx_log_init(const char *node);
int tmx_log_on(int level);
void tmx_log(int level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
double tmx_now(void);           /* steady clock, s */
void tmx_clock_shift(double s); /* for the tests: steady time that passes at once */
double tmx_wall(void);          /* time of day, s */
#endif
