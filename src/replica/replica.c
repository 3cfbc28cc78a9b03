#include "replica/replica.h"

#include <stdlib.h>
#include <string.h>

#include "replica/apply_log.h"
#include "replica/job_table.h"
#include "replica/machine_table.h"
#include "replica/replica_internal.h"

void tmx_replica_init(struct tmx_replica *replica, const struct tmx_settings *settings) {
  memset(replica, 0, sizeof *replica);
  replica->settings = settings;
}

static void clear_image_names(struct tmx_replica *replica) {
  struct tmx_image_name *image, *next;
  HASH_ITER(hh, replica->images, image, next) {
    HASH_DEL(replica->images, image);
    free(image);
  }
}

void tmx_replica_clear(struct tmx_replica *replica) {
  if (replica->on_before_clear) replica->on_before_clear(replica->observer);
  tmx_replica_clear_jobs(replica);
  tmx_replica_clear_machines(replica);
  clear_image_names(replica);
  tmx_log_keys_clear(&replica->batch_keys);
  tmx_log_keys_clear(&replica->page_keys);
  tmx_view_clear(&replica->view);
  replica->compaction_point = replica->compaction_generation = replica->compaction_version = 0;
  replica->n_last_batches = 0;
  memset(replica->team_usage, 0, sizeof replica->team_usage);
  if (replica->backlog) tmx_backlog_init(replica->backlog, replica->settings);
  replica->booked_cpus = replica->waiting_cpus = 0;
  replica->n_registered_members = 0;
  replica->leader[0] = 0;
  replica->leader_version = replica->revision = replica->head_version = replica->load_revision = 0;
  replica->loaded = false;
}

void tmx_replica_notify_machine(struct tmx_replica *replica, struct tmx_machine *machine) {
  machine->change_count++;
  if (replica->on_machine_changed) replica->on_machine_changed(replica->observer, machine);
}

void tmx_replica_notify_schedulable(struct tmx_replica *replica) {
  if (replica->on_schedulable_change) replica->on_schedulable_change(replica->observer);
}

static void update_key_table(struct tmx_log_key **table, const char *key, uint64_t version,
                             bool exists) {
  if (exists)
    tmx_log_keys_put(table, key, version);
  else
    tmx_log_keys_remove(table, key);
}

/* Skips batches up to the compaction point: the pages contain them. Their keys are overwritten in
 * any order, so the batches that remain are not a complete history. */
static void apply_batch(struct tmx_replica *replica, const char *key, const char *name,
                        uint64_t version, const cbor_item_t *value) {
  update_key_table(&replica->batch_keys, key, version, value != NULL);
  if (!value || version <= replica->compaction_point) return;
  const char *member_end = strchr(name, '/');
  if (member_end) tmx_replica_record_batch_of(replica, name, (size_t)(member_end - name));
  tmx_replica_apply_log_value(replica, value);
}

/* Skips pages once the replica is loaded, since it already has their content. Also skips pages of
 * an abandoned compaction: they may show tasks as placed whose ends precede the compaction point in
 * force. If the job of such a task has ended, no page of the compaction in force corrects the task.
 */
static void apply_page(struct tmx_replica *replica, const char *key, const char *name,
                       uint64_t version, const cbor_item_t *value) {
  update_key_table(&replica->page_keys, key, version, value != NULL);
  if (value && !replica->loaded && strtoull(name, NULL, 16) == replica->compaction_generation)
    tmx_replica_apply_log_value(replica, value);
}

static void apply_compaction(struct tmx_replica *replica, uint64_t version,
                             const cbor_item_t *value) {
  replica->compaction_version = value ? version : 0;
  tmx_cbor_get_u64(value, "mark", &replica->compaction_point);
  tmx_cbor_get_u64(value, "gen", &replica->compaction_generation);
}

static void apply_leader(struct tmx_replica *replica, uint64_t version, const cbor_item_t *value) {
  replica->leader[0] = 0;
  replica->leader_version = value ? version : 0;
  replica->leader_incarnation = 0;
  if (value) {
    tmx_cbor_get_text(value, "name", replica->leader, sizeof replica->leader);
    tmx_cbor_get_u64(value, "inc", &replica->leader_incarnation);
  }
  tmx_replica_notify_schedulable(replica);
}

/* Sets `name` to the part of the key after the prefix. Returns false if the prefix differs. */
static bool strip_prefix(const char *key, const char *prefix, const char **name) {
  const size_t length = strlen(prefix);
  if (strncmp(key, prefix, length)) return false;
  *name = key + length;
  return true;
}

void tmx_replica_apply(struct tmx_replica *replica, const char *key, uint64_t version,
                       const cbor_item_t *value) {
  const char *name;
  if (strip_prefix(key, TMX_KEY_BATCH, &name)) {
    apply_batch(replica, key, name, version, value);
  } else if (strip_prefix(key, TMX_KEY_JOB, &name)) {
    /* job keys are never deleted */
    if (value) tmx_replica_apply_job_record(replica, value, version);
  } else if (strip_prefix(key, TMX_KEY_PAGE, &name)) {
    apply_page(replica, key, name, version, value);
  } else if (!strcmp(key, TMX_KEY_COMPACTION)) {
    apply_compaction(replica, version, value);
  } else if (strip_prefix(key, TMX_KEY_MEMBER, &name)) {
    tmx_replica_apply_member(replica, name, version, value);
  } else if (!strcmp(key, TMX_KEY_HEAD)) {
    replica->head_version = version;
  } else if (!strcmp(key, TMX_KEY_VIEW)) {
    tmx_replica_apply_view(replica, version, value);
  } else if (!strcmp(key, TMX_KEY_LEADER)) {
    apply_leader(replica, version, value);
  }
}

/* Order of loading. The compaction comes first, since it determines which batches and pages apply.
 * Jobs come next, since the log refers to their tasks. Sorting by version alone would not ensure
 * this order, because writing a job's final state gives its key a newer version. */
enum load_class { LOAD_COMPACTION, LOAD_JOB, LOAD_OTHER };

static enum load_class load_class_of(const char *key) {
  if (!strcmp(key, TMX_KEY_COMPACTION)) return LOAD_COMPACTION;
  return strncmp(key, TMX_KEY_JOB, strlen(TMX_KEY_JOB)) ? LOAD_OTHER : LOAD_JOB;
}

static int compare_load_order(const void *a, const void *b) {
  const struct tmx_store_entry *left = a, *right = b;
  const enum load_class left_class = load_class_of(left->key);
  const enum load_class right_class = load_class_of(right->key);
  if (left_class != right_class) return left_class < right_class ? -1 : 1;
  if (left->version != right->version) return left->version < right->version ? -1 : 1;
  return strcmp(left->key, right->key);
}

void tmx_replica_load(struct tmx_replica *replica, struct tmx_store_entry *entries, size_t n) {
  if (n) qsort(entries, n, sizeof *entries, compare_load_order);
  for (size_t i = 0; i < n; i++)
    tmx_replica_apply(replica, entries[i].key, entries[i].version, entries[i].value);
}

/* Recomputes the totals of waiting work from all jobs: applying a page changes tasks without
 * updating these totals. Also frees the tasks of jobs that have ended. */
static void recount_jobs(struct tmx_replica *replica) {
  struct tmx_job *job, *next;
  replica->waiting_cpus = 0;
  HASH_ITER(hh, replica->jobs, job, next) {
    job->waiting_cpus = 0;
    tmx_replica_update_waiting_cpus(replica, job);
    if (replica->backlog) tmx_backlog_update(replica->backlog, job);
    tmx_replica_release_tasks(replica, job);
  }
}

void tmx_replica_advance_to(struct tmx_replica *replica, uint64_t revision) {
  if (revision > replica->revision) replica->revision = revision;
  if (replica->loaded || replica->revision < replica->load_revision) return;
  replica->loaded = true;
  tmx_replica_drop_unregistered_machines(replica);
  recount_jobs(replica);
  tmx_dependencies_replica_loaded(replica);
  tmx_replica_notify_schedulable(replica);
}
