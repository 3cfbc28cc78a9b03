#include "peer/peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "peer/heartbeat_codec.h"
#include "peer/peers_internal.h"

static void process_heartbeat(struct tmx_peers *peers, struct tmx_peer *peer,
                              const struct tmx_heartbeat_message *message) {
  peer->heartbeat_at = tmx_clock_steady();
  peer->outgoing.consecutive_refusals = 0;
  peer->replica_age_s = message->replica_age_s;
  peer->term = message->term;
  if (message->revision > peers->replica->revision) tmx_store_note_peer_ahead(peers->store);
  peer->reaches_no_workers = message->reaches_no_workers;
  memcpy(peer->zone_liveness, message->zones, sizeof peer->zone_liveness);
  for (size_t i = 0; i < message->n_suspicions; i++)
    peers->source.on_suspicion(peers->source.context, peer->name, message->term,
                               &message->suspicions[i]);
}

/* Handles a received record. Ignores heartbeats of controllers that are not in the settings. */
static bool handle_record(void *context, const uint8_t *record, size_t length) {
  struct tmx_peers *peers = context;
  struct tmx_heartbeat_message message;
  if (!tmx_heartbeat_decode(&message, record, length, peers->settings)) return false;
  struct tmx_peer *peer = tmx_peers_find(peers, message.node);
  if (peer) process_heartbeat(peers, peer, &message);
  free(message.suspicions);
  return true;
}

struct suspicion_list {
  struct tmx_suspicion *suspicions;
  size_t count, capacity;
};

static void append_suspicion(void *arg, const struct tmx_suspicion *suspicion) {
  struct suspicion_list *list = arg;
  list->suspicions =
      tmx_grow(list->suspicions, &list->capacity, list->count + 1, sizeof *list->suspicions);
  list->suspicions[list->count++] = *suspicion;
}

/* Returns the message to send. The caller frees its suspicions. */
static struct tmx_heartbeat_message compose_message(const struct tmx_peers *peers, double now) {
  const struct tmx_peers_source *source = &peers->source;
  const struct tmx_settings *settings = peers->settings;
  struct suspicion_list list = {0};
  source->for_each_suspicion(source->context, append_suspicion, &list);
  struct tmx_heartbeat_message message = {
      .revision = peers->replica->revision,
      .term = peers->replica->view.term,
      .replica_age_s = now - tmx_store_fresh_as_of(peers->store),
      .reaches_no_workers = source->workers_are_unreachable(source->context),
      .suspicions = list.suspicions,
      .n_suspicions = list.count};
  snprintf(message.node, sizeof message.node, "%s", settings->node_name);
  memcpy(message.zones, source->zone_liveness(source->context),
         settings->n_zones * sizeof message.zones[0]);
  return message;
}

static void send_heartbeats(struct tmx_peers *peers, double now) {
  struct tmx_buffer bytes = {0};
  struct tmx_heartbeat_message message = compose_message(peers, now);
  tmx_heartbeat_encode(&bytes, &message, peers->settings);
  for (size_t i = 0; i < peers->count; i++)
    tmx_outgoing_connection_send(&peers->peers[i].outgoing, &bytes);
  tmx_buffer_free(&bytes);
  free(message.suspicions);
}

void tmx_peers_tick(struct tmx_peers *peers) {
  double now = tmx_clock_steady();
  if (now - peers->sent_at < TMX_HEARTBEAT_PERIOD_S) return;
  peers->sent_at = now;
  for (size_t i = 0; i < peers->count; i++)
    tmx_outgoing_connection_maintain(&peers->peers[i].outgoing, now);
  send_heartbeats(peers, now);
}

struct tmx_peers *tmx_peers_new(const struct tmx_peers_dependencies *dependencies) {
  const struct tmx_settings *settings = dependencies->settings;
  struct tmx_peers *peers = tmx_allocate(1, sizeof *peers);
  peers->incoming =
      tmx_incoming_connections_new(dependencies->loop, settings->peer_listen, handle_record, peers);
  if (!peers->incoming) {
    free(peers);
    return NULL;
  }
  peers->settings = settings;
  peers->replica = dependencies->replica;
  peers->store = dependencies->store;
  peers->source = dependencies->source;
  peers->peers = tmx_allocate(settings->n_peers, sizeof *peers->peers);
  for (size_t i = 0; i < settings->n_peers; i++) {
    struct tmx_peer *peer = &peers->peers[peers->count++];
    snprintf(peer->name, sizeof peer->name, "%s", settings->peers[i].name);
    tmx_outgoing_connection_init(&peer->outgoing, dependencies->loop, settings->peers[i].addr);
  }
  return peers;
}

void tmx_peers_free(struct tmx_peers *peers) {
  tmx_incoming_connections_free(peers->incoming);
  for (size_t i = 0; i < peers->count; i++)
    tmx_outgoing_connection_release(&peers->peers[i].outgoing);
  free(peers->peers);
  free(peers);
}
