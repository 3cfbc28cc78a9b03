/**
 * @file
 * Random numbers to spread requests over time, not for secrets. The generator is seeded once for
 * each process and is not synchronised: only the event loop's thread may call these functions.
 */
#ifndef TMX_RANDOM_H
#define TMX_RANDOM_H

/** A uniformly distributed number from 0 to `bound` - 1; `bound` has to be positive. */
int tmx_random_below(int bound);

/**
 * Seconds for the Retry-After header of a request that can be decided soon: TMX_RETRY_AFTER_MIN_S
 * and a random part below TMX_RETRY_AFTER_JITTER_S, so that refused clients do not come back
 * together.
 */
int tmx_retry_after(void);
#endif
