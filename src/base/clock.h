/**
 * @file
 * Clocks. All times and durations in the program are doubles in seconds. Every function here may
 * be called by any thread, except tmx_clock_advance().
 */
#ifndef TMX_CLOCK_H
#define TMX_CLOCK_H

/**
 * Monotonic clock: seconds since an arbitrary point in the past. For durations and timeouts; its
 * rate may differ from real time by up to TMX_CLOCK_DRIFT_SHARE_MAX.
 */
double tmx_clock_steady(void);

/**
 * Time of day: seconds since the Unix epoch. It differs from the other nodes' clocks by at most the
 * setting `clock_off_ms` and may jump.
 */
double tmx_clock_wall(void);

/**
 * For tests: makes the monotonic clock jump forward by this many seconds. Not synchronised: no
 * other thread may read the clock meanwhile.
 */
void tmx_clock_advance(double seconds);
#endif
