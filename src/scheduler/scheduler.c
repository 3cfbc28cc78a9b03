/* When rounds begin, the planner's thread, and what changed since the last one. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "scheduler/scheduler_internal.h"
#include "base/clock.h"
#include "base/memory.h"

/* ------------------------------------------------------------ planner thread */

static void *planner_main(void *arg) {
  struct tmx_scheduler *scheduler = arg;
  struct tmx_planner *planner = tmx_planner_new();
  pthread_mutex_lock(&scheduler->lock);
  for (;;) {
    while (!scheduler->requested && !scheduler->quit)
      pthread_cond_wait(&scheduler->work_available, &scheduler->lock);
    if (scheduler->quit) break;
    struct tmx_planner_delta delta = scheduler->input_delta;
    struct tmx_round_input input = scheduler->input_round;
    memset(&scheduler->input_delta, 0, sizeof scheduler->input_delta);
    scheduler->requested = false;
    pthread_mutex_unlock(&scheduler->lock);
    struct tmx_round_output output;
    tmx_planner_apply(planner, &delta);
    tmx_planner_run_round(planner, &input, &output);
    pthread_mutex_lock(&scheduler->lock);
    scheduler->output = output;
    scheduler->ready = true;
    ev_async_send(scheduler->loop, &scheduler->planned_event);
  }
  pthread_mutex_unlock(&scheduler->lock);
  tmx_planner_free(planner);
  return NULL;
}

/* ------------------------------------------------------------ timing */

static void start_round_timer(struct tmx_scheduler *scheduler, double after) {
  if (ev_is_active(&scheduler->timer) &&
      ev_timer_remaining(scheduler->loop, &scheduler->timer) <= after)
    return;
  ev_timer_stop(scheduler->loop, &scheduler->timer);
  ev_timer_set(&scheduler->timer, after > 0.0005 ? after : 0.0005, 0);
  ev_timer_start(scheduler->loop, &scheduler->timer);
}
void tmx_scheduler_trigger_within(struct tmx_scheduler *scheduler, double within_s) {
  double spaced = scheduler->round_started_at + TMX_ROUND_SPACING_S - tmx_clock_steady();
  start_round_timer(scheduler, within_s > spaced ? within_s : spaced);
}
void tmx_scheduler_trigger(struct tmx_scheduler *scheduler) {
  tmx_scheduler_trigger_within(scheduler, 0);
}

/* ------------------------------------------------------------ what changed */

void tmx_scheduler_machine_changed(struct tmx_scheduler *scheduler, struct tmx_machine *machine) {
  if (machine->planner_update_due) return;
  machine->planner_update_due = true;
  scheduler->changed_machines =
      tmx_grow(scheduler->changed_machines, &scheduler->cap_changed_machines,
               scheduler->n_changed_machines + 1, sizeof *scheduler->changed_machines);
  scheduler->changed_machines[scheduler->n_changed_machines++] = machine;
}
void tmx_scheduler_job_changed(struct tmx_scheduler *scheduler, struct tmx_job *job) {
  if (job->planner_update_due) return;
  job->planner_update_due = true;
  scheduler->changed_jobs =
      tmx_grow(scheduler->changed_jobs, &scheduler->cap_changed_jobs, scheduler->n_changed_jobs + 1,
               sizeof *scheduler->changed_jobs);
  scheduler->changed_jobs[scheduler->n_changed_jobs++] = job;
}
void tmx_scheduler_machine_removed(struct tmx_scheduler *scheduler, struct tmx_machine *machine) {
  tmx_planner_delta_removed(&scheduler->delta, machine->planner_slot);
  for (size_t i = 0; machine->planner_update_due && i < scheduler->n_changed_machines; i++)
    if (scheduler->changed_machines[i] == machine) {
      scheduler->changed_machines[i] = scheduler->changed_machines[--scheduler->n_changed_machines];
      break;
    }
}
void tmx_scheduler_reset(struct tmx_scheduler *scheduler) {
  tmx_planner_delta_clear(&scheduler->delta);
  scheduler->delta.reset = true;
  scheduler->n_changed_machines = scheduler->n_changed_jobs = 0;
}
void tmx_scheduler_append_line(struct tmx_scheduler *scheduler, const char *line) {
  for (size_t i = 0; i < scheduler->n_pending_lines; i++)
    if (!strcmp(scheduler->pending_lines[i].text, line)) return;
  scheduler->pending_lines =
      tmx_grow(scheduler->pending_lines, &scheduler->cap_pending_lines,
               scheduler->n_pending_lines + 1, sizeof *scheduler->pending_lines);
  struct tmx_pending_line *l = &scheduler->pending_lines[scheduler->n_pending_lines++];
  memset(l, 0, sizeof *l);
  snprintf(l->text, sizeof l->text, "%s", line);
  tmx_scheduler_trigger(scheduler);
}

/* ------------------------------------------------------------ steps */

struct tmx_task *tmx_operation_task(const struct tmx_replica *replica,
                                    const struct tmx_operation *operation) {
  struct tmx_job *job = tmx_job_find(replica, operation->job);
  return job && job->tasks && operation->task < job->spec.tasks ? &job->tasks[operation->task]
                                                                : NULL;
}

/* Of the time of day, for one batch. */
double tmx_commit_slot_length(const struct tmx_settings *settings) {
  return TMX_COMMIT_SLOT_WRITES / (settings->write_rps * TMX_WRITE_SHARE);
}

/* The next step needs the replica to hold the latest revision that a commit told of. */
bool tmx_scheduler_caught_up(const struct tmx_scheduler *scheduler) {
  return scheduler->awaited_revision <= scheduler->replica->revision ||
         tmx_clock_steady() - scheduler->awaited_revision_since > TMX_STORE_TIMEOUT_S;
}

void tmx_scheduler_abandon_round(struct tmx_scheduler *scheduler) {
  scheduler->phase = TMX_SCHEDULER_IDLE;
  free(scheduler->plan.operations);
  memset(&scheduler->plan, 0, sizeof scheduler->plan);
}

/* How long until this member may send a batch, s. Whoever loses the race for head has spent its
 * puts for nothing, so while puts are short each member keeps to its turn of the time of day; the
 * leader has two. A batch that is late finds out by its condition: nothing depends on clocks. */
static double next_commit_slot(struct tmx_scheduler *scheduler) {
  size_t n = scheduler->replica->view.n_members;
  int self = tmx_authority_member_index(scheduler->authority);
  if (n < 2 || self < 0 || tmx_store_is_write_load_low(scheduler->store)) return 0;
  double slot = tmx_commit_slot_length(scheduler->settings), period = slot * (double)(n + 1);
  double at = fmod(tmx_clock_wall(), period), wait = period;
  for (int k = 0; k < 1 + tmx_store_is_leader(scheduler->store); k++) {
    double into = at - slot * (k ? (double)n : self);
    if (into >= 0 && into < slot * TMX_COMMIT_SLOT_START_SHARE) return 0;
    wait = fmin(wait, into < 0 ? -into : period - into);
  }
  return wait + 0.001;
}

static void on_planned(struct ev_loop *l, ev_async *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_scheduler *scheduler = w->data;
  pthread_mutex_lock(&scheduler->lock);
  bool ready = scheduler->ready;
  if (ready) scheduler->plan = scheduler->output;
  scheduler->ready = false;
  pthread_mutex_unlock(&scheduler->lock);
  if (!ready || scheduler->phase != TMX_SCHEDULER_PLANNING) return;
  scheduler->phase = TMX_SCHEDULER_PLANNED;
  if (!tmx_store_is_member(scheduler->store) || !tmx_authority_may_act(scheduler->authority)) {
    tmx_scheduler_abandon_round(scheduler);
    tmx_scheduler_trigger_within(scheduler, TMX_STORE_RETRY_S);
    return;
  }
  if (!scheduler->batch_in_flight && tmx_scheduler_caught_up(scheduler))
    tmx_scheduler_commit(scheduler);
}

static void begin_round(struct tmx_scheduler *scheduler) {
  double now = tmx_clock_steady(), budget = tmx_store_write_budget(scheduler->store);
  /* Rounds are paced by this member's share of the puts. Submissions draw on it too; a round a
   * second goes out in any case, or nothing accepted would ever start. */
  if (budget < scheduler->needed_writes && now - scheduler->round_started_at < 1.0) {
    tmx_scheduler_trigger_within(
        scheduler,
        fmin(tmx_store_write_budget_delay(scheduler->store, scheduler->needed_writes), 1.0));
    return;
  }
  double wait = next_commit_slot(scheduler);
  if (wait > 0) {
    tmx_scheduler_trigger_within(scheduler, wait);
    return;
  }
  scheduler->round_started_at = now;
  scheduler->resends = 0;
  scheduler->n_completions = scheduler->source.collect_completions(
      scheduler->source.context, scheduler->completions, TMX_COMPLETIONS_MAX);
  struct tmx_round_input input;
  tmx_scheduler_collect_delta(scheduler, &input);
  scheduler->phase = TMX_SCHEDULER_PLANNING;
  pthread_mutex_lock(&scheduler->lock);
  scheduler->input_delta = scheduler->delta;
  scheduler->input_round = input;
  scheduler->requested = true;
  pthread_cond_signal(&scheduler->work_available);
  pthread_mutex_unlock(&scheduler->lock);
  memset(&scheduler->delta, 0, sizeof scheduler->delta);
}

static void on_timer(struct ev_loop *l, ev_timer *w, int ev) {
  (void)l;
  (void)ev;
  struct tmx_scheduler *scheduler = w->data;
  if (scheduler->phase == TMX_SCHEDULER_PLANNING || scheduler->batch_in_flight)
    return; /* its end kicks the next one */
  start_round_timer(scheduler, TMX_ROUND_IDLE_S);
  bool may = tmx_store_is_member(scheduler->store) && tmx_authority_may_act(scheduler->authority);
  if (!may) {
    if (scheduler->phase == TMX_SCHEDULER_PLANNED) tmx_scheduler_abandon_round(scheduler);
    return;
  }
  if (!tmx_scheduler_caught_up(scheduler)) {
    tmx_scheduler_trigger_within(scheduler, 0.05); /* events kick it sooner */
    return;
  }
  if (scheduler->phase == TMX_SCHEDULER_PLANNED)
    tmx_scheduler_commit(scheduler);
  else
    begin_round(scheduler);
}

bool tmx_scheduler_is_planning(const struct tmx_scheduler *scheduler) {
  return scheduler->phase == TMX_SCHEDULER_PLANNING;
}

struct tmx_scheduler *tmx_scheduler_new(const struct tmx_scheduler_dependencies *dependencies) {
  struct tmx_scheduler *scheduler = tmx_allocate(1, sizeof *scheduler);
  pthread_attr_t a;
  scheduler->loop = dependencies->loop;
  scheduler->settings = dependencies->settings;
  scheduler->replica = dependencies->replica;
  scheduler->store = dependencies->store;
  scheduler->authority = dependencies->authority;
  scheduler->catalog = dependencies->catalog;
  scheduler->admission = dependencies->admission;
  scheduler->source = dependencies->source;
  scheduler->needed_writes = TMX_ROUND_WRITES;
  pthread_mutex_init(&scheduler->lock, NULL);
  pthread_cond_init(&scheduler->work_available, NULL);
  ev_timer_init(&scheduler->timer, on_timer, 0, 0);
  scheduler->timer.data = scheduler;
  ev_async_init(&scheduler->planned_event, on_planned);
  scheduler->planned_event.data = scheduler;
  ev_async_start(scheduler->loop, &scheduler->planned_event);
  pthread_attr_init(&a);
  pthread_attr_setstacksize(&a, TMX_PLANNER_STACK);
  if (pthread_create(&scheduler->planner_thread, &a, planner_main, scheduler)) abort();
  pthread_attr_destroy(&a);
  return scheduler;
}

void tmx_scheduler_free(struct tmx_scheduler *scheduler) {
  pthread_mutex_lock(&scheduler->lock);
  scheduler->quit = true;
  pthread_cond_signal(&scheduler->work_available);
  pthread_mutex_unlock(&scheduler->lock);
  pthread_join(scheduler->planner_thread, NULL);
  ev_async_stop(scheduler->loop, &scheduler->planned_event);
  ev_timer_stop(scheduler->loop, &scheduler->timer);
  tmx_planner_delta_clear(&scheduler->delta);
  tmx_planner_delta_clear(&scheduler->input_delta);
  if (scheduler->ready) free(scheduler->output.operations);
  free(scheduler->plan.operations);
  free(scheduler->changed_machines);
  free(scheduler->changed_jobs);
  free(scheduler->pending_lines);
  for (size_t i = 0; i < scheduler->n_submissions; i++)
    tmx_pending_submission_free(scheduler->submissions[i]);
  pthread_cond_destroy(&scheduler->work_available);
  pthread_mutex_destroy(&scheduler->lock);
  free(scheduler);
}
