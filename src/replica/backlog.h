/**
 * @file
 * The backlog: accounts of admitted work that has not been done, by team and class, kept while the
 * replica applies the log.
 *
 * Pure, and in whole numbers: the sums are the same in whatever order the log was read, so that all
 * replicas agree at the same revision, before and after a compaction or a restart. A backlog
 * belongs to the thread of the controller's loop.
 */
#ifndef TMX_BACKLOG_H
#define TMX_BACKLOG_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"

struct tmx_job;
struct tmx_job_spec;

/** What admitted work uses up until it is done. */
enum tmx_admission_resource {
  TMX_ADMISSION_CPU,      /**< CPU milliseconds */
  TMX_ADMISSION_GPU,      /**< GPU milliseconds */
  TMX_ADMISSION_MEMORY,   /**< memory of machines, MB times s */
  TMX_ADMISSION_LOG,      /**< bytes of lines of the log */
  TMX_ADMISSION_PUTS,     /**< puts of final states */
  TMX_ADMISSION_HELD,     /**< bytes of a controller's memory */
  TMX_ADMISSION_RESOURCES /**< number of resources */
};
/** An amount of each resource. */
struct tmx_load {
  /** By enum tmx_admission_resource, each in the unit given there. */
  int64_t amount[TMX_ADMISSION_RESOURCES];
};

/** Classes that the settings' objectives name, at most; each has an account in every team. */
#define TMX_LISTED_MAX TMX_OBJECTIVES_MAX
/**
 * Accounts of a team, at most. All class names that are not listed share a fixed number of accounts
 * by a hash of the name (P. McKenney, "Stochastic fairness queueing", INFOCOM 1990), so that
 * invented names gain nothing.
 */
#define TMX_ACCOUNTS_MAX (TMX_LISTED_MAX + TMX_HASHED_ACCOUNTS)

/** The account of one class, or of those that share it, in one team. */
struct tmx_account {
  struct tmx_load load; /**< left to do of its jobs */
  uint32_t jobs;        /**< admitted and not over */
  double started_at;    /**< steady clock, s: a task of it was last placed; 0: never */
};
/** All accounts. */
struct tmx_backlog {
  char listed[TMX_LISTED_MAX][TMX_NAME_BYTES]; /**< the classes that the objectives name */
  size_t n_listed,                             /**< used entries of `listed` */
      n_teams; /**< teams in the settings; used rows of `accounts` */
  struct tmx_account accounts[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX]; /**< by team, then by account */
};

/** Empties the accounts, and lists the classes that the settings name. */
void tmx_backlog_init(struct tmx_backlog *backlog, const struct tmx_settings *settings);
/** Index of a class's account within its team; those from `n_listed` on are shared by hash. */
size_t tmx_backlog_account(const struct tmx_backlog *backlog, const char *class_name);
/** How many accounts each team has. */
size_t tmx_backlog_accounts(const struct tmx_backlog *backlog);
/** What is left to do of a job of which so many tasks wait or are under way. */
struct tmx_load tmx_load_of(const struct tmx_job_spec *spec, uint32_t tasks_left);
/** Adds a load to a sum; `sign` is -1 to take it out. */
void tmx_load_add(struct tmx_load *sum, const struct tmx_load *load, int sign);
/** Counts the job anew: to be called whenever it has changed, and once more when it is over. */
void tmx_backlog_update(struct tmx_backlog *backlog, struct tmx_job *job);
#endif
