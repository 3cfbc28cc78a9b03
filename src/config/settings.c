#include "config/settings.h"

#include <math.h>
#include <string.h>

void tmx_operator_settings_set_defaults(struct tmx_operator_settings *operators) {
  operators->idle_return_s = TMX_IDLE_RETURN_S;
  operators->headroom = TMX_SERVICE_HEADROOM_SHARE;
  operators->silent_s = 0;
  operators->admission = (struct tmx_admission_settings){.backlog_s = TMX_ADMISSION_BACKLOG_S,
                                                         .reserve = TMX_ADMISSION_RESERVE_SHARE,
                                                         .start_s = TMX_ADMISSION_START_PERIOD_S};
}

/* Returns the number of sockets for users and workers. The store, the cloud and the peers share
 * TMX_RESERVED_SOCKETS, but at most half of all sockets. */
static int user_and_worker_sockets(const struct tmx_settings *settings) {
  int half = settings->sockets / 2;
  bool is_few = settings->sockets < 2 * TMX_RESERVED_SOCKETS;
  return settings->sockets - (is_few ? half : TMX_RESERVED_SOCKETS);
}

int tmx_worker_sockets_max(const struct tmx_settings *settings) {
  return (int)(user_and_worker_sockets(settings) * TMX_WORKER_SOCKETS_SHARE);
}

int tmx_incoming_sockets_max(const struct tmx_settings *settings) {
  return user_and_worker_sockets(settings) - tmx_worker_sockets_max(settings);
}

double tmx_heartbeat_timeout(const struct tmx_settings *settings) {
  return settings->report_s * TMX_REPORT_PERIOD_MAX_SHARE + TMX_REPORT_LATE_MARGIN_S;
}

size_t tmx_value_json_length_max(const struct tmx_settings *settings) {
  return (size_t)(settings->value_kb * 1024 * TMX_VALUE_USED_SHARE) - TMX_JSON_OVERHEAD_BYTES;
}

double tmx_renewal_replica_age_max(const struct tmx_settings *settings) {
  double drift_margin = TMX_CLOCK_DRIFT_SHARE_MAX * settings->cancel_s + TMX_FRESHNESS_MARGIN_S / 2;
  return settings->cancel_s - settings->lease_s - fmax(drift_margin, TMX_FRESHNESS_MARGIN_S);
}

int tmx_node_zone(const struct tmx_settings *settings, const char *node) {
  if (!strcmp(node, settings->node_name)) return tmx_zone_index(settings, settings->zone);
  for (size_t i = 0; i < settings->n_peers; i++)
    if (!strcmp(node, settings->peers[i].name))
      return tmx_zone_index(settings, settings->peers[i].zone);
  return -1;
}

int tmx_zone_index(const struct tmx_settings *settings, const char *zone) {
  for (size_t i = 0; i < settings->n_zones; i++)
    if (!strcmp(settings->zones[i], zone)) return (int)i;
  return -1;
}

int tmx_team_index(const struct tmx_settings *settings, const char *team) {
  for (size_t i = 0; i < settings->n_teams; i++)
    if (!strcmp(settings->teams[i].name, team)) return (int)i;
  return -1;
}
