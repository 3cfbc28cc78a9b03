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
  if (replica->on_cleared) replica->on_cleared(replica->observer);
  tmx_replica_clear_jobs(replica);
  tmx_replica_clear_machines(replica);
  clear_image_names(replica);
  tmx_log_keys_clear(&replica->batch_keys);
  tmx_log_keys_clear(&replica->page_keys);
  tmx_view_clear(&replica->view);
  replica->compaction_point = replica->compaction_generation = replica->compaction_version = 0;
  replica->n_batch_sightings = 0;
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

static void keep_key(struct tmx_log_key **table, const char *key, uint64_t version, bool stands) {
  if (stands)
    tmx_log_keys_put(table, key, version);
  else
    tmx_log_keys_remove(table, key);
}

/* Batches up to the compaction point are in the pages. Their keys are reused in any order, so what
 * is left of them no longer tells the whole story. */
static void apply_batch(struct tmx_replica *replica, const char *key, const char *name,
                        uint64_t version, const cbor_item_t *value) {
  keep_key(&replica->batch_keys, key, version, value != NULL);
  if (!value || version <= replica->compaction_point) return;
  const char *end_of_member = strchr(name, '/');
  if (end_of_member) tmx_replica_note_batch_of(replica, name, (size_t)(end_of_member - name));
  tmx_replica_apply_log_value(replica, value);
}

/* A complete copy has a page's content already. Pages of a compaction that was given up tell of
 * tasks whose ends may lie before the compaction point in force: of a job that is over, no page of
 * the compaction in force would put that right. */
static void apply_page(struct tmx_replica *replica, const char *key, const char *name,
                       uint64_t version, const cbor_item_t *value) {
  keep_key(&replica->page_keys, key, version, value != NULL);
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

/* Sets `name` to what follows the prefix; false: the key begins otherwise. */
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

/* The compaction comes first, since it tells which batches count; then jobs, since the log speaks
 * of their tasks, and a final state rewrites a job's version. */
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

/* Pages count results without telling of them, so every job is counted anew. */
static void count_jobs_anew(struct tmx_replica *replica) {
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
  count_jobs_anew(replica);
  tmx_dependencies_replica_loaded(replica);
  tmx_replica_notify_schedulable(replica);
}
