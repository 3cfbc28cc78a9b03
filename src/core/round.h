/* A round under way: shared by the files of src/core that plan it. Pure. */
#ifndef TMX_ROUND_H
#define TMX_ROUND_H
#include "core/model.h"

#define EPS 1e-6

struct cand { /* a machine that may take a task: the lower the better */
  double v;
  int m;
};
struct heap {
  struct cand *c;
  size_t n, cap;
};
struct set { /* the machines for one job, by zone */
  bool built, none;
  struct heap zone[TMX_ZONES_MAX];
};
struct shape { /* what found no room: nothing as large is tried again in this round */
  const struct pj *j;
  int what;
};
enum { OWN, ANY, SOON, VICTIMS, SETS }; /* the first three in this order: see place */
#define SHAPES 48
#define SECOND 1.0    /* added to the measure of a machine of the kind that comes second */
#define COLD 10.0     /* added to the measure of a machine where a fetch would make it late */
#define AVOIDED 100.0 /* ... where the job failed lately */

struct mark { /* a task that this round stops */
  struct pm *p;
  size_t task;
};
struct round {
  struct tmx_model *md;
  const struct tmx_round *in;
  struct tmx_plan_output *out;
  struct tmx_usage usage[TMX_TEAMS_MAX];
  size_t visits, limit; /* looked at, and at most in this part of the order */
  struct pm **undo;
  size_t n_undo, cap_undo;
  struct pj **undo_j;
  size_t n_undo_j, cap_undo_j;
  struct mark *marks;
  size_t n_marks, cap_marks;
  struct shape blocked[SHAPES];
  size_t n_blocked;
  bool in_the_way; /* a machine was passed over for the job's own sake: its replicas, its errors */
  int *stopping;   /* machines with room on its way */
  size_t n_stopping, cap_stopping;
  struct set sets[SETS]; /* of the job at hand; their memory is kept */
  uint32_t n_eligible, cap;
  struct pm *kept[TMX_KEPT_MAX]; /* machines that nothing else is placed on, see plan.c */
  size_t n_kept;
};

/* steps.c: steps of the round on the planner's tables, taken back at its end */
void tmx_step_touch(struct round *r, struct pm *p);
void tmx_step_touch_job(struct round *r, struct pj *j);
void tmx_step_mark(struct round *r, struct pm *p, size_t task);
void tmx_step_take_back(struct round *r);
struct tmx_operation *tmx_step_emit(struct round *r, char op, const struct pj *j, uint32_t task,
                                    uint32_t attempt);
/* real: placed; else room is held for it until the stopped tasks are gone */
void tmx_step_take(struct round *r, struct pj *j, int m, bool real);

/* fit.c: which machines may take a job's task, and which is the best */
bool tmx_fit_suits(const struct group *g, const struct tmx_job_spec *spec);
bool tmx_fit_quota(const struct round *r, const struct pj *j);
/* Services to people come first, then what teams are guaranteed, then the rest. */
int tmx_fit_standing(const struct pj *j);
void tmx_fit_begin(struct round *r, const struct pj *j);
/* The best machine for the job's next task; -1: none. warm: only where its image lies. */
int tmx_fit_best(struct round *r, struct pj *j, int what, bool warm);
/* Stops the cheapest tasks of one machine until the task fits. do_it: marks and emits them.
 * Returns their cost; <0: it cannot be. */
double tmx_fit_victims(struct round *r, const struct pj *j, struct pm *p, bool do_it);

/* place.c: places up to max of the job's waiting tasks; returns how many were placed */
uint32_t tmx_place(struct round *r, struct pj *j, uint32_t max);
/* ... of each of these jobs, in order. *cut: the slot at which the next round goes on; -1: none. */
uint32_t tmx_place_all(struct round *r, struct pj **v, size_t n, uint32_t max, int *cut);
#endif
