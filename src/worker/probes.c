#include "worker/probes.h"

#include <math.h>

#include "base/clock.h"
#include "net/http.h"
#include "tmx/wire.h"
#include "worker/commands.h"
#include "worker/fencing.h"
#include "worker/report_intake.h"
#include "worker/worker_connection.h"

/* The rate at which probes use TMX_PROBE_CPU_SHARE of this controller's processor time, but at
 * least 4 per second. */
double tmx_workers_probe_rate(const struct tmx_settings *settings) {
  return fmax(settings->core_share * TMX_PROBE_CPU_SHARE / TMX_PROBE_CPU_S, 4);
}

void tmx_workers_refill_probe_budget(struct tmx_workers *workers, double elapsed_s) {
  double rate = tmx_workers_probe_rate(workers->settings);
  double *available = &workers->probe_budget.available;
  *available = fmin(*available + rate * elapsed_s, rate * 2 * TMX_RECLAIM_PERIOD_S);
}

/* While the event loop is stalled or late, responses may wait in socket buffers. A probe that timed
 * out in that time is no evidence against the machine, and is not counted. */
static void count_lost_probe(struct tmx_worker *worker) {
  if (tmx_loop_monitor_on_time_since(worker->workers->loop_monitor, worker->probing.sent_at,
                                     tmx_clock_steady()))
    worker->probing.consecutive_lost++;
}

static void on_status_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_worker *worker = arg;
  worker->probing.in_flight = false;
  if (status == 200 && tmx_worker_ingest_response(worker, body, length))
    worker->probing.consecutive_lost = 0;
  else
    count_lost_probe(worker);
}

static void on_empty_command_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_worker *worker = arg;
  worker->commands.in_flight = false;
  if ((status == 200 || status == 409) && tmx_worker_ingest_response(worker, body, length))
    worker->probing.consecutive_lost = 0;
  else
    count_lost_probe(worker);
}

/* Probes with an empty list of commands, so that the response shows the token of this owner earlier
 * than the next heartbeat would. Late execution of an empty list is harmless. */
static bool probe_with_token(struct tmx_worker *worker) {
  if (tmx_worker_has_newer_owner(worker)) return false;
  tmx_worker_post_commands(worker, &(struct tmx_command_list){0}, TMX_PROBE_TIMEOUT_S,
                           on_empty_command_response);
  return worker->commands.in_flight;
}

static void send_probe(struct tmx_worker *worker, double now) {
  struct tmx_probe_budget *budget = &worker->workers->probe_budget;
  struct tmx_worker_probing *probing = &worker->probing;
  if (probing->in_flight || worker->commands.in_flight || budget->available < 1) return;
  if (!tmx_worker_connect(worker, worker->machine->addr)) return;
  budget->available -= 1;
  probing->sent_at = now;
  /* After each odd number of lost probes a status request is sent instead of commands: a machine
   * that responds only to that is up and does not accept commands. */
  bool awaits_token = worker->ownership.is_owner && worker->report.session &&
                      !tmx_worker_acknowledges_owner(worker);
  if (awaits_token && probing->consecutive_lost % 2 == 0 && probe_with_token(worker)) return;
  probing->in_flight = tmx_http_client_call(worker->connection.client, "GET", WP_STATUS, NULL,
                                            TMX_PROBE_TIMEOUT_S, on_status_response, worker);
}

/* A round-robin pass of probes. It begins where the last pass ended, and ends when the budget is
 * spent down to `reserve`. */
struct probe_pass {
  double now;
  double period_s; /* seconds between regular probes of a machine */
  double reserve;  /* probes that the pass must not use */
};

typedef bool (*probe_is_due)(const struct tmx_worker *worker, const struct probe_pass *pass);

static double last_contact_or_probe(const struct tmx_worker *worker) {
  return fmax(worker->liveness.acknowledged_at, worker->probing.sent_at);
}

static bool regular_probe_is_due(const struct tmx_worker *worker, const struct probe_pass *pass) {
  return !worker->probing.consecutive_lost &&
         pass->now - last_contact_or_probe(worker) >= pass->period_s;
}

/* A suspect machine has lost probes, or does not acknowledge its owner. The interval between its
 * probes doubles with each lost probe after the first TMX_PROBES_LOST_MIN, up to
 * TMX_PROBE_PERIOD_DOUBLINGS_MAX times, so that a failed zone does not use up the budget for the
 * other machines. */
static bool suspect_probe_is_due(const struct tmx_worker *worker, const struct probe_pass *pass) {
  const struct tmx_worker_probing *probing = &worker->probing;
  if (!probing->consecutive_lost && tmx_worker_acknowledges_owner(worker)) return false;
  int doublings = probing->consecutive_lost - TMX_PROBES_LOST_MIN;
  if (doublings < 0) doublings = 0;
  if (doublings > TMX_PROBE_PERIOD_DOUBLINGS_MAX) doublings = TMX_PROBE_PERIOD_DOUBLINGS_MAX;
  return pass->now - probing->sent_at >= TMX_PROBE_TIMEOUT_S * (1 << doublings);
}

/* Returns the worker at which the next pass begins. */
static struct tmx_worker *probe_round_robin(struct tmx_workers *workers, struct tmx_worker *from,
                                            probe_is_due is_due, const struct probe_pass *pass) {
  size_t remaining = HASH_COUNT(workers->all);
  struct tmx_worker *worker = from ? from : workers->all;
  for (; worker && remaining-- && workers->probe_budget.available >= 1 + pass->reserve;
       worker = worker->hh.next ? worker->hh.next : workers->all) {
    if (!worker->machine || !worker->machine->registered || !worker->ownership.is_owner) continue;
    if (is_due(worker, pass)) send_probe(worker, pass->now);
  }
  return worker;
}

void tmx_workers_probe_owned(struct tmx_workers *workers, unsigned owned, double now) {
  struct tmx_probe_budget *budget = &workers->probe_budget;
  double rate = tmx_workers_probe_rate(workers->settings);
  struct probe_pass pass = {
      .now = now,
      .period_s = fmax(TMX_PROBE_AFTER_S, owned / rate),
      .reserve = budget->available * (1 - TMX_SUSPECT_PROBES_SHARE),
  };
  budget->next_suspect =
      probe_round_robin(workers, budget->next_suspect, suspect_probe_is_due, &pass);
  pass.reserve = 0;
  budget->next = probe_round_robin(workers, budget->next, regular_probe_is_due, &pass);
}

void tmx_workers_probe_sample(struct tmx_workers *workers, struct tmx_reachability *reachability,
                              double now) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    if (!worker->machine || !worker->machine->registered) continue;
    if (reachability->owned >= TMX_REACHABILITY_MACHINES_MIN) return;
    reachability->owned++;
    reachability->reached += now - worker->liveness.acknowledged_at < 3;
    if (now - last_contact_or_probe(worker) >= 1) send_probe(worker, now);
  }
}
