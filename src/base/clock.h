/* Clocks. All times in the program are doubles in seconds. */
#ifndef TMX_CLOCK_H
#define TMX_CLOCK_H

/* Monotonic clock, s since an arbitrary point; may run fast by TMX_CLOCK_DRIFT. */
double tmx_clock_steady(void);
/* Time of day, s since the epoch; off by at most the settings' clock_off_ms. */
double tmx_clock_wall(void);
/* For tests: the monotonic clock jumps forward by this many seconds. */
void tmx_clock_advance(double seconds);
#endif
