#include "worker/fencing.h"

#include <string.h>

#include "base/clock.h"

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

static void raise_token(struct tmx_worker_ownership *ownership) {
  if (ownership->token_sequence < TMX_TOKEN_SEQUENCE_MAX) ownership->token_sequence++;
}

/* Commands of the owner before may still be under way: until the worker has seen a token of this
 * owner, absence proves nothing (test_fencing: late_commands_of_the_former_owner_are_fenced). That
 * a session is over proves nothing either to a successor, which does not know for which session
 * those commands were. */
static void become_owner(struct tmx_worker *worker, uint64_t term) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  /* By the same view as before, when the copy of the state was read anew: an answer with starts may
   * be under way with the very token that the worker has seen (test_leader_change:
   * tokens_stay_valid_when_the_same_view_is_read_again). */
  if (term == ownership->as_of_term) raise_token(ownership);
  ownership->required_token = tmx_worker_token(worker);
  ownership->is_inherited = true;
  ownership->required_since = tmx_clock_steady();
  ownership->required_session = UINT64_MAX;
  worker->commands.starts_unconfirmed = false;
  worker->commands.is_unanswered = false;
  ownership->since = tmx_clock_steady();
  worker->probing.lost = 0;
}

bool tmx_worker_update_ownership(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  bool is_owner = is_owner_by_view(worker);
  uint64_t term = worker->workers->replica->view.term;
  /* A view that was not seen may have given the machine to another controller and back. */
  bool views_were_missed = term > ownership->as_of_term + 1;
  if (is_owner && (!ownership->is_owner || views_were_missed)) become_owner(worker, term);
  ownership->is_owner = is_owner;
  ownership->as_of_term = term;
  return is_owner;
}

/* The command may still be executed, minutes later: a higher token goes out first
 * (test_task_lifecycle: an_unanswered_command_raises_the_token). The session is the latest one: an
 * earlier command may have been for an earlier session, and the end of that one says nothing of
 * this one (test_late_messages: a_late_command_of_a_later_session_proves_no_end). */
void tmx_worker_fence_unanswered_command(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  if (tmx_worker_is_acknowledged(worker)) ownership->required_since = tmx_clock_steady();
  worker->commands.is_unanswered = true;
  raise_token(ownership);
  ownership->required_token = tmx_worker_token(worker);
  if (!ownership->is_inherited) ownership->required_session = worker->report.session;
}

/* A token of the present view that is above the current one: this owner's record of the machine was
 * dropped and made again. Nobody else gives tokens of this view for the machine, so it goes on from
 * there; else it would send the worker away for as long as the view stands. */
static void adopt_token_sequence(struct tmx_worker *worker) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  uint64_t first = tmx_authority_fencing_token(worker->workers->authority, 0);
  if (!ownership->is_owner || !tmx_worker_has_newer_owner(worker) ||
      ownership->highest_token - first > TMX_TOKEN_SEQUENCE_MAX)
    return;
  ownership->token_sequence = (uint32_t)(ownership->highest_token - first);
  raise_token(ownership);
  ownership->required_token = tmx_worker_token(worker);
}

static bool required_token_was_seen(const struct tmx_worker_ownership *ownership) {
  return ownership->highest_token >= ownership->required_token;
}

/* Commands from before the required token can no longer be executed. */
static bool earlier_commands_are_void(const struct tmx_worker *worker) {
  return required_token_was_seen(&worker->ownership) ||
         worker->report.session > worker->ownership.required_session;
}

void tmx_worker_take_token(struct tmx_worker *worker, uint64_t highest_token, double now) {
  struct tmx_worker_ownership *ownership = &worker->ownership;
  if (highest_token > ownership->highest_token) {
    ownership->highest_token = highest_token;
    if (ownership->is_owner && required_token_was_seen(ownership))
      worker->liveness.acknowledged_at = now;
    adopt_token_sequence(worker);
  }
  /* What counts is the token of this very report, and what is required now. */
  if (ownership->is_owner && highest_token >= ownership->required_token)
    ownership->is_inherited = false;
  if (worker->commands.is_unanswered && earlier_commands_are_void(worker))
    worker->commands.is_unanswered = false;
}

bool tmx_worker_is_acknowledged(const struct tmx_worker *worker) {
  return required_token_was_seen(&worker->ownership) && !worker->commands.is_unanswered;
}

/* Besides commands from before the required token (test_fencing:
 * late_commands_of_the_former_owner_are_fenced), a start of this owner may be on its way to the
 * worker: by a direct command, or in an answer to a heartbeat (test_late_messages:
 * a_probe_that_overtakes_an_answer_changes_nothing). */
bool tmx_worker_absence_proves_end(const struct tmx_worker *worker) {
  return earlier_commands_are_void(worker) && !worker->commands.in_flight &&
         !worker->commands.is_unanswered && !worker->commands.starts_unconfirmed;
}

/* To a successor any copy of a report looks new, also one of an earlier session: the attempt may
 * have been forgotten with that session, and started once more (test_late_messages:
 * a_late_report_of_an_earlier_session_proves_no_end). Only a result stays what it is, since the
 * worker keeps it. */
bool tmx_worker_end_is_proven(const struct tmx_worker *worker, char end_reason) {
  return end_reason == TMX_END_DONE || !worker->ownership.is_inherited;
}
