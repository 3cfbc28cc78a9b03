/** @file
 * The settings: those that the platform hands over (JSON) and the operators' own (TOML). They are
 * read once at the start and do not change afterwards, so any thread may read them. */
#ifndef TMX_SETTINGS_H
#define TMX_SETTINGS_H
#include <stdbool.h>
#include <stddef.h>

#include "tmx/constants.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
  TMX_TEAMS_MAX = 32,     /**< teams that the settings may list */
  TMX_OBJECTIVES_MAX = 32 /**< objectives that the settings may list */
};

/** Another controller of the cluster. */
struct tmx_peer_settings {
  char name[TMX_NAME_BYTES]; /**< node name of the controller */
  char zone[TMX_NAME_BYTES]; /**< zone that it runs in */
  char addr[TMX_NAME_BYTES]; /**< for heartbeats between controllers, such as 10.0.0.1:8080 */
};

/** A team with its quota: what it is guaranteed, and its limit (0: none). */
struct tmx_team_settings {
  char name[TMX_NAME_BYTES]; /**< as submissions name it */
  /** CPUs that are guaranteed. */
  double cpus, /** Limit of CPUs in use at once; 0: none. */ cpus_max;
  /** GPUs that are guaranteed. */
  double gpus, /** Limit of GPUs in use at once; 0: none. */ gpus_max;
};

/** A service-level objective of a class of work. */
struct tmx_objective {
  char kind[16];                   /**< wait, deadline, finished or guarantee */
  char class_name[TMX_NAME_BYTES]; /**< empty if it names no class */
  double within_s;                 /**< seconds; 0 if it names none */
};

/** A team's share of the admitted work, as the operators name it. */
struct tmx_team_share {
  char team[TMX_NAME_BYTES]; /**< name of the team */
  double share;              /**< 0 to 1 */
};

/** The operators' settings of admission control. */
struct tmx_admission_settings {
  bool enabled;         /**< false: every submission that can run is admitted */
  double backlog_s;     /**< work admitted and not done, at most: seconds of the whole cluster */
  double reserve;       /**< share of it that is set aside for teams and classes, 0 to 1 */
  double capacity_cpus; /**< CPUs that can be had at least, rented ones included; 0: not told */
  double start_s;       /**< a class whose work waits gets a start this often, seconds */
  struct tmx_team_share named[TMX_TEAMS_MAX]; /**< in no particular order */
  size_t n_named;                             /**< entries of `named` in use */
  double share[TMX_TEAMS_MAX]; /**< of each team, by index; see tmx_admission_settings_resolve */
};

/** The operators' own settings. */
struct tmx_operator_settings {
  double idle_return_s; /**< an empty machine is returned after this, seconds */
  double headroom;      /**< share of the services' room kept free, 0 to 1 */
  double silent_s; /**< a machine that answers no probe goes after this, seconds; 0: the default */
  struct tmx_admission_settings admission; /**< admission control */
};

/** All settings of one controller. Addresses have the form 10.0.0.1:8080. */
struct tmx_settings {
  char node_name[TMX_NAME_BYTES];                      /**< of this controller */
  char zone[TMX_NAME_BYTES];                           /**< of this controller */
  char listen[TMX_NAME_BYTES];                         /**< for users and workers */
  char peer_listen[TMX_NAME_BYTES];                    /**< for heartbeats between controllers */
  char cloud[TMX_NAME_BYTES];                          /**< the cloud's API */
  char state[TMX_NAME_BYTES];                          /**< the state service */
  struct tmx_peer_settings peers[TMX_MEMBERS_MAX];     /**< the other controllers */
  size_t n_peers;                                      /**< entries of `peers` in use */
  char zones[TMX_ZONES_MAX][TMX_NAME_BYTES];           /**< names of the zones */
  size_t n_zones;                                      /**< entries of `zones` in use */
  struct tmx_team_settings teams[TMX_TEAMS_MAX];       /**< the teams with their quotas */
  size_t n_teams;                                      /**< entries of `teams` in use */
  struct tmx_objective objectives[TMX_OBJECTIVES_MAX]; /**< service-level objectives */
  size_t n_objectives;                                 /**< entries of `objectives` in use */
  double report_s; /**< time between two heartbeats of a worker, seconds */
  double lease_s;  /**< length of the lease that a worker gets, seconds */
  double cancel_s; /**< a cancelled job must have stopped after this, seconds */
  /* The limits of the state service are the smaller of those in force and those announced in
   * `state.next`, which may come into force at any moment. */
  double state_rps;    /**< requests a second */
  double write_rps;    /**< puts a second */
  double value_kb;     /**< length of a value, KiB */
  int txn_ops;         /**< operations of one transaction */
  double cloud_rps;    /**< requests a second to the cloud */
  double list_lag_s;   /**< usual lag of the cloud's list of machines, seconds */
  double core_share;   /**< processor cores of this controller, often less than one */
  double ram_mb;       /**< memory of this controller, MB */
  int sockets;         /**< open sockets of this controller, at most */
  double clock_off_ms; /**< difference of this host's time of day from true time, at most, ms */
  struct tmx_operator_settings operators; /**< the operators' own settings */
};

/**
 * Reads the platform's settings from a file; the operators' settings get their defaults.
 * @param settings        receives the settings; owned by the caller
 * @param path            of the JSON file
 * @param error           receives one line that names the field at fault, and is left alone
 *                        otherwise
 * @param error_capacity  bytes of `error`
 * @return false on an error; `settings` must not be used then.
 */
bool tmx_settings_load(struct tmx_settings *settings, const char *path, char *error,
                       size_t error_capacity);
/** Reads the platform's settings from JSON text that ends with a zero byte; otherwise as
 *  tmx_settings_load. */
bool tmx_settings_parse(struct tmx_settings *settings, const char *text, char *error,
                        size_t error_capacity);

/** Sets every field of the operators' settings to its default. */
void tmx_operator_defaults(struct tmx_operator_settings *operators);
/** Reads the operators' settings from a TOML file over the defaults: a key that the file leaves out
 *  keeps its value. Errors as with tmx_settings_load. */
bool tmx_operator_load(struct tmx_operator_settings *operators, const char *path, char *error,
                       size_t error_capacity);

/** Connections that users and workers may open at once: their part of the sockets. */
int tmx_sockets_in(const struct tmx_settings *settings);
/** Connections that this controller may keep to workers: their part of the sockets. */
int tmx_sockets_out(const struct tmx_settings *settings);
/** Seconds after the beginning of a read of the state during which leases may be renewed: a
 *  cancellation that came after the read must not be outlasted by a lease. */
double tmx_fresh_bound(const struct tmx_settings *settings);
/** Bytes, counted as JSON, for what one value lists. */
size_t tmx_value_room(const struct tmx_settings *settings);
/** Index of the zone of a controller, this one or a peer; -1 if either is not known. */
int tmx_node_zone(const struct tmx_settings *settings, const char *node);
/** Index of a zone in `zones`; -1 if it is not there. */
int tmx_zone_index(const struct tmx_settings *settings, const char *zone);
/** Index of a team in `teams`; -1 if it is not there. */
int tmx_team_index(const struct tmx_settings *settings, const char *team);

#ifdef __cplusplus
}
#endif
#endif
