#include "replica/operation.h"

#include <stdio.h>
#include <string.h>

#include "replica/log_codec.h"

bool tmx_task_parse(const char *text, char *job, size_t capacity, uint32_t *index) {
  enum { INDEX_DIGITS_MAX = 6 };
  const char *slash = strrchr(text, '/');
  if (!slash) return false;
  const char *digits = slash + 1;
  const size_t job_length = (size_t)(slash - text);
  if (job_length >= capacity || strlen(digits) > INDEX_DIGITS_MAX ||
      !tmx_log_line_parse_u32(digits, index))
    return false;
  memcpy(job, text, job_length);
  job[job_length] = 0;
  return true;
}

int tmx_operation_print(char *out, size_t capacity, const struct tmx_operation *operation) {
  if (operation->kind == TMX_OPERATION_PLACE)
    return snprintf(out, capacity, "%c %s/%u %u %s", TMX_OPERATION_PLACE, operation->job,
                    operation->task, operation->attempt, operation->machine);
  return snprintf(out, capacity, "%c %s/%u %u %c", operation->kind, operation->job, operation->task,
                  operation->attempt, operation->reason);
}

bool tmx_operation_parse(const char *line, struct tmx_operation *operation) {
  enum { KIND, TASK, ATTEMPT, MACHINE_OR_REASON, FIELDS };
  char copy[TMX_LOG_LINE_BYTES], *field[FIELDS];
  memset(operation, 0, sizeof *operation);
  if (strlen(line) >= sizeof copy) return false;
  strcpy(copy, line);
  if (tmx_log_line_split(copy, field, FIELDS) != FIELDS || field[KIND][1] ||
      strlen(field[MACHINE_OR_REASON]) >= sizeof operation->machine ||
      !tmx_task_parse(field[TASK], operation->job, sizeof operation->job, &operation->task) ||
      !tmx_log_line_parse_u32(field[ATTEMPT], &operation->attempt))
    return false;
  operation->kind = field[KIND][0];
  if (operation->kind == TMX_OPERATION_PLACE)
    strcpy(operation->machine, field[MACHINE_OR_REASON]);
  else
    operation->reason = field[MACHINE_OR_REASON][0];
  return operation->kind == TMX_OPERATION_PLACE || operation->kind == TMX_OPERATION_STOP ||
         operation->kind == TMX_OPERATION_END;
}

bool tmx_operation_can_group(const struct tmx_operation *operation) {
  return operation->kind != TMX_OPERATION_STOP;
}

bool tmx_operation_same_group(const struct tmx_operation *left, const struct tmx_operation *right) {
  return left->kind == right->kind && left->attempt == right->attempt &&
         !strcmp(left->job, right->job) &&
         (left->kind == TMX_OPERATION_PLACE || left->reason == right->reason);
}

int tmx_operation_group_head_print(char *out, size_t capacity,
                                   const struct tmx_operation *operation) {
  if (operation->kind == TMX_OPERATION_PLACE)
    return snprintf(out, capacity, "%c %s %u", TMX_OPERATION_GROUP_PLACE, operation->job,
                    operation->attempt);
  return snprintf(out, capacity, "%c %s %u %c", TMX_OPERATION_GROUP_END, operation->job,
                  operation->attempt, operation->reason);
}

int tmx_operation_group_item_print(char *out, size_t capacity,
                                   const struct tmx_operation *operation) {
  if (operation->kind == TMX_OPERATION_PLACE)
    return snprintf(out, capacity, " %u:%s", operation->task, operation->machine);
  return snprintf(out, capacity, " %u", operation->task);
}

/* Parses one item of a group into the operation: `TASK:MACHINE` for placements, `TASK` for ends. */
static bool parse_group_item(char *item, struct tmx_operation *operation) {
  char *machine = strchr(item, ':');
  if ((operation->kind == TMX_OPERATION_PLACE) != (machine != NULL)) return false;
  if (machine) {
    *machine++ = 0;
    if (!*machine || strlen(machine) >= sizeof operation->machine) return false;
    strcpy(operation->machine, machine);
  }
  return tmx_log_line_parse_u32(item, &operation->task);
}

static void for_each_operation_in_group(const char *line, tmx_operation_cb callback,
                                        void *context) {
  enum { KIND, JOB, ATTEMPT, FIRST_PLACEMENT, REASON = FIRST_PLACEMENT, FIRST_END };
  char copy[TMX_LOG_LINE_BYTES], *field[TMX_LOG_LINE_BYTES / 2];
  const bool is_placement = line[0] == TMX_OPERATION_GROUP_PLACE;
  const size_t first_item = is_placement ? FIRST_PLACEMENT : FIRST_END;
  struct tmx_operation operation = {.kind = is_placement ? TMX_OPERATION_PLACE : TMX_OPERATION_END};
  if (strlen(line) >= sizeof copy) return;
  strcpy(copy, line);
  const size_t n = tmx_log_line_split(copy, field, sizeof field / sizeof *field);
  if (n < first_item || field[KIND][1] || strlen(field[JOB]) >= sizeof operation.job ||
      !tmx_log_line_parse_u32(field[ATTEMPT], &operation.attempt))
    return;
  strcpy(operation.job, field[JOB]);
  if (!is_placement) operation.reason = field[REASON][0];
  for (size_t i = first_item; i < n; i++)
    if (parse_group_item(field[i], &operation)) callback(context, &operation);
}

void tmx_log_line_for_each_operation(const char *line, tmx_operation_cb callback, void *context) {
  struct tmx_operation operation;
  if (line[0] == TMX_OPERATION_GROUP_PLACE || line[0] == TMX_OPERATION_GROUP_END)
    for_each_operation_in_group(line, callback, context);
  else if (tmx_operation_parse(line, &operation))
    callback(context, &operation);
}
