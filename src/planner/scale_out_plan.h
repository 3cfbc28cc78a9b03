/**
 * @file
 * Plans scale-out: which machines to rent, and how many.
 *
 * tmx_plan_scale_out() is a pure function and may be called from any thread. In a controller the
 * leader's event loop calls it.
 */
#ifndef TMX_SCALE_OUT_PLAN_H
#define TMX_SCALE_OUT_PLAN_H
#include "catalog/machine_catalog.h"
#include "planner/planner.h"
#include "planner/resources.h"
#include "replica/replica.h"

/** What a plan does for a demand. */
enum tmx_demand_decision {
  TMX_DEMAND_CLEARED_SOON, /**< the provisioned machines complete its work soon */
  TMX_DEMAND_FITS,         /**< its tasks fit into free capacity */
  TMX_DEMAND_RENTED,       /**< machines are rented for it */
  TMX_DEMAND_NO_OFFER,     /**< more machines are needed, and no offer for them is left */
  TMX_DEMAND_AT_QUOTA      /**< the quota of its team allows none of its tasks to start */
};

/** Waiting tasks that found no free capacity, of one job or of several jobs of one team with equal
 * requests. */
struct tmx_demand {
  const struct tmx_job_spec *spec; /**< resources that one task requests; borrowed */
  uint32_t tasks;                  /**< number of waiting tasks */
  int team;                        /**< index of the team in the settings */
  int zone;                        /**< index of the only allowed zone; -1: any zone */
  double run_s;                    /**< expected run time of one task, s */
  bool overdue; /**< no task has been placed for longer than TMX_BACKLOG_CLEAR_S */
  enum tmx_demand_decision decision; /**< written by tmx_plan_scale_out() */
};

/** Machines of one type and zone, spot or on demand, that may be rented now. */
struct tmx_offer {
  const struct tmx_machine_type *type; /**< borrowed from the catalog */
  int zone;                            /**< index of the zone */
  bool spot;                           /**< spot, else on demand */
  double price;                        /**< price of one machine; all offers use the same unit */
};

/** A machine that is up, or that is rented and not up yet. */
struct tmx_provisioned_machine {
  const struct tmx_machine_type *type; /**< borrowed from the catalog */
  int zone;                            /**< index of the zone; -1: unknown */
  bool spot;                           /**< spot, else on demand */
  struct tmx_resources free;           /**< not booked; zero if the machine gets no tasks now */
  struct tmx_resources for_arrays;     /**< not booked by services, which do not end */
};

/** The machines to rent of one offer. */
struct tmx_scale_out {
  int offer;      /**< index of the offer in tmx_scale_out_input::offers */
  uint32_t count; /**< number of machines to rent */
};

/** The input of tmx_plan_scale_out(). The caller owns the arrays. They are only read, except
 * tmx_demand::decision. */
struct tmx_scale_out_input {
  struct tmx_demand *demands;                        /**< waiting tasks */
  size_t n_demands;                                  /**< entries of `demands` */
  const struct tmx_offer *offers;                    /**< machines that may be rented now */
  size_t n_offers;                                   /**< entries of `offers` */
  const struct tmx_provisioned_machine *provisioned; /**< all machines that count as capacity */
  size_t n_provisioned;                              /**< entries of `provisioned` */
  const struct tmx_usage *quota_left; /**< by team: resources that its quota leaves */
  size_t n_teams;                     /**< entries of `quota_left` */
};

/** Returns the decision in words, for the log. */
const char *tmx_demand_decision_text(enum tmx_demand_decision decision);

/**
 * Packs the demands into the free capacity of the provisioned machines. Tasks that do not fit are
 * packed into new machines, each of the offer with the lowest price per task, weighted by the boot
 * time. Nothing is rented for a job array that the provisioned machines complete soon, unless it is
 * overdue.
 *
 * The demands share the quotas of their teams in their order. What a demand cannot use, as no offer
 * is left for it, goes to the team's other demands.
 *
 * @param input demands, offers and provisioned machines
 * @param out receives at most `max` entries, one for each offer of which to rent machines
 * @param max capacity of `out`, entries
 * @return the number of entries in use
 */
size_t tmx_plan_scale_out(const struct tmx_scale_out_input *input, struct tmx_scale_out *out,
                          size_t max);

#endif
