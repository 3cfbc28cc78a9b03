#include "cloud/offer_backoff.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* The entry of the offer, which is added if there is none. A full table can only hold types that
 * the catalogue no longer names, so it starts afresh. */
static struct tmx_offer_backoff *obtain(struct tmx_offer_backoffs *backoffs, const char *type,
                                        int zone, bool spot) {
  for (size_t i = 0; i < backoffs->count; i++) {
    struct tmx_offer_backoff *entry = &backoffs->entries[i];
    if (entry->zone == zone && entry->spot == spot && !strcmp(entry->type, type)) return entry;
  }
  if (backoffs->count == TMX_OFFERS_MAX) backoffs->count = 0;
  struct tmx_offer_backoff *entry = &backoffs->entries[backoffs->count++];
  memset(entry, 0, sizeof *entry);
  snprintf(entry->type, sizeof entry->type, "%s", type);
  entry->zone = zone;
  entry->spot = spot;
  return entry;
}

bool tmx_offer_is_backed_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot, double now) {
  return obtain(backoffs, type, zone, spot)->until > now;
}

void tmx_offer_back_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone, bool spot,
                        double now) {
  struct tmx_offer_backoff *entry = obtain(backoffs, type, zone, spot);
  entry->wait_s = fmin(fmax(entry->wait_s * 2, TMX_OFFER_BACKOFF_MIN_S), TMX_OFFER_BACKOFF_MAX_S);
  entry->until = now + entry->wait_s;
}

void tmx_offer_reset_backoff(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot) {
  obtain(backoffs, type, zone, spot)->wait_s = 0;
}
