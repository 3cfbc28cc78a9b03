/* Placing the tasks of one job after the other. */
#include "core/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The leader stops others for it; the room is held until they are gone. */
static bool make_room(struct round *r, struct pj *j, bool warm) {
  if (!r->in->leading || !tmx_fit_standing(j)) return false;
  int m = tmx_fit_best(r, j, VICTIMS, warm);
  if (m < 0 || tmx_fit_victims(r, j, r->md->m[m], true) < 0) return false;
  tmx_step_take(r, j, m, false);
  return true;
}

static bool hold_soon(struct round *r, struct pj *j, bool warm) {
  int m = tmx_fit_best(r, j, SOON, warm);
  if (m < 0) return false;
  tmx_step_take(r, j, m, false);
  return true;
}

/* Places up to max of the job's waiting tasks; returns how many were placed. */
uint32_t tmx_place(struct round *r, struct pj *j, uint32_t max) {
  const struct tmx_round *in = r->in;
  bool mine = j->r.planner == in->self;
  bool grace = in->now - j->r.stuck_since <= in->grace;
  uint32_t placed = 0;
  if (j->next_wait >= j->r.n_waits || j->r.team < 0 || j->r.retry_at > in->now) return 0;
  /* Another's job that stands before the arrays here is given its room on paper, or what the leader
   * frees for it would be filled again at once. */
  bool aside = !mine && !in->leading;
  if (aside && !tmx_fit_standing(j)) return 0;
  /* while its own controller may still get to it, the leader takes only what finds no room there */
  bool theirs = !mine && grace;
  tmx_fit_begin(r, j);
  while (j->next_wait < j->r.n_waits && placed < max) {
    if (r->out->n_ops >= in->max_ops || r->visits > r->limit) {
      r->out->cut = true;
      break;
    }
    if (!tmx_fit_quota(r, j))
      return placed; /* waits for its own team: more machines would not help */
    int m = tmx_fit_best(r, j, OWN, true);
    if (aside) {
      for (int k = 1; m < 0 && k < 6; k++) m = tmx_fit_best(r, j, k % 3, k < 3);
      if (m < 0) return placed;
      tmx_step_take(r, j, m, true);
      j->next_wait++;
      continue;
    }
    if (theirs &&
        (m >= 0 || (tmx_fit_standing(j) != 2 && (m = tmx_fit_best(r, j, OWN, false)) >= 0))) {
      tmx_step_take(r, j, m, true); /* room that the other is about to use */
      j->next_wait++;
      continue;
    }
    /* too large for its part: the leader looks in every part */
    if (m < 0 && in->leading) m = tmx_fit_best(r, j, ANY, true);
    if (m < 0 && tmx_fit_standing(j) == 2) {
      /* Room is only where a fetch would make it late: room where the image lies comes first. */
      if (in->leading && (hold_soon(r, j, true) || make_room(r, j, true))) {
        j->next_wait++;
        r->out->unplaced++;
        continue;
      }
      if (!in->leading && grace) break;
    }
    if (m < 0) m = tmx_fit_best(r, j, OWN, false);
    if (m < 0 && in->leading) m = tmx_fit_best(r, j, ANY, false);
    if (m >= 0) {
      struct tmx_plan_wait *w = &j->r.waits[j->next_wait++];
      struct tmx_operation *operation =
          tmx_step_emit(r, TMX_OPERATION_PLACE, j, w->task, w->attempt);
      memcpy(operation->machine, r->md->m[m]->r.id, sizeof operation->machine);
      operation->machine_cap = r->cap;
      tmx_step_take(r, j, m, true);
      placed++;
      continue;
    }
    if (!in->leading || (!hold_soon(r, j, false) && !make_room(r, j, false))) break;
    j->next_wait++;
    r->out->unplaced++;
  }
  if (placed < max) r->out->unplaced += (uint32_t)(j->r.n_waits - j->next_wait);
  return placed;
}

/* Places up to max tasks of each of these jobs, in order. When so many find no room that the
 * round's bound is reached, the next round goes on with the jobs that were not looked at: those
 * that wait for room again and again must not keep a round from those that would find some. */
uint32_t tmx_place_all(struct round *r, struct pj **v, size_t n, uint32_t max, int *cut) {
  size_t from = 0;
  uint32_t placed = 0;
  for (size_t k = 0; k < n && *cut >= 0; k++)
    if (v[k]->r.slot == *cut) from = k;
  *cut = -1;
  for (size_t k = 0; k < n; k++) {
    struct pj *j = v[(from + k) % n];
    placed += tmx_place(r, j, max);
    if (r->visits <= r->limit || k + 1 == n) continue;
    r->out->cut = true;
    *cut = v[(from + k + 1) % n]->r.slot;
    break;
  }
  return placed;
}
