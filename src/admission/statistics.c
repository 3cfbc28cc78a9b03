#include "admission/statistics.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdlib.h>

#include "base/memory.h"

struct entry {
  unsigned long n_results[TMX_REFUSED_CLASS + 1];
  double max_s;
  gsl_histogram *waits; /* NULL until the first start */
};
struct tmx_statistics {
  struct entry entries[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

struct tmx_statistics *tmx_statistics_new(void) {
  return tmx_allocate(1, sizeof(struct tmx_statistics));
}

void tmx_statistics_free(struct tmx_statistics *statistics) {
  if (!statistics) return;
  for (size_t team = 0; team < TMX_TEAMS_MAX; team++)
    for (size_t i = 0; i < TMX_ACCOUNTS_MAX; i++) {
      gsl_histogram *waits = statistics->entries[team][i].waits;
      if (waits) gsl_histogram_free(waits);
    }
  free(statistics);
}

void tmx_statistics_count_result(struct tmx_statistics *statistics, size_t team, size_t account,
                                 enum tmx_admission_result result) {
  statistics->entries[team][account].n_results[result]++;
}

/* Bounds of the bins grow by a constant factor: the relative error is the same for all waits. */
static gsl_histogram *new_histogram(void) {
  double bounds[TMX_START_BINS + 1] = {0};
  bounds[1] = TMX_START_BIN_FIRST_S;
  for (size_t i = 2; i <= TMX_START_BINS; i++) bounds[i] = bounds[i - 1] * TMX_START_BIN_FACTOR;
  gsl_histogram *histogram = gsl_histogram_alloc(TMX_START_BINS);
  if (!histogram) abort();
  gsl_histogram_set_ranges(histogram, bounds, TMX_START_BINS + 1);
  return histogram;
}

void tmx_statistics_start(struct tmx_statistics *statistics, size_t team, size_t account,
                          double wait_s) {
  struct entry *entry = &statistics->entries[team][account];
  if (!entry->waits) entry->waits = new_histogram();
  entry->max_s = fmax(entry->max_s, wait_s);
  double last = nextafter(gsl_histogram_max(entry->waits), 0);
  gsl_histogram_increment(entry->waits, fmin(fmax(wait_s, 0), last));
}

/* Upper bound of the bin in which the given share of all waits is reached. */
static double quantile(const gsl_histogram *histogram, double share) {
  double wanted = share * gsl_histogram_sum(histogram), seen = 0, lower = 0, upper = 0;
  for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
    seen += gsl_histogram_get(histogram, i);
    gsl_histogram_get_range(histogram, i, &lower, &upper);
    if (seen >= wanted) break;
  }
  return upper;
}

struct tmx_account_figures tmx_statistics_figures(const struct tmx_statistics *statistics,
                                                  size_t team, size_t account) {
  const struct entry *entry = &statistics->entries[team][account];
  struct tmx_account_figures figures = {.admitted = entry->n_results[TMX_ADMITTED],
                                        .refused_team = entry->n_results[TMX_REFUSED_TEAM],
                                        .refused_class = entry->n_results[TMX_REFUSED_CLASS]};
  if (!entry->waits) return figures;
  figures.starts = (unsigned long)gsl_histogram_sum(entry->waits);
  figures.start_median_s = fmin(quantile(entry->waits, 0.5), entry->max_s);
  figures.start_p99_s = fmin(quantile(entry->waits, 0.99), entry->max_s);
  figures.start_max_s = entry->max_s;
  return figures;
}
