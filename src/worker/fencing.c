#include "worker/fencing.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

static bool is_owner_by_view(const struct tmx_worker *worker) {
  const struct tmx_workers *workers = worker->workers;
  if (!tmx_store_is_member(workers->store)) return false;
  if (worker->machine && worker->machine->registered)
    return worker->machine->owner >= 0 &&
           worker->machine->owner == tmx_authority_member_index(workers->authority);
  const char *owner = tmx_machine_owner(workers->replica, worker->id);
  return owner && !strcmp(owner, workers->settings->node_name);
}

uint64_t tmx_worker_token(const struct tmx_worker *worker) {
  return tmx_authority_fencing_token(worker->workers->authority, worker->ownership.token_sequence);
}

bool tmx_worker_has_newer_owner(const struct tmx_worker *worker) {
  return worker->ownership.highest_token > tmx_worker_token(worker);
}

static void raise_token(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  if (ownership->token_sequence == TMX_TOKEN_SEQUENCE_MAX) return;
  ownership->token_sequence++;
  worker->workers->traffic.raised_tokens++;
  if (ownership->token_sequence == TMX_TOKEN_SEQUENCE_MAX)
    tmx_log(TMX_LOG_INFO, "worker: %s: last token of the term, starts are sent in responses only",
            worker->id);
}

/* Commands of the former owner may still be in flight. Until the worker has seen a token of the new
 * owner, the absence of an attempt proves nothing (test_fencing:
 * late_commands_of_the_former_owner_are_fenced). The end of a session proves nothing either,
 * because the new owner does not know for which session those commands were sent. */
static void become_owner(struct tmx_worker *worker, uint64_t term) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  /* The term is the same if the replica was cleared and read again. A heartbeat response with
   * starts may then be in flight with the same token that the worker has seen, so a higher token is
   * needed (test_leader_change: a_replica_reload_in_the_same_view_raises_the_token). */
  if (term == ownership->as_of_term) raise_token(worker);
  ownership->required_token = tmx_worker_token(worker);
  /* An earlier record of this worker may have sent starts with this token (test_late_commands:
   * a_new_worker_record_voids_the_starts_of_the_earlier_one). */
  ownership->direct_start_token = ownership->required_token;
  ownership->report_may_predate_ownership = true;
  ownership->required_since = tmx_clock_steady();
  ownership->required_session = UINT64_MAX;
  worker->commands.starts_unconfirmed = false;
  worker->commands.is_unanswered = false;
  ownership->since = tmx_clock_steady();
  worker->probing.consecutive_lost = 0;
}

/* All tokens of a new term are above those of the terms before it, so that it begins with the first
 * of its sequence numbers (test_late_commands: a_new_term_begins_with_its_first_token). */
static void update_token_term(struct tmx_worker_ownership *ownership, uint64_t term) {
  if (term <= ownership->token_term) return;
  ownership->token_term = term;
  ownership->token_sequence = 0;
}

bool tmx_worker_update_ownership(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  bool is_owner = is_owner_by_view(worker);
  uint64_t term = worker->workers->replica->view.term;
  update_token_term(ownership, term);
  /* A missed view may have given the machine to another controller, and a later one back. */
  bool views_were_missed = term > ownership->as_of_term + 1;
  if (is_owner && (!ownership->is_owner || views_were_missed)) become_owner(worker, term);
  ownership->is_owner = is_owner;
  ownership->as_of_term = term;
  return is_owner;
}

/* The command may still be executed minutes later. Until the worker has seen a higher token or
 * started a later session, the absence of an attempt therefore proves nothing (test_task_lifecycle:
 * an_unanswered_command_raises_the_token). required_session is set to the latest session each time:
 * if an earlier unanswered command was sent for an earlier session, the end of that session does
 * not void this command (test_late_messages: a_session_end_does_not_void_a_later_command). While
 * reports may predate the ownership, required_session stays UINT64_MAX. */
void tmx_worker_fence_unanswered_command(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  if (tmx_worker_acknowledges_owner(worker)) ownership->required_since = tmx_clock_steady();
  worker->commands.is_unanswered = true;
  raise_token(worker);
  ownership->required_token = tmx_worker_token(worker);
  if (!ownership->report_may_predate_ownership)
    ownership->required_session = worker->report.session;
}

/* No token of this term is above the last one. Direct commands with that token therefore start
 * nothing: no copy of them has to be voided (test_late_commands:
 * the_last_token_of_a_term_starts_nothing_directly). */
bool tmx_worker_may_start_directly(const struct tmx_worker *worker) {
  return worker->ownership.token_sequence < TMX_TOKEN_SEQUENCE_MAX;
}

void tmx_worker_record_direct_starts(struct tmx_worker *worker) {
  worker->ownership.direct_start_token = tmx_worker_token(worker);
}

/* A copy of a direct command may arrive at any time after the command was executed, and is executed
 * too if the worker has seen no higher token in that session. While the worker holds an attempt, a
 * copy of its start has no effect; once it has forgotten the attempt, the copy would start it again
 * (test_late_commands: a_late_copy_starts_no_attempt_of_a_task_that_runs_elsewhere). Starts in
 * heartbeat responses need no higher token, since a worker drops a response after 4 s and sends the
 * next heartbeat only then. */
void tmx_worker_fence_forgotten_attempts(struct tmx_worker *worker) {
  if (worker->ownership.direct_start_token == tmx_worker_token(worker)) raise_token(worker);
}

/* If the worker shows a token of the current view that is above the current token, this owner's
 * record of the machine was freed and created again. Only this owner issues tokens of this view for
 * the machine, so its sequence continues from the token shown. Otherwise the worker would seem to
 * have a newer owner and be redirected until the view changes. */
static void adopt_token_sequence(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  uint64_t first = tmx_authority_fencing_token(worker->workers->authority, 0);
  if (!ownership->is_owner || !tmx_worker_has_newer_owner(worker) ||
      ownership->highest_token - first > TMX_TOKEN_SEQUENCE_MAX)
    return;
  ownership->token_sequence = (uint32_t)(ownership->highest_token - first);
  raise_token(worker);
  ownership->required_token = tmx_worker_token(worker);
}

static bool required_token_was_seen(const struct tmx_worker_ownership *ownership) {
  return ownership->highest_token >= ownership->required_token;
}

/* Returns whether commands with a token below the required one can no longer be executed. */
static bool earlier_commands_are_void(const struct tmx_worker *worker) {
  return required_token_was_seen(&worker->ownership) ||
         worker->report.session > worker->ownership.required_session;
}

void tmx_worker_record_token(struct tmx_worker *worker, uint64_t highest_token, double now) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  if (highest_token > ownership->highest_token) {
    ownership->highest_token = highest_token;
    if (ownership->is_owner && required_token_was_seen(ownership))
      worker->liveness.acknowledged_at = now;
    adopt_token_sequence(worker);
  }
  /* The token of this report counts, not the highest token seen. adopt_token_sequence() may just
   * have raised required_token. */
  if (ownership->is_owner && highest_token >= ownership->required_token)
    ownership->report_may_predate_ownership = false;
  if (worker->commands.is_unanswered && earlier_commands_are_void(worker))
    worker->commands.is_unanswered = false;
}

bool tmx_worker_acknowledges_owner(const struct tmx_worker *worker) {
  return required_token_was_seen(&worker->ownership) && !worker->commands.is_unanswered;
}

/* An attempt that is missing from the report may still be started in two ways: by a command with a
 * token below the required one (test_fencing: late_commands_of_the_former_owner_are_fenced), or by
 * a start that this owner has sent in a direct command or a heartbeat response and that is still in
 * flight (test_late_messages: a_probe_that_overtakes_a_response_ends_no_attempt). */
bool tmx_worker_absence_proves_end(const struct tmx_worker *worker) {
  return earlier_commands_are_void(worker) && !worker->commands.in_flight &&
         !worker->commands.is_unanswered && !worker->commands.starts_unconfirmed;
}

/* A new owner cannot distinguish a late copy of a report from a new report, even if the copy is of
 * an earlier session. The worker may have forgotten the attempt with that session and started it
 * again (test_late_messages: a_late_report_of_an_earlier_session_ends_no_attempt). Only a completed
 * attempt stays completed, because the worker keeps its result. */
bool tmx_worker_end_is_proven(const struct tmx_worker *worker, char end_reason) {
  return end_reason == TMX_END_DONE || !worker->ownership.report_may_predate_ownership;
}
