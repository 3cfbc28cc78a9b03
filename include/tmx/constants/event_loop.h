/**
 * @file
 * Periods of the event loop. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_EVENT_LOOP_H
#define TMX_CONSTANTS_EVENT_LOOP_H

/** Seconds between ticks, which run work that no event triggers. */
#define TMX_TICK_PERIOD_S 0.1
/**
 * Seconds; after a tick that is later than this, timeouts of this controller are no evidence of
 * failures of other machines.
 */
#define TMX_LOOP_LATE_S 0.2

#endif
