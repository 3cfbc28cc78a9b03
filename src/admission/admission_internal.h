/**
 * @file
 * What the files of admission in a running controller share. Loop's thread only.
 */
#ifndef TMX_ADMISSION_INTERNAL_H
#define TMX_ADMISSION_INTERNAL_H
#include "admission/admission_control.h"
#include "admission/statistics.h"

/** Admission of one controller. */
struct tmx_admission_control {
  const struct tmx_settings *settings;       /**< not owned */
  struct tmx_replica *replica;               /**< not owned; it updates `backlog` */
  const struct tmx_machine_catalog *catalog; /**< sizes of the machine types; not owned */
  struct tmx_backlog backlog;                /**< of the replica, which keeps it up to date */
  struct tmx_backlog in_flight;              /**< of this controller's commits without an answer */
  struct tmx_statistics *statistics;         /**< owned */
  double reported_at;                        /**< steady clock, s */
};

/** Rates of the machines that the replica holds now. */
struct tmx_rates tmx_admission_control_rates(const struct tmx_admission_control *admission);
#endif
