#include "replica/log_codec.h"

#include <stdio.h>

#include "config/settings.h"
#include "replica/replica.h"

#define VALUE_JOBS "jobs"
#define VALUE_LINES "ops"

size_t tmx_log_line_split(char *line, char **fields, size_t max) {
  size_t n = 0;
  for (char *p = line; n < max; n++) {
    while (*p == ' ') p++;
    if (!*p) break;
    fields[n] = p;
    while (*p && *p != ' ') p++;
    if (*p) *p++ = 0;
  }
  return n;
}

bool tmx_log_line_parse_u32(const char *text, uint32_t *value) {
  uint64_t number = 0;
  const char *p = text;
  for (; *p >= '0' && *p <= '9' && number <= UINT32_MAX; p++)
    number = number * 10 + (uint64_t)(*p - '0');
  *value = (uint32_t)number;
  return p > text && !*p && number <= UINT32_MAX;
}

void tmx_permitted_type_line_print(char *out, size_t capacity, const char *id, const char *type) {
  snprintf(out, capacity, "%c %s %s", TMX_LINE_PERMITTED_TYPE, id, type);
}

void tmx_dependency_line_print(char *out, size_t capacity, const char *id,
                               const struct tmx_job_ids *ids, uint32_t *from) {
  int length = snprintf(out, capacity, "%c %s %u ", TMX_LINE_DEPENDENCIES, id, *from);
  tmx_job_ids_to_text(out + length, capacity - (size_t)length, ids, from);
}

int tmx_machine_line_print(char *out, size_t capacity, const struct tmx_replica *replica,
                           const struct tmx_machine *machine) {
  const char *address = machine->addr[0] ? machine->addr : "-";
  const char *zone = machine->zone >= 0 ? replica->settings->zones[machine->zone] : "-";
  return snprintf(out, capacity, "%c %s %s %s %s %d %d", TMX_LINE_MACHINE, machine->id, address,
                  machine->type, zone, machine->spot, machine->draining);
}

static char range_state(const struct tmx_task *task) {
  switch ((enum tmx_task_state)task->state) {
    case TMX_TASK_DONE:
      return TMX_TASK_RANGE_DONE;
    case TMX_TASK_WAITING:
      return TMX_TASK_RANGE_WAITING;
    case TMX_TASK_PLACED:
      break;
  }
  if (task->stop_mode) return (char)('0' + task->stop_mode);
  return TMX_TASK_RANGE_PLACED;
}

/* Number of consecutive tasks that share the state and attempt number of the task at `from`. A
 * placed task is always a range of its own, since a line holds one machine. */
static uint32_t range_length(const struct tmx_job *job, uint32_t from) {
  const struct tmx_task *first = &job->tasks[from];
  const char state = range_state(first);
  uint32_t n = 1;
  if (state != TMX_TASK_RANGE_DONE && state != TMX_TASK_RANGE_WAITING) return n;
  while (from + n < job->spec.tasks && range_state(&first[n]) == state &&
         first[n].attempt == first->attempt)
    n++;
  return n;
}

uint32_t tmx_task_range_line_print(char *out, size_t capacity, const struct tmx_job *job,
                                   uint32_t from, int *length) {
  const struct tmx_task *first = &job->tasks[from];
  const char state = range_state(first);
  const uint32_t n = range_length(job, from);
  const bool never_placed = state == TMX_TASK_RANGE_WAITING && !first->attempt;
  *length = never_placed ? 0
                         : snprintf(out, capacity, "%c %s/%u %u %u %c %s", TMX_LINE_TASK_RANGE,
                                    job->id, from, n, first->attempt, state,
                                    first->machine ? first->machine->id : "-");
  return n;
}

void tmx_log_value_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
                          const struct tmx_buffer *lines, size_t n_lines) {
  tmx_cbor_put_map(buffer, (size_t)(n_jobs > 0) + (size_t)(n_lines > 0));
  if (n_jobs) {
    tmx_cbor_put_text(buffer, VALUE_JOBS);
    tmx_cbor_put_array(buffer, n_jobs);
    tmx_buffer_append(buffer, jobs->data, jobs->length);
  }
  if (n_lines) {
    tmx_cbor_put_text(buffer, VALUE_LINES);
    tmx_cbor_put_array(buffer, n_lines);
    tmx_buffer_append(buffer, lines->data, lines->length);
  }
}

const cbor_item_t *tmx_log_value_jobs(const cbor_item_t *value) {
  return tmx_cbor_get(value, VALUE_JOBS);
}

const cbor_item_t *tmx_log_value_lines(const cbor_item_t *value) {
  return tmx_cbor_get(value, VALUE_LINES);
}
