#include "store/snapshot_writer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

/* What is to be written next. Of the job: whether its record is written, how many of its machine
 * types and dependencies, and how many of its tasks. */
struct position {
  size_t machine, job;
  bool record_written;
  size_t n_types;
  uint32_t n_dependencies;
  uint32_t task;
};

struct tmx_snapshot_writer {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  uint64_t generation;
  unsigned next_page;
  char (*machines)[TMX_ID_BYTES], (*jobs)[TMX_ID_BYTES]; /* ids of what is to be written */
  size_t n_machines, n_jobs;
  struct position committed; /* after the pages that were committed */
  struct position added;     /* after the pages that were added last */
};

/* One item of a page: a line or an encoded job record. */
struct item {
  char line[TMX_LOG_LINE_BYTES];
  struct tmx_buffer record; /* empty: it is the line */
};

/* A page under construction. */
struct page {
  struct tmx_buffer jobs, lines;
  size_t n_jobs, n_lines;
  size_t json_length;
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

const char *tmx_snapshot_writer_next_job(const struct tmx_snapshot_writer *writer) {
  return writer->added.job < writer->n_jobs ? writer->jobs[writer->added.job] : "";
}

/* A job that is over needs no page, unless its outcome was derived and is stored nowhere. */
static bool needs_page(const struct tmx_job *job) {
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
    if (needs_page(job)) memcpy(writer->jobs[writer->n_jobs++], job->id, TMX_ID_BYTES);
  }
  writer->committed = (struct position){0};
  writer->generation = replica->revision;
  writer->next_page = 0;
}

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

/* A record that was accepted under larger limits may exceed the present ones: types and
 * dependencies that have no room in it follow in lines. */
static void encode_record(const struct tmx_settings *settings, const struct tmx_job *job,
                          struct position *position, struct tmx_buffer *record) {
  const struct tmx_job_ids *dependencies = &job->dependencies.named;
  size_t room = tmx_value_room(settings);
  struct tmx_job_spec spec = job->spec;
  spec.n_types = tmx_job_types_within(job->id, &job->spec, job->submitted_at, dependencies, room);
  position->n_types = spec.n_types;
  position->n_dependencies =
      tmx_job_encode_open(record, job->id, &spec, job->submitted_at, dependencies, room);
  position->record_written = true;
}

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

/* The next item of this job; false: all of it is written. */
static bool next_item_of_job(const struct tmx_settings *settings, const struct tmx_job *job,
                             struct position *position, struct item *item) {
  const struct tmx_job_ids *dependencies = &job->dependencies.named;
  if (!position->record_written) {
    encode_record(settings, job, position, &item->record);
    return true;
  }
  if (position->n_types < job->spec.n_types) {
    tmx_permitted_type_line_print(item->line, sizeof item->line, job->id,
                                  job->spec.types[position->n_types++]);
    return true;
  }
  if (position->n_dependencies < dependencies->count) {
    tmx_dependency_line_print(item->line, sizeof item->line, job->id, dependencies,
                              &position->n_dependencies);
    return true;
  }
  return next_task_item(job, position, item);
}

static bool next_job_item(const struct tmx_snapshot_writer *writer, struct position *position,
                          struct item *item) {
  while (position->job < writer->n_jobs) {
    const struct tmx_job *job = tmx_job_find(writer->replica, writer->jobs[position->job]);
    if (job && needs_page(job) && next_item_of_job(writer->settings, job, position, item))
      return true;
    *position = (struct position){.machine = position->machine, .job = position->job + 1};
  }
  return false;
}

/* false: nothing is left to be written. */
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

/* Fills the page from this position on. Returns whether items are left, of which the first begins
 * the next page. */
static bool fill_page(const struct tmx_snapshot_writer *writer, struct page *page,
                      struct position *position) {
  size_t max_length = tmx_value_room(writer->settings);
  struct item item = {.record = {0}};
  bool more;
  page->jobs.length = page->lines.length = 0;
  page->n_jobs = page->n_lines = page->json_length = 0;
  for (;;) {
    struct position before = *position;
    more = next_item(writer, position, &item);
    if (!more) break;
    size_t length = item_json_length(&item);
    if (page->json_length + length > max_length) {
      *position = before;
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
  size_t max_page = tmx_value_room(writer->settings) + TMX_JSON_OVERHEAD_BYTES, total = 0;
  struct position position = writer->committed;
  struct page page = {.n_jobs = 0};
  bool more = true;
  tmx_transaction_require_version(transaction, TMX_KEY_HEAD, writer->replica->head_version);
  while (more && transaction->n_operations < max_puts &&
         total + max_page < TMX_TRANSACTION_JSON_BYTES_MAX) {
    more = fill_page(writer, &page, &position);
    if (!page.n_lines && !page.n_jobs) break;
    total += page.json_length + TMX_JSON_OVERHEAD_BYTES;
    put_page(writer, transaction, &page);
  }
  writer->added = position;
  tmx_buffer_free(&page.jobs);
  tmx_buffer_free(&page.lines);
  if (transaction->n_operations) return TMX_SNAPSHOT_PAGES_ADDED;
  if (!more) return TMX_SNAPSHOT_COMPLETE;
  return max_puts > 0 ? TMX_SNAPSHOT_ITEM_TOO_LARGE : TMX_SNAPSHOT_NO_BUDGET;
}

void tmx_snapshot_writer_pages_committed(struct tmx_snapshot_writer *writer) {
  writer->committed = writer->added;
}
