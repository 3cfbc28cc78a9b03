/**
 * @file
 * The machine types that the cloud offers. The cloud module fills the catalogue; the planner,
 * admission and the users' API read it. Loop's thread only.
 */
#ifndef TMX_MACHINE_CATALOG_H
#define TMX_MACHINE_CATALOG_H
#include <stdbool.h>
#include <stddef.h>

#include "tmx/constants.h"

/** One machine type. */
struct tmx_machine_type {
  char name[TMX_ID_BYTES]; /**< the cloud's name of the type */
  double cpus;             /**< CPUs of one machine */
  double gpus;             /**< GPUs of one machine; 0: none */
  double mem_gb;           /**< memory of one machine, GB */
  double cache_gb;         /**< size of the image cache of one machine, GB */
  double fetch_gb_per_s;   /**< rate at which a machine fetches images, GB/s */
  double price;            /**< on-demand price per hour */
  double spot_price;       /**< current spot price per hour */
  double boot_s; /**< usual time from the rental request until the machine is up, seconds */
  bool zones[TMX_ZONES_MAX]; /**< by zone index of the settings: the type is offered there */
};

/** All types, in the cloud's order; empty until the cloud has responded once. */
struct tmx_machine_catalog {
  struct tmx_machine_type types[TMX_MACHINE_TYPES_MAX]; /**< the first `n_types` are valid */
  size_t n_types;                                       /**< entries of `types` in use */
};

/** Returns the type with this name, or NULL if there is none. */
const struct tmx_machine_type *tmx_machine_catalog_find(const struct tmx_machine_catalog *catalog,
                                                        const char *name);
#endif
