/* Folding: the leader writes the machines and the tasks of every job that is not over into pages,
 * and then a mark: batches up to it no longer count, and their keys are used again. Each page is
 * written on the condition that head is what the replica saw, so it is exactly the state at its own
 * version; whoever loads keys applies them in order of version and finds the page's word standing.
 * It is housekeeping: it runs only while puts are to spare. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store/compaction.h"
#include "base/log.h"
#include "base/clock.h"
#include "base/memory.h"

enum {
  COMPACTION_IDLE,
  COMPACTION_WRITING_PAGES,
  COMPACTION_MOVING_POINT,
  COMPACTION_DELETING_PAGES
};
struct tmx_compaction {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  size_t key_threshold;
  int step;
  bool transaction_in_flight;
  double checked_at;
  uint64_t compaction_point,
      compaction_version; /* batches up to this version go; version of the mark that stands */
  unsigned page;
  char (*machines)[TMX_ID_MAX], (*jobs)[TMX_ID_MAX]; /* to be written */
  size_t n_machines, n_jobs;
  struct place { /* what comes next, and what comes after the pages under way */
    size_t machine, job;
    uint32_t task;
    bool recorded;   /* the job's record is written ... */
    uint32_t awaits; /* ... and of the ids that it names, so many ... */
    size_t types;    /* ... and of the machine types that it allows */
  } at, sent;
};

struct tmx_compaction *tmx_compaction_new(const struct tmx_settings *settings,
                                          struct tmx_replica *replica, struct tmx_store *store) {
  struct tmx_compaction *compaction = tmx_allocate(1, sizeof *compaction);
  compaction->settings = settings;
  compaction->replica = replica;
  compaction->store = store;
  compaction->key_threshold = TMX_COMPACTION_KEYS;
  return compaction;
}
void tmx_compaction_free(struct tmx_compaction *compaction) {
  free(compaction->machines);
  free(compaction->jobs);
  free(compaction);
}
void tmx_compaction_set_threshold(struct tmx_compaction *compaction, size_t keys) {
  compaction->key_threshold = keys;
}

/* Jobs that are over need no page, unless their end was derived and nothing else tells of them. */
static bool is_compacted(const struct tmx_job *job) {
  return job->tasks || (job->outcome && !job->outcome_stored);
}

static void begin_compaction(struct tmx_compaction *compaction) {
  struct tmx_replica *replica = compaction->replica;
  struct tmx_job *job, *next_job;
  struct tmx_machine *machine, *next_machine;
  free(compaction->machines);
  free(compaction->jobs);
  compaction->machines = calloc(HASH_COUNT(replica->machines) + 1, sizeof *compaction->machines);
  compaction->jobs = calloc(HASH_COUNT(replica->jobs) + 1, sizeof *compaction->jobs);
  if (!compaction->machines || !compaction->jobs) abort();
  compaction->n_machines = compaction->n_jobs = 0;
  HASH_ITER(hh, replica->machines, machine, next_machine)
  memcpy(compaction->machines[compaction->n_machines++], machine->id, TMX_ID_MAX);
  HASH_ITER(hh, replica->jobs, job, next_job)
  if (is_compacted(job)) memcpy(compaction->jobs[compaction->n_jobs++], job->id, TMX_ID_MAX);
  memset(&compaction->at, 0, sizeof compaction->at);
  compaction->compaction_point = replica->revision;
  compaction->compaction_version = replica->compaction_version;
  compaction->page = 0;
  compaction->step = COMPACTION_WRITING_PAGES;
}

static void next_job(struct place *position) {
  position->job++;
  position->task = position->awaits = 0;
  position->types = 0;
  position->recorded = false;
}

/* A record that was accepted under larger limits may exceed the present ones: types that have no
 * room in it follow in lines. */
static void write_record(const struct tmx_compaction *compaction, struct place *position,
                         const struct tmx_job *j, struct tmx_buffer *job) {
  size_t room = tmx_value_room(compaction->settings);
  struct tmx_job_spec part = j->spec;
  part.n_types =
      tmx_job_types_within(j->id, &j->spec, j->submitted_at, &j->dependencies.named, room);
  position->awaits =
      tmx_job_encode_open(job, j->id, &part, j->submitted_at, &j->dependencies.named, room);
  position->types = part.n_types;
  position->recorded = true;
}

/* What comes next in the pages, a line or an encoded job; false: nothing. */
static bool next_line(struct tmx_compaction *compaction, struct place *position, char *line,
                      size_t cap, struct tmx_buffer *job) {
  struct tmx_replica *replica = compaction->replica;
  for (; position->machine < compaction->n_machines; position->machine++) {
    const struct tmx_machine *machine =
        tmx_machine_find(replica, compaction->machines[position->machine]);
    if (!machine || !machine->registered) continue;
    tmx_machine_print(line, cap, replica, machine);
    position->machine++;
    return true;
  }
  for (; position->job < compaction->n_jobs; next_job(position)) {
    const struct tmx_job *j = tmx_job_find(replica, compaction->jobs[position->job]);
    if (!j || !is_compacted(j)) continue;
    if (!position->recorded) {
      write_record(compaction, position, j, job);
      return true;
    }
    if (position->types < j->spec.n_types) {
      tmx_type_print(line, cap, j->id, j->spec.types[position->types++]);
      return true;
    }
    if (position->awaits < j->dependencies.named.count) {
      tmx_dependency_line_print(line, cap, j->id, &j->dependencies.named, &position->awaits);
      return true;
    }
    while (j->tasks && position->task < j->spec.tasks) {
      int len;
      position->task += tmx_task_run_print(line, cap, j, position->task, &len);
      if (len) return true;
    }
  }
  return false;
}

static void on_pages(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_compaction *compaction = arg;
  (void)revision;
  compaction->transaction_in_flight = false;
  if (result == TMX_TRANSACTION_COMMITTED) compaction->at = compaction->sent;
}

static void write_pages(struct tmx_compaction *compaction) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer list = {0}, jobs = {0}, one = {0}, value = {0};
  size_t max = tmx_value_room(compaction->settings), n = 0, n_jobs = 0, len = 0, all = 0;
  int puts = (int)tmx_store_write_budget(compaction->store);
  char line[TMX_LINE_MAX], key[TMX_KEY_MAX + 1];
  struct place position = compaction->at;
  if (puts > compaction->settings->txn_ops) puts = compaction->settings->txn_ops;
  bool more = true;
  tmx_transaction_require_version(&transaction, TMX_KEY_HEAD, compaction->replica->head_version);
  while (more && transaction.n_operations < puts &&
         all + max + TMX_JSON_FRAME < TMX_TRANSACTION_BYTES) {
    list.length = jobs.length = n = n_jobs = len = 0;
    for (;;) {
      struct place before = position;
      one.length = 0;
      more = next_line(compaction, &position, line, sizeof line, &one);
      if (!more) break;
      size_t next =
          one.length ? tmx_json_length(&one) : tmx_json_text_length(line, strlen(line)) + 1;
      if (len + next > max) {
        position = before; /* it begins the next page */
        break;
      }
      len += next;
      if (one.length) {
        tmx_buffer_append(&jobs, one.data, one.length);
        n_jobs++;
      } else {
        tmx_cbor_put_text(&list, line);
        n++;
      }
    }
    if (!n && !n_jobs) break;
    all += len + TMX_JSON_FRAME;
    value.length = 0;
    tmx_log_value_encode(&value, &jobs, n_jobs, &list, n);
    snprintf(key, sizeof key, TMX_KEY_PAGE "%016llx/%05u",
             (unsigned long long)compaction->compaction_point, compaction->page++);
    tmx_transaction_put(&transaction, key, &value, 0);
  }
  compaction->sent = position;
  tmx_buffer_free(&list);
  tmx_buffer_free(&jobs);
  tmx_buffer_free(&one);
  tmx_buffer_free(&value);
  if (transaction.n_operations) {
    compaction->transaction_in_flight =
        tmx_store_commit(compaction->store, &transaction, true, on_pages, compaction);
    return;
  }
  tmx_buffer_free(&transaction.conditions);
  tmx_buffer_free(&transaction.operations);
  if (!more) {
    compaction->step = COMPACTION_MOVING_POINT;
  } else if (puts > 0 && all == 0) {
    tmx_log(TMX_LOG_ERROR, "fold: given up, %s exceeds a value", compaction->jobs[position.job]);
    compaction->step = COMPACTION_IDLE;
  }
}

static void on_mark(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_compaction *compaction = arg;
  (void)revision;
  compaction->transaction_in_flight = false;
  /* another leader's mark, or an answer that does not tell: the next fold begins anew */
  compaction->step =
      result == TMX_TRANSACTION_COMMITTED ? COMPACTION_DELETING_PAGES : COMPACTION_IDLE;
}

static void write_mark(struct tmx_compaction *compaction) {
  struct tmx_transaction transaction = {0};
  struct tmx_buffer value = {0};
  tmx_transaction_require_version(&transaction, TMX_KEY_COMPACTION, compaction->compaction_version);
  tmx_cbor_put_map(&value, 2);
  tmx_cbor_put_u64_field(&value, "mark", compaction->compaction_point);
  tmx_cbor_put_u64_field(&value, "gen", compaction->compaction_point);
  tmx_transaction_put(&transaction, TMX_KEY_COMPACTION, &value, 0);
  tmx_buffer_free(&value);
  compaction->transaction_in_flight =
      tmx_store_commit(compaction->store, &transaction, true, on_mark, compaction);
}

static void on_drops(void *arg, enum tmx_transaction_result result, uint64_t revision) {
  struct tmx_compaction *compaction = arg;
  (void)result;
  (void)revision;
  compaction->transaction_in_flight = false;
}

/* Drops the pages of other folds; false: nothing is left to drop. */
static bool drop_some(struct tmx_compaction *compaction) {
  struct tmx_transaction transaction = {0};
  struct tmx_log_key *key, *next_key;
  int max = (int)tmx_store_write_budget(compaction->store);
  if (max > compaction->settings->txn_ops) max = compaction->settings->txn_ops;
  /* on the condition that the mark still stands: these pages might else be the newer ones */
  tmx_transaction_require_version(&transaction, TMX_KEY_COMPACTION,
                                  compaction->replica->compaction_version);
  HASH_ITER(hh, compaction->replica->page_keys, key, next_key) {
    unsigned long long gen;
    if (transaction.n_operations >= max ||
        sscanf(key->key + strlen(TMX_KEY_PAGE), "%llx", &gen) != 1)
      continue;
    if (gen != compaction->replica->compaction_generation)
      tmx_transaction_delete(&transaction, key->key);
  }
  if (!transaction.n_operations) {
    tmx_buffer_free(&transaction.conditions);
    return false;
  }
  compaction->transaction_in_flight =
      tmx_store_commit(compaction->store, &transaction, true, on_drops, compaction);
  return true;
}

void tmx_compaction_tick(struct tmx_compaction *compaction) {
  double now = tmx_clock_steady();
  if (compaction->transaction_in_flight) return;
  if (!tmx_store_is_leader(compaction->store) || !compaction->replica->loaded) {
    compaction->step = COMPACTION_IDLE;
    return;
  }
  if (!tmx_store_has_housekeeping_budget(compaction->store)) return;
  if (compaction->step == COMPACTION_IDLE) {
    if (now - compaction->checked_at < 1) return;
    compaction->checked_at = now;
    struct tmx_log_key *key, *next_key;
    size_t n = 0;
    HASH_ITER(hh, compaction->replica->batch_keys, key, next_key)
    n += key->version > compaction->replica->compaction_point;
    if (n <= compaction->key_threshold) return;
    begin_compaction(compaction);
    tmx_log(TMX_LOG_INFO, "fold: %zu machines, %zu jobs, %zu batches", compaction->n_machines,
            compaction->n_jobs, n);
  }
  if (compaction->step == COMPACTION_WRITING_PAGES)
    write_pages(compaction);
  else if (compaction->step == COMPACTION_MOVING_POINT)
    write_mark(compaction);
  else if (compaction->replica->compaction_generation == compaction->compaction_point &&
           !drop_some(compaction))
    compaction->step = COMPACTION_IDLE;
}
