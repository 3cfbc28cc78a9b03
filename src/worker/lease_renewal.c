#include "worker/lease_renewal.h"

#include <string.h>

#include "base/clock.h"
#include "net/cbor.h"
#include "net/http.h"
#include "tmx/wire.h"
#include "worker/commands.h"
#include "worker/fencing.h"
#include "worker/reconciliation.h"
#include "worker/report_intake.h"
#include "worker/traffic.h"

/* Redirects the worker to `owner`; NULL: the worker chooses another controller itself. */
static void reply_redirect(struct tmx_http_request *request, const char *owner) {
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, owner ? 1 : 0);
  if (owner) tmx_cbor_put_text_field(&body, W_OWNER, owner);
  tmx_http_reply(request, 421, &body, 0);
  tmx_buffer_free(&body);
}

/* Renews the lease and sends the commands. */
static void reply_with_commands(struct tmx_http_request *request, uint64_t token,
                                const struct tmx_command_list *list) {
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 2);
  tmx_cbor_put_u64_field(&body, W_TOKEN, token);
  tmx_cbor_put_text(&body, W_COMMANDS);
  tmx_cbor_put_array(&body, list->count);
  if (list->count) tmx_buffer_append(&body, list->encoded.data, list->encoded.length);
  tmx_http_reply(request, 200, &body, 0);
  tmx_buffer_free(&body);
}

/* Responds as the owner: renews the lease, unless the worker has a newer owner. A stale heartbeat
 * was overtaken by the response to a probe, and its worker still awaits a response
 * (test_late_messages: a_report_overtaken_by_a_probe_renews_the_lease); or it is a late copy, to
 * which no worker awaits a response. Renewing the lease is safe in both cases, because the worker
 * counts its lease from the time at which it sent the heartbeat. */
static void reply_as_owner(struct tmx_worker *worker, struct tmx_http_request *request,
                           bool is_stale) {
  worker->redirection.redirected_at = 0;
  /* The worker has a newer owner, whose lease this controller must not renew (test_fencing:
   * a_higher_token_is_not_answered_with_200). */
  if (tmx_worker_has_newer_owner(worker)) {
    reply_redirect(request, NULL);
    return;
  }
  /* The effect of a direct command in flight is not known, so nothing is started. Stops are sent in
   * any case: a response that renews a lease must always stop cancelled tasks. */
  bool stops_only = is_stale || worker->commands.in_flight;
  struct tmx_command_list list = {0};
  tmx_worker_derive_commands(worker, stops_only ? TMX_COMMANDS_STOPS_ONLY : TMX_COMMANDS_ALL,
                             &list);
  if (list.n_starts) worker->commands.starts_unconfirmed = true;
  reply_with_commands(request, tmx_worker_token(worker), &list);
  tmx_worker_log_commands(worker, &list, "response");
  tmx_command_list_free(&list);
}

/* Returns whether the owner may have sent a start that is still in flight, for a task whose job has
 * ended since. A controller that renews the lease on behalf of the owner does not raise the token.
 * The start can therefore still be executed, and the task then runs until the lease ends. The lease
 * must not be renewed beyond the time limit of a cancellation (test_cancellation:
 * no_lease_outlasts_a_cancellation_with_a_delayed_start). */
static bool is_late_start_possible(const struct tmx_worker *worker, double now) {
  const struct tmx_settings *settings = worker->workers->settings;
  for (const struct tmx_task *task = worker->machine ? worker->machine->tasks : NULL; task;
       task = task->next)
    if (task->job->outcome && !tmx_worker_reports_task(worker, task) &&
        now - task->job->outcome_committed_after > tmx_renewal_replica_age_max(settings))
      return true;
  return false;
}

/* While the store is unreachable, no view can give the machine to another controller. If the worker
 * cannot reach the owner either, any member whose replica is fresh enough to act renews the lease,
 * so that running tasks are not killed (test_fencing:
 * a_lease_is_renewed_for_an_unreachable_owner). */
static bool may_renew_lease_for_owner(const struct tmx_worker *worker, const char *owner,
                                      double now) {
  const struct tmx_workers *workers = worker->workers;
  double redirected_at = worker->redirection.redirected_at;
  if (!tmx_store_is_member(workers->store) ||
      now - tmx_store_fresh_as_of(workers->store) < TMX_STORE_UNREACHABLE_S)
    return false;
  /* An owner of a newer view has been in contact with the worker, and renews the lease itself. */
  if (worker->ownership.highest_token >
      tmx_authority_fencing_token(workers->authority, TMX_TOKEN_SEQUENCE_MAX))
    return false;
  if (is_late_start_possible(worker, now)) return false;
  return tmx_peers_heartbeat_age(workers->peers, owner) > TMX_HEARTBEAT_EXPIRY_S ||
         (redirected_at && now - redirected_at >= TMX_FAILOVER_REDIRECT_AGE_MIN_S);
}

/* Renews the lease on behalf of the owner, with the highest token that the worker has seen. The
 * response contains only commands to stop tasks whose jobs have ended: such a job never resumes,
 * and its tasks must end within the time limit of a cancellation (test_fencing:
 * a_lease_is_renewed_for_an_unreachable_owner). */
static void renew_lease_for_owner(const struct tmx_worker *worker,
                                  struct tmx_http_request *request) {
  struct tmx_command_list list = {0};
  tmx_worker_derive_stops_of_ended_jobs(worker, &list);
  reply_with_commands(request, worker->ownership.highest_token, &list);
  tmx_command_list_free(&list);
}

/* Returns whether the worker seems unable to reach its owner. Any of three signs is enough. The
 * worker was redirected to the owner and returned between TMX_FAILOVER_REDIRECT_AGE_MIN_S and
 * TMX_FAILOVER_REDIRECT_AGE_MAX_S later. The worker returned earlier, and the owner's heartbeats to
 * this controller have expired. The owner reports that it has lost contact with the worker and that
 * probes were lost. */
static bool is_cut_off_from_owner(const struct tmx_worker *worker, const char *owner, double now) {
  const struct tmx_workers *workers = worker->workers;
  double redirected_at = worker->redirection.redirected_at;
  double since_redirect = now - redirected_at;
  if (redirected_at && since_redirect >= TMX_FAILOVER_REDIRECT_AGE_MIN_S &&
      since_redirect <= TMX_FAILOVER_REDIRECT_AGE_MAX_S)
    return true;
  if (tmx_peers_heartbeat_age(workers->peers, owner) > TMX_HEARTBEAT_EXPIRY_S)
    return redirected_at && since_redirect < TMX_FAILOVER_REDIRECT_AGE_MAX_S;
  struct tmx_suspicion suspicion;
  return worker->machine && tmx_workers_find_suspicion(workers, worker->machine, &suspicion) &&
         suspicion.no_contact_s > TMX_FAILOVER_CONTACT_TIMEOUT_S &&
         suspicion.consecutive_probes_lost >= TMX_PROBES_LOST_MIN;
}

static void defer_heartbeat(struct tmx_worker *worker, struct tmx_http_request *request,
                            double now) {
  worker->redirection.deferred_heartbeat = request;
  worker->redirection.deferred_at = now;
  worker->workers->n_deferred_heartbeats++;
}

/* Returns the deferred heartbeat, to which the caller must respond; NULL if there is none. */
static struct tmx_http_request *take_deferred_heartbeat(struct tmx_worker *worker) {
  struct tmx_http_request *request = worker->redirection.deferred_heartbeat;
  if (request) worker->workers->n_deferred_heartbeats--;
  worker->redirection.deferred_heartbeat = NULL;
  return request;
}

void tmx_worker_redirect_deferred_heartbeat(struct tmx_worker *worker) {
  struct tmx_http_request *request = take_deferred_heartbeat(worker);
  if (request) reply_redirect(request, NULL);
}

void tmx_workers_answer_deferred_heartbeats(struct tmx_workers *workers) {
  if (!workers->n_deferred_heartbeats) return;
  const char *machines[TMX_FAILOVER_MACHINES_MAX];
  size_t n_machines = 0;
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    const struct tmx_worker_redirection *redirection = &worker->redirection;
    if (!redirection->deferred_heartbeat) continue;
    if (!redirection->deferred_heartbeat->conn ||
        tmx_clock_steady() - redirection->deferred_at > TMX_FAILOVER_REPORT_WAIT_S)
      tmx_worker_redirect_deferred_heartbeat(worker);
    else if (tmx_authority_may_act(workers->authority) && tmx_worker_update_ownership(worker))
      reply_as_owner(worker, take_deferred_heartbeat(worker), false);
    else if (n_machines < TMX_FAILOVER_MACHINES_MAX)
      machines[n_machines++] = worker->id;
  }
  if (n_machines) tmx_view_manager_take_over(workers->view_manager, machines, n_machines);
}

/* Name of the owner by the view; NULL if there is none, or if it is this controller, whose current
 * incarnation is not a member of the view yet. */
static const char *find_other_owner(const struct tmx_worker *worker) {
  const struct tmx_workers *workers = worker->workers;
  const char *owner = tmx_machine_owner(workers->replica, worker->id);
  return owner && strcmp(owner, workers->settings->node_name) ? owner : NULL;
}

static void reply_as_non_owner(struct tmx_worker *worker, struct tmx_http_request *request,
                               bool is_stale) {
  struct tmx_worker_redirection *redirection = &worker->redirection;
  const char *owner = find_other_owner(worker);
  double now = tmx_clock_steady();
  if (!owner || is_stale) {
    reply_redirect(request, owner);
    return;
  }
  if (may_renew_lease_for_owner(worker, owner, now)) {
    renew_lease_for_owner(worker, request);
    return;
  }
  if (!redirection->deferred_heartbeat && tmx_store_is_member(worker->workers->store) &&
      is_cut_off_from_owner(worker, owner, now)) {
    defer_heartbeat(worker, request, now);
    return;
  }
  redirection->redirected_at = now;
  reply_redirect(request, owner);
}

static struct tmx_report_ingest process_heartbeat(struct tmx_workers *workers,
                                                  const struct tmx_http_request *request) {
  struct tmx_report_ingest ingest = {.status = TMX_INGEST_REJECTED};
  cbor_item_t *map = tmx_cbor_parse(request->body, request->body_len);
  if (map) ingest = tmx_workers_ingest_report(workers, map, TMX_REPORT_FROM_HEARTBEAT);
  tmx_cbor_free(map);
  return ingest;
}

void tmx_workers_handle_heartbeat(struct tmx_workers *workers, struct tmx_http_request *request) {
  workers->traffic.heartbeats++;
  struct tmx_report_ingest ingest = process_heartbeat(workers, request);
  struct tmx_worker *worker = ingest.worker;
  bool is_stale = ingest.status == TMX_INGEST_STALE;
  if (ingest.status == TMX_INGEST_REJECTED) {
    tmx_http_reply(request, 400, NULL, 0);
    return;
  }
  if (ingest.status == TMX_INGEST_MACHINE_REMOVED) {
    reply_redirect(request, NULL);
    return;
  }
  /* A controller that cannot reach the store does not learn of cancellations elsewhere, so it may
   * renew leases only within the time limit of a cancellation (test_cancellation:
   * a_cancellation_holds_while_the_store_is_unreachable; test_cancellation:
   * no_lease_outlasts_a_cancellation_in_a_store_outage). */
  if (!tmx_authority_may_act(workers->authority)) {
    tmx_http_reply(request, 503, NULL, 1);
    return;
  }
  /* Other controllers still reach the store and serve the machines of this one. */
  if (tmx_peers_store_lost_only_here(workers->peers)) {
    reply_redirect(request, NULL);
    return;
  }
  if (!tmx_worker_update_ownership(worker)) {
    reply_as_non_owner(worker, request, is_stale);
    return;
  }
  /* A late copy of an earlier session: no worker awaits its response (test_late_messages:
   * a_report_overtaken_by_a_probe_renews_the_lease). */
  if (ingest.session < worker->report.session) {
    reply_redirect(request, NULL);
    return;
  }
  reply_as_owner(worker, request, is_stale);
}
