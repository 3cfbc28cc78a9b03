/* The link to the state service: loads and follows the replica, holds this controller's
 * lease, reads revisions for waiting answers, and sends transactions. */
#ifndef TMX_LINK_H
#define TMX_LINK_H
#include "net/http.h"
#include "state/replica.h"

struct tmx_link;
struct tmx_link *tmx_link_new(struct ev_loop *loop, const struct tmx_settings *s,
                              struct tmx_replica *r);
void tmx_link_free(struct tmx_link *k);

/* When state was last known to be complete here: the time at which a revision read began that
 * the replica has caught up with. 0: never. */
double tmx_link_confirmed(const struct tmx_link *k);
/* Was the latest read answered: if not, nothing that needs the state is decided here now. */
bool tmx_link_served(const struct tmx_link *k);
uint64_t tmx_link_inc(const struct tmx_link *k); /* version of our node key; 0: none */
bool tmx_link_member(const struct tmx_link *k);  /* in the view with this very run */
bool tmx_link_leading(const struct tmx_link *k);

/* cb(arg, true) once the replica holds all that was committed before this call;
 * false: not within the time */
typedef void (*tmx_confirm_cb)(void *arg, bool ok);
bool tmx_link_confirm(struct tmx_link *k, double within, tmx_confirm_cb cb, void *arg);
/* For the few that have waited already: the next read is not paced. */
void tmx_link_hurry(struct tmx_link *k);

/* A transaction is built, then sent. Result: TXN_OK committed at rev; TXN_CONFLICT not
 * committed; TXN_REFUSED not executed (rate, outage); TXN_UNKNOWN may be applied, now or later. */
enum { TMX_TXN_OK, TMX_TXN_CONFLICT, TMX_TXN_REFUSED, TMX_TXN_UNKNOWN };
struct tmx_txn {
  struct tmx_buffer conds, ops;
  int n_conds, n_ops;
};
void tmx_txn_if(struct tmx_txn *t, const char *key, uint64_t version);
void tmx_txn_put(struct tmx_txn *t, const char *key, const struct tmx_buffer *value,
                 uint64_t lease);
void tmx_txn_drop(struct tmx_txn *t, const char *key);
void tmx_txn_head(struct tmx_txn *t, const char *by); /* rewrites head */
typedef void (*tmx_txn_cb)(void *arg, int result, uint64_t rev);
/* Frees the transaction's buffers. cost-limited: false when the write budget is used up,
 * unless urgent (then the share kept for leases and views is used). */
bool tmx_link_commit(struct tmx_link *k, struct tmx_txn *t, bool urgent, tmx_txn_cb cb, void *arg);
double tmx_link_budget(struct tmx_link *k);                 /* puts that may be sent now */
double tmx_link_budget_in(struct tmx_link *k, double puts); /* s until so many may be sent */
bool tmx_link_submit(struct tmx_link *k); /* before the commit of a single submission */
/* Puts beyond this controller's share, at most `wanted`, as far as all together leave them unused:
 * for what others wait for. They are taken by the commit that follows. */
int tmx_link_extra(struct tmx_link *k, int wanted);
bool tmx_link_rich(struct tmx_link *k);  /* hardly any of its share is used */
bool tmx_link_spare(struct tmx_link *k); /* there is room for housekeeping */
/* This controller is in no state to lead: it does not try to. */
void tmx_link_stand_back(struct tmx_link *k, bool on);
/* Advice that a peer's process is down: leadership is taken from it at once. */
void tmx_link_suspect(struct tmx_link *k, const char *node);
/* Advice that a peer's copy is ahead: a revision read is due, which finds a dead watch out. */
void tmx_link_behind(struct tmx_link *k);
void tmx_link_tick(struct tmx_link *k); /* called a few times a second */
#endif
