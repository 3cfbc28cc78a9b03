#include "planner/scale_out_plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

struct bin {
  double cpus, gpus, mem;
  const struct tmx_machine_type *type;
  int zone;
  bool spot;
};

static bool suits(const struct tmx_job_spec *spec, const struct tmx_machine_type *type, int zone,
                  bool spot, const struct tmx_demand *demands) {
  return (!spot || spec->spot_allowed) && tmx_type_allowed(spec, type->name) &&
         spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb &&
         (demands->zone < 0 || zone == demands->zone);
}

static uint32_t asked_of(const struct tmx_scale_out *h, size_t n, size_t offer) {
  for (size_t i = 0; i < n; i++)
    if (h[i].offer == (int)offer) return h[i].count;
  return 0;
}

static uint32_t fits(const struct tmx_job_spec *spec, double cpus, double gpus, double mem) {
  double n = 1e6;
  if (spec->cpus > 0) n = fmin(n, cpus / spec->cpus + 1e-9);
  if (spec->gpus > 0) n = fmin(n, gpus / spec->gpus + 1e-9);
  if (spec->mem_gb > 0) n = fmin(n, mem / spec->mem_gb + 1e-9);
  return n < 0 ? 0 : (uint32_t)n;
}

size_t tmx_plan_scale_out(const struct tmx_demand *demands, size_t n_d,
                          const struct tmx_offer *offers, size_t n_o,
                          const struct tmx_coming *coming, size_t n_c, double have,
                          struct tmx_scale_out *out, size_t max) {
  size_t n_out = 0, n_bins = 0, cap = n_c + TMX_SCALE_OUTS_MAX;
  struct bin *bins = calloc(cap, sizeof *bins);
  if (!bins) abort();
  for (size_t i = 0; i < n_c; i++)
    bins[n_bins++] = (struct bin){coming[i].cpus, coming[i].gpus, coming[i].mem,
                                  coming[i].type, coming[i].zone, coming[i].spot};
  /* Work that the machines at hand clear within about the boot time needs no new ones. */
  double backlog = 0;
  for (size_t i = 0; i < n_d; i++)
    if (!demands[i].spec->service)
      backlog += demands[i].tasks * demands[i].spec->cpus * fmax(demands[i].run_s, 5);
  for (size_t i = 0; i < n_d; i++) {
    const struct tmx_job_spec *spec = demands[i].spec;
    uint32_t left = demands[i].tasks;
    if (!spec->service) {
      if (have > 0 && backlog / have < TMX_BACKLOG_CLEAR_S)
        continue; /* cleared soon as it stands */
      /* enough to be done in one more run time, rather than a machine for every task */
      left = (uint32_t)ceil(left * fmin(1.0, fmax(demands[i].run_s, 5) / 45.0));
    }
    for (size_t b = 0; b < n_bins && left; b++) {
      if (!suits(spec, bins[b].type, bins[b].zone, bins[b].spot, &demands[i])) continue;
      uint32_t k = fits(spec, bins[b].cpus, bins[b].gpus, bins[b].mem);
      if (k > left) k = left;
      bins[b].cpus -= k * spec->cpus;
      bins[b].gpus -= k * spec->gpus;
      bins[b].mem -= k * spec->mem_gb;
      left -= k;
    }
    while (left && n_bins < cap) {
      int best = -1;
      double best_v = 0;
      for (size_t k = 0; k < n_o; k++) {
        if (!suits(spec, offers[k].type, offers[k].zone, offers[k].spot, &demands[i])) continue;
        /* how many there are is not published: a large demand asks several offers at once, rather
         * than all of it of the cheapest, round after round, until that one is exhausted */
        if (asked_of(out, n_out, k) >= TMX_SCALE_OUT_OFFER_MAX) continue;
        uint32_t in =
            fits(spec, offers[k].type->cpus, offers[k].type->gpus, offers[k].type->mem_gb);
        if (!in) continue;
        /* price of a task's room, counting only the room that is wanted now by half */
        double wanted = in < left ? in : (left + in) / 2.0;
        double v = offers[k].price / wanted * (1 + offers[k].type->boot_s / 200.0);
        if (best < 0 || v < best_v) {
          best = (int)k;
          best_v = v;
        }
      }
      if (best < 0) break;
      const struct tmx_machine_type *type = offers[best].type;
      uint32_t k = fits(spec, type->cpus, type->gpus, type->mem_gb);
      if (k > left) k = left;
      bins[n_bins++] = (struct bin){type->cpus - k * spec->cpus,
                                    type->gpus - k * spec->gpus,
                                    type->mem_gb - k * spec->mem_gb,
                                    type,
                                    offers[best].zone,
                                    offers[best].spot};
      left -= k;
      size_t h;
      for (h = 0; h < n_out; h++)
        if (out[h].offer == best) break;
      if (h == n_out) {
        if (n_out == max) break;
        out[n_out++] = (struct tmx_scale_out){best, 0};
      }
      out[h].count++;
    }
  }
  free(bins);
  return n_out;
}
