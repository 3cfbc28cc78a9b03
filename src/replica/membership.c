/* Members and views on the replica: which controller owns a machine and plans a job. Pure. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica/replica_internal.h"

const struct tmx_member *tmx_member_find(const struct tmx_replica *replica, const char *name) {
  for (size_t i = 0; i < replica->view.n_members; i++)
    if (!strcmp(replica->view.members[i].name, name)) return &replica->view.members[i];
  return NULL;
}

/* Rendezvous hashing: when a member goes, only its own machines and jobs move. */
static uint64_t hash_pair(const char *a, const char *b) {
  uint64_t h = 1469598103934665603ull;
  for (; *a; a++) h = (h ^ (uint8_t)*a) * 1099511628211ull;
  h = (h ^ 0xff) * 1099511628211ull;
  for (; *b; b++) h = (h ^ (uint8_t)*b) * 1099511628211ull;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  return h;
}

static int highest_weight(const struct tmx_replica *replica, const char *what, int zone) {
  int best = -1;
  uint64_t top = 0;
  for (size_t i = 0; i < replica->view.n_members; i++) {
    if (zone >= 0 && replica->view.members[i].zone != zone) continue;
    uint64_t h = hash_pair(replica->view.members[i].name, what);
    if (best < 0 || h > top) {
      top = h;
      best = (int)i;
    }
  }
  return best;
}

int tmx_member_index(const struct tmx_replica *replica, const char *name) {
  for (size_t i = 0; name && i < replica->view.n_members; i++)
    if (!strcmp(replica->view.members[i].name, name)) return (int)i;
  return -1;
}

int tmx_replica_owner_index(const struct tmx_replica *replica, const char *machine, int zone) {
  struct tmx_owner_override *override;
  HASH_FIND_STR(replica->view.overrides_by_machine, machine, override);
  int i = override ? tmx_member_index(replica, override->node) : -1;
  if (i < 0 && replica->view.zones_partitioned && zone >= 0)
    i = highest_weight(replica, machine, zone);
  return i >= 0 ? i : highest_weight(replica, machine, -1);
}

const char *tmx_machine_owner(const struct tmx_replica *replica, const char *machine) {
  const struct tmx_machine *m = tmx_machine_find(replica, machine);
  int i = m && m->registered ? m->owner : tmx_replica_owner_index(replica, machine, -1);
  return i >= 0 ? replica->view.members[i].name : NULL;
}

int tmx_job_planner_index(const struct tmx_replica *replica, const char *job) {
  return highest_weight(replica, job, -1);
}

const char *tmx_job_planner(const struct tmx_replica *replica, const char *job) {
  int i = highest_weight(replica, job, -1);
  return i >= 0 ? replica->view.members[i].name : NULL;
}

double tmx_replica_last_batch_at(const struct tmx_replica *replica, const char *node) {
  for (size_t i = 0; i < replica->n_batch_sightings; i++)
    if (!strcmp(replica->batch_sightings[i].node, node)) return replica->batch_sightings[i].at;
  return 0;
}

void tmx_replica_apply_node(struct tmx_replica *replica, const char *name, uint64_t version,
                            const cbor_item_t *value) {
  size_t i;
  for (i = 0; i < replica->n_registered_members; i++)
    if (!strcmp(replica->registered_members[i].name, name)) break;
  if (!value) {
    if (i < replica->n_registered_members)
      replica->registered_members[i] = replica->registered_members[--replica->n_registered_members];
  } else {
    if (i == replica->n_registered_members) {
      if (replica->n_registered_members == TMX_MEMBERS_MAX) return;
      replica->n_registered_members++;
      snprintf(replica->registered_members[i].name, sizeof replica->registered_members[i].name,
               "%s", name);
    }
    replica->registered_members[i].incarnation = version;
  }
  tmx_replica_notify_schedulable(replica);
}

void tmx_replica_apply_view(struct tmx_replica *replica, uint64_t version,
                            const cbor_item_t *value) {
  struct tmx_view *view = &replica->view;
  if (!value) return;
  HASH_CLEAR(hh, view->overrides_by_machine);
  free(view->overrides);
  memset(view, 0, sizeof *view);
  view->version = version;
  tmx_cbor_get_u64(value, "term", &view->term);
  tmx_cbor_get_bool(value, "local", &view->zones_partitioned);
  const cbor_item_t *machines = tmx_cbor_get(value, "members"),
                    *overrides = tmx_cbor_get(value, "exceptions");
  for (size_t i = 0; i < tmx_cbor_list_length(machines) && view->n_members < TMX_MEMBERS_MAX; i++) {
    struct tmx_member *member = &view->members[view->n_members];
    if (!tmx_cbor_get_text(tmx_cbor_list_at(machines, i), "name", member->name,
                           sizeof member->name) ||
        !tmx_cbor_get_u64(tmx_cbor_list_at(machines, i), "inc", &member->incarnation))
      continue;
    member->zone = tmx_node_zone(replica->settings, member->name);
    view->n_members++;
  }
  size_t n = 0;
  for (size_t i = 1; i < tmx_cbor_list_length(overrides); i += 2)
    n += tmx_cbor_list_length(tmx_cbor_list_at(overrides, i));
  view->overrides = tmx_replica_allocate(sizeof *view->overrides * (n + 1));
  for (size_t i = 0; i + 1 < tmx_cbor_list_length(overrides); i += 2) {
    const cbor_item_t *ids = tmx_cbor_list_at(overrides, i + 1);
    for (size_t k = 0; k < tmx_cbor_list_length(ids); k++) {
      struct tmx_owner_override *override = &view->overrides[view->n_overrides], *old;
      if (!tmx_cbor_as_text(tmx_cbor_list_at(overrides, i), override->node, TMX_NAME_MAX) ||
          !tmx_cbor_as_text(tmx_cbor_list_at(ids, k), override->machine, TMX_ID_MAX))
        continue;
      HASH_FIND_STR(view->overrides_by_machine, override->machine, old);
      if (old) continue;
      HASH_ADD_STR(view->overrides_by_machine, machine, override);
      view->n_overrides++;
    }
  }
  struct tmx_machine *machine, *t;
  HASH_ITER(hh, replica->machines, machine, t) {
    machine->owner = tmx_replica_owner_index(replica, machine->id, machine->zone);
    tmx_replica_notify_machine(replica, machine);
  }
  if (replica->on_view_changed) replica->on_view_changed(replica->observer);
  tmx_replica_notify_schedulable(replica);
}
