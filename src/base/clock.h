/**
 * @file
 * Clocks. All times and durations in the program are doubles in seconds. Any thread may call these
 * functions, except tmx_clock_advance().
 */
#ifndef TMX_CLOCK_H
#define TMX_CLOCK_H

/**
 * Returns the time of the monotonic clock: seconds since an arbitrary point in the past. It is for
 * durations and timeouts. Its rate differs from real time by at most the ratio
 * TMX_CLOCK_DRIFT_SHARE_MAX.
 */
double tmx_clock_steady(void);

/**
 * Returns the time of day: seconds since the Unix epoch. The time of day may jump, and its error is
 * at most the setting `clock_off_ms`.
 */
double tmx_clock_wall(void);

/**
 * Advances the monotonic clock by this many seconds, for tests. The call is not synchronised: no
 * other thread may read the clock at the same time.
 */
void tmx_clock_advance(double seconds);
#endif
