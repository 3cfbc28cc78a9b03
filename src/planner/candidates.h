/**
 * @file
 * The best machine for a job's next task: internal to src/planner.
 */
#ifndef TMX_CANDIDATES_H
#define TMX_CANDIDATES_H
#include "planner/round.h"

/** Which machines will do, by the image of the job. */
enum image_requirement {
  IMAGE_WARM,     /**< only those where fetching it does not make the start late */
  IMAGE_ANY_STATE /**< all */
};

/** Forgets the candidates of the job before; to be called before the first look-up for a job. */
void tmx_candidates_begin_job(struct round *round, const struct planner_job *job);

/** The slot of the best machine of the pool for the job's next task; -1: there is none. */
int tmx_candidates_best(struct round *round, const struct planner_job *job,
                        enum candidate_pool pool, enum image_requirement image);

#endif
