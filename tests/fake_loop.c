#include "fake_loop.h"

#include <stddef.h>

struct ev_loop *test_loop;

enum { WAIT_AT_MOST_S = 10 };
static const double turn_s = 0.005; /* `done` is asked at least this often */

void fake_loop_open(void) { test_loop = ev_default_loop(EVFLAG_AUTO); }

static void on_wake(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)timer;
  (void)events;
  ev_break(loop, EVBREAK_ONE);
}

bool run_loop_until(bool (*done)(void *argument), void *argument) {
  double until = ev_time() + WAIT_AT_MOST_S;
  while (ev_time() < until) {
    if (done && done(argument)) return true;
    ev_timer timer;
    ev_timer_init(&timer, on_wake, turn_s, 0);
    ev_timer_start(test_loop, &timer);
    ev_run(test_loop, EVRUN_ONCE);
    ev_timer_stop(test_loop, &timer);
  }
  return false;
}

static bool is_past(void *argument) {
  const double *until = argument;
  return ev_time() > *until;
}

void run_loop_for(double seconds) {
  double until = ev_time() + seconds;
  run_loop_until(is_past, &until);
}
