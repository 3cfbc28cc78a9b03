/**
 * @file
 * Decides which machines and instances are deleted, and why. Pure functions of their arguments.
 */
#ifndef TMX_REPLACEMENT_POLICY_H
#define TMX_REPLACEMENT_POLICY_H
#include <stdbool.h>

#include "cloud/inventory.h"
#include "membership/failure_detector.h"

/** Why a machine or an instance is deleted. */
enum tmx_deletion_reason {
  TMX_DELETE_NONE,           /**< it is not deleted */
  TMX_DELETE_FAILED,         /**< the cloud lists it as failed */
  TMX_DELETE_SILENT,         /**< it sends no heartbeats and answers no probes */
  TMX_DELETE_UNACKNOWLEDGED, /**< its heartbeats arrive, but it acknowledges no commands */
  TMX_DELETE_DRAINED,        /**< it was draining and holds no tasks any more */
  TMX_DELETE_FAULTY,         /**< tasks fail on it that run elsewhere */
  TMX_DELETE_BOOT_TIMEOUT,   /**< it takes far longer to boot than is usual for its type */
  TMX_DELETE_NO_HEARTBEAT    /**< it is listed as running but has sent no heartbeat */
};

/** Returns the words for the log; empty for TMX_DELETE_NONE. */
const char *tmx_deletion_reason_text(enum tmx_deletion_reason reason);

/** What is known about a registered machine. */
struct tmx_machine_evidence {
  bool listed_as_failed; /**< the cloud's list shows its instance as failed */
  bool leader_settled;   /**< this leader has had time to establish contact with its peers and the
                            workers */
  bool suspected;        /**< its owner is healthy and suspects it */
  struct tmx_suspicion suspicion; /**< the owner's report; valid if `suspected` */
  bool partition_grace; /**< its zone is in a grace period: lost contact does not show that it is
                           dead */
  bool has_tasks;       /**< tasks are placed on it */
  bool has_services;    /**< some of these tasks are replicas of services */
  bool draining;        /**< it gets no new tasks and is deleted when it is empty */
  bool faulty;          /**< its errors have shown for a while that it is faulty */
};

/** Time limits for registered machines, s. */
struct tmx_machine_deadlines {
  double no_contact_s;     /**< time without contact after which a machine that lost its probes is
                              deleted */
  double leases_expired_s; /**< time without contact after which its leases have expired and its
                              tasks have ended */
  double heartbeat_late_s; /**< time without contact after which a heartbeat is overdue */
  double unacknowledged_s; /**< a machine whose heartbeats arrive must acknowledge within this */
};

/** Derives the deadlines from the settings. */
struct tmx_machine_deadlines tmx_machine_deadlines(const struct tmx_settings *settings);

/** Decides whether a registered machine is deleted, and why. */
enum tmx_deletion_reason tmx_machine_deletion_reason(const struct tmx_machine_evidence *evidence,
                                                     const struct tmx_machine_deadlines *deadlines);

/** What is known about an instance that is not registered as a machine. */
struct tmx_instance_evidence {
  enum tmx_instance_state state; /**< the furthest state that the cloud listed */
  double age_s;                  /**< s since it was rented */
  bool type_known;               /**< its type is in the catalogue */
  double boot_s;                 /**< s: usual boot time of its type; valid if `type_known` */
  bool leader_settled;   /**< this leader has had time to establish contact with its peers and the
                            workers */
  double no_heartbeat_s; /**< s for which it has been running without a heartbeat */
  double no_heartbeat_max_s; /**< s: it is deleted when `no_heartbeat_s` exceeds this */
};

/** Decides whether an instance without a registered machine is deleted, and why. */
enum tmx_deletion_reason tmx_instance_deletion_reason(const struct tmx_instance_evidence *evidence);
#endif
