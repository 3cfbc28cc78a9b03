#include "membership/view_manager.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"

struct tmx_view_manager {
  const struct tmx_settings *settings;
  const struct tmx_replica *replica;
  struct tmx_store *store;
  struct tmx_view_observer observer;
  bool commit_in_flight;
  /* Times of the steady clock, s: */
  double last_attempt_at;      /* last attempt to commit a view */
  double leading_since;        /* last tick at which this controller was not the leader */
  double zones_partitioned_at; /* last tick at which the zones seemed partitioned; 0: never */
};

static void on_view_response(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_view_manager *manager = arg;
  (void)result;
  (void)revision;
  manager->commit_in_flight = false;
}

/* Encodes the view in at most `max_length` bytes of JSON, because the store limits the size of a
 * value. If the view is too large, the oldest overrides are dropped. Their machines revert to the
 * owners that the hash assigns. */
static void encode_view_to_fit(struct tmx_buffer *buffer, struct tmx_view *view,
                               size_t max_length) {
  tmx_view_encode(buffer, view);
  while (tmx_json_length(buffer) > max_length && view->n_overrides) {
    size_t dropped = view->n_overrides / 4 + 1;
    view->overrides += dropped;
    view->n_overrides -= dropped;
    buffer->length = 0;
    tmx_view_encode(buffer, view);
  }
}

static void commit_view(struct tmx_view_manager *manager, struct tmx_view view) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  encode_view_to_fit(&value, &view, tmx_value_json_length_max(manager->settings));
  tmx_transaction_require_version(&transaction, TMX_KEY_VIEW, manager->replica->view.version);
  tmx_transaction_put(&transaction, TMX_KEY_VIEW, &value, 0);
  tmx_transaction_advance_head(&transaction, manager->settings->node_name);
  tmx_buffer_free(&value);
  manager->last_attempt_at = tmx_clock_steady();
  manager->commit_in_flight =
      tmx_store_commit(manager->store, &transaction, true, on_view_response, manager);
}

static bool may_commit(const struct tmx_view_manager *manager) {
  return !manager->commit_in_flight &&
         tmx_clock_steady() - manager->last_attempt_at >= TMX_VIEW_SPACING_MIN_S;
}

static bool is_in_list(const char *machine, const char *const *machines, size_t n_machines) {
  for (size_t i = 0; i < n_machines; i++)
    if (!strcmp(machine, machines[i])) return true;
  return false;
}

void tmx_view_manager_take_over(struct tmx_view_manager *manager, const char *const *machines,
                                size_t n_machines) {
  if (!tmx_store_is_member(manager->store) || !may_commit(manager)) return;
  struct tmx_view view = manager->replica->view;
  const struct tmx_owner_override *current = view.overrides;
  size_t n_current = view.n_overrides;
  struct tmx_owner_override *overrides = tmx_allocate(n_current + n_machines, sizeof *overrides);
  view.overrides = overrides;
  view.n_overrides = 0;
  for (size_t i = 0; i < n_current; i++) {
    const char *machine = current[i].machine;
    if (tmx_machine_find(manager->replica, machine) && !is_in_list(machine, machines, n_machines))
      overrides[view.n_overrides++] = current[i];
  }
  for (size_t i = 0; i < n_machines; i++) {
    struct tmx_owner_override *added = &overrides[view.n_overrides++];
    snprintf(added->machine, sizeof added->machine, "%s", machines[i]);
    snprintf(added->node, sizeof added->node, "%s", manager->settings->node_name);
    tmx_log(TMX_LOG_INFO, "view: taking over %s, which cannot reach its owner", machines[i]);
  }
  view.term++;
  commit_view(manager, view);
  free(overrides);
}

/* Returns whether the replica names this controller, with its current incarnation, as the leader.
 * Unlike tmx_store_is_leader(), it does not require that the controller is a member: the leader
 * commits the view that first makes it one. */
static bool is_leader(const struct tmx_view_manager *manager) {
  const struct tmx_replica *replica = manager->replica;
  uint64_t incarnation = tmx_store_incarnation(manager->store);
  return replica->loaded && replica->leader_version &&
         !strcmp(replica->leader, manager->settings->node_name) &&
         replica->leader_incarnation == incarnation;
}

/* Adds the registered controllers that are not suspected to the view's members. */
static void select_members(const struct tmx_view_manager *manager, struct tmx_view *view,
                           const struct tmx_peer_liveness *liveness) {
  const struct tmx_replica *replica = manager->replica;
  const struct tmx_view_observer *observer = &manager->observer;
  for (size_t i = 0; i < replica->n_registered_members; i++) {
    const struct tmx_member *member = &replica->registered_members[i];
    if (!observer->is_suspected(observer->context, member->name, liveness, manager->leading_since))
      view->members[view->n_members++] = *member;
  }
}

static bool has_same_members(const struct tmx_replica *replica, const struct tmx_view *view) {
  if (view->n_members != replica->view.n_members) return false;
  for (size_t i = 0; i < view->n_members; i++) {
    const struct tmx_member *member = tmx_member_find(replica, view->members[i].name);
    if (!member || member->incarnation != view->members[i].incarnation) return false;
  }
  return true;
}

static bool has_member(const struct tmx_view *view, const char *node) {
  for (size_t i = 0; i < view->n_members; i++)
    if (!strcmp(view->members[i].name, node)) return true;
  return false;
}

/* Copies the overrides of the current view whose owner is a member of the new view and whose
 * machine is known. */
static void copy_valid_overrides(const struct tmx_replica *replica, struct tmx_view *view) {
  const struct tmx_view *current = &replica->view;
  view->overrides = tmx_allocate(current->n_overrides + 1, sizeof *view->overrides);
  for (size_t i = 0; i < current->n_overrides; i++) {
    const struct tmx_owner_override *override = &current->overrides[i];
    if (has_member(view, override->node) && tmx_machine_find(replica, override->machine))
      view->overrides[view->n_overrides++] = *override;
  }
}

void tmx_view_manager_tick(struct tmx_view_manager *manager) {
  const struct tmx_replica *replica = manager->replica;
  double now = tmx_clock_steady();
  bool leading = is_leader(manager);
  if (!leading) manager->leading_since = now;
  if (!tmx_store_incarnation(manager->store) || !leading || !may_commit(manager)) return;
  struct tmx_view view = {.term = replica->view.term + 1};
  struct tmx_peer_liveness liveness = manager->observer.observe_peers(manager->observer.context);
  /* The view counts the zones as partitioned until TMX_VIEW_PARTITION_HOLD_S after the last sign of
   * a partition. After that, owners are hashed over the members of all zones again. */
  if (tmx_zones_are_partitioned(&liveness)) manager->zones_partitioned_at = now;
  view.zones_partitioned = manager->zones_partitioned_at > 0 &&
                           now - manager->zones_partitioned_at < TMX_VIEW_PARTITION_HOLD_S;
  select_members(manager, &view, &liveness);
  if (has_same_members(replica, &view) && view.zones_partitioned == replica->view.zones_partitioned)
    return;
  copy_valid_overrides(replica, &view);
  tmx_log(TMX_LOG_INFO, "view: term %llu with %zu members%s", (unsigned long long)view.term,
          view.n_members, view.zones_partitioned ? ", zones partitioned" : "");
  struct tmx_owner_override *overrides = view.overrides;
  commit_view(manager, view);
  free(overrides);
}

struct tmx_view_manager *tmx_view_manager_new(const struct tmx_settings *settings,
                                              const struct tmx_replica *replica,
                                              struct tmx_store *store,
                                              const struct tmx_view_observer *observer) {
  struct tmx_view_manager *manager = tmx_allocate(1, sizeof *manager);
  manager->settings = settings;
  manager->replica = replica;
  manager->store = store;
  manager->observer = *observer;
  return manager;
}

void tmx_view_manager_free(struct tmx_view_manager *manager) { free(manager); }
