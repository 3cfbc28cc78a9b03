/* Collects the evidence that this controller has about the other registered controllers and passes
 * it to the failure detector. */
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "controller/controller_internal.h"

static struct tmx_peer_liveness observe_peers(const void *context) {
  const struct tmx_controller *controller = context;
  const struct tmx_settings *settings = &controller->settings;
  const struct tmx_replica *replica = &controller->replica;
  struct tmx_peer_liveness liveness = {0};
  int own_zone = tmx_zone_index(settings, settings->zone);
  for (size_t i = 0; i < replica->n_registered_members; i++) {
    const char *node = replica->registered_members[i].name;
    if (!strcmp(node, settings->node_name)) continue;
    bool alive = tmx_peers_heartbeat_age(controller->peers, node) < TMX_HEARTBEAT_EXPIRY_S;
    bool same_zone = tmx_node_zone(settings, node) == own_zone;
    liveness.others++;
    liveness.alive += alive;
    liveness.same_zone += same_zone;
    liveness.same_zone_alive += same_zone && alive;
    liveness.other_zones += !same_zone;
    liveness.other_zones_alive += !same_zone && alive;
  }
  return liveness;
}

static bool is_suspected(const void *context, const char *node,
                         const struct tmx_peer_liveness *liveness, double since) {
  const struct tmx_controller *controller = context;
  if (!strcmp(node, controller->settings.node_name)) return false;
  double now = tmx_clock_steady();
  struct tmx_peer_evidence evidence = {
      .refuses_connections = tmx_peers_refuses_connections(controller->peers, node),
      .reports_no_workers = tmx_peers_reports_no_workers(controller->peers, node),
      .heartbeat_age_s = tmx_peers_heartbeat_age(controller->peers, node),
      .last_batch_age_s = now - tmx_replica_last_batch_at(&controller->replica, node),
      .observed_for_s = now - fmax(since, controller->last_impaired_at)};
  return tmx_peer_is_suspected(liveness, &evidence);
}

struct tmx_view_observer tmx_controller_view_observer(const struct tmx_controller *controller) {
  return (struct tmx_view_observer){
      .context = (void *)controller, .observe_peers = observe_peers, .is_suspected = is_suspected};
}

/* A controller that cannot reach most of its workers does not suspect the leader, because the fault
 * may be its own connectivity. */
bool tmx_controller_leader_is_suspected(const struct tmx_controller *controller) {
  const struct tmx_replica *replica = &controller->replica;
  if (!replica->leader_version || !strcmp(replica->leader, controller->settings.node_name) ||
      tmx_workers_are_unreachable(controller->workers))
    return false;
  struct tmx_peer_liveness liveness = observe_peers(controller);
  return is_suspected(controller, replica->leader, &liveness, controller->started_at);
}
