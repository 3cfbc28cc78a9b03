/** @file
 *  Random histories of admission decisions for property tests. Each random number is one event. */
#ifndef ADMISSION_HISTORY_H
#define ADMISSION_HISTORY_H
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif
/** Counts of decisions, and of violated properties. */
struct admission_report {
  unsigned submitted, refused;        /**< submissions, and those that were refused */
  unsigned first_submissions_refused; /**< refusals for accounts without open jobs */
  unsigned refused_without_load; /**< refusals although the backlog fits the smallest reserve */
  /** Admissions after which the backlog exceeded its limit plus the load admitted to accounts
   *  without open jobs. */
  unsigned bound_violations;
  /** 1: accounts differ in a replica that was loaded after step load_at and applied the later
   *  entries. */
  unsigned live_replica_differs;
  unsigned loaded_replica_differs;    /**< 1: they differ in a replica loaded at the end */
  unsigned compacted_replica_differs; /**< 1: they differ in one loaded from a compaction page */
};
/** Runs one event for each step.
 *  @param steps random numbers that determine the events
 *  @param load_at index of the step after which the second replica is loaded */
struct admission_report run_admission_history(const uint32_t *steps, size_t n, size_t load_at);
#ifdef __cplusplus
}
#endif
#endif
