#include "admission/statistics.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdlib.h>

#include "base/memory.h"

/* The statistics of one account. */
struct account_statistics {
  unsigned long n_results[TMX_REFUSED_CLASS + 1]; /* by enum tmx_admission_result */
  double max_s;                                   /* longest wait until a start, s */
  gsl_histogram *waits;                           /* s; NULL until the first start */
};
struct tmx_admission_statistics {
  struct account_statistics accounts[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

struct tmx_admission_statistics *tmx_admission_statistics_new(void) {
  return tmx_allocate(1, sizeof(struct tmx_admission_statistics));
}

void tmx_admission_statistics_free(struct tmx_admission_statistics *statistics) {
  if (!statistics) return;
  for (size_t team = 0; team < TMX_TEAMS_MAX; team++)
    for (size_t i = 0; i < TMX_ACCOUNTS_MAX; i++) {
      gsl_histogram *waits = statistics->accounts[team][i].waits;
      if (waits) gsl_histogram_free(waits);
    }
  free(statistics);
}

void tmx_admission_statistics_count_result(struct tmx_admission_statistics *statistics, size_t team,
                                           size_t account, enum tmx_admission_result result) {
  statistics->accounts[team][account].n_results[result]++;
}

/* The bounds of the bins grow by a constant factor, so that the relative error is the same for all
 * waits. */
static gsl_histogram *new_histogram(void) {
  double bounds[TMX_START_WAIT_BINS + 1] = {0};
  bounds[1] = TMX_START_WAIT_FIRST_BIN_S;
  for (size_t i = 2; i <= TMX_START_WAIT_BINS; i++)
    bounds[i] = bounds[i - 1] * TMX_START_WAIT_BIN_FACTOR;
  gsl_histogram *histogram = gsl_histogram_alloc(TMX_START_WAIT_BINS);
  if (!histogram) abort();
  gsl_histogram_set_ranges(histogram, bounds, TMX_START_WAIT_BINS + 1);
  return histogram;
}

void tmx_admission_statistics_record_start(struct tmx_admission_statistics *statistics, size_t team,
                                           size_t account, double wait_s) {
  struct account_statistics *record = &statistics->accounts[team][account];
  if (!record->waits) record->waits = new_histogram();
  record->max_s = fmax(record->max_s, wait_s);
  double last = nextafter(gsl_histogram_max(record->waits), 0);
  gsl_histogram_increment(record->waits, fmin(fmax(wait_s, 0), last));
}

/* Returns the upper bound of the bin that contains the quantile for `share` (0 to 1). */
static double quantile(const gsl_histogram *histogram, double share) {
  double target = share * gsl_histogram_sum(histogram), cumulative = 0, lower = 0, upper = 0;
  for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
    cumulative += gsl_histogram_get(histogram, i);
    gsl_histogram_get_range(histogram, i, &lower, &upper);
    if (cumulative >= target) break;
  }
  return upper;
}

struct tmx_account_figures tmx_admission_statistics_figures(
    const struct tmx_admission_statistics *statistics, size_t team, size_t account) {
  const struct account_statistics *record = &statistics->accounts[team][account];
  struct tmx_account_figures figures = {.admitted = record->n_results[TMX_ADMITTED],
                                        .refused_team = record->n_results[TMX_REFUSED_TEAM],
                                        .refused_class = record->n_results[TMX_REFUSED_CLASS]};
  if (!record->waits) return figures;
  figures.starts = (unsigned long)gsl_histogram_sum(record->waits);
  figures.start_median_s = fmin(quantile(record->waits, 0.5), record->max_s);
  figures.start_p99_s = fmin(quantile(record->waits, 0.99), record->max_s);
  figures.start_max_s = record->max_s;
  return figures;
}
