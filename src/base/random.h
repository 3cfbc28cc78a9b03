/**
 * @file
 * Random numbers for spreading requests over time; they are not cryptographically secure. The
 * generator is seeded once per process and is not synchronised: only the event loop's thread may
 * call these functions.
 */
#ifndef TMX_RANDOM_H
#define TMX_RANDOM_H

/** Returns a uniformly distributed number from 0 to `bound` - 1; `bound` must be positive. */
int tmx_random_below(int bound);

/**
 * Returns the seconds for the Retry-After header of a refused request that may succeed soon:
 * TMX_RETRY_AFTER_MIN_S plus a random number below TMX_RETRY_AFTER_JITTER_S, so that the clients do
 * not all retry at the same time.
 */
int tmx_retry_after(void);
#endif
