/**
 * @file
 * The demand of the last TMX_PEAK_DEMAND_WINDOW_S seconds: CPUs that were booked or asked for.
 * Scale-in keeps room for the peak. Every controller keeps the history, so that one that becomes
 * leader knows the peak: otherwise nothing would be returned for TMX_PEAK_DEMAND_WINDOW_S after
 * every change of leader. No I/O.
 */
#ifndef TMX_DEMAND_HISTORY_H
#define TMX_DEMAND_HISTORY_H
#include "tmx/constants.h"

/** A zeroed history is an empty one. */
struct tmx_demand_history {
  double cpus_by_second[TMX_PEAK_DEMAND_WINDOW_S]; /**< ring: the highest demand of each second,
                                                      CPUs */
  int latest_second; /**< of the steady clock, of the latest sample, s */
  double since;      /**< steady clock, s; samples have been taken without a gap since then */
};

/** Adds a sample. After a gap of more than TMX_DEMAND_GAP_MAX_S the history starts afresh, as the
 * demand in between is not known. */
void tmx_demand_history_record(struct tmx_demand_history *history, double cpus, double now);
/** The highest demand in the history, CPUs. */
double tmx_demand_history_peak(const struct tmx_demand_history *history);
#endif
