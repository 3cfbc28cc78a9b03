/**
 * @file
 * Backoff of offers: an offer is a machine type in one zone, on demand or spot. One that the cloud
 * refused is not asked for until its backoff is over; each refusal doubles it. No I/O.
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
  int zone;                /**< index in the settings */
  bool spot;               /**< spot, else on demand */
  double until;            /**< steady clock, s; 0: never refused */
  double wait_s; /**< s: length of the latest backoff; 0: the latest request was granted */
};

/** All offers that were looked up. A zeroed table is an empty one. */
struct tmx_offer_backoffs {
  struct tmx_offer_backoff entries[TMX_OFFERS_MAX]; /**< in the order of the first look-up */
  size_t count; /**< entries in use; a full table starts afresh */
};

/** Whether the offer must not be asked for at `now`. */
bool tmx_offer_is_backed_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot, double now);
/** The cloud refused the offer or granted less than was asked for. */
void tmx_offer_back_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone, bool spot,
                        double now);
/** The cloud granted the offer in full: the next backoff starts from the shortest again. */
void tmx_offer_reset_backoff(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot);
#endif
