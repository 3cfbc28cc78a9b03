#include "catalog/machine_catalog.h"

#include <string.h>

const struct tmx_machine_type *tmx_machine_catalog_find(const struct tmx_machine_catalog *catalog,
                                                        const char *name) {
  for (size_t i = 0; i < catalog->n_types; i++)
    if (!strcmp(catalog->types[i].name, name)) return &catalog->types[i];
  return NULL;
}
