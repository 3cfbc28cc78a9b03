/**
 * @file
 * The write budget: how many puts this controller may send to the store.
 *
 * The store limits the puts of all controllers together. Each controller keeps to a share of that
 * rate by a token bucket of its own. From the watch it also knows what all of them wrote, so it
 * tracks the store's own bucket and can use what the others leave unused.
 *
 * The module is pure: it does no I/O and reads no clock; the time is passed in. Functions that take
 * no time expect a budget that tmx_write_budget_refill() has brought up to the present. Not
 * thread-safe: the owner's thread only.
 */
#ifndef TMX_WRITE_BUDGET_H
#define TMX_WRITE_BUDGET_H
#include <stdbool.h>

/** What determines this controller's share of the store's write rate; changes with the view. */
struct tmx_write_share {
  double store_rate; /**< puts/s that the store accepts from all controllers together */
  double n_members;  /**< controllers among which the rate is shared; at least 1 */
  bool is_leader;    /**< this controller is the leader, which has a double share */
};

/** Token buckets, in puts. Tokens below 0 are writes made in advance. */
struct tmx_write_budget {
  double member_tokens;     /**< this controller's share */
  double submission_tokens; /**< kept apart for submissions that are committed singly */
  double shared_tokens;     /**< estimate of the store's own bucket, from the events of all */
  double recent_writes;     /**< puts of all, decaying over TMX_RECENT_WRITES_S */
  double refilled_at;       /**< steady clock, s: the time that the tokens stand for */
};

/**
 * Sets the tokens with which a controller starts.
 * @param budget  need not be initialised
 * @param now     steady clock, s
 */
void tmx_write_budget_init(struct tmx_write_budget *budget, double now);

/** This controller's share of the write rate, puts/s. */
double tmx_write_budget_member_rate(const struct tmx_write_share *share);

/**
 * Adds the tokens that accrued since the last refill.
 * @param budget  is brought up to `now`
 * @param share   determines the rate of the tokens
 * @param now     steady clock, s
 */
void tmx_write_budget_refill(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                             double now);

/** Records puts of any controller that the watch reported. */
void tmx_write_budget_record_events(struct tmx_write_budget *budget, double events);

/**
 * Whether all controllers together wrote so little of late that they hardly disturb each other.
 *
 * This is an average over seconds. By the load of the moment, all controllers would find room at
 * the same moment and write at once.
 */
bool tmx_write_budget_is_load_low(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share);

/**
 * Puts that may be sent now; may be negative. This is the controller's share, or, while the load is
 * low, half of what is free in the store's bucket if that is more.
 */
double tmx_write_budget_available(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share);

/** Seconds until `puts` may be sent, with a small margin; always above 0. */
double tmx_write_budget_delay(const struct tmx_write_budget *budget,
                              const struct tmx_write_share *share, double puts);

/** Whether enough tokens are left that housekeeping, such as compaction, delays nothing else. */
bool tmx_write_budget_has_housekeeping(const struct tmx_write_budget *budget,
                                       const struct tmx_write_share *share);

/**
 * Reserves one put for a submission that is committed singly; the commit that follows takes it.
 * Refills the budget itself, but only if no token that is kept for submissions was left.
 * @param budget  from which the put is reserved
 * @param share   determines the rate of the tokens
 * @param now     steady clock, s
 * @return whether there is a put for it
 */
bool tmx_write_budget_reserve_submission(struct tmx_write_budget *budget,
                                         const struct tmx_write_share *share, double now);

/**
 * Reserves puts beyond this controller's share, as far as all controllers leave them unused; the
 * commit that follows takes them.
 * @param budget  from which the puts are reserved
 * @param share   determines what is left unused
 * @param wanted  the most that is reserved
 * @return how many puts were reserved
 */
int tmx_write_budget_reserve_unused(struct tmx_write_budget *budget,
                                    const struct tmx_write_share *share, int wanted);

/** Takes the puts of a commit, at most down to one second's share in advance. */
void tmx_write_budget_take(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                           double puts);

/** The store refused a write for its rate: no tokens are left in either bucket. */
void tmx_write_budget_exhaust(struct tmx_write_budget *budget);
#endif
