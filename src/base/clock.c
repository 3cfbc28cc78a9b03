#include "base/clock.h"

#include <time.h>

#define NANOSECOND_S 1e-9

static double advanced_s;

void tmx_clock_advance(double seconds) { advanced_s += seconds; }

static double read_clock(clockid_t clock) {
  struct timespec time;
  clock_gettime(clock, &time);
  return (double)time.tv_sec + (double)time.tv_nsec * NANOSECOND_S;
}

double tmx_clock_steady(void) { return read_clock(CLOCK_MONOTONIC) + advanced_s; }

double tmx_clock_wall(void) { return read_clock(CLOCK_REALTIME); }
