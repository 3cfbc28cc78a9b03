#include "admission/shares.h"

#include <math.h>

#include "tmx/constants.h"

double tmx_share_reserve(const struct tmx_division *division, size_t index) {
  double weight = division->weight ? division->weight[index] : 1.0 / (double)division->parties;
  return division->bound * division->reserve * weight;
}

/* With alpha = TMX_DYNAMIC_THRESHOLD_ALPHA a party may use up to alpha times what then remains free
 * in the pool. The ceiling of the party is therefore alpha / (1 + alpha) of what the others leave.
 */
double tmx_share_ceiling(const struct tmx_division *division, const double *used, size_t index) {
  double pool = division->bound * (1 - division->reserve);
  double remaining = pool;
  for (size_t i = 0; i < division->parties; i++) {
    if (i == index) continue;
    remaining -= fmax(0, used[i] - tmx_share_reserve(division, i));
  }
  double from_pool =
      fmax(0, remaining) * TMX_DYNAMIC_THRESHOLD_ALPHA / (1 + TMX_DYNAMIC_THRESHOLD_ALPHA);
  return tmx_share_reserve(division, index) + from_pool;
}
