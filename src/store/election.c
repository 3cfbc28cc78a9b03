/* The leader election: controllers compete with a compare-and-swap on the leader key, which is
 * attached to the lease of the controller that wrote it. */
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "store/store_internal.h"

void tmx_election_init(struct tmx_election *election) {
  election->attempted_at = -TMX_STORE_RETRY_DELAY_S;
}

static bool leader_key_names_this_node(const struct tmx_store *store) {
  return !strcmp(store->replica->leader, store->settings->node_name);
}

static bool leader_key_names_this_incarnation(const struct tmx_store *store) {
  return leader_key_names_this_node(store) &&
         store->replica->leader_incarnation == store->registration.incarnation;
}

/* A leader key that an earlier incarnation of this node or a suspected leader wrote exists until
 * its lease expires. This controller may overwrite such a key immediately. */
static bool may_claim_leadership(const struct tmx_store *store) {
  const struct tmx_replica *replica = store->replica;
  if (leader_key_names_this_incarnation(store)) return false;
  if (!replica->leader_version || leader_key_names_this_node(store)) return true;
  return !strcmp(replica->leader, store->election.suspected_leader);
}

static void on_elected(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_store *store = arg;
  (void)revision;
  store->election.in_flight = false;
  if (result == TMX_TRANSACTION_COMMITTED) tmx_log(TMX_LOG_INFO, "state: elected leader");
}

/* The transaction requires the version of the leader key that the replica shows, so only one of
 * several candidates wins. */
static void write_leader_key(struct tmx_store *store, double now) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_transaction_require_version(&transaction, TMX_KEY_LEADER, store->replica->leader_version);
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_text_field(&value, "name", store->settings->node_name);
  tmx_cbor_put_u64_field(&value, "inc", store->registration.incarnation);
  tmx_transaction_put(&transaction, TMX_KEY_LEADER, &value, store->lease.id);
  tmx_buffer_free(&value);
  store->election.attempted_at = now;
  store->election.in_flight = tmx_store_commit(store, &transaction, true, on_elected, store);
}

void tmx_election_maintain(struct tmx_store *store, double now) {
  const struct tmx_election *election = &store->election;
  if (election->abstains || election->in_flight) return;
  if (!store->replica->loaded || !store->registration.incarnation) return;
  if (now - election->attempted_at < TMX_STORE_RETRY_DELAY_S) return;
  if (may_claim_leadership(store)) write_leader_key(store, now);
}

bool tmx_store_is_leader(const struct tmx_store *store) {
  return tmx_store_is_member(store) && store->replica->leader_version &&
         leader_key_names_this_incarnation(store);
}

void tmx_store_set_suspected_leader(struct tmx_store *store, const char *node) {
  struct tmx_election *election = &store->election;
  snprintf(election->suspected_leader, sizeof election->suspected_leader, "%s", node);
}

void tmx_store_abstain_from_election(struct tmx_store *store, bool abstains) {
  store->election.abstains = abstains;
}
