#include "store/write_budget.h"

#include <math.h>

#include "tmx/constants.h"

/* puts: enough for the registration and a first batch */
static const double INITIAL_TOKENS = 4;
/* s, added to a delay so that the tokens have certainly accrued when it ends */
static const double DELAY_MARGIN_S = 0.002;
/* of the unused tokens of the store's bucket: the rest is left to the other controllers, which see
 * the same unused tokens */
static const double UNUSED_TOKENS_USED_SHARE = 0.5;

void tmx_write_budget_init(struct tmx_write_budget *budget, double now) {
  *budget = (struct tmx_write_budget){.member_tokens = INITIAL_TOKENS, .refilled_at = now};
}

/* The leader has two shares since it also compacts the log and records which machines are gone. */
double tmx_write_budget_member_rate(const struct tmx_write_share *share) {
  double rate = share->store_rate * TMX_WRITE_SHARE;
  if (share->n_members <= 1) return rate;
  double own_shares = share->is_leader ? 2 : 1;
  return rate * own_shares / (share->n_members + 1);
}

/* Puts that this controller may save up. The bursts of all controllers together stay below one
 * second of the store's rate. */
static double member_burst(const struct tmx_write_share *share) {
  return fmax(tmx_write_budget_member_rate(share) * TMX_WRITE_BURST_S, TMX_WRITE_BURST_MIN);
}

void tmx_write_budget_refill(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                             double now) {
  double elapsed = now - budget->refilled_at;
  double store_rate = share->store_rate;
  double for_submissions = elapsed * store_rate * TMX_SINGLE_SUBMISSION_SHARE / share->n_members;

  budget->recent_writes *= exp(-elapsed / TMX_RECENT_WRITES_S);
  budget->shared_tokens =
      fmin(fmax(budget->shared_tokens, -store_rate) + elapsed * store_rate, store_rate);
  budget->member_tokens = fmin(
      budget->member_tokens + elapsed * tmx_write_budget_member_rate(share), member_burst(share));
  budget->submission_tokens =
      fmin(budget->submission_tokens + for_submissions, TMX_SINGLE_SUBMISSION_BURST);
  budget->refilled_at = now;
}

void tmx_write_budget_record_events(struct tmx_write_budget *budget, double events) {
  budget->shared_tokens -= events;
  budget->recent_writes += events;
}

bool tmx_write_budget_is_load_low(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share) {
  return budget->recent_writes / TMX_RECENT_WRITES_S < share->store_rate * TMX_LOW_WRITE_LOAD_SHARE;
}

/* This controller's part of what the store's bucket holds above `kept_share` of its size. */
static double shared_tokens_above(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share, double kept_share) {
  return (budget->shared_tokens - share->store_rate * kept_share) * UNUSED_TOKENS_USED_SHARE;
}

double tmx_write_budget_available(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share) {
  if (!tmx_write_budget_is_load_low(budget, share)) return budget->member_tokens;
  return fmax(budget->member_tokens,
              shared_tokens_above(budget, share, TMX_SHARED_WRITES_KEPT_SHARE));
}

double tmx_write_budget_delay(const struct tmx_write_budget *budget,
                              const struct tmx_write_share *share, double puts) {
  double missing = puts - tmx_write_budget_available(budget, share);
  return fmax(0, missing / tmx_write_budget_member_rate(share)) + DELAY_MARGIN_S;
}

bool tmx_write_budget_has_housekeeping(const struct tmx_write_budget *budget,
                                       const struct tmx_write_share *share) {
  return budget->member_tokens > member_burst(share) * TMX_COMPACTION_SPARE_SHARE;
}

/* Puts of the store's rate that all controllers leave unused: this controller's part of them. */
static double unused_tokens(const struct tmx_write_budget *budget,
                            const struct tmx_write_share *share) {
  return fmax(0, shared_tokens_above(budget, share, TMX_SHARED_WRITES_UNUSED_SHARE));
}

/* What the others leave unused serves as well: a submission that is not committed singly waits for
 * the next batch, which takes a whole cycle of commit slots. */
bool tmx_write_budget_reserve_submission(struct tmx_write_budget *budget,
                                         const struct tmx_write_share *share, double now) {
  if (budget->submission_tokens < 1) {
    tmx_write_budget_refill(budget, share, now);
    if (tmx_write_budget_available(budget, share) >= 1) return true; /* an ordinary put */
    if (budget->submission_tokens < 1 && unused_tokens(budget, share) < 1) return false;
  }
  if (budget->submission_tokens >= 1) budget->submission_tokens -= 1;
  budget->member_tokens += 1;
  return true;
}

int tmx_write_budget_reserve_unused(struct tmx_write_budget *budget,
                                    const struct tmx_write_share *share, int wanted) {
  int reserved = (int)fmin(unused_tokens(budget, share), wanted);
  budget->member_tokens += reserved;
  return reserved;
}

void tmx_write_budget_take(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                           double puts) {
  budget->member_tokens = fmax(budget->member_tokens - puts, -tmx_write_budget_member_rate(share));
}

void tmx_write_budget_exhaust(struct tmx_write_budget *budget) {
  budget->member_tokens = fmin(budget->member_tokens, 0);
  budget->shared_tokens = 0;
}
