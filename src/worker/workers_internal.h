/* Shared by the files of src/worker only. */
#ifndef TMX_WORKERS_INTERNAL_H
#define TMX_WORKERS_INTERNAL_H
#include "worker/workers.h"

struct tmx_reported_task {
  char job[TMX_ID_MAX];
  uint32_t task, attempt;
  uint8_t state;   /* LD_* */
  char end_reason; /* TMX_END_*, when exited */
  bool in_log;     /* the log has this very attempt here */
};
enum { TMX_REPORTED_FETCHING, TMX_REPORTED_RUNNING, TMX_REPORTED_SAVING, TMX_REPORTED_EXITED };

struct tmx_worker {
  char id[TMX_ID_MAX];
  struct tmx_machine_facts facts;
  struct tmx_workers *workers;
  struct tmx_machine *machine; /* once registered */
  uint64_t session, report_sequence,
      highest_token;      /* seen: the highest token the worker has seen */
  double heard_at;        /* last new report that came here; 0: never */
  double acknowledged_at; /* last proof that it hears us: an answer, or a token of ours */
  double recovered_at;    /* it gave a sign after it had been silent */
  double heartbeat_at;    /* its own report came here last, and not only answers; 0: never */
  double redirected_at;
  struct tmx_http_request
      *parked_request; /* a report that waits, for a moment, until this controller is the owner */
  double parked_at;
  bool spot_notice;
  struct tmx_reported_task *tasks;
  size_t n_tasks;
  uint32_t report_number, reconciled_report, reconciled_changes;
  /* as its owner */
  bool owned;
  uint64_t owned_as_of_term; /* of the view that `owned` was last compared with */
  uint32_t token_sequence;
  uint64_t required_token; /* absence proves nothing while seen < fence ... */
  double required_token_at;
  uint64_t required_token_session; /* ... and the session is not a later one than this */
  bool starts_unconfirmed;         /* a response with starts was sent; the next report tells */
  bool inherited; /* nothing has shown yet that a report was sent after this owner came */
  bool command_in_flight, command_unanswered;
  bool commands_due, in_command_queue,
      in_completion_queue; /* queued, may_end: in the list of those */
  /* probes */
  bool probe_in_flight;
  int probes_lost; /* in a row */
  double probed_at, owned_since;
  struct tmx_http_client *client;
  char client_address[TMX_NAME_MAX];
  /* what another owner says of it */
  struct tmx_suspicion owner_suspicion;
  char suspicion_reporter[TMX_NAME_MAX];
  double suspicion_at;
  uint64_t suspicion_term; /* of the view that it spoke by */
  UT_hash_handle hh;
};

struct tmx_workers {
  struct ev_loop *loop;
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  const struct tmx_authority *authority;
  struct tmx_view_manager *view_manager;
  const struct tmx_loop_monitor *loop_monitor;
  struct tmx_peers *peers;
  struct tmx_scheduler *scheduler;
  struct tmx_worker *all;
  struct tmx_worker **command_queue; /* whose orders may differ */
  size_t n_command_queue, cap_command_queue;
  struct tmx_worker **completion_queue; /* whose reports may prove an end; NULL: gone */
  size_t n_completion_queue, cap_completion_queue;
  double unregistered_seen_at; /* latest report of a machine that is not registered */
  int n_parked, n_clients;
  uint32_t report_counter;
  double last_report_at, swept_at, probe_tokens;
  struct tmx_worker *next_probe, *next_suspect_probe; /* where the next turns of probes begin */
  struct tmx_reachability reachability;
  bool most_are_unreported; /* of its machines: that tells of this controller, not of them */
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};

struct tmx_worker *tmx_worker_create(struct tmx_workers *workers, const char *id);
bool tmx_worker_is_owned(struct tmx_workers *workers, struct tmx_worker *worker);
struct tmx_http_client *tmx_worker_client(struct tmx_worker *worker, const char *addr);
/* Takes the body of an answer to a probe or a command in; false: not one of this worker's. */
bool tmx_worker_take_status(struct tmx_worker *worker, const uint8_t *body, size_t len);
bool tmx_worker_is_acknowledged(const struct tmx_worker *worker);
/* s since its own report came to this owner: only those renew its lease. */
double tmx_worker_heartbeat_age(const struct tmx_worker *worker, double now);
#endif
