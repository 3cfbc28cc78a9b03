/* The registration: maintains this controller's member key, whose version is the controller's
 * incarnation. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "store/store_internal.h"

void tmx_registration_init(struct tmx_store *store) {
  struct tmx_registration *registration = &store->registration;
  snprintf(registration->key, sizeof registration->key, TMX_KEY_MEMBER "%s",
           store->settings->node_name);
  tmx_registration_restart(registration);
}

void tmx_registration_restart(struct tmx_registration *registration) {
  registration->incarnation = 0;
  registration->attempted_at = -TMX_STORE_RETRY_DELAY_S;
}

static void on_registered(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_store *store = arg;
  struct tmx_registration *registration = &store->registration;
  registration->in_flight = false;
  switch (result) {
    case TMX_TRANSACTION_COMMITTED:
      registration->incarnation = revision;
      tmx_log(TMX_LOG_INFO, "state: registered as incarnation %llu", (unsigned long long)revision);
      break;
    case TMX_TRANSACTION_NOT_EXECUTED:
      registration->attempted_at = tmx_clock_steady();
      break;
    case TMX_TRANSACTION_CONFLICT:
    case TMX_TRANSACTION_UNKNOWN:
      break; /* retried TMX_STORE_RETRY_DELAY_S after the attempt was sent */
  }
}

/* A put of the member key that got no response, from this process or the previous one, may be
 * executed after the put that set the current incarnation. The key then shows another incarnation,
 * or the store deletes it when the lease of the other put expires. Without a new registration no
 * view would contain the current incarnation. */
static bool is_registration_lost(const struct tmx_store *store) {
  const struct tmx_replica *replica = store->replica;
  uint64_t incarnation = store->registration.incarnation;
  if (!incarnation || !replica->loaded || replica->revision < incarnation) return false;
  for (size_t i = 0; i < replica->n_registered_members; i++) {
    const struct tmx_member *member = &replica->registered_members[i];
    if (!strcmp(member->name, store->settings->node_name))
      return member->incarnation != incarnation;
  }
  return true;
}

static void write_member_key(struct tmx_store *store, double now) {
  struct tmx_registration *registration = &store->registration;
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text_field(&value, "listen", store->settings->listen);
  tmx_transaction_put(&transaction, registration->key, &value, store->lease.id);
  tmx_buffer_free(&value);
  registration->attempted_at = now;
  registration->in_flight = tmx_store_commit(store, &transaction, true, on_registered, store);
}

void tmx_registration_maintain(struct tmx_store *store, double now) {
  struct tmx_registration *registration = &store->registration;
  if (registration->in_flight) return;
  if (is_registration_lost(store)) {
    tmx_log(TMX_LOG_INFO,
            "state: the member key is missing or shows another incarnation, registering again");
    registration->incarnation = 0;
  }
  if (!store->lease.id || registration->incarnation) return;
  if (now - registration->attempted_at < TMX_STORE_RETRY_DELAY_S) return;
  write_member_key(store, now);
}

uint64_t tmx_store_incarnation(const struct tmx_store *store) {
  return store->registration.incarnation;
}

bool tmx_store_is_member(const struct tmx_store *store) {
  uint64_t incarnation = store->registration.incarnation;
  const struct tmx_member *member = tmx_member_find(store->replica, store->settings->node_name);
  return store->replica->loaded && incarnation && member && member->incarnation == incarnation;
}
