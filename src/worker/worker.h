/* Shared by the files of src/worker only. */
#ifndef TMX_WORKER_H
#define TMX_WORKER_H
#include "controller.h"

struct load {
  char job[TMX_ID_MAX];
  uint32_t task, attempt;
  uint8_t state; /* LD_* */
  char how;      /* TMX_END_*, when exited */
  bool current;  /* the log has this very attempt here */
};
enum { LD_FETCHING, LD_RUNNING, LD_SAVING, LD_EXITED };

struct worker {
  char id[TMX_ID_MAX];
  struct tmx_worker_facts facts;
  struct tmx_workers *w;
  struct tmx_machine *m;       /* once registered */
  uint64_t session, seq, seen; /* seen: the highest token the worker has seen */
  double heard_at;             /* last new report that came here; 0: never */
  double reached_at;           /* last proof that it hears us: an answer, or a token of ours */
  double back_at;              /* it gave a sign after it had been silent */
  double hello_at;             /* its own report came here last, and not only answers; 0: never */
  double bounced_at;
  struct tmx_http_request
      *held; /* a report that waits, for a moment, until this controller is the owner */
  double held_at;
  bool notice;
  struct load *loads;
  size_t n_loads;
  uint32_t report, resolved_report, resolved_changes;
  /* as its owner */
  bool owned;
  uint64_t term; /* of the view that `owned` was last compared with */
  uint32_t bump;
  uint64_t fence; /* absence proves nothing while seen < fence ... */
  double fence_at;
  uint64_t fence_session; /* ... and the session is not a later one than this */
  bool starts_out;        /* a response with starts was sent; the next report tells */
  bool heir;              /* nothing has shown yet that a report was sent after this owner came */
  bool in_flight, unanswered;
  bool dirty, queued, may_end; /* queued, may_end: in the list of those */
  /* probes */
  bool probe_busy;
  int probes_lost; /* in a row */
  double probe_at, owned_at;
  struct tmx_http_client *client;
  char client_addr[TMX_NAME_MAX];
  /* what another owner says of it */
  struct tmx_suspect said;
  char said_by[TMX_NAME_MAX];
  double said_at;
  uint64_t said_term; /* of the view that it spoke by */
  UT_hash_handle hh;
};

struct tmx_workers {
  struct tmx_ctl *c;
  struct worker *all;
  struct worker **queue; /* whose orders may differ */
  size_t n_queue, cap_queue;
  struct worker **ending; /* whose reports may prove an end; NULL: gone */
  size_t n_ending, cap_ending;
  double unknown_at; /* latest report of a machine that is not registered */
  int n_held, n_clients;
  uint32_t reports;
  double report_at, sweep_at, probe_tokens;
  struct worker *probe_from, *doubt_from; /* where the next turns of probes begin */
  struct tmx_reach reach;
  bool many_unreported; /* of its machines: that tells of this controller, not of them */
  struct tmx_zone_signs zones[TMX_ZONES_MAX];
};

struct worker *tmx_worker_make(struct tmx_workers *w, const char *id);
bool tmx_worker_own(struct tmx_workers *w, struct worker *r);
struct tmx_http_client *tmx_worker_client(struct worker *r, const char *addr);
/* Takes the body of an answer to a probe or a command in; false: not one of this worker's. */
bool tmx_worker_answer(struct worker *r, const uint8_t *body, size_t len);
bool tmx_worker_hears(const struct worker *r);
/* s since its own report came to this owner: only those renew its lease. */
double tmx_worker_unreported(const struct worker *r, double now);
#endif
