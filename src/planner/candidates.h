/**
 * @file
 * Selects the machine for a job's next task. Internal to src/planner.
 */
#ifndef TMX_CANDIDATES_H
#define TMX_CANDIDATES_H
#include "planner/round.h"

/** Which machines are acceptable, by the state of the job's image on them. */
enum image_requirement {
  IMAGE_WARM,     /**< cost below COLD_IMAGE_COST: fetching the image does not make the start
                       late, and the job did not fail there recently */
  IMAGE_ANY_STATE /**< all machines */
};

/** Discards the candidates of the previous job and sets round::machine_cap for this job. Must be
 * called before the first tmx_candidates_best() for a job. */
void tmx_candidates_begin_job(struct round *round, const struct planner_job *job);

/** Returns the slot of the machine in the pool with the lowest cost for the job's next task; -1: no
 * machine qualifies. The first call for a pool collects its candidates. */
int tmx_candidates_best(struct round *round, const struct planner_job *job,
                        enum candidate_pool pool, enum image_requirement image);

#endif
