#include "cloud/scale_in_policy.h"

#include <math.h>
#include <string.h>

/* Weights in drain_cost(). UNBOOKED_WEIGHT is the weight of a machine without bookings; the booked
 * share of the machine's CPUs is subtracted from it. SERVICE_DISCOUNT is the discount for a machine
 * whose CPUs are all booked by services; it is proportional to the share of the CPUs that services
 * book. The discount makes the machine drain later, as its replicas must move. */
static const double UNBOOKED_WEIGHT = 1.2, SERVICE_DISCOUNT = 0.8;

enum tmx_drain_decision tmx_idle_drain_decision(const struct tmx_idle_evidence *evidence) {
  if (!evidence->type_known || evidence->draining) return TMX_KEEP_NOT_ELIGIBLE;
  if (evidence->has_tasks) return TMX_KEEP_IN_USE;
  if (evidence->idle_s <= evidence->idle_max_s) return TMX_KEEP_IDLE_TOO_SHORT;
  if (evidence->free_cpus - evidence->cpus <= evidence->service_cpus * evidence->headroom)
    return TMX_KEEP_FOR_HEADROOM;
  return TMX_DRAIN;
}

struct tmx_reserve tmx_reserve_for(double peak_cpus, size_t machines) {
  double margin = fmin(TMX_PEAK_MARGIN_SHARE_MAX, 1 / sqrt(fmax((double)machines, 1)));
  return (struct tmx_reserve){
      .peak_cpus = peak_cpus,
      .margin = margin,
      .free_share_for_moves = fmin(TMX_MOVE_CAPACITY_SHARE_MAX, 2 * margin)};
}

/* CPUs by which the fleet shrinks if the candidate is drained. */
static double counted_cpus(const struct tmx_drain_candidate *candidate) {
  return candidate->out_of_use ? 0 : candidate->type->cpus;
}

bool tmx_replicas_can_move(const struct tmx_fleet *fleet, const struct tmx_reserve *reserve,
                           const struct tmx_drain_candidate *candidate, size_t n_zones) {
  if (candidate->service_cpus <= 0) return true;
  double own_free = candidate->out_of_use ? 0 : candidate->type->cpus - candidate->booked_cpus;
  double others_free = fleet->free_cpus_in_zone[candidate->zone] - own_free;
  double needed = TMX_MOVE_CAPACITY_FACTOR * candidate->service_cpus +
                  reserve->free_share_for_moves * reserve->peak_cpus / (double)n_zones;
  return others_free >= needed;
}

static double drain_cost(const struct tmx_drain_candidate *candidate) {
  const struct tmx_machine_type *type = candidate->type;
  double price = candidate->spot ? type->spot_price : type->price;
  return price / type->cpus * (UNBOOKED_WEIGHT - candidate->booked_cpus / type->cpus) *
         (1 - SERVICE_DISCOUNT * candidate->service_cpus / type->cpus);
}

int tmx_drain_candidate_compare(const void *left, const void *right) {
  const struct tmx_drain_candidate *a = left, *b = right;
  double cost_a = drain_cost(a), cost_b = drain_cost(b);
  if (cost_a == cost_b) return strcmp(a->id, b->id);
  return cost_a > cost_b ? -1 : 1;
}

enum tmx_drain_decision tmx_peak_drain_decision(const struct tmx_fleet *fleet,
                                                const struct tmx_reserve *reserve,
                                                const struct tmx_drain_candidate *candidate) {
  double cpus = candidate->type->cpus;
  if (fleet->cpus - counted_cpus(candidate) < reserve->peak_cpus * (1 + reserve->margin))
    return TMX_KEEP_FOR_PEAK;
  /* Few machines with replicas drain at a time, as each move restarts a replica. One such machine
   * may always drain, however small the fleet is. */
  if (candidate->service_cpus > 0 && fleet->draining_cpus > 0 &&
      fleet->draining_cpus + cpus > TMX_DRAINING_CPUS_SHARE_MAX * fleet->cpus)
    return TMX_KEEP_FOR_MOVE_LIMIT;
  return TMX_DRAIN;
}

void tmx_fleet_drain(struct tmx_fleet *fleet, const struct tmx_drain_candidate *candidate) {
  if (candidate->service_cpus > 0) fleet->draining_cpus += candidate->type->cpus;
  fleet->cpus -= counted_cpus(candidate);
}
