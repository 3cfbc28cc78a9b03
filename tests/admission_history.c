#include "admission_history.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission_policy.h"
#include "replica/replica.h"

enum { ENTRIES_MAX = 2000, JOBS_MAX = 512, TEAMS = 3, CLASSES = 40 };

struct entry { /* of the log */
  char key[64];
  struct tmx_buffer value;
};
struct copy { /* a replica with its accounts */
  struct tmx_replica replica;
  struct tmx_backlog backlog;
};
struct history {
  struct tmx_settings settings;
  struct tmx_resource_rates rates;
  struct entry entries[ENTRIES_MAX];
  size_t n_entries;
  struct copy live, followed;
  unsigned n_jobs;
  double allowance; /* what newcomers took beyond their ceilings, s */
  struct admission_report report;
};

static void open_copy(struct copy *copy, const struct tmx_settings *settings) {
  tmx_replica_init(&copy->replica, settings);
  tmx_backlog_init(&copy->backlog, settings);
  copy->replica.backlog = &copy->backlog;
}

static void read_entry(struct copy *copy, const struct entry *entry, size_t at) {
  cbor_item_t *value = tmx_cbor_parse(entry->value.data, entry->value.length);
  tmx_replica_apply(&copy->replica, entry->key, at + 1, value);
  tmx_cbor_free(value);
}

static struct entry *append(struct history *h, const char *key) {
  struct entry *entry = &h->entries[h->n_entries++];
  snprintf(entry->key, sizeof entry->key, "%s", key);
  return entry;
}

static void committed(struct history *h) {
  read_entry(&h->live, &h->entries[h->n_entries - 1], h->n_entries - 1);
}

static void commit_line(struct history *h, const char *line) {
  struct tmx_buffer list = {0};
  char key[64];
  tmx_cbor_put_text(&list, line);
  snprintf(key, sizeof key, TMX_KEY_BATCH "h/%zu", h->n_entries);
  tmx_log_value_encode(&append(h, key)->value, NULL, 0, &list, 1);
  tmx_buffer_free(&list);
  committed(h);
}

/* ------------------------------------------------------------ steps */

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

static double sum(const struct history *h) {
  return tmx_total_backlog_seconds(&h->live.backlog, &h->rates);
}

static double smallest_reserve(const struct history *h) {
  const struct tmx_admission_settings *own = &h->settings.operators.admission;
  double parties = (double)(h->live.backlog.n_listed + 1);
  return own->backlog_s * pow(own->reserve, 3) / TEAMS / parties / TMX_HASHED_ACCOUNTS;
}

static void judge(struct history *h, const struct tmx_job_spec *spec, const char *id) {
  struct tmx_admission_request x = {
      .team = tmx_team_index(&h->settings, spec->team),
      .account = tmx_backlog_account_index(&h->live.backlog, spec->class),
      .load = tmx_job_load(spec, spec->tasks)};
  struct tmx_admission_decision decision =
      tmx_admission_decide(&h->settings, &h->live.backlog, NULL, &h->rates, &x);
  bool newcomer = !h->live.backlog.accounts[x.team][x.account].n_open_jobs;
  double charge = tmx_load_seconds(&x.load, &h->rates);
  h->report.submitted++;
  if (decision.result != TMX_ADMITTED) {
    h->report.refused++;
    h->report.newcomers_refused += newcomer;
    h->report.refused_without_load += sum(h) + charge <= smallest_reserve(h);
    return;
  }
  if (newcomer) h->allowance += charge;
  char key[64];
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", id);
  tmx_job_encode(&append(h, key)->value, id, spec, 100, TMX_JOB_OPEN);
  committed(h);
  h->n_jobs++;
  double limit = h->settings.operators.admission.backlog_s + h->allowance;
  h->report.over_bound += sum(h) > limit + 1e-6;
}

static struct tmx_job *some_job(struct history *h, uint32_t step) {
  char id[TMX_ID_BYTES];
  if (!h->n_jobs) return NULL;
  snprintf(id, sizeof id, "wk-%06u", step % h->n_jobs);
  return tmx_job_find(&h->live.replica, id);
}

static void move_task(struct history *h, struct tmx_job *job, uint32_t step) {
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

static void cancel(struct history *h, struct tmx_job *job) {
  char key[64];
  if (!job || job->outcome) return;
  snprintf(key, sizeof key, TMX_KEY_JOB "%s", job->id);
  tmx_job_encode_final(&append(h, key)->value, job, TMX_JOB_CANCELLED, 0, 4000);
  committed(h);
}

static void take_step(struct history *h, uint32_t step) {
  char id[TMX_ID_BYTES];
  uint32_t kind = step % 16, rest = step / 16;
  if (h->n_entries + 1 >= ENTRIES_MAX) return;
  if (kind < 9 && h->n_jobs < JOBS_MAX) {
    struct tmx_job_spec spec = make_spec(rest);
    snprintf(id, sizeof id, "wk-%06u", h->n_jobs);
    judge(h, &spec, id);
  } else if (kind < 15) {
    move_task(h, some_job(h, rest), rest);
  } else {
    cancel(h, some_job(h, rest));
  }
}

/* ------------------------------------------------------------ other replicas */

static bool alike(const struct copy *x, const struct copy *y) {
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

/* Reads the latest value of every key, in the order of a load; ends as of that revision. */
static void load(const struct history *h, struct copy *copy, size_t n) {
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

/* A replica that reads nothing but pages of the live one, and final states. */
static void load_folded(const struct history *h, struct copy *copy) {
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

static bool differs(struct history *h, struct copy *copy) {
  bool differ = !alike(&h->live, copy);
  tmx_replica_clear(&copy->replica);
  return differ;
}

struct admission_report admission_history(const uint32_t *steps, size_t n, size_t load_at) {
  struct history *h = calloc(1, sizeof *h);
  struct copy *copy = calloc(1, sizeof *copy);
  if (!h || !copy) abort();
  open_history(h);
  size_t loaded = 0;
  for (size_t i = 0; i < n; i++) {
    take_step(h, steps[i]);
    if (i == load_at) load(h, &h->followed, loaded = h->n_entries);
  }
  for (size_t i = loaded; loaded && i < h->n_entries; i++)
    read_entry(&h->followed, &h->entries[i], i);
  if (loaded) h->report.live_replica_differs = differs(h, &h->followed);
  load(h, copy, h->n_entries);
  h->report.loaded_replica_differs = differs(h, copy);
  load_folded(h, copy);
  h->report.folded_replica_differs = differs(h, copy);
  struct admission_report report = h->report;
  tmx_replica_clear(&h->live.replica);
  for (size_t i = 0; i < h->n_entries; i++) tmx_buffer_free(&h->entries[i].value);
  free(copy);
  free(h);
  return report;
}
