#include "fake_loop.h"

#include <stddef.h>

struct ev_loop *test_loop;

enum { WAIT_TIMEOUT_S = 10 };
static const double poll_interval_s = 0.005; /* longest time between two calls of `done` */

void fake_loop_open(void) { test_loop = ev_default_loop(EVFLAG_AUTO); }

static void on_poll_timer(struct ev_loop *loop, ev_timer *timer, int events) {
  (void)timer;
  (void)events;
  ev_break(loop, EVBREAK_ONE);
}

bool run_loop_until(bool (*done)(void *argument), void *argument) {
  double deadline = ev_time() + WAIT_TIMEOUT_S;
  while (ev_time() < deadline) {
    if (done && done(argument)) return true;
    ev_timer timer;
    ev_timer_init(&timer, on_poll_timer, poll_interval_s, 0);
    ev_timer_start(test_loop, &timer);
    ev_run(test_loop, EVRUN_ONCE);
    ev_timer_stop(test_loop, &timer);
  }
  return false;
}

static bool is_deadline_past(void *argument) {
  const double *deadline = argument;
  return ev_time() > *deadline;
}

void run_loop_for(double seconds) {
  double deadline = ev_time() + seconds;
  run_loop_until(is_deadline_past, &deadline);
}
