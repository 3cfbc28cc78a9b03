/**
 * @file
 * Decides which machines and instances are deleted, and why. Pure functions: they see only their
 * arguments.
 */
#ifndef TMX_REPLACEMENT_POLICY_H
#define TMX_REPLACEMENT_POLICY_H
#include <stdbool.h>

#include "cloud/inventory.h"
#include "membership/failure_detector.h"

/** Why a machine or an instance is deleted. */
enum tmx_deletion_reason {
  TMX_DELETE_NOT,            /**< it stays */
  TMX_DELETE_FAILED,         /**< the cloud lists it as failed */
  TMX_DELETE_SILENT,         /**< neither heard nor reached for too long */
  TMX_DELETE_UNACKNOWLEDGED, /**< its heartbeats arrive, but nothing shows that it can be reached */
  TMX_DELETE_DRAINED,        /**< it was draining and holds no task any more */
  TMX_DELETE_FAULTY,         /**< tasks of several jobs failed on it in a row */
  TMX_DELETE_BOOT_TIMEOUT,   /**< it takes far longer to boot than its type should */
  TMX_DELETE_NEVER_HEARD     /**< listed as running, but no heartbeat of it came */
};

/** The words for the log; TMX_DELETE_NOT has none and gives an empty text. */
const char *tmx_deletion_reason_text(enum tmx_deletion_reason reason);

/** What is known of a registered machine. */
struct tmx_machine_evidence {
  bool listed_as_failed;          /**< the cloud's list shows its instance as failed */
  bool leader_settled;            /**< this leader has had time to hear peers and workers */
  bool suspected;                 /**< its owner, which is heard, suspects it */
  struct tmx_suspicion suspicion; /**< of the owner; meaningful if `suspected` */
  bool silence_excused; /**< its zone is or was cut off, so silence does not show that it is dead */
  bool has_tasks;       /**< tasks are placed on it */
  bool has_services;    /**< some of them are replicas of services */
  bool draining;        /**< it gets no new work and is deleted when empty */
  bool faulty;          /**< TMX_FAULTY_MACHINE_ERRORS errors in a row, of several jobs */
};

/** The times that apply to machines, s. */
struct tmx_machine_deadlines {
  double silence_s;        /**< a lost machine is deleted after this silence */
  double leases_expired_s; /**< after this silence its leases have expired and its work has ended */
  double heartbeat_late_s; /**< a heartbeat is missing after this silence */
  double unacknowledged_s; /**< a machine that is heard must be reached within this time */
};

/** The deadlines by the settings. */
struct tmx_machine_deadlines tmx_machine_deadlines(const struct tmx_settings *settings);

/** Whether, and why, a registered machine is deleted. */
enum tmx_deletion_reason tmx_machine_deletion_reason(const struct tmx_machine_evidence *evidence,
                                                     const struct tmx_machine_deadlines *deadlines);

/** What is known of an instance that is not registered as a machine. */
struct tmx_instance_evidence {
  enum tmx_instance_state state; /**< the latest that the cloud listed */
  double age_s;                  /**< s since it was rented */
  bool type_known;               /**< the catalogue has its type */
  double boot_s;                 /**< s: usual boot time of the type; meaningful if `type_known` */
  bool leader_settled;           /**< this leader has had time to hear peers and workers */
  double unheard_s;              /**< s since it was first seen as running without a heartbeat */
  double unheard_max_s;          /**< s: how long that may last */
};

/** Whether, and why, an instance without a machine is deleted. */
enum tmx_deletion_reason tmx_instance_deletion_reason(const struct tmx_instance_evidence *evidence);
#endif
