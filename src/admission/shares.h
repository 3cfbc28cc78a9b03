/**
 * @file
 * Divides a bound among competing parties: each has a reserve, and a shared pool is allocated by
 * dynamic thresholds (A. Choudhury and E. Hahne, "Dynamic queue length thresholds for shared-memory
 * packet switches", IEEE/ACM Transactions on Networking 6(2), 1998). Pure functions.
 */
#ifndef TMX_SHARES_H
#define TMX_SHARES_H
#include <stddef.h>

/** The division of a bound among parties. */
struct tmx_division {
  double bound;         /**< amount that all parties together may use */
  double reserve;       /**< share of the bound that is set aside, 0 to 1 */
  const double *weight; /**< each party's share of the reserve; sum 1; NULL: equal shares */
  size_t parties;       /**< number of parties; length of `weight` */
};

/**
 * Returns the amount that the party at `index` may use, given the amounts in `used` that the others
 * use. It is at least the party's own reserve. If each party is at or below its ceiling whenever
 * its use increases, all parties together stay at or below the bound.
 */
double tmx_share_ceiling(const struct tmx_division *division, const double *used, size_t index);
/** Returns the part of the bound that is reserved for the party, whatever the others use. */
double tmx_share_reserve(const struct tmx_division *division, size_t index);
#endif
