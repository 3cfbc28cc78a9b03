#include "replica/ownership.h"

#include <stdio.h>
#include <string.h>

#include "replica/replica_internal.h"

int tmx_member_index(const struct tmx_replica *replica, const char *name) {
  for (size_t i = 0; name && i < replica->view.n_members; i++)
    if (!strcmp(replica->view.members[i].name, name)) return (int)i;
  return -1;
}

static const struct tmx_member *member_at(const struct tmx_replica *replica, int index) {
  return index >= 0 ? &replica->view.members[index] : NULL;
}

const struct tmx_member *tmx_member_find(const struct tmx_replica *replica, const char *name) {
  return member_at(replica, tmx_member_index(replica, name));
}

/* 64-bit FNV-1a, except that the initial value lacks the last digit of the standard offset basis.
 * All controllers must use the same value, or they would disagree about owners. */
#define HASH_INITIAL 1469598103934665603ull
#define HASH_PRIME 1099511628211ull

static uint64_t hash_text(uint64_t hash, const char *text) {
  for (; *text; text++) hash = (hash ^ (uint8_t)*text) * HASH_PRIME;
  return hash;
}

/* Hashes two names. The last three steps are the first three of MurmurHash3's 64-bit finalizer.
 * Without them, the last bytes of the names would affect only some of the bits. */
static uint64_t hash_pair(const char *first, const char *second) {
  uint64_t hash = hash_text(HASH_INITIAL, first);
  hash = (hash ^ 0xff) * HASH_PRIME; /* separates the names, neither of which contains this byte */
  hash = hash_text(hash, second);
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  return hash;
}

/* Rendezvous hashing: returns the member whose hash with `name` is highest. When a member leaves,
 * only the machines and jobs of that member move. Considers the members in `zone`; -1: all. */
static int member_with_highest_hash(const struct tmx_replica *replica, const char *name, int zone) {
  int best = -1;
  uint64_t best_hash = 0;
  for (size_t i = 0; i < replica->view.n_members; i++) {
    const struct tmx_member *member = &replica->view.members[i];
    if (zone >= 0 && member->zone != zone) continue;
    const uint64_t hash = hash_pair(member->name, name);
    if (best < 0 || hash > best_hash) {
      best_hash = hash;
      best = (int)i;
    }
  }
  return best;
}

int tmx_replica_owner_index(const struct tmx_replica *replica, const char *machine, int zone) {
  struct tmx_owner_override *override;
  HASH_FIND_STR(replica->view.overrides_by_machine, machine, override);
  int owner = override ? tmx_member_index(replica, override->node) : -1;
  if (owner < 0 && replica->view.zones_partitioned && zone >= 0)
    owner = member_with_highest_hash(replica, machine, zone);
  return owner >= 0 ? owner : member_with_highest_hash(replica, machine, -1);
}

const char *tmx_machine_owner(const struct tmx_replica *replica, const char *machine) {
  const struct tmx_machine *known = tmx_machine_find(replica, machine);
  const int owner =
      known && known->registered ? known->owner : tmx_replica_owner_index(replica, machine, -1);
  const struct tmx_member *member = member_at(replica, owner);
  return member ? member->name : NULL;
}

int tmx_job_planner_index(const struct tmx_replica *replica, const char *job) {
  return member_with_highest_hash(replica, job, -1);
}

const char *tmx_job_planner(const struct tmx_replica *replica, const char *job) {
  const struct tmx_member *member = member_at(replica, tmx_job_planner_index(replica, job));
  return member ? member->name : NULL;
}

double tmx_replica_last_batch_at(const struct tmx_replica *replica, const char *node) {
  for (size_t i = 0; i < replica->n_last_batches; i++)
    if (!strcmp(replica->last_batches[i].node, node)) return replica->last_batches[i].seen_at;
  return 0;
}

void tmx_replica_record_batch_of(struct tmx_replica *replica, const char *name, size_t length) {
  if (!length || length >= TMX_NAME_BYTES) return;
  struct tmx_last_batch *batches = replica->last_batches;
  size_t i = 0;
  while (i < replica->n_last_batches &&
         (strncmp(batches[i].node, name, length) || batches[i].node[length]))
    i++;
  if (i == TMX_MEMBERS_MAX) return;
  if (i == replica->n_last_batches) {
    replica->n_last_batches++;
    snprintf(batches[i].node, sizeof batches[i].node, "%.*s", (int)length, name);
  }
  batches[i].seen_at = replica->now;
}

static void remove_registered_member(struct tmx_replica *replica, size_t i) {
  if (i == replica->n_registered_members) return;
  replica->registered_members[i] = replica->registered_members[--replica->n_registered_members];
}

void tmx_replica_apply_member(struct tmx_replica *replica, const char *name, uint64_t version,
                              const cbor_item_t *value) {
  struct tmx_member *members = replica->registered_members;
  size_t i = 0;
  while (i < replica->n_registered_members && strcmp(members[i].name, name)) i++;
  if (!value) {
    remove_registered_member(replica, i);
  } else {
    if (i == TMX_MEMBERS_MAX) return;
    if (i == replica->n_registered_members) {
      replica->n_registered_members++;
      snprintf(members[i].name, sizeof members[i].name, "%s", name);
    }
    members[i].incarnation = version;
  }
  tmx_replica_notify_schedulable(replica);
}

static void assign_owners(struct tmx_replica *replica) {
  struct tmx_machine *machine, *next;
  HASH_ITER(hh, replica->machines, machine, next) {
    machine->owner = tmx_replica_owner_index(replica, machine->id, machine->zone);
    tmx_replica_notify_machine(replica, machine);
  }
}

void tmx_replica_apply_view(struct tmx_replica *replica, uint64_t version,
                            const cbor_item_t *value) {
  struct tmx_view *view = &replica->view;
  if (!value) return;
  tmx_view_clear(view);
  tmx_view_decode(view, value);
  view->version = version;
  for (size_t i = 0; i < view->n_members; i++)
    view->members[i].zone = tmx_node_zone(replica->settings, view->members[i].name);
  assign_owners(replica);
  if (replica->on_view_changed) replica->on_view_changed(replica->observer);
  tmx_replica_notify_schedulable(replica);
}
