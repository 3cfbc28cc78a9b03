/* The link to the state service: loads and follows the replica, holds this controller's
 * lease, reads revisions for waiting answers, and sends transactions. */
#ifndef TMX_STORE_H
#define TMX_STORE_H
#include "net/http.h"
#include "replica/replica.h"

struct tmx_store;
struct tmx_store *tmx_store_new(struct ev_loop *loop, const struct tmx_settings *settings,
                                struct tmx_replica *replica);
void tmx_store_free(struct tmx_store *store);

/* When state was last known to be complete here: the time at which a revision read began that
 * the replica has caught up with. 0: never. */
double tmx_store_fresh_as_of(const struct tmx_store *store);
/* Was the latest read answered: if not, nothing that needs the state is decided here now. */
bool tmx_store_is_reachable(const struct tmx_store *store);
uint64_t tmx_store_incarnation(
    const struct tmx_store *store);                      /* version of our node key; 0: none */
bool tmx_store_is_member(const struct tmx_store *store); /* in the view with this very run */
bool tmx_store_is_leader(const struct tmx_store *store);

/* cb(arg, true) once the replica holds all that was committed before this call;
 * false: not within the time */
typedef void (*tmx_read_index_cb)(void *arg, bool ok);
bool tmx_store_read_index(struct tmx_store *store, double within, tmx_read_index_cb cb, void *arg);
/* For the few that have waited already: the next read is not paced. */
void tmx_store_expedite_read_index(struct tmx_store *store);

/* A transaction is built, then sent. Result: TXN_OK committed at rev; TXN_CONFLICT not
 * committed; TXN_REFUSED not executed (rate, outage); TXN_UNKNOWN may be applied, now or later. */
enum {
  TMX_TRANSACTION_COMMITTED,
  TMX_TRANSACTION_CONFLICT,
  TMX_TRANSACTION_NOT_EXECUTED,
  TMX_TRANSACTION_UNKNOWN
};
struct tmx_transaction {
  struct tmx_buffer conditions, operations;
  int n_conditions, n_operations;
};
void tmx_transaction_require_version(struct tmx_transaction *transaction, const char *key,
                                     uint64_t version);
void tmx_transaction_put(struct tmx_transaction *transaction, const char *key,
                         const struct tmx_buffer *value, uint64_t lease);
void tmx_transaction_delete(struct tmx_transaction *transaction, const char *key);
void tmx_transaction_advance_head(struct tmx_transaction *transaction,
                                  const char *by); /* rewrites head */
typedef void (*tmx_transaction_cb)(void *arg, int result, uint64_t revision);
/* Frees the transaction's buffers. cost-limited: false when the write budget is used up,
 * unless urgent (then the share kept for leases and views is used). */
bool tmx_store_commit(struct tmx_store *store, struct tmx_transaction *transaction, bool urgent,
                      tmx_transaction_cb cb, void *arg);
double tmx_store_write_budget(struct tmx_store *store); /* puts that may be sent now */
double tmx_store_write_budget_delay(struct tmx_store *store,
                                    double puts); /* s until so many may be sent */
bool tmx_store_reserve_submission_write(
    struct tmx_store *store); /* before the commit of a single submission */
/* Puts beyond this controller's share, at most `wanted`, as far as all together leave them unused:
 * for what others wait for. They are taken by the commit that follows. */
int tmx_store_reserve_unused_writes(struct tmx_store *store, int wanted);
bool tmx_store_is_write_load_low(struct tmx_store *store); /* hardly any of its share is used */
bool tmx_store_has_housekeeping_budget(
    struct tmx_store *store); /* there is room for housekeeping */
/* This controller is in no state to lead: it does not try to. */
void tmx_store_abstain_from_election(struct tmx_store *store, bool on);
/* Advice that a peer's process is down: leadership is taken from it at once. */
void tmx_store_suspect_leader(struct tmx_store *store, const char *node);
/* Advice that a peer's copy is ahead: a revision read is due, which finds a dead watch out. */
void tmx_store_note_peer_ahead(struct tmx_store *store);
void tmx_store_tick(struct tmx_store *store); /* called a few times a second */
#endif
