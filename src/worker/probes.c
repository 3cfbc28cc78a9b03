#include "worker/probes.h"

#include <math.h>

#include "base/clock.h"
#include "net/http.h"
#include "tmx/wire.h"
#include "worker/commands.h"
#include "worker/fencing.h"
#include "worker/report_intake.h"
#include "worker/worker_connection.h"

/* A share of this controller's processor. */
double tmx_workers_probe_rate(const struct tmx_settings *settings) {
  return fmax(settings->core_share * TMX_PROBE_CPU_SHARE / TMX_PROBE_CPU_S, 4);
}

void tmx_workers_refill_probe_budget(struct tmx_workers *workers, double elapsed_s) {
  double rate = tmx_workers_probe_rate(workers->settings);
  double *available = &workers->probe_budget.available;
  *available = fmin(*available + rate * elapsed_s, rate * 2 * TMX_RECLAIM_PERIOD_S);
}

/* An answer may lie in a buffer while this controller stands still or is behind with its own work:
 * then a probe that timed out says nothing of the machine. */
static void count_lost_probe(struct tmx_worker *worker) {
  if (tmx_loop_monitor_on_time_since(worker->workers->loop_monitor, worker->probing.sent_at,
                                     tmx_clock_steady()))
    worker->probing.lost++;
}

static void on_status_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_worker *worker = arg;
  worker->probing.in_flight = false;
  if (status == 200 && tmx_worker_take_answer(worker, body, length))
    worker->probing.lost = 0;
  else
    count_lost_probe(worker);
}

static void on_empty_command_response(void *arg, int status, const uint8_t *body, size_t length) {
  struct tmx_worker *worker = arg;
  worker->commands.in_flight = false;
  if ((status == 200 || status == 409) && tmx_worker_take_answer(worker, body, length))
    worker->probing.lost = 0;
  else
    count_lost_probe(worker);
}

/* A probe in the form of a command without content: its answer shows the token of this owner, which
 * a heartbeat would show only later. That it may be executed late does no harm. */
static bool probe_with_token(struct tmx_worker *worker) {
  if (tmx_worker_has_newer_owner(worker)) return false;
  tmx_worker_post_commands(worker, &(struct tmx_command_list){0}, TMX_PROBE_TIMEOUT_S,
                           on_empty_command_response);
  return worker->commands.in_flight;
}

static void probe(struct tmx_worker *worker, double now) {
  struct tmx_probe_budget *budget = &worker->workers->probe_budget;
  struct tmx_worker_probing *probing = &worker->probing;
  if (probing->in_flight || worker->commands.in_flight || budget->available < 1) return;
  if (!tmx_worker_connect(worker, worker->machine->addr)) return;
  budget->available -= 1;
  probing->sent_at = now;
  /* In turns with a plain request: a machine that answers only that is up, and does not take
   * commands. */
  bool owes_token =
      worker->ownership.is_owner && worker->report.session && !tmx_worker_is_acknowledged(worker);
  if (owes_token && probing->lost % 2 == 0 && probe_with_token(worker)) return;
  probing->in_flight = tmx_http_client_call(worker->connection.client, "GET", WP_STATUS, NULL,
                                            TMX_PROBE_TIMEOUT_S, on_status_response, worker);
}

/* One turn of probes, from where the last one ended, while there are probes to spend. */
struct probe_turn {
  double now;
  double period_s; /* after which a machine without doubt is asked again */
  double reserve;  /* probes that the turn leaves */
};

typedef bool (*probe_is_due)(const struct tmx_worker *worker, const struct probe_turn *turn);

static double last_contact(const struct tmx_worker *worker) {
  return fmax(worker->liveness.acknowledged_at, worker->probing.sent_at);
}

static bool regular_probe_is_due(const struct tmx_worker *worker, const struct probe_turn *turn) {
  return !worker->probing.lost && turn->now - last_contact(worker) >= turn->period_s;
}

/* A machine in doubt that stays lost is asked ever less often: a whole zone of them must not use up
 * what the others need. */
static bool suspect_probe_is_due(const struct tmx_worker *worker, const struct probe_turn *turn) {
  const struct tmx_worker_probing *probing = &worker->probing;
  if (!probing->lost && tmx_worker_is_acknowledged(worker)) return false;
  int doublings = probing->lost - TMX_PROBES_LOST_MIN;
  if (doublings < 0) doublings = 0;
  if (doublings > TMX_PROBE_PERIOD_DOUBLINGS_MAX) doublings = TMX_PROBE_PERIOD_DOUBLINGS_MAX;
  return turn->now - probing->sent_at >= TMX_PROBE_TIMEOUT_S * (1 << doublings);
}

/* Returns where the next turn begins. */
static struct tmx_worker *probe_in_turn(struct tmx_workers *workers, struct tmx_worker *from,
                                        probe_is_due is_due, const struct probe_turn *turn) {
  size_t left = HASH_COUNT(workers->all);
  struct tmx_worker *worker = from ? from : workers->all;
  for (; worker && left-- && workers->probe_budget.available >= 1 + turn->reserve;
       worker = worker->hh.next ? worker->hh.next : workers->all) {
    if (!worker->machine || !worker->machine->registered || !worker->ownership.is_owner) continue;
    if (is_due(worker, turn)) probe(worker, turn->now);
  }
  return worker;
}

void tmx_workers_probe_own(struct tmx_workers *workers, unsigned owned, double now) {
  struct tmx_probe_budget *budget = &workers->probe_budget;
  double rate = tmx_workers_probe_rate(workers->settings);
  struct probe_turn turn = {
      .now = now,
      .period_s = fmax(TMX_PROBE_AFTER_S, owned / rate),
      .reserve = budget->available * (1 - TMX_SUSPECT_PROBES_SHARE),
  };
  budget->next_suspect = probe_in_turn(workers, budget->next_suspect, suspect_probe_is_due, &turn);
  turn.reserve = 0;
  budget->next = probe_in_turn(workers, budget->next, regular_probe_is_due, &turn);
}

void tmx_workers_probe_sample(struct tmx_workers *workers, struct tmx_reachability *reachability,
                              double now) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    if (!worker->machine || !worker->machine->registered) continue;
    if (reachability->owned >= TMX_REACHABILITY_MACHINES_MIN) return;
    reachability->owned++;
    reachability->reached += now - worker->liveness.acknowledged_at < 3;
    if (now - last_contact(worker) >= 1) probe(worker, now);
  }
}
