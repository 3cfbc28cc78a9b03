/* The clock of the scripted tests. It stands while anything is under way, in a socket or with a
 * planner's thread, and goes on to the next timer when nothing is: a slow or busy machine, or a
 * sanitizer, changes no verdict. It takes the place of the C library's functions for this program
 * alone; libev asks them for the time and waits with them. */
#include <errno.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "fake.h"

#define BEGINS_AT 1700000000 /* s of the epoch; any */
#define MONOTONIC_AT 1000    /* s */
#define GRACE_MS 1           /* of real time: what was sent on loopback has arrived by then */
#define TURN_NS 10000        /* a turn of the loop takes this; a timer is due only after its time */

static long long passed_ns;

int clock_gettime(clockid_t id, struct timespec *t) {
  if (id != CLOCK_MONOTONIC && id != CLOCK_REALTIME) return (int)syscall(SYS_clock_gettime, id, t);
  t->tv_sec = (id == CLOCK_REALTIME ? BEGINS_AT : MONOTONIC_AT) + passed_ns / 1000000000;
  t->tv_nsec = passed_ns % 1000000000;
  return 0;
}

int gettimeofday(struct timeval *t, void *zone) {
  (void)zone;
  t->tv_sec = BEGINS_AT + passed_ns / 1000000000;
  t->tv_usec = passed_ns % 1000000000 / 1000;
  return 0;
}

static int look(int fd, struct epoll_event *ev, int max, int ms) {
  int n;
  do n = (int)syscall(SYS_epoll_pwait, fd, ev, max, ms, NULL, 0);
  while (n < 0 && errno == EINTR);
  return n;
}

int epoll_wait(int fd, struct epoll_event *ev, int max, int ms) {
  int n = look(fd, ev, max, 0);
  passed_ns += TURN_NS;
  if (n || !ms) return n; /* 0: something is due, or a planner's thread is done */
  while (!n && fake_any_planner_busy()) n = look(fd, ev, max, GRACE_MS);
  if (n) return n;
  n = look(fd, ev, max, GRACE_MS);
  if (!n && ms > 0) passed_ns += ms * 1000000LL;
  return n;
}
