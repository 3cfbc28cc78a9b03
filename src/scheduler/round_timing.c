#include "scheduler/round_timing.h"

#include <math.h>

#include "base/clock.h"

void tmx_scheduler_start_timer(struct tmx_scheduler *scheduler, double within_s) {
  const double min_delay_s = 0.0005;
  if (ev_is_active(&scheduler->round_timer) &&
      ev_timer_remaining(scheduler->loop, &scheduler->round_timer) <= within_s)
    return;
  ev_timer_stop(scheduler->loop, &scheduler->round_timer);
  ev_timer_set(&scheduler->round_timer, within_s > min_delay_s ? within_s : min_delay_s, 0);
  ev_timer_start(scheduler->loop, &scheduler->round_timer);
}

void tmx_scheduler_trigger_within(struct tmx_scheduler *scheduler, double within_s) {
  double spacing_left = scheduler->round_started_at + TMX_ROUND_SPACING_MIN_S - tmx_clock_steady();
  tmx_scheduler_start_timer(scheduler, within_s > spacing_left ? within_s : spacing_left);
}

void tmx_scheduler_trigger(struct tmx_scheduler *scheduler) {
  tmx_scheduler_trigger_within(scheduler, 0);
}

void tmx_scheduler_await_revision(struct tmx_scheduler *scheduler, uint64_t revision) {
  if (revision > scheduler->awaited_revision) scheduler->awaited_revision = revision;
  scheduler->awaited_revision_since = tmx_clock_steady();
}

bool tmx_scheduler_has_caught_up(const struct tmx_scheduler *scheduler) {
  return scheduler->awaited_revision <= scheduler->replica->revision ||
         tmx_clock_steady() - scheduler->awaited_revision_since > TMX_STORE_TIMEOUT_S;
}

double tmx_commit_slot_length(const struct tmx_settings *settings) {
  return TMX_COMMIT_SLOT_WRITES / (settings->write_rps * TMX_BATCH_WRITE_RATE_SHARE);
}

/* A batch that conflicts on the head key has wasted its puts. Unless the write load is low, each
 * member therefore begins rounds only in its own commit slot. A cycle has one slot per member, in
 * the order of the members, and then a second slot for the leader. Correctness does not depend on
 * the clocks: a batch that is sent outside its slot is still conditional on the head key. */
double tmx_commit_slot_delay(const struct tmx_scheduler *scheduler) {
  size_t n_members = scheduler->replica->view.n_members;
  int self = tmx_authority_member_index(scheduler->authority);
  if (n_members < 2 || self < 0 || tmx_store_is_write_load_low(scheduler->store)) return 0;
  double slot = tmx_commit_slot_length(scheduler->settings);
  double period = slot * (double)(n_members + 1);
  double position = fmod(tmx_clock_wall(), period), delay = period;
  int n_own_slots = tmx_store_is_leader(scheduler->store) ? 2 : 1;
  for (int i = 0; i < n_own_slots; i++) {
    double elapsed = position - slot * (i ? (double)n_members : self);
    if (elapsed >= 0 && elapsed < slot * TMX_COMMIT_SLOT_START_SHARE) return 0;
    delay = fmin(delay, elapsed < 0 ? -elapsed : period - elapsed);
  }
  return delay + 0.001;
}
