/* Random numbers for spreading requests over time; seeded once for each process. Loop's thread
 * only. */
#ifndef TMX_RANDOM_H
#define TMX_RANDOM_H

/* Uniform in 0 to bound - 1. */
int tmx_random_below(int bound);
/* s; a Retry-After for a request that can be decided soon. */
int tmx_retry_after(void);
#endif
