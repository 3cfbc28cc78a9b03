/**
 * @file
 * The backlog: admitted work that is not done yet, accounted by team and job class.
 *
 * The replica updates the backlog as it applies the log. All sums are integers, so they do not
 * depend on the order in which the log is read: all replicas agree at the same revision, before and
 * after a compaction or a restart. The functions do no I/O. Only the thread of the controller's
 * event loop may use a backlog.
 */
#ifndef TMX_BACKLOG_H
#define TMX_BACKLOG_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"

struct tmx_job;
struct tmx_job_spec;

/** Resources that admitted work consumes until it is done. */
enum tmx_admission_resource {
  TMX_ADMISSION_CPU,               /**< CPU milliseconds */
  TMX_ADMISSION_GPU,               /**< GPU milliseconds */
  TMX_ADMISSION_MACHINE_MEMORY,    /**< memory of machines, MB times seconds */
  TMX_ADMISSION_LOG,               /**< bytes of log lines */
  TMX_ADMISSION_PUTS,              /**< store writes of final job states */
  TMX_ADMISSION_CONTROLLER_MEMORY, /**< memory of a controller, bytes */
  TMX_ADMISSION_RESOURCES          /**< number of resources */
};
/** An amount of each resource. */
struct tmx_load {
  /** Indexed by enum tmx_admission_resource, which gives the unit of each. */
  int64_t amount[TMX_ADMISSION_RESOURCES];
};

/** Maximum number of classes named by the objectives in the settings. Each has an account in every
 * team. */
#define TMX_LISTED_CLASSES_MAX TMX_OBJECTIVES_MAX
/**
 * Maximum number of accounts of a team. Classes that no objective names share a fixed number of
 * accounts, chosen by a hash of the class name (P. McKenney, "Stochastic fairness queueing",
 * INFOCOM 1990), so that users gain nothing by inventing class names.
 */
#define TMX_ACCOUNTS_MAX (TMX_LISTED_CLASSES_MAX + TMX_HASHED_ACCOUNTS)

/** The account of one class, or of the unlisted classes that share it, in one team. */
struct tmx_account {
  struct tmx_load load; /**< remaining work of its jobs */
  uint32_t n_open_jobs; /**< admitted jobs without a final state */
  double last_start_at; /**< when a task of the account was last placed, monotonic clock, seconds;
                           0: never */
};
/** The accounts of all teams. */
struct tmx_backlog {
  char listed[TMX_LISTED_CLASSES_MAX][TMX_NAME_BYTES]; /**< classes that the objectives name */
  size_t n_listed,                                     /**< entries of `listed` in use */
      n_teams; /**< teams in the settings; rows of `accounts` in use */
  struct tmx_account accounts[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX]; /**< by team, then by account */
};

/** Resets all accounts and lists the classes that the objectives in the settings name. */
void tmx_backlog_init(struct tmx_backlog *backlog, const struct tmx_settings *settings);
/** Index of a class's account within its team. Accounts from index `n_listed` on are shared by the
 * unlisted classes. */
size_t tmx_backlog_account_index(const struct tmx_backlog *backlog, const char *class_name);
/** Number of accounts of each team. */
size_t tmx_backlog_account_count(const struct tmx_backlog *backlog);
/** Remaining work of a job with `tasks_left` tasks that count as backlog; all zero if there are
 * none. */
struct tmx_load tmx_job_load(const struct tmx_job_spec *spec, uint32_t tasks_left);
/** Adds a load to a sum, or subtracts it if `sign` is -1. */
void tmx_load_add(struct tmx_load *sum, const struct tmx_load *load, int sign);
/** Brings the job's account up to date. Must be called after each change of the job, including the
 * change to a final state. Jobs of teams that the settings do not name are not counted. */
void tmx_backlog_update(struct tmx_backlog *backlog, struct tmx_job *job);
#endif
