#include "store/snapshot_writer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

/* Position in a snapshot. Everything before it is written. */
struct position {
  size_t machine;           /* index of the next machine in the writer's `machines` */
  size_t job;               /* index of the current job in the writer's `jobs` */
  bool record_written;      /* whether the record of the current job is written */
  size_t n_types;           /* number of machine types of the current job that are written */
  uint32_t n_prerequisites; /* number of prerequisites of the current job that are written */
  uint32_t task;            /* index of the next task of the current job */
};

struct tmx_snapshot_writer {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  uint64_t generation;
  unsigned next_page; /* number of the next page, part of its key */
  /* IDs of the machines and jobs to be written */
  char (*machines)[TMX_ID_BYTES], (*jobs)[TMX_ID_BYTES];
  size_t n_machines, n_jobs;
  struct position committed; /* end of the committed pages */
  struct position added;     /* end of the pages that were added by the latest call */
};

/* An item of a page: either a line or an encoded job record. */
struct item {
  char line[TMX_LOG_LINE_BYTES];
  struct tmx_buffer record; /* empty: the item is the line */
};

/* A page under construction. */
struct page {
  struct tmx_buffer jobs, lines; /* encoded job records and encoded lines */
  size_t n_jobs, n_lines;
  size_t json_length; /* size of all items, encoded as JSON, in bytes */
};

struct tmx_snapshot_writer *tmx_snapshot_writer_new(const struct tmx_settings *settings,
                                                    struct tmx_replica *replica) {
  struct tmx_snapshot_writer *writer = tmx_allocate(1, sizeof *writer);
  writer->settings = settings;
  writer->replica = replica;
  return writer;
}

void tmx_snapshot_writer_free(struct tmx_snapshot_writer *writer) {
  free(writer->machines);
  free(writer->jobs);
  free(writer);
}

uint64_t tmx_snapshot_writer_generation(const struct tmx_snapshot_writer *writer) {
  return writer->generation;
}

size_t tmx_snapshot_writer_machine_count(const struct tmx_snapshot_writer *writer) {
  return writer->n_machines;
}

size_t tmx_snapshot_writer_job_count(const struct tmx_snapshot_writer *writer) {
  return writer->n_jobs;
}

const char *tmx_snapshot_writer_next_job_id(const struct tmx_snapshot_writer *writer) {
  return writer->added.job < writer->n_jobs ? writer->jobs[writer->added.job] : "";
}

/* Returns whether a snapshot has to include the job. A job without tasks in the replica has ended
 * and left all machines. It is included only if its final state was derived from that of another
 * job and is not stored under its own key yet. */
static bool belongs_in_snapshot(const struct tmx_job *job) {
  return job->tasks || (job->outcome && !job->outcome_stored);
}

void tmx_snapshot_writer_begin(struct tmx_snapshot_writer *writer) {
  const struct tmx_replica *replica = writer->replica;
  const struct tmx_job *job, *next_job;
  const struct tmx_machine *machine, *next_machine;
  free(writer->machines);
  free(writer->jobs);
  writer->machines = tmx_allocate(HASH_COUNT(replica->machines) + 1, sizeof *writer->machines);
  writer->jobs = tmx_allocate(HASH_COUNT(replica->jobs) + 1, sizeof *writer->jobs);
  writer->n_machines = writer->n_jobs = 0;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    memcpy(writer->machines[writer->n_machines++], machine->id, TMX_ID_BYTES);
  }
  HASH_ITER(hh, replica->jobs, job, next_job) {
    if (belongs_in_snapshot(job)) memcpy(writer->jobs[writer->n_jobs++], job->id, TMX_ID_BYTES);
  }
  writer->committed = (struct position){0};
  writer->generation = replica->revision;
  writer->next_page = 0;
}

/* Produces the line of the next registered machine. Returns false if there is none. */
static bool next_machine_item(const struct tmx_snapshot_writer *writer, struct position *position,
                              struct item *item) {
  while (position->machine < writer->n_machines) {
    const struct tmx_machine *machine =
        tmx_machine_find(writer->replica, writer->machines[position->machine++]);
    if (!machine || !machine->registered) continue;
    tmx_machine_line_print(item->line, sizeof item->line, writer->replica, machine);
    return true;
  }
  return false;
}

/* Encodes the job's record. A record that was accepted under larger size limits may exceed the
 * current limit. Machine types and dependencies that do not fit are written as lines after the
 * record. */
static void encode_record(const struct tmx_settings *settings, const struct tmx_job *job,
                          struct position *position, struct tmx_buffer *record) {
  const struct tmx_job_ids *prerequisite_ids = &job->dependencies.prerequisite_ids;
  size_t max_length = tmx_value_json_length_max(settings);
  struct tmx_job_spec spec = job->spec;
  spec.n_types = tmx_job_count_types_that_fit(job->id, &job->spec, job->submitted_at,
                                              prerequisite_ids, max_length);
  position->n_types = spec.n_types;
  position->n_prerequisites =
      tmx_job_encode_open(record, job->id, &spec, job->submitted_at, prerequisite_ids, max_length);
  position->record_written = true;
}

/* Produces the line of the next tasks of the job that have the same state. Tasks that were never
 * placed need no line. Returns false if no line remains. */
static bool next_task_item(const struct tmx_job *job, struct position *position,
                           struct item *item) {
  while (job->tasks && position->task < job->spec.tasks) {
    int length;
    position->task +=
        tmx_task_range_line_print(item->line, sizeof item->line, job, position->task, &length);
    if (length) return true;
  }
  return false;
}

/* Produces the next item of the job. Returns false if the whole job is written. */
static bool next_item_of_job(const struct tmx_settings *settings, const struct tmx_job *job,
                             struct position *position, struct item *item) {
  const struct tmx_job_ids *prerequisite_ids = &job->dependencies.prerequisite_ids;
  if (!position->record_written) {
    encode_record(settings, job, position, &item->record);
    return true;
  }
  if (position->n_types < job->spec.n_types) {
    tmx_permitted_type_line_print(item->line, sizeof item->line, job->id,
                                  job->spec.types[position->n_types++]);
    return true;
  }
  if (position->n_prerequisites < prerequisite_ids->count) {
    tmx_dependency_line_print(item->line, sizeof item->line, job->id, prerequisite_ids,
                              &position->n_prerequisites);
    return true;
  }
  return next_task_item(job, position, item);
}

/* Produces the next item of the current job, or of the next job that has one. Returns false if all
 * jobs are written. */
static bool next_job_item(const struct tmx_snapshot_writer *writer, struct position *position,
                          struct item *item) {
  while (position->job < writer->n_jobs) {
    const struct tmx_job *job = tmx_job_find(writer->replica, writer->jobs[position->job]);
    if (job && belongs_in_snapshot(job) && next_item_of_job(writer->settings, job, position, item))
      return true;
    *position = (struct position){.machine = position->machine, .job = position->job + 1};
  }
  return false;
}

/* Produces the next item of the snapshot. Returns false if the snapshot is complete. */
static bool next_item(const struct tmx_snapshot_writer *writer, struct position *position,
                      struct item *item) {
  item->record.length = 0;
  return next_machine_item(writer, position, item) || next_job_item(writer, position, item);
}

static size_t item_json_length(const struct item *item) {
  return item->record.length ? tmx_json_length(&item->record)
                             : tmx_json_text_length(item->line, strlen(item->line)) + 1;
}

static void add_item(struct page *page, const struct item *item, size_t json_length) {
  page->json_length += json_length;
  if (item->record.length) {
    tmx_buffer_append(&page->jobs, item->record.data, item->record.length);
    page->n_jobs++;
  } else {
    tmx_cbor_put_text(&page->lines, item->line);
    page->n_lines++;
  }
}

/* Fills the page with the items from `position` on and advances the position. Returns whether items
 * remain; if so, the next page starts with the first of them. */
static bool fill_page(const struct tmx_snapshot_writer *writer, struct page *page,
                      struct position *position) {
  size_t max_length = tmx_value_json_length_max(writer->settings);
  struct item item = {.record = {0}};
  bool more;
  page->jobs.length = page->lines.length = 0;
  page->n_jobs = page->n_lines = page->json_length = 0;
  for (;;) {
    struct position item_start = *position;
    more = next_item(writer, position, &item);
    if (!more) break;
    size_t length = item_json_length(&item);
    if (page->json_length + length > max_length) {
      *position = item_start;
      break;
    }
    add_item(page, &item, length);
  }
  tmx_buffer_free(&item.record);
  return more;
}

static void put_page(struct tmx_snapshot_writer *writer, struct tmx_transaction *transaction,
                     struct page *page) {
  struct tmx_buffer value = {0};
  char key[TMX_KEY_MAX + 1];
  tmx_log_value_encode(&value, &page->jobs, page->n_jobs, &page->lines, page->n_lines);
  snprintf(key, sizeof key, TMX_KEY_PAGE "%016llx/%05u", (unsigned long long)writer->generation,
           writer->next_page++);
  tmx_transaction_put(transaction, key, &value, 0);
  tmx_buffer_free(&value);
}

enum tmx_snapshot_result tmx_snapshot_writer_add_pages(struct tmx_snapshot_writer *writer,
                                                       struct tmx_transaction *transaction,
                                                       int max_puts) {
  size_t max_page_length = tmx_value_json_length_max(writer->settings) + TMX_JSON_OVERHEAD_BYTES,
         total_length = 0;
  struct position position = writer->committed;
  struct page page = {.n_jobs = 0};
  bool more = true;
  tmx_transaction_require_version(transaction, TMX_KEY_HEAD, writer->replica->head_version);
  while (more && transaction->n_operations < max_puts &&
         total_length + max_page_length < TMX_TRANSACTION_JSON_BYTES_MAX) {
    more = fill_page(writer, &page, &position);
    if (!page.n_lines && !page.n_jobs) break;
    total_length += page.json_length + TMX_JSON_OVERHEAD_BYTES;
    put_page(writer, transaction, &page);
  }
  writer->added = position;
  tmx_buffer_free(&page.jobs);
  tmx_buffer_free(&page.lines);
  if (transaction->n_operations) return TMX_SNAPSHOT_PAGES_ADDED;
  if (!more) return TMX_SNAPSHOT_COMPLETE;
  return max_puts > 0 ? TMX_SNAPSHOT_ITEM_TOO_LARGE : TMX_SNAPSHOT_NO_BUDGET;
}

void tmx_snapshot_writer_mark_pages_committed(struct tmx_snapshot_writer *writer) {
  writer->committed = writer->added;
}
