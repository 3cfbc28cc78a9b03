/* Placing the tasks of one job after the other. */
#include "planner/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The leader stops others for it; the room is held until they are gone. */
static bool preempt_for(struct round *round, struct planner_job *job, bool warm) {
  if (!round->input->leading || !tmx_fit_precedence(job)) return false;
  int m = tmx_fit_best_machine(round, job, POOL_PREEMPTIBLE, warm);
  if (m < 0 || tmx_fit_preempt(round, job, round->planner->machines[m], true) < 0) return false;
  tmx_round_reserve(round, job, m, false);
  return true;
}

static bool reserve_releasing_room(struct round *round, struct planner_job *job, bool warm) {
  int m = tmx_fit_best_machine(round, job, POOL_RELEASING, warm);
  if (m < 0) return false;
  tmx_round_reserve(round, job, m, false);
  return true;
}

/* Places up to max of the job's waiting tasks; returns how many were placed. */
uint32_t tmx_place_job(struct round *round, struct planner_job *job, uint32_t max) {
  const struct tmx_round_input *input = round->input;
  bool mine = job->record.planner == input->self_member;
  bool grace = input->now_steady - job->record.unplaced_since <= input->own_planner_grace_s;
  uint32_t placed = 0;
  if (job->next_waiting >= job->record.n_waiting || job->record.team < 0 ||
      job->record.retry_at > input->now_steady)
    return 0;
  /* Another's job that stands before the arrays here is given its room on paper, or what the leader
   * frees for it would be filled again at once. */
  bool aside = !mine && !input->leading;
  if (aside && !tmx_fit_precedence(job)) return 0;
  /* while its own controller may still get to it, the leader takes only what finds no room there */
  bool theirs = !mine && grace;
  tmx_fit_begin_job(round, job);
  while (job->next_waiting < job->record.n_waiting && placed < max) {
    if (round->output->n_operations >= input->max_operations ||
        round->visited > round->visit_limit) {
      round->output->truncated = true;
      break;
    }
    if (!tmx_fit_within_quota(round, job))
      return placed; /* waits for its own team: more machines would not help */
    int m = tmx_fit_best_machine(round, job, POOL_OWN_SHARD, true);
    if (aside) {
      for (int k = 1; m < 0 && k < 6; k++) m = tmx_fit_best_machine(round, job, k % 3, k < 3);
      if (m < 0) return placed;
      tmx_round_reserve(round, job, m, true);
      job->next_waiting++;
      continue;
    }
    if (theirs &&
        (m >= 0 || (tmx_fit_precedence(job) != 2 &&
                    (m = tmx_fit_best_machine(round, job, POOL_OWN_SHARD, false)) >= 0))) {
      tmx_round_reserve(round, job, m, true); /* room that the other is about to use */
      job->next_waiting++;
      continue;
    }
    /* too large for its part: the leader looks in every part */
    if (m < 0 && input->leading) m = tmx_fit_best_machine(round, job, POOL_ANY_SHARD, true);
    if (m < 0 && tmx_fit_precedence(job) == 2) {
      /* Room is only where a fetch would make it late: room where the image lies comes first. */
      if (input->leading &&
          (reserve_releasing_room(round, job, true) || preempt_for(round, job, true))) {
        job->next_waiting++;
        round->output->unplaced++;
        continue;
      }
      if (!input->leading && grace) break;
    }
    if (m < 0) m = tmx_fit_best_machine(round, job, POOL_OWN_SHARD, false);
    if (m < 0 && input->leading) m = tmx_fit_best_machine(round, job, POOL_ANY_SHARD, false);
    if (m >= 0) {
      struct tmx_plan_waiting_task *waiting = &job->record.waiting[job->next_waiting++];
      struct tmx_operation *operation =
          tmx_round_emit(round, TMX_OPERATION_PLACE, job, waiting->task, waiting->attempt);
      memcpy(operation->machine, round->planner->machines[m]->record.id, sizeof operation->machine);
      operation->machine_cap = round->machine_cap;
      tmx_round_reserve(round, job, m, true);
      placed++;
      continue;
    }
    if (!input->leading ||
        (!reserve_releasing_room(round, job, false) && !preempt_for(round, job, false)))
      break;
    job->next_waiting++;
    round->output->unplaced++;
  }
  if (placed < max)
    round->output->unplaced += (uint32_t)(job->record.n_waiting - job->next_waiting);
  return placed;
}

/* Places up to max tasks of each of these jobs, in order. When so many find no room that the
 * round's bound is reached, the next round goes on with the jobs that were not looked at: those
 * that wait for room again and again must not keep a round from those that would find some. */
uint32_t tmx_place_jobs(struct round *round, struct planner_job **jobs, size_t n, uint32_t max,
                        int *cut) {
  size_t from = 0;
  uint32_t placed = 0;
  for (size_t k = 0; k < n && *cut >= 0; k++)
    if (jobs[k]->record.slot == *cut) from = k;
  *cut = -1;
  for (size_t k = 0; k < n; k++) {
    struct planner_job *job = jobs[(from + k) % n];
    placed += tmx_place_job(round, job, max);
    if (round->visited <= round->visit_limit || k + 1 == n) continue;
    round->output->truncated = true;
    *cut = jobs[(from + k + 1) % n]->record.slot;
    break;
  }
  return placed;
}
