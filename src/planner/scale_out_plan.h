/* How many machines to rent, and of which kind: pure functions. */
#ifndef TMX_SCALE_OUT_PLAN_H
#define TMX_SCALE_OUT_PLAN_H
#include "catalog/machine_catalog.h"
#include "planner/planner.h"
#include "replica/replica.h"

struct tmx_demand { /* waiting tasks of one job that found no room */
  const struct tmx_job_spec *spec;
  uint32_t tasks;
  int zone;     /* the only one that helps; -1: any */
  double run_s; /* expected of a task */
};
struct tmx_offer { /* one type, zone and kind that may be rented now */
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
  double price;
};
struct tmx_coming { /* room of a machine that is up, or rented and on its way */
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
  double cpus, gpus, mem;
};
struct tmx_scale_out {
  int offer;
  uint32_t count;
};
/* Returns the number of hires written to out. have_cpus: room of the machines that are up. */
size_t tmx_plan_scale_out(const struct tmx_demand *demands, size_t n_d,
                          const struct tmx_offer *offers, size_t n_o,
                          const struct tmx_coming *coming, size_t n_c, double have_cpus,
                          struct tmx_scale_out *out, size_t max);
#endif
