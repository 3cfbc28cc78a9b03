/**
 * @file
 * Statistics of admission control: counts of decisions and distributions of waits, by account. Not
 * thread-safe.
 */
#ifndef TMX_STATISTICS_H
#define TMX_STATISTICS_H
#include "admission/admission_policy.h"

/** The statistics of one controller since its start. */
struct tmx_admission_statistics;

/** Creates empty statistics, which the caller owns. */
struct tmx_admission_statistics *tmx_admission_statistics_new(void);
/** Frees the statistics; NULL is allowed. */
void tmx_admission_statistics_free(struct tmx_admission_statistics *statistics);
/** Counts a decision that was sent to a user. */
void tmx_admission_statistics_count_result(struct tmx_admission_statistics *statistics, size_t team,
                                           size_t account, enum tmx_admission_result result);
/** Records that a job's first task was placed `wait_s` seconds after the job could have started. */
void tmx_admission_statistics_record_start(struct tmx_admission_statistics *statistics, size_t team,
                                           size_t account, double wait_s);

/** The statistics of one account since the start of this controller. */
struct tmx_account_figures {
  unsigned long admitted, /**< submissions that this controller admitted */
      refused_team,       /**< submissions refused at the ceiling of the team */
      refused_class;      /**< submissions refused at the ceiling of the class */
  unsigned long starts;   /**< jobs whose first task was placed */
  double start_median_s,  /**< median wait, s, rounded up to the bound of a bin, but at most
                               start_max_s; 0: no starts */
      start_p99_s,        /**< 99th percentile of the waits, s, rounded like the median */
      start_max_s;        /**< longest wait, s */
};
/** Returns the figures of one account; `statistics` must not be NULL. */
struct tmx_account_figures tmx_admission_statistics_figures(
    const struct tmx_admission_statistics *statistics, size_t team, size_t account);
#endif
