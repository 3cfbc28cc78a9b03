/* Simulated time for tests. The clock stands still while a socket has data or a planner thread is
 * busy, and otherwise advances to the next timer. A slow or busy machine or a sanitizer therefore
 * does not change the result of a test. The functions below replace those of the C library in the
 * test program; libev reads the time and waits through them. */
#include <errno.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "fake_controllers.h"

enum {
  REALTIME_START_S = 1700000000, /* arbitrary, seconds since the epoch */
  MONOTONIC_START_S = 1000,      /* arbitrary, seconds */
  LOOPBACK_WAIT_MS = 1,          /* real time in which data sent over loopback arrives */
  /* Simulated time of one loop iteration: a timer fires only after its time has passed. */
  ITERATION_NS = 10000
};

static long long elapsed_ns; /* simulated time since the start */

int clock_gettime(clockid_t clock_id, struct timespec *tp) {
  if (clock_id != CLOCK_MONOTONIC && clock_id != CLOCK_REALTIME)
    return (int)syscall(SYS_clock_gettime, clock_id, tp);
  tp->tv_sec =
      (clock_id == CLOCK_REALTIME ? REALTIME_START_S : MONOTONIC_START_S) + elapsed_ns / 1000000000;
  tp->tv_nsec = elapsed_ns % 1000000000;
  return 0;
}

int gettimeofday(struct timeval *tv, void *tz) {
  (void)tz;
  tv->tv_sec = REALTIME_START_S + elapsed_ns / 1000000000;
  tv->tv_usec = elapsed_ns % 1000000000 / 1000;
  return 0;
}

static int poll_events(int fd, struct epoll_event *events, int max, int wait_ms) {
  int count;
  do count = (int)syscall(SYS_epoll_pwait, fd, events, max, wait_ms, NULL, 0);
  while (count < 0 && errno == EINTR);
  return count;
}

int epoll_wait(int epfd, struct epoll_event *events, int maxevents, int timeout) {
  int count = poll_events(epfd, events, maxevents, 0);
  elapsed_ns += ITERATION_NS;
  /* Timeout 0 means that a timer is due or a planner thread has finished. */
  if (count || !timeout) return count;
  while (!count && fake_any_planner_busy())
    count = poll_events(epfd, events, maxevents, LOOPBACK_WAIT_MS);
  if (count) return count;
  count = poll_events(epfd, events, maxevents, LOOPBACK_WAIT_MS);
  if (!count && timeout > 0) elapsed_ns += timeout * 1000000LL;
  return count;
}
