/**
 * @file
 * The machine types that the cloud offers. The cloud module fills the catalogue; planner, admission
 * and the users' API read it. Loop's thread only.
 */
#ifndef TMX_MACHINE_CATALOG_H
#define TMX_MACHINE_CATALOG_H
#include <stdbool.h>
#include <stddef.h>

#include "tmx/constants.h"

/** One machine type. */
struct tmx_machine_type {
  char name[TMX_ID_MAX];
  double cpus;
  double gpus;
  double mem_gb;
  double cache_gb;           /**< room for images */
  double fetch_gb_per_s;     /**< rate at which images are fetched */
  double price;              /**< per hour */
  double spot_price;         /**< per hour, the current one */
  double boot_s;             /**< usual time from the rental request until the machine is up */
  bool zones[TMX_ZONES_MAX]; /**< by zone of the settings: whether it is offered there */
};

/** All types, in the cloud's order; empty until the cloud has answered once. */
struct tmx_machine_catalog {
  struct tmx_machine_type types[TMX_TYPES_MAX];
  size_t n_types;
};

/** The type of this name, or NULL if there is none. */
const struct tmx_machine_type *tmx_machine_catalog_find(const struct tmx_machine_catalog *catalog,
                                                        const char *name);
#endif
