#include "admission_history.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission_policy.h"
#include "replica/replica.h"

enum { ENTRIES_MAX = 2000, JOBS_MAX = 512, TEAMS = 3, CLASSES = 40 };

/* An entry of the log. */
struct log_entry {
  char key[64];
  struct tmx_buffer value;
};
/* A replica with its admission accounts. */
struct replica_copy {
  struct tmx_replica replica;
  struct tmx_backlog backlog;
};
struct history {
  struct tmx_settings settings;
  struct tmx_resource_rates rates;
  struct log_entry entries[ENTRIES_MAX];
  size_t n_entries;
  struct replica_copy live, /* applies each entry when it is appended */
      followed;             /* loaded midway, applies the later entries at the end */
  unsigned n_jobs;
  double empty_account_load_s; /* load admitted to accounts without open jobs, seconds */
  struct admission_report report;
};

static void open_copy(struct replica_copy *copy, const struct tmx_settings *settings) {
  tmx_replica_init(&copy->replica, settings);
  tmx_backlog_init(&copy->backlog, settings);
  copy->replica.backlog = &copy->backlog;
}

static void read_entry(struct replica_copy *copy, const struct log_entry *entry, size_t index) {
  cbor_item_t *value = tmx_cbor_parse(entry->value.data, entry->value.length);
  tmx_replica_apply(&copy->replica, entry->key, index + 1, value);
  tmx_cbor_free(value);
}

static struct log_entry *append_entry(struct history *h, const char *key) {
  struct log_entry *entry = &h->entries[h->n_entries++];
  snprintf(entry->key, sizeof entry->key, "%s", key);
  return entry;
}

static void apply_last_entry(struct history *h) {
  read_entry(&h->live, &h->entries[h->n_entries - 1], h->n_entries - 1);
}

static void commit_line(struct history *h, const char *line) {
  struct tmx_buffer list = {0};
  char key[64];
  tmx_cbor_put_text(&list, line);
  snprintf(key, sizeof key, TMX_KEY_BATCH "h/%zu", h->n_entries);
  tmx_log_value_encode(&append_entry(h, key)->value, NULL, 0, &list, 1);
  tmx_buffer_free(&list);
  apply_last_entry(h);
}

/* ------------------------------------------------------------ events */

static struct tmx_job_spec make_spec(uint32_t step) {
  struct tmx_job_spec spec = {.cpus = 1 + step % 4, .mem_gb = 1, .priority = TMX_PRIORITY_NORMAL};
  uint32_t class_number = step / 7 % CLASSES;
  spec.tasks = step % 11 ? 1 + step / 13 % 12 : 1 + step % 3000;
  spec.estimate_s = step / 17 % 60;
  spec.deadline_s = -1;
  spec.service = step % 19 == 0;
  snprintf(spec.class, sizeof spec.class, "class-%u", class_number < 20 ? 0 : class_number);
  snprintf(spec.team, sizeof spec.team, "team-%u", step / 5 % 6 < 4 ? 0 : step / 5 % 3);
  strcpy(spec.image, "i");
  return spec;
}

static double backlog_seconds(const struct history *h) {
  return tmx_total_backlog_seconds(&h->live.backlog, &h->rates);
}

static double smallest_reserve(const struct history *h) {
  const struct tmx_admission_settings *admission = &h->settings.operators.admission;
  double class_groups = (double)(h->live.backlog.n_listed + 1);
  return admission->backlog_s * pow(admission->reserve, 3) / TEAMS / class_groups /
         TMX_HASHED_ACCOUNTS;
}

static void decide_submission(struct history *h, const struct tmx_job_spec *spec, const char *id) {
  struct tmx_admission_request request = {
      .team = tmx_team_index(&h->settings, spec->team),
      .account = tmx_backlog_account_index(&h->live.backlog, spec->class),
      .load = tmx_job_load(spec, spec->tasks)};
  struct tmx_admission_decision decision =
      tmx_admission_decide(&h->settings, &h->live.backlog, NULL, &h->rates, &request);
  bool account_is_empty = !h->live.backlog.accounts[request.team][request.account].n_open_jobs;
  double charge = tmx_load_seconds(&request.load, &h->rates);
  h->report.submitted++;
  if (decision.result != TMX_ADMITTED) {
    h->report.refused++;
    h->report.first_submissions_refused += account_is_empty;
    h->report.refused_without_load += backlog_seconds(h) + charge <= smallest_reserve(h);
    return;
  }
  if (account_is_empty) h->empty_account_load_s += charge;
  char key[64];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
  tmx_job_encode(&append_entry(h, key)->value, id, spec, 100, TMX_JOB_OPEN);
  apply_last_entry(h);
  h->n_jobs++;
  double limit = h->settings.operators.admission.backlog_s + h->empty_account_load_s;
  h->report.bound_violations += backlog_seconds(h) > limit + 1e-6;
}

static struct tmx_job *pick_job(struct history *h, uint32_t step) {
  char id[TMX_ID_BYTES];
  if (!h->n_jobs) return NULL;
  snprintf(id, sizeof id, "wk-%06u", step % h->n_jobs);
  return tmx_job_find(&h->live.replica, id);
}

static void place_or_end_task(struct history *h, struct tmx_job *job, uint32_t step) {
  char line[TMX_LOG_LINE_BYTES];
  if (!job || job->outcome || !job->tasks) return;
  uint32_t index = step / 3 % job->spec.tasks;
  const struct tmx_task *task = &job->tasks[index];
  struct tmx_operation op = {
      .kind = TMX_OPERATION_PLACE, .task = index, .attempt = task->attempt + 1};
  if (task->state == TMX_TASK_DONE) return;
  if (task->state == TMX_TASK_PLACED) {
    op.kind = TMX_OPERATION_END;
    op.attempt = task->attempt;
    op.reason = step % 5 && !job->spec.service ? TMX_END_DONE : TMX_END_LOST;
  }
  if (op.reason == TMX_END_DONE && job->n_done + 1 == job->spec.tasks) return;
  memcpy(op.job, job->id, sizeof op.job);
  strcpy(op.machine, "n-1");
  tmx_operation_print(line, sizeof line, &op);
  commit_line(h, line);
}

static void cancel_open_job(struct history *h, struct tmx_job *job) {
  char key[64];
  if (!job || job->outcome) return;
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", job->id);
  tmx_job_encode_final(&append_entry(h, key)->value, job, TMX_JOB_CANCELLED, 0, 4000);
  apply_last_entry(h);
}

static void run_step(struct history *h, uint32_t step) {
  char id[TMX_ID_BYTES];
  uint32_t kind = step % 16, rest = step / 16;
  if (h->n_entries + 1 >= ENTRIES_MAX) return;
  if (kind < 9 && h->n_jobs < JOBS_MAX) {
    struct tmx_job_spec spec = make_spec(rest);
    snprintf(id, sizeof id, "wk-%06u", h->n_jobs);
    decide_submission(h, &spec, id);
  } else if (kind < 15) {
    place_or_end_task(h, pick_job(h, rest), rest);
  } else {
    cancel_open_job(h, pick_job(h, rest));
  }
}

/* ------------------------------------------------------------ other replicas */

static bool accounts_equal(const struct replica_copy *x, const struct replica_copy *y) {
  for (size_t team = 0; team < TEAMS; team++)
    for (size_t i = 0; i < TMX_ACCOUNTS_MAX; i++) {
      const struct tmx_account *one = &x->backlog.accounts[team][i];
      const struct tmx_account *other = &y->backlog.accounts[team][i];
      if (one->n_open_jobs != other->n_open_jobs ||
          memcmp(&one->load, &other->load, sizeof one->load))
        return false;
    }
  return true;
}

/* Loads a replica at revision `n`: the latest value of each key in the first `n` entries. */
static void load_replica(const struct history *h, struct replica_copy *copy, size_t n) {
  struct tmx_store_entry *items = calloc(n + 1, sizeof *items);
  cbor_item_t **values = calloc(n + 1, sizeof(cbor_item_t *));
  size_t n_items = 0;
  if (!items || !values) abort();
  for (size_t i = 0; i < n; i++) {
    bool latest = true;
    for (size_t k = i + 1; latest && k < n; k++)
      latest = strcmp(h->entries[i].key, h->entries[k].key) != 0;
    if (!latest) continue;
    values[n_items] = tmx_cbor_parse(h->entries[i].value.data, h->entries[i].value.length);
    items[n_items] = (struct tmx_store_entry){(char *)h->entries[i].key, i + 1, values[n_items]};
    n_items++;
  }
  open_copy(copy, &h->settings);
  copy->replica.load_revision = n;
  tmx_replica_load(&copy->replica, items, n_items);
  tmx_replica_advance_to(&copy->replica, n);
  for (size_t i = 0; i < n_items; i++) tmx_cbor_free(values[i]);
  free(items);
  free(values);
}

static void add_page_line(struct tmx_buffer *list, size_t *n, const char *line) {
  tmx_cbor_put_text(list, line);
  ++*n;
}

/* Loads a replica from one page of a compaction of the live replica. */
static void load_compacted(const struct history *h, struct replica_copy *copy) {
  struct tmx_buffer jobs = {0}, list = {0}, page = {0};
  size_t n_jobs = 0, n = 0;
  char line[TMX_LOG_LINE_BYTES];
  struct tmx_job *job, *next;
  const struct tmx_machine *machine = tmx_machine_find(&h->live.replica, "n-1");
  tmx_machine_line_print(line, sizeof line, &h->live.replica, machine);
  add_page_line(&list, &n, line);
  HASH_ITER(hh, h->live.replica.jobs, job, next) {
    if (job->outcome) continue;
    tmx_job_encode(&jobs, job->id, &job->spec, job->submitted_at, TMX_JOB_OPEN);
    n_jobs++;
    for (uint32_t at = 0; at < job->spec.tasks;) {
      int len;
      at += tmx_task_range_line_print(line, sizeof line, job, at, &len);
      if (len) add_page_line(&list, &n, line);
    }
  }
  tmx_log_value_encode(&page, &jobs, n_jobs, &list, n);
  cbor_item_t *value = tmx_cbor_parse(page.data, page.length);
  struct tmx_store_entry item = {TMX_KEY_PAGE "0000000000000000/00000", 1, value};
  open_copy(copy, &h->settings);
  copy->replica.load_revision = 1;
  tmx_replica_load(&copy->replica, &item, 1);
  tmx_replica_advance_to(&copy->replica, 1);
  tmx_cbor_free(value);
  tmx_buffer_free(&jobs);
  tmx_buffer_free(&list);
  tmx_buffer_free(&page);
}

static void open_history(struct history *h) {
  struct tmx_settings *settings = &h->settings;
  char err[128];
  *settings =
      (struct tmx_settings){.n_teams = TEAMS, .write_rps = 1000, .value_kb = 16, .ram_mb = 4096};
  tmx_operator_settings_set_defaults(&settings->operators);
  settings->operators.admission.enabled = true;
  settings->operators.admission.backlog_s = 200;
  for (int i = 0; i < TEAMS; i++) snprintf(settings->teams[i].name, TMX_NAME_BYTES, "team-%d", i);
  strcpy(settings->objectives[0].class_name, "class-0");
  strcpy(settings->objectives[1].class_name, "class-20");
  settings->n_objectives = 2;
  strcpy(settings->zones[0], "a");
  settings->n_zones = 1;
  if (!tmx_admission_settings_resolve(settings, err, sizeof err)) abort();
  struct tmx_machine_size machines = {.cpus = 64, .mem_gb = 256};
  h->rates = tmx_admission_rates(settings, &machines, &machines);
  open_copy(&h->live, settings);
  tmx_replica_advance_to(&h->live.replica, 0);
  commit_line(h, "m n-1 127.0.0.1:1 big a 0 0");
}

static bool compare_and_clear(struct history *h, struct replica_copy *copy) {
  bool differ = !accounts_equal(&h->live, copy);
  tmx_replica_clear(&copy->replica);
  return differ;
}

struct admission_report run_admission_history(const uint32_t *steps, size_t n, size_t load_at) {
  struct history *h = calloc(1, sizeof *h);
  struct replica_copy *copy = calloc(1, sizeof *copy);
  if (!h || !copy) abort();
  open_history(h);
  size_t loaded = 0;
  for (size_t i = 0; i < n; i++) {
    run_step(h, steps[i]);
    if (i == load_at) load_replica(h, &h->followed, loaded = h->n_entries);
  }
  for (size_t i = loaded; loaded && i < h->n_entries; i++)
    read_entry(&h->followed, &h->entries[i], i);
  if (loaded) h->report.live_replica_differs = compare_and_clear(h, &h->followed);
  load_replica(h, copy, h->n_entries);
  h->report.loaded_replica_differs = compare_and_clear(h, copy);
  load_compacted(h, copy);
  h->report.compacted_replica_differs = compare_and_clear(h, copy);
  struct admission_report report = h->report;
  tmx_replica_clear(&h->live.replica);
  for (size_t i = 0; i < h->n_entries; i++) tmx_buffer_free(&h->entries[i].value);
  free(copy);
  free(h);
  return report;
}
