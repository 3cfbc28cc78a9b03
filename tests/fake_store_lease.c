/* Leases of the fake store. */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "fake_store_internal.h"
#include "net/http.h"
#include "tmx/wire.h"

enum { LEASES_MAX = 4096 };

bool fake_store_lease_expired(uint64_t lease) {
  if (lease <= fake_store.leases_expired_up_to) return true;
  return fake_store.lease_expires_at && fake_store.lease_expires_at[lease] < tmx_clock_steady();
}

static void renew(uint64_t lease) {
  if (fake_store.lease_expires_at && lease < LEASES_MAX)
    fake_store.lease_expires_at[lease] = tmx_clock_steady() + TMX_LEASE_TTL_MS / 1000.0;
}

void fake_enforce_leases(void) {
  if (!fake_store.lease_expires_at) {
    fake_store.lease_expires_at = calloc(LEASES_MAX, sizeof *fake_store.lease_expires_at);
    for (uint64_t lease = 0; lease <= fake_store.leases_granted; lease++) renew(lease);
  }
  for (size_t i = 0; i < fake_store.n_entries; i++) {
    const struct fake_entry *entry = &fake_store.entries[i];
    if (!entry->lease || !fake_store_lease_expired(entry->lease)) continue;
    char key[TMX_KEY_MAX + 1];
    memcpy(key, entry->key, sizeof key);
    fake_delete(key);
    return; /* the deletion moved the entries; the next call continues the search */
  }
}

void fake_store_answer_lease(struct tmx_http_request *request) {
  struct tmx_buffer buffer = {0};
  const char *number = request->path + strlen(WP_LEASES);
  if (*number == '/') number++;
  uint64_t lease = strtoull(number, NULL, 10); /* 0: grant a new lease */
  if (lease && fake_store.lease_expires_at && fake_store_lease_expired(lease)) {
    tmx_http_reply(request, 404, NULL, 0);
    return;
  }
  if (!lease) lease = ++fake_store.leases_granted;
  renew(lease);
  tmx_cbor_put_map(&buffer, 1);
  tmx_cbor_put_u64_field(&buffer, W_LEASE, lease);
  tmx_http_reply(request, 200, &buffer, 0);
  tmx_buffer_free(&buffer);
}
