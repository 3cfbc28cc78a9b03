/**
 * @file
 * The replica: a controller's in-memory copy of the state keys at one revision.
 *
 * The store module passes in keys and events; the replica does no I/O. Only the thread of the
 * controller's event loop may call these functions. This header includes the headers of all parts
 * of the replica that other modules use, except operation_check.h.
 */
#ifndef TMX_REPLICA_H
#define TMX_REPLICA_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"
#include "net/cbor.h"
#include "replica/backlog.h"
#include "replica/job.h"
#include "replica/job_dependencies.h"
#include "replica/job_ids.h"
#include "replica/job_record.h"
#include "replica/job_spec.h"
#include "replica/log_codec.h"
#include "replica/log_keys.h"
#include "replica/machine.h"
#include "replica/ownership.h"
#include "replica/operation.h"
#include "replica/planner_slots.h"
#include "replica/run_estimate.h"
#include "replica/store_keys.h"
#include "replica/view.h"

/** Maps the name of an image to a number, so that later comparisons need only the numbers. */
struct tmx_image_name {
  char name[TMX_NAME_BYTES]; /**< name of the image */
  int id;                    /**< number of the image, from 1 */
  UT_hash_handle hh;         /**< hash handle in the replica's `images`, by name */
};
/** Resources used by a set of tasks. */
struct tmx_usage {
  double cpus, /**< CPUs */
      gpus;    /**< GPUs */
};
/** Number of registered machines of one type. */
struct tmx_type_count {
  char type[TMX_ID_BYTES]; /**< name of the machine type */
  uint32_t machines;       /**< registered machines of this type */
};
/** The latest batch of a member, which shows that the member was alive. */
struct tmx_last_batch {
  char node[TMX_NAME_BYTES]; /**< node name of the member */
  double seen_at;            /**< monotonic clock, s: when the batch was applied */
};

/** The copy of the state keys, and data derived from it. */
struct tmx_replica {
  const struct tmx_settings *settings; /**< owned by the caller; must outlive the replica */
  bool loaded;                         /**< all events up to `load_revision` have been applied */
  uint64_t revision;                   /**< all events up to this revision have been applied */
  uint64_t load_revision;              /**< revision at which loading is complete */
  uint64_t head_version;               /**< version of the key of the log's head */
  struct tmx_job *jobs;                /**< hash table by id */
  struct tmx_machine *machines;        /**< hash table by id */
  struct tmx_view view;                /**< the latest view; empty: none has been read */
  struct tmx_member registered_members[TMX_MEMBERS_MAX]; /**< members whose key exists */
  size_t n_registered_members;    /**< used entries of `registered_members` */
  char leader[TMX_NAME_BYTES];    /**< node name of the leader; empty: none */
  uint64_t leader_version;        /**< version of the leader key; 0: it does not exist */
  uint64_t leader_incarnation;    /**< the leader's tmx_member::incarnation; 0: unknown */
  struct tmx_log_key *batch_keys; /**< keys of the existing batches */
  struct tmx_log_key *page_keys;  /**< keys of the existing snapshot pages */
  /** Ids of the latest removed machines: a late duplicate of such a machine's report must not
   * register the machine again. Ids are never reused. */
  struct tmx_log_key *removed_machines;
  uint64_t compaction_version;    /**< version of the compaction key; 0: it does not exist */
  uint64_t compaction_point;      /**< the pages contain all batches up to this version */
  uint64_t compaction_generation; /**< generation of the pages in force */
  /** The latest batch of each member that has committed one. */
  struct tmx_last_batch last_batches[TMX_MEMBERS_MAX];
  size_t n_last_batches;              /**< used entries of `last_batches` */
  struct tmx_slot_pool machine_slots; /**< allocates slots for machines in the planner's tables */
  struct tmx_slot_pool job_slots;     /**< allocates slots for jobs in the planner's tables */
  bool dependencies_in_use; /**< a record with dependencies or an end time has been applied; records
                               and lines may now have forms that older versions cannot read */
  struct tmx_job **unstored_outcomes; /**< jobs cancelled because of a dependency, whose own keys do
                                         not hold this outcome yet; array owned by the replica */
  size_t n_unstored_outcomes,         /**< used entries of `unstored_outcomes` */
      cap_unstored_outcomes;          /**< allocated entries of `unstored_outcomes` */
  struct tmx_run_estimate
      run_estimates[TMX_RUN_ESTIMATES_MAX];   /**< one for each class that has been seen */
  size_t n_run_estimates;                     /**< used entries of `run_estimates` */
  struct tmx_image_name *images;              /**< hash table by name */
  struct tmx_usage team_usage[TMX_TEAMS_MAX]; /**< resources of placed tasks, by the team's index in
                                                 the settings */
  struct tmx_type_count type_counts[TMX_MACHINE_TYPES_MAX]; /**< further types are not counted */
  size_t n_type_counts;                                     /**< used entries of `type_counts` */
  struct tmx_backlog *backlog; /**< owned by the caller; NULL: no admission control */
  double booked_cpus;          /**< CPUs of all placed tasks */
  double waiting_cpus;         /**< CPUs of all waiting tasks of open, unblocked jobs */
  double now;                  /**< monotonic clock, s, at the latest event; set by the caller */
  double fresh_as_of; /**< monotonic clock, s: time up to which the replica is known to be complete;
                         set by the caller, see tmx_store_fresh_as_of() */

  /** @name Observer
   * Callbacks for changes, called on the thread that applies the change. Each may be NULL. They
   * must not apply changes to the replica themselves. */
  /** @{ */
  void *observer; /**< first argument of every callback */
  /** The machine's tasks, stop modes, owner or attributes changed. */
  void (*on_machine_changed)(void *observer, struct tmx_machine *machine);
  /** The machine was removed. Its record is freed after the call. */
  void (*on_machine_removed)(void *observer, struct tmx_machine *machine);
  /** A change may justify a scheduling round. */
  void (*on_schedulable_change)(void *observer);
  /** A property of the job that the planner uses changed. */
  void (*on_job_changed)(void *observer, struct tmx_job *job);
  /** A task of the job was placed, for the first time since loading. Called only if a backlog is
   * attached and the settings name the job's team. */
  void (*on_job_started)(void *observer, struct tmx_job *job);
  /** A new view was applied. Owners of machines may have changed. */
  void (*on_view_changed)(void *observer);
  /** The replica is about to be cleared: its jobs and machines are still valid. */
  void (*on_before_clear)(void *observer);
  /** @} */
};

/** Initializes an empty replica. The caller may set the observer and the backlog afterwards. */
void tmx_replica_init(struct tmx_replica *replica, const struct tmx_settings *settings);
/** Removes all keys and frees their memory. Run-time estimates, settings, observer and clocks stay;
 * the backlog stays attached and is reset. */
void tmx_replica_clear(struct tmx_replica *replica);

/** A key as returned by a read of the state. */
struct tmx_store_entry {
  char *key;                /**< the key's name; owned by the caller */
  uint64_t version;         /**< revision of the key's latest change */
  const cbor_item_t *value; /**< the decoded value; owned by the caller */
};
/** Applies all keys of a complete read. Sorts `entries` in place into the order of loading. */
void tmx_replica_load(struct tmx_replica *replica, struct tmx_store_entry *entries, size_t n);
/**
 * Applies a change of one key. Unknown keys are ignored.
 * @param replica the replica to change.
 * @param key the key's name.
 * @param version the key's version.
 * @param value the decoded value, owned by the caller; NULL: the key was deleted.
 */
void tmx_replica_apply(struct tmx_replica *replica, const char *key, uint64_t version,
                       const cbor_item_t *value);
/**
 * Records that all events up to the revision have been applied. Completes loading once
 * `load_revision` is reached.
 */
void tmx_replica_advance_to(struct tmx_replica *replica, uint64_t revision);

/** The job with this id; NULL: unknown. */
struct tmx_job *tmx_job_find(const struct tmx_replica *replica, const char *id);
/** The machine with this id; NULL: unknown. */
struct tmx_machine *tmx_machine_find(const struct tmx_replica *replica, const char *id);
/** Returns whether the machine is among the latest removed ones. */
bool tmx_machine_was_removed(const struct tmx_replica *replica, const char *id);

/** Removes the jobs whose outcome has been stored from `unstored_outcomes`. */
void tmx_replica_prune_unstored_outcomes(struct tmx_replica *replica);
#endif
