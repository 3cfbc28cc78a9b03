/* Members and views on the replica: which controller owns a machine and plans a job. Pure. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/internal.h"

const struct tmx_member *tmx_member_find(const struct tmx_replica *r, const char *name) {
  for (size_t i = 0; i < r->view.n_members; i++)
    if (!strcmp(r->view.members[i].name, name)) return &r->view.members[i];
  return NULL;
}

/* Rendezvous hashing: when a member goes, only its own machines and jobs move. */
static uint64_t mix(const char *a, const char *b) {
  uint64_t h = 1469598103934665603ull;
  for (; *a; a++) h = (h ^ (uint8_t)*a) * 1099511628211ull;
  h = (h ^ 0xff) * 1099511628211ull;
  for (; *b; b++) h = (h ^ (uint8_t)*b) * 1099511628211ull;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  return h;
}

static int pick(const struct tmx_replica *r, const char *what, int zone) {
  int best = -1;
  uint64_t top = 0;
  for (size_t i = 0; i < r->view.n_members; i++) {
    if (zone >= 0 && r->view.members[i].zone != zone) continue;
    uint64_t h = mix(r->view.members[i].name, what);
    if (best < 0 || h > top) {
      top = h;
      best = (int)i;
    }
  }
  return best;
}

int tmx_member_index(const struct tmx_replica *r, const char *name) {
  for (size_t i = 0; name && i < r->view.n_members; i++)
    if (!strcmp(r->view.members[i].name, name)) return (int)i;
  return -1;
}

int tmx_replica_owner_index(const struct tmx_replica *r, const char *machine, int zone) {
  struct tmx_exception *e;
  HASH_FIND_STR(r->view.taken, machine, e);
  int i = e ? tmx_member_index(r, e->node) : -1;
  if (i < 0 && r->view.local && zone >= 0) i = pick(r, machine, zone);
  return i >= 0 ? i : pick(r, machine, -1);
}

const char *tmx_owner_of(const struct tmx_replica *r, const char *machine) {
  const struct tmx_machine *m = tmx_machine_find(r, machine);
  int i = m && m->known ? m->owner : tmx_replica_owner_index(r, machine, -1);
  return i >= 0 ? r->view.members[i].name : NULL;
}

int tmx_planner_index(const struct tmx_replica *r, const char *job) { return pick(r, job, -1); }

const char *tmx_planner_of(const struct tmx_replica *r, const char *job) {
  int i = pick(r, job, -1);
  return i >= 0 ? r->view.members[i].name : NULL;
}

double tmx_replica_wrote(const struct tmx_replica *r, const char *node) {
  for (size_t i = 0; i < r->n_wrote; i++)
    if (!strcmp(r->wrote[i].node, node)) return r->wrote[i].at;
  return 0;
}

void tmx_replica_apply_node(struct tmx_replica *r, const char *name, uint64_t stamp,
                            const cbor_item_t *value) {
  size_t i;
  for (i = 0; i < r->n_nodes; i++)
    if (!strcmp(r->nodes[i].name, name)) break;
  if (!value) {
    if (i < r->n_nodes) r->nodes[i] = r->nodes[--r->n_nodes];
  } else {
    if (i == r->n_nodes) {
      if (r->n_nodes == TMX_MEMBERS_MAX) return;
      r->n_nodes++;
      snprintf(r->nodes[i].name, sizeof r->nodes[i].name, "%s", name);
    }
    r->nodes[i].inc = stamp;
  }
  tmx_replica_changed(r);
}

void tmx_replica_apply_view(struct tmx_replica *r, uint64_t stamp, const cbor_item_t *value) {
  struct tmx_view *w = &r->view;
  if (!value) return;
  HASH_CLEAR(hh, w->taken);
  free(w->exceptions);
  memset(w, 0, sizeof *w);
  w->stamp = stamp;
  tmx_cbor_get_u64(value, "term", &w->term);
  tmx_cbor_get_bool(value, "local", &w->local);
  const cbor_item_t *machines = tmx_cbor_get(value, "members"),
                    *overrides = tmx_cbor_get(value, "exceptions");
  for (size_t i = 0; i < tmx_cbor_list_length(machines) && w->n_members < TMX_MEMBERS_MAX; i++) {
    struct tmx_member *m = &w->members[w->n_members];
    if (!tmx_cbor_get_text(tmx_cbor_list_at(machines, i), "name", m->name, sizeof m->name) ||
        !tmx_cbor_get_u64(tmx_cbor_list_at(machines, i), "inc", &m->inc))
      continue;
    m->zone = tmx_node_zone(r->set, m->name);
    w->n_members++;
  }
  size_t n = 0;
  for (size_t i = 1; i < tmx_cbor_list_length(overrides); i += 2)
    n += tmx_cbor_list_length(tmx_cbor_list_at(overrides, i));
  w->exceptions = tmx_replica_alloc(sizeof *w->exceptions * (n + 1));
  for (size_t i = 0; i + 1 < tmx_cbor_list_length(overrides); i += 2) {
    const cbor_item_t *ids = tmx_cbor_list_at(overrides, i + 1);
    for (size_t k = 0; k < tmx_cbor_list_length(ids); k++) {
      struct tmx_exception *e = &w->exceptions[w->n_exceptions], *old;
      if (!tmx_cbor_as_text(tmx_cbor_list_at(overrides, i), e->node, TMX_NAME_MAX) ||
          !tmx_cbor_as_text(tmx_cbor_list_at(ids, k), e->machine, TMX_ID_MAX))
        continue;
      HASH_FIND_STR(w->taken, e->machine, old);
      if (old) continue;
      HASH_ADD_STR(w->taken, machine, e);
      w->n_exceptions++;
    }
  }
  struct tmx_machine *m, *t;
  HASH_ITER(hh, r->machines, m, t) {
    m->owner = tmx_replica_owner_index(r, m->id, m->zone);
    tmx_replica_touched(r, m);
  }
  if (r->on_view) r->on_view(r->arg);
  tmx_replica_changed(r);
}
