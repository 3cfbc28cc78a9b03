#include "cluster/history.h"

#include <jansson.h>

#include "base/log.h"
#include "base/clock.h"

static FILE *file;

void history_open(const char *path) { file = path ? fopen(path, "w") : NULL; }

void history_close(void) {
  if (file) fclose(file);
  file = NULL;
}

static void write_event(json_t *event) {
  if (file && event) {
    json_object_set_new(event, "t", json_real(tmx_clock_steady()));
    json_dumpf(event, file, JSON_COMPACT);
    fputc('\n', file);
  }
  json_decref(event);
}

void history_response(const char *ask, const char *job, unsigned tasks, int status,
                      const char *state, bool final) {
  write_event(json_pack("{ss ss ss si si ss sb}", "what", "answer", "ask", ask, "job", job, "tasks",
                        (int)tasks, "status", status, "state", state, "final", final));
}

void history_placed(const char *task, uint32_t attempt, const char *machine) {
  write_event(json_pack("{ss ss si ss}", "what", "placed", "task", task, "attempt", (int)attempt,
                        "machine", machine));
}

void history_command(const char *machine, int node, uint64_t token, const char *operation,
                     const char *task, uint32_t attempt) {
  write_event(json_pack("{ss ss si sI ss ss si}", "what", "order", "machine", machine, "node", node,
                        "token", (json_int_t)token, "verb", operation, "task", task, "attempt",
                        (int)attempt));
}

void history_begin(const char *machine, const char *task, uint32_t attempt) {
  write_event(json_pack("{ss ss ss si}", "what", "begin", "machine", machine, "task", task,
                        "attempt", (int)attempt));
}

void history_end(const char *machine, const char *task, uint32_t attempt, const char *how) {
  write_event(json_pack("{ss ss ss si ss}", "what", "end", "machine", machine, "task", task,
                        "attempt", (int)attempt, "how", how));
}
