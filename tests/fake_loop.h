/** The event loop of a test. A test waits by running it; the scripted peers answer meanwhile. */
#ifndef TMX_FAKE_LOOP_H
#define TMX_FAKE_LOOP_H
#include <ev.h>
#include <stdbool.h>

/** The loop of the controllers and of the scripted peers; set by fake_start. */
extern struct ev_loop *test_loop;

/** Takes libev's default loop as test_loop. */
void fake_loop_open(void);

/** Runs the loop until `done` holds.
 *  @param done asked at every turn with `argument`; NULL: never true
 *  @return false if it did not hold within 10 s */
bool run_loop_until(bool (*done)(void *argument), void *argument);

/** Runs the loop for `seconds`. */
void run_loop_for(double seconds);

#endif
