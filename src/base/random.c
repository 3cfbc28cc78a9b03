#include "base/random.h"

#include <gsl/gsl_rng.h>
#include <time.h>
#include <unistd.h>

#include "tmx/constants.h"

/* Combines the time with the process ID, so that processes that start in the same second draw
 * different numbers. */
static unsigned long process_seed(void) {
  struct timespec time;
  clock_gettime(CLOCK_REALTIME, &time);
  return (unsigned long)time.tv_nsec ^ ((unsigned long)getpid() << 20) ^ (unsigned long)time.tv_sec;
}

static gsl_rng *generator(void) {
  static gsl_rng *shared;
  if (!shared) {
    shared = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(shared, process_seed());
  }
  return shared;
}

int tmx_random_below(int bound) {
  return (int)gsl_rng_uniform_int(generator(), (unsigned long)bound);
}

int tmx_retry_after(void) {
  return TMX_RETRY_AFTER_MIN_S + tmx_random_below(TMX_RETRY_AFTER_JITTER_S);
}
