/* Scripted peers on the loop of the test: a state service, a cloud and workers. They speak the
 * protocols of the real ones and fail on demand. */
#ifndef TMX_FAKE_H
#define TMX_FAKE_H
#include "test.h"

#include <ev.h>

#include "controller/controller_internal.h"
#include "planner/planner.h"

#define FAKE_NODES 5
#define FAKE_LOADS 64 /* tasks that a worker shows, those that ended included */

struct fake_entry {
  char key[TMX_KEY_MAX + 1];
  uint8_t *value;
  size_t len;
  uint64_t version, lease;
};
struct fake_event {
  char key[TMX_KEY_MAX + 1];
  uint8_t *value; /* NULL: dropped */
  size_t len;
  uint64_t version;
};
struct fake_watch {
  struct tmx_http_request *req;
  uint64_t from;
  int door;
};
/* Each controller talks to a door of its own, so that one of them can be refused alone. */
struct fake_endpoint {
  struct fake_state *store;
  struct tmx_http_server *server;
  bool refuse;       /* 503 to everything; open watches wait */
  bool freeze_watch; /* events do not come through */
  bool gone_watch;   /* the next watch is told that its revision is too old */
  double slow_s;     /* reads are carried out at once and answered after this */
  unsigned reads;
  size_t page_max;    /* entries in one answer; 0: all */
  char hold_from[64]; /* a read from there on waits for fake_read_on */
  struct tmx_http_request *held_read;
  bool lose_next_txn; /* the next transaction is applied, its answer is lost */
  char lose_key[64];  /* ... only one that writes this key */
  bool hold;          /* ... and does not come at all rather than say nothing */
  struct tmx_http_request *held;
  bool late_next_txn; /* one that writes late_key is carried out only when fake_late says so */
  char late_key[64];
  uint8_t *late_transaction;
  size_t late_transaction_length;
};
struct fake_state {
  struct fake_entry *entries;
  size_t n_entries;
  struct fake_event *events;
  size_t n_events;
  struct fake_watch watches[32];
  size_t n_watches;
  uint64_t revision, leases;
  double *lease_until; /* steady clock, s, by lease; NULL: leases end only when a test says so */
  uint64_t lapsed;     /* leases up to this one are over: puts with them are refused */
  unsigned lapsed_puts;
  unsigned commits, conflicts;
  size_t value_max; /* bytes as JSON; 0: no limit */
  size_t txn_max;   /* puts and drops; 0: no limit */
  unsigned too_large;
  struct fake_endpoint endpoints[FAKE_NODES];
};
struct fake_cloud {
  struct tmx_http_server *server;
  bool refuse_delete;
  unsigned deletes, rentals;
  char deleted[32][TMX_ID_MAX];
  size_t listed;  /* machines n-100001 and on, 500 a page; 0: none */
  bool same_page; /* every page is the first one */
  unsigned pages;
};
struct fake_command {
  char verb[8], task[48];
  uint32_t attempt;
};
struct fake_worker {
  char id[TMX_ID_MAX], addr[32];
  struct tmx_http_server *server;
  bool mute;   /* takes commands and never answers */
  bool silent; /* does not answer probes either */
  uint64_t session, sequence, token;
  struct {
    char task[48], state[12], why[12];
    uint32_t attempt;
  } tasks[FAKE_LOADS];
  size_t n_tasks;
  /* the latest answer to a report */
  int status;
  char redirected_to[TMX_NAME_MAX];
  uint64_t answer_token;
  struct fake_command commands_received[64];
  size_t n_commands_received;
  unsigned commands;
  unsigned executed_starts;
  void (*on_command)(struct fake_worker *worker,
                     uint64_t token); /* executed; NULL: nobody is told */
};
struct fake_answer {
  bool done;
  int status;
  char state[16];
};

extern struct ev_loop *test_loop;
extern struct fake_state fake_store;
extern struct fake_cloud fake_cloud;
/* Changes the settings of controllers made from now on; NULL: nothing. */
extern void (*fake_adjust_settings)(struct tmx_settings *settings);
extern bool fake_peers_unreachable; /* controllers made from now on do not reach their peers */

void fake_start(void);
void fake_stop(void);
/* Called for every key that is written; NULL: nobody is told. */
extern void (*fake_on_write)(const char *key, const uint8_t *value, size_t len);
int fake_listen_port(int k); /* reserved for the users and workers of hand-k's process */
void fake_settings(struct tmx_settings *settings, int k,
                   int of); /* of hand-k among `of` controllers */
struct tmx_controller *start_controller(int k, int of);
void stop_controller(
    struct tmx_controller *controller); /* it ends without a word, as a killed process does */
bool fake_any_planner_busy(void);       /* a planner's thread has work */
bool fake_controller_is_ready(
    void *controller); /* for pump: it is a member, fresh, and knows the types */
struct tmx_http_client *client_of(struct tmx_controller *controller);
bool run_loop_until(bool (*done)(void *),
                    void *arg); /* runs the loop until done; false after 10 s */
void run_loop_for(double s);
void fake_free_watches(void);
int fake_execute_late_transaction(
    struct fake_endpoint
        *endpoint); /* carries the late transaction out: 200, 409; 0: there is none */
void fake_release_held_read(struct fake_endpoint *endpoint);
void fake_enforce_leases(
    void); /* from the first call on leases end when they are not renewed in time */
void fake_put(const char *key, const struct tmx_buffer *value); /* as another client would */
void fake_drop(const char *key);
const struct fake_entry *fake_get(const char *key);
bool fake_log_contains(const char *line); /* a batch that stands holds it */
unsigned fake_count_placed(void);         /* place lines in the log that have no end */

void fake_worker_open(struct fake_worker *worker, const char *id);
void fake_worker_send_heartbeat(
    struct fake_worker *worker,
    struct tmx_controller *controller); /* sends one and waits for its answer */
void fake_worker_encode_report(const struct fake_worker *worker,
                               struct tmx_buffer *buffer); /* its report as it stands */
void fake_worker_take_response(struct fake_worker *worker, int status, const uint8_t *body,
                               size_t len);
bool fake_worker_was_commanded(const struct fake_worker *worker, const char *op, const char *task,
                               uint32_t attempt);
void fake_worker_execute_commands(
    struct fake_worker *worker); /* executes the orders of the latest answer */
void fake_worker_set_task(struct fake_worker *worker, const char *task, uint32_t attempt,
                          const char *st, const char *why);

struct fake_job { /* a submission; what is left out is 0, an array of class "c" that runs 10 s */
  const char *id, *kind, *class, *team, *priority;
  uint32_t tasks;
  double cpus, estimate_s;
  const struct tmx_buffer *awaits, *types; /* the encoded lists; NULL: none */
};
void encode_submission_of(struct tmx_buffer *buffer, const struct fake_job *job);
int submit_job(struct tmx_controller *controller,
               const struct fake_job *job); /* the answer's status */
void encode_submission(struct tmx_buffer *buffer, const char *id, const char *kind, uint32_t tasks,
                       double cpus, const char *team);
/* One that awaits others: a submission with the encoded list in place of nothing. */
void encode_submission_awaiting(struct tmx_buffer *buffer, const char *id, const char *kind,
                                uint32_t tasks, double cpus, const char *team,
                                const struct tmx_buffer *awaits);
int submit_simple_job(struct tmx_controller *controller, const char *id, const char *kind,
                      uint32_t tasks, double cpus, const char *team);
struct fake_answer send_request(struct tmx_controller *controller, const char *method,
                                const char *path, const struct tmx_buffer *body);
struct fake_answer poll_job(struct tmx_controller *controller, const char *id);
struct fake_answer cancel_job(struct tmx_controller *controller, const char *id);
#endif
