/* The facade of the store client: creation and destruction, the tick, and the access to the write
 * budget with this controller's current share of the write rate. */
#include "store/store.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "store/store_internal.h"

enum { REQUEST_CONNECTIONS = 24 };

struct tmx_store *tmx_store_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                struct tmx_replica *replica) {
  struct tmx_store *store = tmx_allocate(1, sizeof *store);
  store->loop = loop;
  store->settings = settings;
  store->replica = replica;
  store->request_connections =
      tmx_http_client_new(loop, settings->store_address, REQUEST_CONNECTIONS);
  tmx_write_budget_init(&store->write_budget, tmx_clock_steady());
  tmx_lease_init(&store->lease);
  tmx_registration_init(store);
  tmx_election_init(&store->election);
  tmx_watch_init(store);
  tmx_read_index_init(store);
  tmx_store_tick(store);
  return store;
}

void tmx_store_free(struct tmx_store *store) {
  tmx_watch_free(store);
  tmx_read_index_free(store);
  tmx_http_client_free(store->request_connections);
  tmx_transactions_discard(store);
  tmx_initial_load_reset(&store->load);
  free(store);
}

void tmx_store_tick(struct tmx_store *store) {
  double now = tmx_clock_steady();
  tmx_lease_maintain(store, now);
  tmx_registration_maintain(store, now);
  tmx_election_maintain(store, now);
  tmx_read_index_complete(store);
  tmx_read_index_send_if_due(store);
}

/* Until the replica is loaded and has a view, every controller in the settings counts, as each of
 * them may be running. */
double tmx_store_members_sharing_rates(const struct tmx_store *store) {
  size_t n_members = store->replica->view.n_members;
  if (n_members > 0 && store->replica->loaded) return (double)n_members;
  return (double)store->settings->n_peers + 1;
}

struct tmx_write_share tmx_store_write_share(const struct tmx_store *store) {
  return (struct tmx_write_share){.store_rate = store->settings->write_rps,
                                  .n_members = tmx_store_members_sharing_rates(store),
                                  .is_leader = tmx_store_is_leader(store)};
}

struct tmx_write_budget *tmx_store_refill_write_budget(struct tmx_store *store) {
  struct tmx_write_share share = tmx_store_write_share(store);
  tmx_write_budget_refill(&store->write_budget, &share, tmx_clock_steady());
  return &store->write_budget;
}

double tmx_store_write_budget(struct tmx_store *store) {
  struct tmx_write_share share = tmx_store_write_share(store);
  return tmx_write_budget_available(tmx_store_refill_write_budget(store), &share);
}

double tmx_store_write_budget_delay(struct tmx_store *store, double puts) {
  struct tmx_write_share share = tmx_store_write_share(store);
  return tmx_write_budget_delay(tmx_store_refill_write_budget(store), &share, puts);
}

bool tmx_store_is_write_load_low(struct tmx_store *store) {
  struct tmx_write_share share = tmx_store_write_share(store);
  return tmx_write_budget_is_load_low(tmx_store_refill_write_budget(store), &share);
}

bool tmx_store_has_housekeeping_budget(struct tmx_store *store) {
  struct tmx_write_share share = tmx_store_write_share(store);
  return tmx_write_budget_allows_housekeeping(tmx_store_refill_write_budget(store), &share);
}

bool tmx_store_reserve_submission_write(struct tmx_store *store) {
  struct tmx_write_share share = tmx_store_write_share(store);
  return tmx_write_budget_reserve_submission(&store->write_budget, &share, tmx_clock_steady());
}

int tmx_store_reserve_unused_writes(struct tmx_store *store, int wanted) {
  struct tmx_write_share share = tmx_store_write_share(store);
  return tmx_write_budget_reserve_unused(tmx_store_refill_write_budget(store), &share, wanted);
}
