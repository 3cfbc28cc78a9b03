/**
 * @file
 * The replica: every controller's copy of the state keys at one revision.
 *
 * It is fed with keys and events and does no I/O. A replica belongs to the thread of its
 * controller's loop, which alone may call these functions. This header includes those of all parts
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

/** Number of an image's name: names are compared once, numbers from then on. */
struct tmx_image_name {
  char name[TMX_NAME_MAX]; /**< name of the image */
  int id;                  /**< its number, from 1 */
  UT_hash_handle hh;       /**< in the replica's `images`, by name */
};
/** Sum of what tasks take up. */
struct tmx_usage {
  double cpus, /**< CPUs */
      gpus;    /**< GPUs */
};
/** How many machines of a type are registered. */
struct tmx_type_count {
  char type[TMX_ID_MAX]; /**< name of the machine type */
  uint32_t machines;     /**< registered machines of this type */
};
/** When a member last committed a batch, which proves that it was alive. */
struct tmx_batch_sighting {
  char node[TMX_NAME_MAX]; /**< node name of the member */
  double at;               /**< steady clock, s */
};

/** The copy of the state, and what is derived from it. */
struct tmx_replica {
  const struct tmx_settings *settings; /**< of the caller, who keeps them as long as the replica */
  bool loaded;                         /**< everything up to `load_revision` was applied */
  uint64_t revision;                   /**< all events up to it were applied */
  uint64_t load_revision;              /**< revision of the read with which loading began */
  uint64_t head_version;               /**< version of the log's head */
  struct tmx_job *jobs;                /**< hash table by id */
  struct tmx_machine *machines;        /**< hash table by id */
  struct tmx_view view;                /**< the latest view; empty: none was read */
  struct tmx_member registered_members[TMX_MEMBERS_MAX]; /**< those whose member key stands */
  size_t n_registered_members;    /**< used entries of `registered_members` */
  char leader[TMX_NAME_MAX];      /**< empty: none */
  uint64_t leader_version;        /**< version of the leader's key; 0: there is none */
  uint64_t leader_incarnation;    /**< version of the leader's member key, see tmx_member */
  struct tmx_log_key *batch_keys; /**< batches that stand */
  struct tmx_log_key *page_keys;  /**< snapshot pages that stand */
  /** Machines that are proved to be gone, the latest ones: late copies of their reports must not
   * bring them back. Names are never used again. */
  struct tmx_log_key *removed_machines;
  uint64_t compaction_version;    /**< version of the compaction's key */
  uint64_t compaction_point;      /**< batches up to this version are in the pages */
  uint64_t compaction_generation; /**< of the pages that count */
  /** The latest batch of each member, as far as one was seen. */
  struct tmx_batch_sighting batch_sightings[TMX_MEMBERS_MAX];
  size_t n_batch_sightings;           /**< used entries of `batch_sightings` */
  struct tmx_slot_pool machine_slots; /**< slots of machines in the planner's tables */
  struct tmx_slot_pool job_slots;     /**< slots of jobs in the planner's tables */
  bool dependencies_in_use; /**< a job that names others was seen: records and lines may hold more
                               from now on than an older version reads */
  struct tmx_job **unstored_outcomes; /**< jobs cancelled because of others, whose own keys do not
                                         say so yet; array owned by the replica */
  size_t n_unstored_outcomes,         /**< used entries of `unstored_outcomes` */
      cap_unstored_outcomes;          /**< allocated entries of `unstored_outcomes` */
  struct tmx_run_estimate run_estimates[TMX_RUN_ESTIMATES_MAX]; /**< one for each class seen */
  size_t n_run_estimates;                           /**< used entries of `run_estimates` */
  struct tmx_image_name *images;                    /**< hash table by name */
  struct tmx_usage team_usage[TMX_TEAMS_MAX];       /**< of placed tasks, by team of the settings */
  struct tmx_type_count type_counts[TMX_TYPES_MAX]; /**< types beyond the bound are not counted */
  size_t n_type_counts;                             /**< used entries of `type_counts` */
  struct tmx_backlog *backlog; /**< of the caller; NULL: there is no admission */
  double booked_cpus;          /**< CPUs of all tasks that are placed */
  double waiting_cpus;         /**< CPUs of all tasks that wait */
  double now;                  /**< steady clock, s, at the latest event; set by the caller */
  double fresh_as_of; /**< steady clock, s, when a read began of whose revision the copy has all;
                         set by the caller */

  /** @name Observer
   * Functions that are told of changes, on the thread that applies them; each may be NULL. They
   * must not apply anything to the replica themselves. */
  /** @{ */
  void *observer; /**< first argument of each of them */
  /** The machine's tasks, stop modes, owner or attributes changed. */
  void (*on_machine_changed)(void *observer, struct tmx_machine *machine);
  /** The machine is gone; its record is released after the call. */
  void (*on_machine_removed)(void *observer, struct tmx_machine *machine);
  /** Something changed that makes a round worth while. */
  void (*on_schedulable_change)(void *observer);
  /** Something changed that the planner knows of the job. */
  void (*on_job_changed)(void *observer, struct tmx_job *job);
  /** The job's first task was placed. */
  void (*on_job_started)(void *observer, struct tmx_job *job);
  /** There is a new view: owners may differ. */
  void (*on_view_changed)(void *observer);
  /** All is about to be forgotten, and will be read anew. */
  void (*on_cleared)(void *observer);
  /** @} */
};

/** Makes an empty replica; observer and backlog may be set afterwards. */
void tmx_replica_init(struct tmx_replica *replica, const struct tmx_settings *settings);
/** Forgets all keys and releases their memory. Run-time estimates, settings, observer, backlog and
 * clocks stay. */
void tmx_replica_clear(struct tmx_replica *replica);

/** A key as a read of the state returned it. */
struct tmx_store_entry {
  char *key;                /**< the key's name; owned by the caller */
  uint64_t version;         /**< revision of the key's latest change */
  const cbor_item_t *value; /**< the decoded value; owned by the caller */
};
/** Applies the keys of a whole read, which are sorted in place into the order that loading needs.
 */
void tmx_replica_load(struct tmx_replica *replica, struct tmx_store_entry *entries, size_t n);
/**
 * Applies one key. Keys of other programs are ignored.
 * @param replica the replica to change.
 * @param key the key's name.
 * @param version the key's version.
 * @param value the decoded value, of the caller; NULL: the key was deleted.
 */
void tmx_replica_apply(struct tmx_replica *replica, const char *key, uint64_t version,
                       const cbor_item_t *value);
/** Tells that all events up to the revision were applied; completes loading once that is enough. */
void tmx_replica_advance_to(struct tmx_replica *replica, uint64_t revision);

/** The job with this id; NULL: there is none. */
struct tmx_job *tmx_job_find(const struct tmx_replica *replica, const char *id);
/** The machine with this id; NULL: there is none. */
struct tmx_machine *tmx_machine_find(const struct tmx_replica *replica, const char *id);
/** Tells whether the machine was lately proved to be gone. */
bool tmx_machine_was_removed(const struct tmx_replica *replica, const char *id);

/** Drops from the jobs whose outcomes are not stored those whose outcome has been stored. */
void tmx_replica_prune_unstored(struct tmx_replica *replica);
#endif
