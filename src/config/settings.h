/** @file
 * Settings of the controller: those of the platform (JSON) and those of the operators (TOML). They
 * are read once at startup and do not change afterwards, so any thread may read them. */
#ifndef TMX_SETTINGS_H
#define TMX_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>

#include "tmx/constants.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
  TMX_TEAMS_MAX = 32,     /**< maximum number of teams in the settings */
  TMX_OBJECTIVES_MAX = 32 /**< maximum number of service-level objectives in the settings */
};

/** Another controller of the cluster. */
struct tmx_peer_settings {
  char name[TMX_NAME_BYTES]; /**< node name of the controller */
  char zone[TMX_NAME_BYTES]; /**< zone in which the controller runs */
  char addr[TMX_NAME_BYTES]; /**< address at which it receives heartbeats from other controllers */
};

/** A team and its quota: guaranteed resources and limits on concurrent use. */
struct tmx_team_settings {
  char name[TMX_NAME_BYTES]; /**< name of the team, as in submissions */
  /** Guaranteed CPUs. */
  double cpus, /** Maximum CPUs in use at a time; 0: no limit. */ cpus_max;
  /** Guaranteed GPUs. */
  double gpus, /** Maximum GPUs in use at a time; 0: no limit. */ gpus_max;
};

/** A service-level objective of a class of jobs. */
struct tmx_objective {
  char kind[16];                   /**< wait, deadline, finished or guarantee */
  char class_name[TMX_NAME_BYTES]; /**< class of the jobs; empty if the objective has none */
  double within_s;                 /**< time limit in seconds; 0 if the objective has none */
};

/** A team's share of the admitted work, from the operators' settings. */
struct tmx_team_share {
  char team[TMX_NAME_BYTES]; /**< name of the team */
  double share;              /**< 0 to 1 */
};

/** The operators' settings for admission control. */
struct tmx_admission_settings {
  bool enabled;         /**< false: every submission that can run is admitted */
  double backlog_s;     /**< maximum admitted, unfinished work; seconds of the whole cluster */
  double reserve;       /**< share of the backlog reserved for teams and classes, 0 to 1 */
  double capacity_cpus; /**< minimum CPUs expected to be available, including those that can be
                           rented; 0: not specified */
  double start_s;       /**< seconds after which a class with waiting work is due another start */
  struct tmx_team_share team_shares[TMX_TEAMS_MAX]; /**< configured shares, in any order */
  size_t n_team_shares;                             /**< number of entries of `team_shares` */
  double
      share_by_team[TMX_TEAMS_MAX]; /**< share of every team, by its index in `teams` of struct
                                       tmx_settings; computed by tmx_admission_settings_resolve() */
};

/** The operators' settings. */
struct tmx_operator_settings {
  double idle_return_s; /**< seconds after which an idle machine is drained and returned */
  double headroom;      /**< CPUs kept free for restarts of services, as a share of the CPUs that
                           services book, 0 to 1 */
  double silent_s;      /**< seconds without a sign of life after which a machine that answers no
                           probe counts as dead and is deleted; 0: TMX_MACHINE_CONTACT_TIMEOUT_S */
  struct tmx_admission_settings admission; /**< admission control */
};

/** All settings of one controller. Addresses have the form 10.0.0.1:8080. */
struct tmx_settings {
  char node_name[TMX_NAME_BYTES];                  /**< node name of this controller */
  char zone[TMX_NAME_BYTES];                       /**< zone of this controller */
  char listen[TMX_NAME_BYTES];                     /**< listen address for users and workers */
  char peer_listen[TMX_NAME_BYTES];                /**< listen address for heartbeats of peers */
  char cloud_address[TMX_NAME_BYTES];              /**< address of the cloud's API */
  char store_address[TMX_NAME_BYTES];              /**< address of the key-value store */
  struct tmx_peer_settings peers[TMX_MEMBERS_MAX]; /**< the other controllers */
  size_t n_peers;                                  /**< number of entries of `peers` */
  char zones[TMX_ZONES_MAX][TMX_NAME_BYTES];       /**< names of the zones */
  size_t n_zones;                                  /**< number of entries of `zones` */
  struct tmx_team_settings teams[TMX_TEAMS_MAX];   /**< teams and their quotas */
  size_t n_teams;                                  /**< number of entries of `teams` */
  struct tmx_objective objectives[TMX_OBJECTIVES_MAX]; /**< service-level objectives */
  size_t n_objectives;                                 /**< number of entries of `objectives` */
  double report_s; /**< seconds between two heartbeats of a worker */
  double lease_s;  /**< duration of a worker's lease, seconds */
  double cancel_s; /**< seconds after a cancellation within which all tasks of the job must have
                      stopped */
  /* Limits of the store. Each is the smaller of the current limit and the one announced in
   * `state.next`, which can take effect at any time. */
  double state_rps;    /**< maximum requests per second to the store */
  double write_rps;    /**< maximum puts per second to the store */
  double value_kb;     /**< maximum length of a value, KiB */
  int txn_ops;         /**< maximum number of operations in a transaction */
  double cloud_rps;    /**< maximum requests per second to the cloud */
  double list_lag_s;   /**< typical delay of the cloud's list of machines, seconds */
  double core_share;   /**< CPU cores available to this controller, often less than one */
  double ram_mb;       /**< memory available to this controller, MB */
  int sockets;         /**< maximum number of open sockets of this controller */
  double clock_off_ms; /**< maximum error of this host's time of day, ms */
  struct tmx_operator_settings operators; /**< the operators' settings */
};

/**
 * Reads the platform's settings from a JSON file and sets the operators' settings to their
 * defaults.
 * @param settings        receives the settings; owned by the caller
 * @param path            path of the JSON file
 * @param error           receives one line that names the invalid field; unchanged on success
 * @param error_capacity  size of `error` in bytes
 * @return false on an error; `settings` must not be used then.
 */
bool tmx_settings_load(struct tmx_settings *settings, const char *path, char *error,
                       size_t error_capacity);
/** Reads the platform's settings from a null-terminated JSON text. Otherwise the same as
 *  tmx_settings_load(). */
bool tmx_settings_parse(struct tmx_settings *settings, const char *text, char *error,
                        size_t error_capacity);

/** Sets every operator setting to its default. */
void tmx_operator_settings_set_defaults(struct tmx_operator_settings *operators);
/** Reads the operators' settings from a TOML file. A key that is missing in the file keeps the
 *  value that `operators` already holds; only `admission.enabled` is required if the file has the
 *  table `admission`. Errors are reported as by tmx_settings_load(). */
bool tmx_operator_settings_load(struct tmx_operator_settings *operators, const char *path,
                                char *error, size_t error_capacity);

/** Returns the maximum number of connections that users and workers may open at a time. */
int tmx_incoming_sockets_max(const struct tmx_settings *settings);
/** Returns the maximum number of connections that this controller may keep open to workers. */
int tmx_worker_sockets_max(const struct tmx_settings *settings);
/** Returns the maximum age in seconds of the replica with which leases may be renewed. The age
 *  counts from the start of the read that brought the replica up to date. A cancellation committed
 *  after that read is unknown here; with this limit every renewed lease still expires within
 *  `cancel_s` after the cancellation. */
double tmx_renewal_replica_age_max(const struct tmx_settings *settings);
/** Returns the seconds without a heartbeat after which a heartbeat of a worker is missing. */
double tmx_heartbeat_timeout(const struct tmx_settings *settings);
/** Returns the maximum length in bytes, counted as JSON, of the contents of one value of the store.
 *  The margins TMX_VALUE_USED_SHARE and TMX_JSON_OVERHEAD_BYTES are already deducted. */
size_t tmx_value_json_length_max(const struct tmx_settings *settings);
/** Returns the index of the zone of a controller, either this one or a peer; -1 if the controller
 *  or its zone is unknown. */
int tmx_node_zone(const struct tmx_settings *settings, const char *node);
/** Returns the index of a zone in `zones`; -1 if the zone is unknown. */
int tmx_zone_index(const struct tmx_settings *settings, const char *zone);
/** Returns the index of a team in `teams`; -1 if the team is unknown. */
int tmx_team_index(const struct tmx_settings *settings, const char *team);

#ifdef __cplusplus
}
#endif
#endif
