#include "admission/shares.h"

#include <math.h>

#include "tmx/constants.h"

double tmx_share_reserve(const struct tmx_division *division, size_t index) {
  double weight = division->weight ? division->weight[index] : 1.0 / (double)division->parties;
  return division->bound * division->reserve * weight;
}

/* With alpha = TMX_SHARE_ALPHA a party may take alpha times what it leaves free in the pool, so the
 * ceiling is the point at which it has: alpha / (1 + alpha) of what the others leave. */
double tmx_share_ceiling(const struct tmx_division *division, const double *used, size_t index) {
  double pool = division->bound * (1 - division->reserve);
  double left = pool;
  for (size_t i = 0; i < division->parties; i++) {
    if (i == index) continue;
    left -= fmax(0, used[i] - tmx_share_reserve(division, i));
  }
  double of_pool = fmax(0, left) * TMX_SHARE_ALPHA / (1 + TMX_SHARE_ALPHA);
  return tmx_share_reserve(division, index) + of_pool;
}
