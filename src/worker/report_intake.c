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

/* The fields of a report; its tasks are not parsed yet. */
struct parsed_report {
  struct tmx_machine_description description;
  uint64_t session;
  uint64_t sequence;
  uint64_t highest_token;
  bool spot_notice;
  const cbor_item_t *tasks; /* owned by the message; NULL: none */
};

/* Gets a text that is not empty and contains no white space. Descriptions of machines are written
 * to lines of the log, whose fields are separated by blanks. */
static bool get_text_without_blanks(const cbor_item_t *map, const char *key, char *word,
                                    size_t size) {
  return tmx_cbor_get_text(map, key, word, size) && word[0] && !strpbrk(word, " \t\n");
}

static bool parse_report(const cbor_item_t *map, struct parsed_report *report) {
  struct tmx_machine_description *description = &report->description;
  double notice_s = -1;
  memset(report, 0, sizeof *report);
  report->tasks = tmx_cbor_get(map, W_TASKS);
  if (!get_text_without_blanks(map, W_MACHINE, description->id, sizeof description->id) ||
      !get_text_without_blanks(map, W_ADDR, description->addr, sizeof description->addr) ||
      !get_text_without_blanks(map, W_TYPE, description->type, sizeof description->type) ||
      !get_text_without_blanks(map, W_ZONE, description->zone, sizeof description->zone) ||
      !tmx_cbor_get_u64(map, W_SESSION, &report->session) ||
      !tmx_cbor_get_u64(map, W_SEQUENCE, &report->sequence) ||
      (report->tasks && !cbor_isa_array(report->tasks)))
    return false;
  tmx_cbor_get_bool(map, W_SPOT, &description->spot);
  tmx_cbor_get_u64(map, W_TOKEN, &report->highest_token);
  tmx_cbor_get_number(map, W_SPOT_NOTICE, &notice_s);
  report->spot_notice = notice_s >= 0;
  return true;
}

static char parse_end_reason(const char *reason) {
  if (!strcmp(reason, WV_DONE)) return TMX_END_DONE;
  if (!strcmp(reason, WV_STOPPED)) return TMX_END_STOPPED;
  if (!strcmp(reason, WV_ERROR)) return TMX_END_ERROR;
  return TMX_END_REFUSED;
}

static enum tmx_reported_state parse_state(const char *state) {
  if (!strcmp(state, WV_EXITED)) return TMX_REPORTED_EXITED;
  if (!strcmp(state, WV_FETCHING)) return TMX_REPORTED_FETCHING;
  if (!strcmp(state, WV_SAVING)) return TMX_REPORTED_SAVING;
  return TMX_REPORTED_RUNNING;
}

static bool parse_reported_task(const cbor_item_t *map, struct tmx_reported_task *reported) {
  char task[TMX_ID_BYTES + 16], state[16], reason[16] = "";
  uint64_t attempt;
  if (!tmx_cbor_get_text(map, W_TASK, task, sizeof task) ||
      !tmx_cbor_get_u64(map, W_ATTEMPT, &attempt) ||
      !tmx_cbor_get_text(map, W_STATE, state, sizeof state) ||
      !tmx_task_parse(task, reported->job, sizeof reported->job, &reported->task) ||
      attempt > UINT32_MAX)
    return false;
  reported->attempt = (uint32_t)attempt;
  reported->state = parse_state(state);
  tmx_cbor_get_text(map, W_REASON, reason, sizeof reason);
  if (reported->state == TMX_REPORTED_EXITED) reported->end_reason = parse_end_reason(reason);
  return true;
}

/* Returns an array that the caller owns; NULL if any of the tasks is malformed. */
static struct tmx_reported_task *parse_reported_tasks(const cbor_item_t *list, size_t *count) {
  *count = tmx_cbor_array_length(list);
  struct tmx_reported_task *tasks = tmx_allocate(*count + 1, sizeof *tasks);
  for (size_t i = 0; i < *count; i++) {
    if (parse_reported_task(tmx_cbor_array_at(list, i), &tasks[i])) continue;
    free(tasks);
    return NULL;
  }
  return tasks;
}

/* A report that is not newer is a late copy (test_fencing:
 * a_worker_that_lost_its_lease_starts_a_new_session), or was overtaken by a later report. */
static bool is_newer(const struct parsed_report *report, const struct tmx_worker *worker) {
  const struct tmx_worker_report *latest = &worker->report;
  return report->session > latest->session ||
         (report->session == latest->session && report->sequence > latest->sequence);
}

static void record_sign_of_life(struct tmx_worker *worker, enum tmx_report_source source,
                                double now) {
  struct tmx_worker_liveness *liveness = &worker->liveness;
  switch (source) {
    case TMX_REPORT_FROM_HEARTBEAT:
      liveness->heartbeat_at = worker->workers->last_heartbeat_at = now;
      /* A new heartbeat proves that the response to the previous one was executed or dropped. The
       * response to a probe does not, since it may overtake a heartbeat response in flight
       * (test_late_messages: a_probe_that_overtakes_a_response_ends_no_attempt). */
      worker->commands.starts_unconfirmed = false;
      break;
    case TMX_REPORT_FROM_RESPONSE:
      liveness->acknowledged_at = now;
      break;
  }
}

static void update_spot_notice(struct tmx_worker *worker, bool spot_notice) {
  if (spot_notice == worker->report.spot_notice) return;
  worker->report.spot_notice = spot_notice;
  tmx_log(TMX_LOG_INFO, "worker: %s: spot interruption notice %s", worker->id,
          spot_notice ? "given" : "withdrawn");
  tmx_scheduler_trigger(worker->workers->scheduler);
}

static void replace_tasks(struct tmx_worker *worker, struct tmx_reported_task *tasks,
                          size_t count) {
  struct tmx_workers *workers = worker->workers;
  free(worker->report.tasks);
  worker->report.tasks = tasks;
  worker->report.n_tasks = count;
  if (!++workers->report_counter) workers->report_counter = 1; /* 0 means no report */
  worker->report.number = workers->report_counter;
}

static void apply_report(struct tmx_worker *worker, const struct parsed_report *parsed,
                         enum tmx_report_source source) {
  struct tmx_workers *workers = worker->workers;
  struct tmx_worker_liveness *liveness = &worker->liveness;
  double now = tmx_clock_steady();
  if (now - fmax(liveness->heartbeat_at, liveness->acknowledged_at) >
      tmx_heartbeat_timeout(workers->settings))
    liveness->recovered_at = now;
  worker->report.session = parsed->session;
  worker->report.sequence = parsed->sequence;
  worker->report.description = parsed->description;
  tmx_worker_record_token(worker, parsed->highest_token, now);
  record_sign_of_life(worker, source, now);
  update_spot_notice(worker, parsed->spot_notice);
}

struct tmx_report_ingest tmx_workers_ingest_report(struct tmx_workers *workers,
                                                   const cbor_item_t *map,
                                                   enum tmx_report_source source) {
  struct tmx_report_ingest ingest = {.status = TMX_INGEST_REJECTED};
  struct parsed_report parsed;
  if (!parse_report(map, &parsed)) return ingest;
  ingest.session = parsed.session;
  /* A late report must not register a removed machine again (test_machine_failure:
   * a_late_report_does_not_bring_a_removed_machine_back). */
  if (tmx_machine_was_removed(workers->replica, parsed.description.id)) {
    ingest.status = TMX_INGEST_MACHINE_REMOVED;
    return ingest;
  }
  struct tmx_worker *worker = tmx_worker_find_or_create(workers, parsed.description.id);
  if (!worker) return ingest;
  if (!is_newer(&parsed, worker)) {
    ingest.status = TMX_INGEST_STALE;
    ingest.worker = worker;
    return ingest;
  }
  size_t n_tasks;
  struct tmx_reported_task *tasks = parse_reported_tasks(parsed.tasks, &n_tasks);
  if (!tasks) return ingest;
  ingest.status = TMX_INGEST_ACCEPTED;
  ingest.worker = worker;
  apply_report(worker, &parsed, source);
  replace_tasks(worker, tasks, n_tasks);
  if (worker->machine && worker->machine->registered) {
    tmx_worker_process_report(worker);
  } else {
    workers->unregistered_seen_at = tmx_clock_steady();
    tmx_scheduler_trigger(workers->scheduler);
  }
  return ingest;
}

bool tmx_worker_ingest_response(struct tmx_worker *worker, const uint8_t *body, size_t length) {
  cbor_item_t *map = tmx_cbor_parse(body, length);
  if (!map) return false;
  struct tmx_report_ingest ingest =
      tmx_workers_ingest_report(worker->workers, map, TMX_REPORT_FROM_RESPONSE);
  tmx_cbor_free(map);
  if (ingest.worker != worker) return false;
  worker->liveness.acknowledged_at = tmx_clock_steady();
  return true;
}
