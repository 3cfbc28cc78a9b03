#include "cloud/demand_history.h"

#include <math.h>
#include <string.h>

void tmx_demand_history_record(struct tmx_demand_history *history, double cpus, double now) {
  int second = (int)now;
  if (second - history->latest_second > TMX_DEMAND_GAP_MAX_S) {
    memset(history->cpus_by_second, 0, sizeof history->cpus_by_second);
    history->since = now;
    history->latest_second = second;
  }
  while (history->latest_second < second)
    history->cpus_by_second[++history->latest_second % TMX_PEAK_DEMAND_WINDOW_S] = 0;
  double *peak_of_second = &history->cpus_by_second[second % TMX_PEAK_DEMAND_WINDOW_S];
  *peak_of_second = fmax(*peak_of_second, cpus);
}

double tmx_demand_history_peak(const struct tmx_demand_history *history) {
  double peak = 0;
  for (int i = 0; i < TMX_PEAK_DEMAND_WINDOW_S; i++) peak = fmax(peak, history->cpus_by_second[i]);
  return peak;
}
