#ifndef TMX_LOG_H
#define TMX_LOG_H
enum { TMX_ERROR, TMX_INFO, TMX_DEBUG };
void tmx_log_init(const char *node);
int tmx_log_on(int level);
void tmx_log(int level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
double tmx_now(void);  /* steady clock, s */
double tmx_wall(void); /* time of day, s */
#endif
