/* The clock of the scripted tests. It stands still while anything is under way, in a socket or in
 * a planner's thread, and advances to the next timer when nothing is: a slow or busy machine, or a
 * sanitizer, changes no verdict. It takes the place of the C library's functions for this program
 * alone; libev asks them for the time and waits with them. */
#include <errno.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "fake_controllers.h"

enum {
  REALTIME_START_S = 1700000000, /* of the epoch; any */
  MONOTONIC_START_S = 1000,      /* any */
  ARRIVAL_MS = 1,                /* of real time: what was sent on loopback has arrived by then */
  TURN_NS = 10000 /* a turn of the loop takes this; a timer is due only after its time */
};

static long long passed_ns;

int clock_gettime(clockid_t clock_id, struct timespec *tp) {
  if (clock_id != CLOCK_MONOTONIC && clock_id != CLOCK_REALTIME)
    return (int)syscall(SYS_clock_gettime, clock_id, tp);
  tp->tv_sec =
      (clock_id == CLOCK_REALTIME ? REALTIME_START_S : MONOTONIC_START_S) + passed_ns / 1000000000;
  tp->tv_nsec = passed_ns % 1000000000;
  return 0;
}

int gettimeofday(struct timeval *tv, void *tz) {
  (void)tz;
  tv->tv_sec = REALTIME_START_S + passed_ns / 1000000000;
  tv->tv_usec = passed_ns % 1000000000 / 1000;
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
  passed_ns += TURN_NS;
  if (count || !timeout) return count; /* 0: something is due, or a planner's thread is done */
  while (!count && fake_any_planner_busy())
    count = poll_events(epfd, events, maxevents, ARRIVAL_MS);
  if (count) return count;
  count = poll_events(epfd, events, maxevents, ARRIVAL_MS);
  if (!count && timeout > 0) passed_ns += timeout * 1000000LL;
  return count;
}
