/* The settings that the platform hands over (JSON) and the operators' own (TOML). */
#ifndef TMX_SETTINGS_H
#define TMX_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>

#include "tmx/constants.h"

struct tmx_peer_settings {
  char name[TMX_NAME_MAX], zone[TMX_NAME_MAX], addr[TMX_NAME_MAX];
};
struct tmx_team_settings {
  char name[TMX_NAME_MAX];
  double cpus, cpus_max, gpus, gpus_max; /* max 0: no limit */
};
struct tmx_objective {
  char kind[16], class_name[TMX_NAME_MAX];
  double within_s;
};
#define TMX_TEAMS_MAX 32
#define TMX_OBJECTIVES_MAX 32
struct tmx_team_share { /* as the operators name it */
  char team[TMX_NAME_MAX];
  double share;
};
struct tmx_admission_settings {
  bool enabled;
  double backlog_s;     /* work admitted and not done, at most: s of the whole cluster */
  double reserve;       /* share of it that is set aside for teams and classes, 0 to 1 */
  double capacity_cpus; /* CPUs that can be had at least, rented ones included; 0: not told */
  double start_s;       /* a class whose work waits gets a start this often, s */
  struct tmx_team_share named[TMX_TEAMS_MAX];
  size_t n_named;
  double share[TMX_TEAMS_MAX]; /* of each team, by index; see tmx_admission_resolve */
};
struct tmx_operator_settings {
  double idle_return_s; /* an empty machine is returned after this, s */
  double headroom;      /* share of the services' room kept free */
  double silent_s;      /* a machine that answers no probe goes after this, s; 0: the default */
  struct tmx_admission_settings admission;
};
struct tmx_settings {
  char node_name[TMX_NAME_MAX], zone[TMX_NAME_MAX], listen[TMX_NAME_MAX], peer_listen[TMX_NAME_MAX];
  char cloud[TMX_NAME_MAX], state[TMX_NAME_MAX];
  struct tmx_peer_settings peers[TMX_MEMBERS_MAX];
  size_t n_peers;
  char zones[TMX_ZONES_MAX][TMX_NAME_MAX];
  size_t n_zones;
  struct tmx_team_settings teams[TMX_TEAMS_MAX];
  size_t n_teams;
  struct tmx_objective objectives[TMX_OBJECTIVES_MAX];
  size_t n_objectives;
  double report_s, lease_s, cancel_s;
  /* of the state service: the smaller of the limits in force and of those announced in
   * `state.next`, which may come into force at any moment */
  double state_rps, write_rps, value_kb;
  int txn_ops;
  double cloud_rps, list_lag_s;
  double core_share, ram_mb;
  int sockets;
  double clock_off_ms;
  struct tmx_operator_settings operators;
};
/* false: err holds one line naming the field */
bool tmx_settings_load(struct tmx_settings *settings, const char *path, char *err, size_t cap);
bool tmx_settings_parse(struct tmx_settings *settings, const char *text, char *err, size_t cap);
void tmx_operator_defaults(struct tmx_operator_settings *operators);
#ifdef __cplusplus
extern "C"
#endif
    bool
    tmx_operator_load(struct tmx_operator_settings *operators, const char *path, char *err,
                      size_t cap);
/* How the sockets are shared out: incoming connections, and connections kept to workers. */
int tmx_sockets_in(const struct tmx_settings *settings);
int tmx_sockets_out(const struct tmx_settings *settings);
/* s after the beginning of a read of the state during which leases may be renewed: a cancellation
 * that came after the read must not be outlasted by a lease. */
double tmx_fresh_bound(const struct tmx_settings *settings);
size_t tmx_value_room(
    const struct tmx_settings *settings); /* bytes, as JSON, for what a value lists */
int tmx_node_zone(const struct tmx_settings *settings, const char *node); /* -1: not known */
int tmx_zone_index(const struct tmx_settings *settings, const char *zone);
int tmx_team_index(const struct tmx_settings *settings, const char *team);
#endif
