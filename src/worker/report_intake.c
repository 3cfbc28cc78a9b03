#include "worker/report_intake.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "tmx/wire.h"
#include "worker/fencing.h"
#include "worker/machine_health.h"
#include "worker/reconciliation.h"
#include "worker/worker_table.h"

/* A report as it was sent, but for its tasks. */
struct parsed_report {
  struct tmx_machine_description facts;
  uint64_t session;
  uint64_t sequence;
  uint64_t highest_token;
  bool spot_notice;
  const cbor_item_t *tasks; /* belongs to the message; NULL: none */
};

/* The facts are written into records of the log, where blanks separate words. */
static bool get_word(const cbor_item_t *map, const char *key, char *word, size_t size) {
  return tmx_cbor_get_text(map, key, word, size) && word[0] && !strpbrk(word, " \t\n");
}

static bool parse_report(const cbor_item_t *map, struct parsed_report *report) {
  struct tmx_machine_description *facts = &report->facts;
  double notice_s = -1;
  memset(report, 0, sizeof *report);
  report->tasks = tmx_cbor_get(map, W_TASKS);
  if (!get_word(map, W_MACHINE, facts->id, sizeof facts->id) ||
      !get_word(map, W_ADDR, facts->addr, sizeof facts->addr) ||
      !get_word(map, W_TYPE, facts->type, sizeof facts->type) ||
      !get_word(map, W_ZONE, facts->zone, sizeof facts->zone) ||
      !tmx_cbor_get_u64(map, W_SESSION, &report->session) ||
      !tmx_cbor_get_u64(map, W_SEQUENCE, &report->sequence) ||
      (report->tasks && !cbor_isa_array(report->tasks)))
    return false;
  tmx_cbor_get_bool(map, W_SPOT, &facts->spot);
  tmx_cbor_get_u64(map, W_TOKEN, &report->highest_token);
  tmx_cbor_get_number(map, W_SPOT_NOTICE, &notice_s);
  report->spot_notice = notice_s >= 0;
  return true;
}

static char parse_end_reason(const char *why) {
  if (!strcmp(why, WV_DONE)) return TMX_END_DONE;
  if (!strcmp(why, WV_STOPPED)) return TMX_END_STOPPED;
  if (!strcmp(why, WV_ERROR)) return TMX_END_ERROR;
  return TMX_END_REFUSED;
}

static enum tmx_reported_state parse_state(const char *state) {
  if (!strcmp(state, WV_EXITED)) return TMX_REPORTED_EXITED;
  if (!strcmp(state, WV_FETCHING)) return TMX_REPORTED_FETCHING;
  if (!strcmp(state, WV_SAVING)) return TMX_REPORTED_SAVING;
  return TMX_REPORTED_RUNNING;
}

static bool parse_reported_task(const cbor_item_t *map, struct tmx_reported_task *reported) {
  char task[TMX_ID_BYTES + 16], state[16], why[16] = "";
  uint64_t attempt;
  if (!tmx_cbor_get_text(map, W_TASK, task, sizeof task) ||
      !tmx_cbor_get_u64(map, W_ATTEMPT, &attempt) ||
      !tmx_cbor_get_text(map, W_STATE, state, sizeof state) ||
      !tmx_task_parse(task, reported->job, sizeof reported->job, &reported->task) ||
      attempt > UINT32_MAX)
    return false;
  reported->attempt = (uint32_t)attempt;
  reported->state = parse_state(state);
  tmx_cbor_get_text(map, W_REASON, why, sizeof why);
  if (reported->state == TMX_REPORTED_EXITED) reported->end_reason = parse_end_reason(why);
  return true;
}

/* The caller owns what is returned; NULL: one of them is malformed. */
static struct tmx_reported_task *parse_reported_tasks(const cbor_item_t *list, size_t *count) {
  *count = tmx_cbor_list_length(list);
  struct tmx_reported_task *tasks = tmx_allocate(*count + 1, sizeof *tasks);
  for (size_t i = 0; i < *count; i++) {
    if (parse_reported_task(tmx_cbor_list_at(list, i), &tasks[i])) continue;
    free(tasks);
    return NULL;
  }
  return tasks;
}

/* What is not newer is a late copy (test_fencing:
 * a_worker_that_lost_its_lease_starts_a_new_session), or a report that another one has overtaken.
 */
static bool is_newer(const struct parsed_report *report, const struct tmx_worker *worker) {
  const struct tmx_worker_report *latest = &worker->report;
  return report->session > latest->session ||
         (report->session == latest->session && report->sequence > latest->sequence);
}

static void note_sign_of_life(struct tmx_worker *worker, enum tmx_report_source source,
                              double now) {
  struct tmx_worker_liveness *liveness = &worker->liveness;
  switch (source) {
    case TMX_REPORT_FROM_HEARTBEAT:
      liveness->heartbeat_at = worker->workers->last_heartbeat_at = now;
      /* Only the next heartbeat tells that the answer to the one before was executed or dropped: a
       * probe may overtake an answer that is still on its way (test_late_messages:
       * a_probe_that_overtakes_an_answer_changes_nothing). */
      worker->commands.starts_unconfirmed = false;
      break;
    case TMX_REPORT_FROM_ANSWER:
      liveness->acknowledged_at = now;
      break;
  }
}

static void note_spot_notice(struct tmx_worker *worker, bool spot_notice) {
  if (spot_notice == worker->report.spot_notice) return;
  worker->report.spot_notice = spot_notice;
  tmx_log(TMX_LOG_INFO, "worker: %s notice %s", worker->id, spot_notice ? "given" : "withdrawn");
  tmx_scheduler_trigger(worker->workers->scheduler);
}

static void replace_tasks(struct tmx_worker *worker, struct tmx_reported_task *tasks,
                          size_t count) {
  struct tmx_workers *workers = worker->workers;
  free(worker->report.tasks);
  worker->report.tasks = tasks;
  worker->report.n_tasks = count;
  if (!++workers->report_counter) workers->report_counter = 1; /* 0 stands for no report */
  worker->report.number = workers->report_counter;
}

static void apply_report(struct tmx_worker *worker, const struct parsed_report *parsed,
                         enum tmx_report_source source) {
  struct tmx_workers *workers = worker->workers;
  struct tmx_worker_liveness *liveness = &worker->liveness;
  double now = tmx_clock_steady();
  if (now - fmax(liveness->heartbeat_at, liveness->acknowledged_at) >
      tmx_worker_silence_limit(workers->settings))
    liveness->recovered_at = now;
  worker->report.session = parsed->session;
  worker->report.sequence = parsed->sequence;
  worker->report.facts = parsed->facts;
  tmx_worker_take_token(worker, parsed->highest_token, now);
  note_sign_of_life(worker, source, now);
  note_spot_notice(worker, parsed->spot_notice);
}

struct tmx_intake tmx_workers_take_report(struct tmx_workers *workers, const cbor_item_t *map,
                                          enum tmx_report_source source) {
  struct tmx_intake intake = {.result = TMX_INTAKE_REFUSED};
  struct parsed_report parsed;
  if (!parse_report(map, &parsed)) return intake;
  intake.session = parsed.session;
  /* test_machine_failure: a_late_report_does_not_bring_a_removed_machine_back */
  if (tmx_machine_was_removed(workers->replica, parsed.facts.id)) {
    intake.result = TMX_INTAKE_MACHINE_REMOVED;
    return intake;
  }
  struct tmx_worker *worker = tmx_worker_create(workers, parsed.facts.id);
  if (!worker) return intake;
  if (!is_newer(&parsed, worker)) {
    intake.result = TMX_INTAKE_OLDER;
    intake.worker = worker;
    return intake;
  }
  size_t n_tasks;
  struct tmx_reported_task *tasks = parse_reported_tasks(parsed.tasks, &n_tasks);
  if (!tasks) return intake;
  intake.result = TMX_INTAKE_NEWER;
  intake.worker = worker;
  apply_report(worker, &parsed, source);
  replace_tasks(worker, tasks, n_tasks);
  if (worker->machine && worker->machine->registered) {
    tmx_worker_note_report(worker);
  } else {
    workers->unregistered_seen_at = tmx_clock_steady();
    tmx_scheduler_trigger(workers->scheduler);
  }
  return intake;
}

bool tmx_worker_take_answer(struct tmx_worker *worker, const uint8_t *body, size_t length) {
  cbor_item_t *map = tmx_cbor_parse(body, length);
  if (!map) return false;
  struct tmx_intake intake = tmx_workers_take_report(worker->workers, map, TMX_REPORT_FROM_ANSWER);
  tmx_cbor_free(map);
  if (intake.worker != worker) return false;
  worker->liveness.acknowledged_at = tmx_clock_steady();
  return true;
}
