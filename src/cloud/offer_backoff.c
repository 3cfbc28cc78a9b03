#include "cloud/offer_backoff.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Returns the entry of the offer; adds it if there is none. The table has an entry for each offer
 * of a full catalogue. If it is full, it holds types that are no longer in the catalogue, so it is
 * cleared. */
static struct tmx_offer_backoff *find_or_add(struct tmx_offer_backoffs *backoffs, const char *type,
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
  return find_or_add(backoffs, type, zone, spot)->until > now;
}

void tmx_offer_back_off(struct tmx_offer_backoffs *backoffs, const char *type, int zone, bool spot,
                        double now) {
  struct tmx_offer_backoff *entry = find_or_add(backoffs, type, zone, spot);
  entry->latest_backoff_s =
      fmin(fmax(entry->latest_backoff_s * 2, TMX_OFFER_BACKOFF_MIN_S), TMX_OFFER_BACKOFF_MAX_S);
  entry->until = now + entry->latest_backoff_s;
}

void tmx_offer_reset_backoff(struct tmx_offer_backoffs *backoffs, const char *type, int zone,
                             bool spot) {
  find_or_add(backoffs, type, zone, spot)->latest_backoff_s = 0;
}
