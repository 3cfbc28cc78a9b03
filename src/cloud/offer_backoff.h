/**
 * @file
 * Exponential backoff of offers. An offer is a machine type in one zone, on demand or spot. An
 * offer that the cloud refused is not requested again until its backoff is over. No I/O.
 */
#ifndef TMX_OFFER_BACKOFF_H
#define TMX_OFFER_BACKOFF_H
#include <stdbool.h>
#include <stddef.h>

#include "tmx/constants.h"

/** Size of the table of offers. */
enum {
  /** Entries: each type in each zone, on demand and spot. */
  TMX_OFFERS_MAX = TMX_MACHINE_TYPES_MAX * TMX_ZONES_MAX * 2
};

/** The backoff of one offer. */
struct tmx_offer_backoff {
  char type[TMX_ID_BYTES]; /**< name of the machine type */
  int zone;                /**< zone index of the settings */
  bool spot;               /**< spot, else on demand */
  double until;            /**< steady clock, s: end of the backoff; 0: never refused */
  double latest_backoff_s; /**< s: length of the latest backoff; 0: none, or it was reset */
};

/** All offers that were looked up. A zeroed table is empty. */
struct tmx_offer_backoffs {
  struct tmx_offer_backoff entries[TMX_OFFERS_MAX]; /**< in the order of the first lookup */
  size_t count; /**< entries in use; a full table is cleared before an entry is added */
};

/** Returns whether the offer must not be requested at `now`. */
bool tmx_offer_is_backed_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot, double now);
/** Starts a backoff. It is twice as long as the latest backoff, at least TMX_OFFER_BACKOFF_MIN_S
 * and at most TMX_OFFER_BACKOFF_MAX_S. To be called if the cloud refused the offer or granted fewer
 * machines than requested. */
void tmx_offer_back_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone, bool spot,
                        double now);
/** Makes the next backoff start from TMX_OFFER_BACKOFF_MIN_S again. To be called if the cloud
 * granted all requested machines. */
void tmx_offer_reset_backoff(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot);
#endif
