/**
 * @file
 * Shares of a bound among competing parties: a reserve for each, and a shared pool handed out by
 * dynamic thresholds (A. Choudhury and E. Hahne, "Dynamic queue length thresholds for shared-memory
 * packet switches", IEEE/ACM Transactions on Networking 6(2), 1998). Pure functions.
 */
#ifndef TMX_SHARES_H
#define TMX_SHARES_H
#include <stddef.h>

/** How one bound is divided. */
struct tmx_division {
  double bound;         /**< what all parties together may use */
  double reserve;       /**< share of the bound that is set aside, 0 to 1 */
  const double *weight; /**< of the reserve, one a party, adding up to 1; NULL: equal parts */
  size_t parties;       /**< number of parties; length of `weight` */
};

/** What the party at `index` may use while the others use what `used` tells. It is at least the
 * party's own reserve. If every party stays at or below its ceiling at the time when it grows, all
 * together stay at or below the bound. */
double tmx_share_ceiling(const struct tmx_division *division, const double *used, size_t index);
/** The part of the bound that is kept for this party whatever the others use. */
double tmx_share_reserve(const struct tmx_division *division, size_t index);
#endif
