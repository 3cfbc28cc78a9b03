/**
 * @file
 * Declarations shared by the source files of admission control. Used by the event loop's thread
 * only.
 */
#ifndef TMX_ADMISSION_INTERNAL_H
#define TMX_ADMISSION_INTERNAL_H
#include "admission/admission_control.h"
#include "admission/statistics.h"

/** Admission control of one controller. */
struct tmx_admission_control {
  const struct tmx_settings *settings;       /**< not owned */
  struct tmx_replica *replica;               /**< not owned; it updates `backlog` */
  const struct tmx_machine_catalog *catalog; /**< sizes of the machine types; not owned */
  struct tmx_backlog backlog;   /**< admitted jobs that are not over; updated by the replica */
  struct tmx_backlog in_flight; /**< this controller's submissions in flight */
  struct tmx_admission_statistics *statistics; /**< owned */
  double accounts_logged_at; /**< time of the last log of the accounts: steady clock, s */
};

/** Returns the resource rates for the machines that the replica contains now. */
struct tmx_resource_rates tmx_admission_control_rates(
    const struct tmx_admission_control *admission);
#endif
