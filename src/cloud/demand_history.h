/**
 * @file
 * The demand of the last TMX_PEAK_DEMAND_WINDOW_S seconds: booked CPUs plus CPUs that pending tasks
 * request. Scale-in keeps enough capacity for the peak. Every controller records the history, so
 * that a new leader knows the peak. Otherwise no machine could be drained as excess capacity for
 * TMX_PEAK_DEMAND_WINDOW_S after each change of leader. No I/O.
 */
#ifndef TMX_DEMAND_HISTORY_H
#define TMX_DEMAND_HISTORY_H
#include "tmx/constants.h"

/** A zeroed history is empty. */
struct tmx_demand_history {
  double
      cpus_by_second[TMX_PEAK_DEMAND_WINDOW_S]; /**< ring buffer: the peak of each second, CPUs */
  int latest_second; /**< second of the latest sample on the steady clock */
  double since;      /**< steady clock, s: there has been no gap between samples since then */
};

/** Adds a sample. Clears the history first if the latest sample is more than TMX_DEMAND_GAP_MAX_S
 * old, as the demand in between is unknown. */
void tmx_demand_history_record(struct tmx_demand_history *history, double cpus, double now);
/** Returns the peak demand in the history, CPUs. */
double tmx_demand_history_peak(const struct tmx_demand_history *history);
#endif
