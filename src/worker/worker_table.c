#include "worker/worker_table.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/memory.h"
#include "worker/lease_renewal.h"
#include "worker/worker_connection.h"

struct tmx_worker *tmx_worker_find(const struct tmx_workers *workers, const char *id) {
  struct tmx_worker *worker;
  HASH_FIND_STR(workers->all, id, worker);
  return worker;
}

/* Number of workers for which the controller's memory suffices, far beyond the intended load. */
static size_t max_workers(const struct tmx_workers *workers) {
  return (size_t)(workers->settings->ram_mb * TMX_BYTES_PER_MB * TMX_WORKERS_MEMORY_SHARE /
                  TMX_WORKER_BYTES);
}

static bool is_evictable(const struct tmx_worker *worker) {
  return !worker->machine && !worker->redirection.deferred_heartbeat &&
         !worker->commands.in_flight && !worker->probing.in_flight;
}

static double last_heartbeat_or_suspicion(const struct tmx_worker *worker) {
  return fmax(worker->liveness.heartbeat_at, worker->owner_suspicion.received_at);
}

/* Evicts a worker from a full table. Among the workers whose machines are not in the replica, frees
 * the one with the oldest last heartbeat or suspicion. Over months, many machines send a heartbeat
 * and are never registered. */
static bool evict_least_recent(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next, *oldest = NULL;
  HASH_ITER(hh, workers->all, worker, next) {
    if (!is_evictable(worker)) continue;
    if (!oldest || last_heartbeat_or_suspicion(worker) < last_heartbeat_or_suspicion(oldest))
      oldest = worker;
  }
  if (oldest) tmx_worker_free(oldest);
  return oldest != NULL;
}

struct tmx_worker *tmx_worker_find_or_create(struct tmx_workers *workers, const char *id) {
  struct tmx_worker *worker = tmx_worker_find(workers, id);
  if (worker) return worker;
  if (HASH_COUNT(workers->all) >= max_workers(workers) && !evict_least_recent(workers)) {
    tmx_log(TMX_LOG_ERROR, "worker: %s rejected: table of workers is full (ram_mb allows for %zu)",
            id, max_workers(workers));
    return NULL;
  }
  worker = tmx_allocate(1, sizeof *worker);
  snprintf(worker->id, sizeof worker->id, "%s", id);
  worker->workers = workers;
  worker->machine = tmx_machine_find(workers->replica, id);
  if (worker->machine) worker->machine->worker = worker;
  HASH_ADD_STR(workers->all, id, worker);
  return worker;
}

static void queue_append(struct tmx_worker_queue *queue, struct tmx_worker *worker) {
  queue->items = tmx_grow(queue->items, &queue->capacity, queue->length + 1, sizeof *queue->items);
  queue->items[queue->length++] = worker;
}

/* Leaves a gap, as a caller may be iterating over the queue. */
static void queue_clear_entry(struct tmx_worker_queue *queue, const struct tmx_worker *worker) {
  for (size_t i = 0; i < queue->length; i++)
    if (queue->items[i] == worker) queue->items[i] = NULL;
}

void tmx_worker_free(struct tmx_worker *worker) {
  struct tmx_workers *workers = worker->workers;
  struct tmx_probe_budget *budget = &workers->probe_budget;
  if (budget->next == worker) budget->next = worker->hh.next;
  if (budget->next_suspect == worker) budget->next_suspect = worker->hh.next;
  HASH_DEL(workers->all, worker);
  tmx_worker_redirect_deferred_heartbeat(worker);
  tmx_worker_disconnect(worker);
  if (worker->commands.is_queued) queue_clear_entry(&workers->command_queue, worker);
  if (worker->reconciliation.is_queued) queue_clear_entry(&workers->completion_queue, worker);
  if (worker->machine) worker->machine->worker = NULL;
  free(worker->report.tasks);
  free(worker);
}

void tmx_worker_enqueue_for_commands(struct tmx_worker *worker) {
  if (worker->commands.is_queued) return;
  worker->commands.is_queued = true;
  queue_append(&worker->workers->command_queue, worker);
}

void tmx_worker_enqueue_for_completions(struct tmx_worker *worker) {
  if (worker->reconciliation.is_queued) return;
  worker->reconciliation.is_queued = true;
  queue_append(&worker->workers->completion_queue, worker);
}
