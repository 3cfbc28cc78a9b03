/** @file Counters and distributions of admission, by account. Not thread-safe. */
#ifndef TMX_STATISTICS_H
#define TMX_STATISTICS_H
#include "admission/admission_policy.h"

struct tmx_statistics;

struct tmx_statistics *tmx_statistics_new(void);
/** NULL is allowed. */
void tmx_statistics_free(struct tmx_statistics *statistics);
/** Counts a decision that a user was told. */
void tmx_statistics_count_result(struct tmx_statistics *statistics, size_t team, size_t account,
                                 enum tmx_admission_result result);
/** A job's first task was placed so long after the job could have begun, s. */
void tmx_statistics_start(struct tmx_statistics *statistics, size_t team, size_t account,
                          double wait_s);

/** What one account saw since the start of this controller. */
struct tmx_account_figures {
  /** Submissions that this controller answered. */
  unsigned long admitted, refused_team, refused_class;
  /** Jobs whose first task was placed, and how long they had waited for it; 0: none. */
  unsigned long starts;
  double start_median_s, start_p99_s, start_max_s;
};
struct tmx_account_figures tmx_statistics_figures(const struct tmx_statistics *statistics,
                                                  size_t team, size_t account);
#endif
