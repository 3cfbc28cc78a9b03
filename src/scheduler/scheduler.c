/* Runs the phases of a round: start, planning, commit. */
#include "scheduler/scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "scheduler/pending_submission.h"
#include "scheduler/delta_collection.h"
#include "scheduler/round_commit.h"
#include "scheduler/round_timing.h"
#include "scheduler/scheduler_internal.h"

struct tmx_task *tmx_operation_find_task(const struct tmx_replica *replica,
                                         const struct tmx_operation *operation) {
  const struct tmx_job *job = tmx_job_find(replica, operation->job);
  bool known = job && job->tasks && operation->task < job->spec.tasks;
  return known ? &job->tasks[operation->task] : NULL;
}

void tmx_scheduler_end_round(struct tmx_scheduler *scheduler) {
  scheduler->phase = TMX_SCHEDULER_IDLE;
  free(scheduler->plan.operations);
  memset(&scheduler->plan, 0, sizeof scheduler->plan);
}

bool tmx_scheduler_is_planning(const struct tmx_scheduler *scheduler) {
  return scheduler->phase == TMX_SCHEDULER_PLANNING;
}

static bool may_act(const struct tmx_scheduler *scheduler) {
  return tmx_store_is_member(scheduler->store) && tmx_authority_may_act(scheduler->authority);
}

static void on_planned(void *context) {
  struct tmx_scheduler *scheduler = context;
  if (!tmx_planner_thread_take_result(scheduler->planner_thread, &scheduler->plan)) return;
  if (scheduler->phase != TMX_SCHEDULER_PLANNING) return;
  scheduler->phase = TMX_SCHEDULER_PLANNED;
  if (!may_act(scheduler)) {
    tmx_scheduler_end_round(scheduler);
    tmx_scheduler_trigger_within(scheduler, TMX_STORE_RETRY_DELAY_S);
    return;
  }
  if (!scheduler->batch_in_flight && tmx_scheduler_has_caught_up(scheduler))
    tmx_scheduler_commit_round(scheduler);
}

/* Returns whether the next round must wait, and for how long in seconds. Rounds are limited by this
 * member's share of the puts, which submissions use as well. One round per second ignores the
 * budget: otherwise a steady load of submissions could keep accepted jobs from ever starting. */
static bool must_wait(const struct tmx_scheduler *scheduler, double now, double *delay_s) {
  double budget = tmx_store_write_budget(scheduler->store);
  if (budget < scheduler->min_batch_writes && now - scheduler->round_started_at < 1.0) {
    *delay_s =
        fmin(tmx_store_write_budget_delay(scheduler->store, scheduler->min_batch_writes), 1.0);
    return true;
  }
  *delay_s = tmx_commit_slot_delay(scheduler);
  return *delay_s > 0;
}

static void begin_round(struct tmx_scheduler *scheduler) {
  struct tmx_round_input input;
  double now = tmx_clock_steady(), delay_s;
  if (must_wait(scheduler, now, &delay_s)) {
    tmx_scheduler_trigger_within(scheduler, delay_s);
    return;
  }
  scheduler->round_started_at = now;
  scheduler->n_resends = 0;
  scheduler->n_completions = scheduler->source.collect_completions(
      scheduler->source.context, scheduler->completions, TMX_ROUND_COMPLETIONS_MAX);
  tmx_scheduler_collect_delta(scheduler, &input);
  scheduler->phase = TMX_SCHEDULER_PLANNING;
  tmx_planner_thread_submit(scheduler->planner_thread, &scheduler->delta, &input);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents) {
  (void)loop;
  (void)revents;
  struct tmx_scheduler *scheduler = timer->data;
  if (scheduler->phase == TMX_SCHEDULER_PLANNING || scheduler->batch_in_flight)
    return; /* on_planned() or the commit's callback continues the round */
  tmx_scheduler_start_timer(scheduler, TMX_ROUND_PERIOD_MAX_S);
  if (!may_act(scheduler)) {
    if (scheduler->phase == TMX_SCHEDULER_PLANNED) tmx_scheduler_end_round(scheduler);
    return;
  }
  if (!tmx_scheduler_has_caught_up(scheduler)) {
    /* a change of the replica triggers the next step sooner */
    tmx_scheduler_trigger_within(scheduler, 0.05);
    return;
  }
  if (scheduler->phase == TMX_SCHEDULER_PLANNED)
    tmx_scheduler_commit_round(scheduler);
  else
    begin_round(scheduler);
}

struct tmx_scheduler *tmx_scheduler_new(const struct tmx_scheduler_dependencies *dependencies) {
  struct tmx_scheduler *scheduler = tmx_allocate(1, sizeof *scheduler);
  scheduler->loop = dependencies->loop;
  scheduler->settings = dependencies->settings;
  scheduler->replica = dependencies->replica;
  scheduler->store = dependencies->store;
  scheduler->authority = dependencies->authority;
  scheduler->catalog = dependencies->catalog;
  scheduler->admission = dependencies->admission;
  scheduler->source = dependencies->source;
  scheduler->min_batch_writes = TMX_BATCH_WRITES_MIN;
  ev_timer_init(&scheduler->round_timer, on_timer, 0, 0);
  scheduler->round_timer.data = scheduler;
  scheduler->planner_thread = tmx_planner_thread_new(scheduler->loop, on_planned, scheduler);
  return scheduler;
}

void tmx_scheduler_free(struct tmx_scheduler *scheduler) {
  tmx_planner_thread_free(scheduler->planner_thread);
  ev_timer_stop(scheduler->loop, &scheduler->round_timer);
  tmx_planner_delta_clear(&scheduler->delta);
  free(scheduler->plan.operations);
  free(scheduler->changed_machines);
  free(scheduler->changed_jobs);
  free(scheduler->pending_lines);
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    tmx_pending_submission_free(scheduler->submissions[i]);
  free(scheduler);
}
