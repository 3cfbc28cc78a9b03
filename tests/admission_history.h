/* Random histories of admission for property tests: each step is a number. */
#ifndef ADMISSION_HISTORY_H
#define ADMISSION_HISTORY_H
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif
struct admission_report {
  unsigned submitted, refused;
  unsigned newcomers_refused;      /* submissions into an empty account */
  unsigned refused_without_load;   /* ... while everything fits into the smallest reserve */
  unsigned over_bound;             /* the sum exceeded the bound, large newcomers aside */
  unsigned live_replica_differs;   /* accounts of a replica that was loaded midway, then followed */
  unsigned loaded_replica_differs; /* ... that was loaded at the end */
  unsigned folded_replica_differs; /* ... that was loaded from pages of a fold */
};
/* Plays the steps; load_at: the step after which the second replica is loaded. */
struct admission_report admission_history(const uint32_t *steps, size_t n, size_t load_at);
#ifdef __cplusplus
}
#endif
#endif
