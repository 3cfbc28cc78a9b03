/** @file
 *  The event loop of a test. A test waits by running the loop, in which the fakes also run. */
#ifndef TMX_FAKE_LOOP_H
#define TMX_FAKE_LOOP_H
#include <ev.h>
#include <stdbool.h>

/** The loop that runs the controllers and the fakes; set by fake_loop_open. */
extern struct ev_loop *test_loop;

/** Sets test_loop to libev's default loop. Called by fake_start. */
void fake_loop_open(void);

/** Runs the loop until `done` returns true.
 *  @param done called with `argument` before each iteration; NULL: never true
 *  @return false if `done` did not return true within 10 s */
bool run_loop_until(bool (*done)(void *argument), void *argument);

/** Runs the loop for `seconds`, 10 s at most. */
void run_loop_for(double seconds);

#endif
