#include "store/write_budget.h"

#include <math.h>

#include "tmx/constants.h"

/* number of puts, enough for the registration and the first batch */
static const double INITIAL_TOKENS = 4;
/* added to a delay so that the tokens have accrued when it ends, s */
static const double DELAY_MARGIN_S = 0.002;
/* share of the store's spare tokens that this controller uses; the rest is left to the other
 * controllers, which see the same spare tokens */
static const double SPARE_TOKENS_OWN_SHARE = 0.5;

void tmx_write_budget_init(struct tmx_write_budget *budget, double now) {
  *budget = (struct tmx_write_budget){.member_tokens = INITIAL_TOKENS, .refilled_at = now};
}

/* The leader has two shares because it also compacts the log and records which machines no
 * longer exist. */
double tmx_write_budget_member_rate(const struct tmx_write_share *share) {
  double rate = share->store_rate * TMX_BATCH_WRITE_RATE_SHARE;
  if (share->n_members <= 1) return rate;
  double own_shares = share->is_leader ? 2 : 1;
  return rate * own_shares / (share->n_members + 1);
}

/* Returns the size of this controller's bucket, in puts. The buckets of all controllers add up to
 * less than one second of the store's rate, unless the minimum TMX_WRITE_BURST_MIN applies. */
static double member_burst(const struct tmx_write_share *share) {
  return fmax(tmx_write_budget_member_rate(share) * TMX_WRITE_BURST_S, TMX_WRITE_BURST_MIN);
}

void tmx_write_budget_refill(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                             double now) {
  double elapsed = now - budget->refilled_at;
  double store_rate = share->store_rate;
  double submission_refill =
      elapsed * store_rate * TMX_SINGLE_SUBMISSION_WRITE_RATE_SHARE / share->n_members;

  budget->recent_writes *= exp(-elapsed / TMX_RECENT_WRITES_DECAY_S);
  budget->store_tokens =
      fmin(fmax(budget->store_tokens, -store_rate) + elapsed * store_rate, store_rate);
  budget->member_tokens = fmin(
      budget->member_tokens + elapsed * tmx_write_budget_member_rate(share), member_burst(share));
  budget->submission_tokens =
      fmin(budget->submission_tokens + submission_refill, TMX_SINGLE_SUBMISSION_BURST);
  budget->refilled_at = now;
}

void tmx_write_budget_record_events(struct tmx_write_budget *budget, double events) {
  budget->store_tokens -= events;
  budget->recent_writes += events;
}

bool tmx_write_budget_is_load_low(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share) {
  return budget->recent_writes / TMX_RECENT_WRITES_DECAY_S <
         share->store_rate * TMX_LOW_WRITE_LOAD_SHARE;
}

/* Returns this controller's part of the tokens in the store's bucket above `kept_share` of the
 * bucket's size; may be negative. */
static double own_part_of_store_tokens_above(const struct tmx_write_budget *budget,
                                             const struct tmx_write_share *share,
                                             double kept_share) {
  return (budget->store_tokens - share->store_rate * kept_share) * SPARE_TOKENS_OWN_SHARE;
}

double tmx_write_budget_available(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share) {
  if (!tmx_write_budget_is_load_low(budget, share)) return budget->member_tokens;
  return fmax(budget->member_tokens,
              own_part_of_store_tokens_above(budget, share, TMX_STORE_BURST_RESERVED_SHARE));
}

double tmx_write_budget_delay(const struct tmx_write_budget *budget,
                              const struct tmx_write_share *share, double puts) {
  double missing = puts - tmx_write_budget_available(budget, share);
  return fmax(0, missing / tmx_write_budget_member_rate(share)) + DELAY_MARGIN_S;
}

bool tmx_write_budget_allows_housekeeping(const struct tmx_write_budget *budget,
                                          const struct tmx_write_share *share) {
  return budget->member_tokens > member_burst(share) * TMX_COMPACTION_FREE_BUDGET_SHARE;
}

/* Returns this controller's part of the puts that all controllers leave unused. */
static double unused_tokens(const struct tmx_write_budget *budget,
                            const struct tmx_write_share *share) {
  return fmax(0, own_part_of_store_tokens_above(budget, share, TMX_STORE_BURST_UNUSED_ABOVE_SHARE));
}

/* The function falls back to puts that all controllers leave unused, because a submission that is
 * not committed on its own waits for the next batch, which takes a whole cycle of commit slots. */
bool tmx_write_budget_reserve_submission(struct tmx_write_budget *budget,
                                         const struct tmx_write_share *share, double now) {
  if (budget->submission_tokens < 1) {
    tmx_write_budget_refill(budget, share, now);
    if (tmx_write_budget_available(budget, share) >= 1) return true; /* needs no reservation */
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

void tmx_write_budget_consume(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                              double puts) {
  budget->member_tokens = fmax(budget->member_tokens - puts, -tmx_write_budget_member_rate(share));
}

void tmx_write_budget_exhaust(struct tmx_write_budget *budget) {
  budget->member_tokens = fmin(budget->member_tokens, 0);
  budget->store_tokens = 0;
}
