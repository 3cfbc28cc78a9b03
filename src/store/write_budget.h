/**
 * @file
 * The write budget: the number of puts that this controller may send to the store.
 *
 * The store limits the rate of puts of all controllers combined. Each controller limits itself to a
 * share of that rate with its own token bucket. The watch reports the writes of all controllers, so
 * each controller also estimates the store's token bucket and can use the tokens that the others
 * leave unused.
 *
 * The module does no I/O and reads no clock; callers pass the time. Functions without a time
 * parameter expect a budget that tmx_write_budget_refill() has refilled up to the present. The
 * module is not thread-safe; only the thread of the budget's owner may call it.
 */
#ifndef TMX_WRITE_BUDGET_H
#define TMX_WRITE_BUDGET_H
#include <stdbool.h>

/** Parameters of this controller's share of the store's write rate; they change with the view. */
struct tmx_write_share {
  double store_rate; /**< puts/s that the store accepts from all controllers combined */
  double n_members;  /**< number of controllers that share the rate; at least 1 */
  bool is_leader;    /**< whether this controller is the leader, which has two shares */
};

/** Token buckets; one token is one put. A negative balance means that writes were sent before their
 * tokens accrued. */
struct tmx_write_budget {
  double member_tokens;     /**< tokens of this controller's share */
  double submission_tokens; /**< reserve for submissions that are committed without a batch */
  double store_tokens;      /**< estimate of the store's bucket, from the events of the watch */
  double recent_writes; /**< writes of all controllers, decayed with TMX_RECENT_WRITES_DECAY_S */
  double refilled_at;   /**< steady clock, s: time of the latest refill */
};

/**
 * Initializes the budget with the tokens that a controller starts with.
 * @param budget  need not be initialized
 * @param now     steady clock, s
 */
void tmx_write_budget_init(struct tmx_write_budget *budget, double now);

/** Returns this controller's share of the write rate, in puts/s. */
double tmx_write_budget_member_rate(const struct tmx_write_share *share);

/**
 * Adds the tokens that have accrued since the latest refill.
 * @param budget  refilled up to `now`
 * @param share   determines the refill rates
 * @param now     steady clock, s
 */
void tmx_write_budget_refill(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                             double now);

/** Records events that the watch reported, which are writes of any controller. */
void tmx_write_budget_record_events(struct tmx_write_budget *budget, double events);

/**
 * Returns whether the recent write load of all controllers combined is so low that they rarely
 * conflict.
 *
 * The load is an average over several seconds. With the instantaneous load, all controllers would
 * see free capacity at the same moment and write simultaneously.
 */
bool tmx_write_budget_is_load_low(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share);

/**
 * Returns the number of puts that may be sent now; may be negative. The result is the balance of
 * this controller's share. While the write load is low, the result is at least half of the tokens
 * that the store's bucket is estimated to hold above TMX_STORE_BURST_RESERVED_SHARE of its size.
 */
double tmx_write_budget_available(const struct tmx_write_budget *budget,
                                  const struct tmx_write_share *share);

/** Returns the seconds until `puts` may be sent, plus a small margin; always above 0. */
double tmx_write_budget_delay(const struct tmx_write_budget *budget,
                              const struct tmx_write_share *share, double puts);

/** Returns whether enough tokens are left that housekeeping such as a compaction does not delay
 * other writes. */
bool tmx_write_budget_allows_housekeeping(const struct tmx_write_budget *budget,
                                          const struct tmx_write_share *share);

/**
 * Reserves one put for a submission that is committed without a batch. The next commit consumes the
 * put. The function refills the budget itself, but only if no submission token is left.
 * @param budget  the budget that provides the put
 * @param share   determines the refill rates and the unused tokens
 * @param now     steady clock, s
 * @return whether the next commit may contain the put; true without a reservation if the available
 * budget covers the put
 */
bool tmx_write_budget_reserve_submission(struct tmx_write_budget *budget,
                                         const struct tmx_write_share *share, double now);

/**
 * Reserves puts beyond this controller's share from the part of the store's write rate that all
 * controllers leave unused. The next commit consumes the puts.
 * @param budget  the budget that provides the puts
 * @param share   determines the unused tokens
 * @param wanted  maximum number of puts to reserve
 * @return the number of reserved puts
 */
int tmx_write_budget_reserve_unused(struct tmx_write_budget *budget,
                                    const struct tmx_write_share *share, int wanted);

/** Consumes the tokens of a commit. The balance goes no lower than minus one second's share. */
void tmx_write_budget_consume(struct tmx_write_budget *budget, const struct tmx_write_share *share,
                              double puts);

/** Handles a write that the store refused because of its rate: empties the bucket of this
 * controller's share and the estimate of the store's bucket. */
void tmx_write_budget_exhaust(struct tmx_write_budget *budget);
#endif
