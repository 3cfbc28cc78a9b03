/**
 * @file
 * Counters and distributions of admission, by account. Not thread-safe.
 */
#ifndef TMX_STATISTICS_H
#define TMX_STATISTICS_H
#include "admission/admission_policy.h"

/** The statistics of one controller since its start. */
struct tmx_statistics;

/** Creates empty statistics, which the caller owns. */
struct tmx_statistics *tmx_statistics_new(void);
/** Frees the statistics; NULL is allowed. */
void tmx_statistics_free(struct tmx_statistics *statistics);
/** Counts a decision that a user was told. */
void tmx_statistics_count_result(struct tmx_statistics *statistics, size_t team, size_t account,
                                 enum tmx_admission_result result);
/** A job's first task was placed so long after the job could have begun, s. */
void tmx_statistics_start(struct tmx_statistics *statistics, size_t team, size_t account,
                          double wait_s);

/** What one account saw since the start of this controller. */
struct tmx_account_figures {
  unsigned long admitted, /**< submissions that this controller admitted */
      refused_team,       /**< submissions refused at the ceiling of the team */
      refused_class;      /**< submissions refused at the ceiling of the class */
  unsigned long starts;   /**< jobs whose first task was placed */
  double start_median_s,  /**< median of their waits, s, rounded up to a bin; 0: no job */
      start_p99_s,        /**< 99th percentile of their waits, s, rounded up to a bin */
      start_max_s;        /**< longest wait, s */
};
/** The figures of one account; `statistics` must not be NULL. */
struct tmx_account_figures tmx_statistics_figures(const struct tmx_statistics *statistics,
                                                  size_t team, size_t account);
#endif
