/* Creation and destruction of the module, and handlers for changes of the replica and the view. */
#include "worker/workers.h"

#include <stdlib.h>

#include "base/memory.h"
#include "worker/commands.h"
#include "worker/fencing.h"
#include "worker/lease_renewal.h"
#include "worker/worker_table.h"

struct tmx_workers *tmx_workers_new(const struct tmx_workers_dependencies *dependencies) {
  struct tmx_workers *workers = tmx_allocate(1, sizeof *workers);
  workers->loop = dependencies->loop;
  workers->settings = dependencies->settings;
  workers->replica = dependencies->replica;
  workers->store = dependencies->store;
  workers->authority = dependencies->authority;
  workers->view_manager = dependencies->view_manager;
  workers->loop_monitor = dependencies->loop_monitor;
  workers->peers = dependencies->peers;
  workers->scheduler = dependencies->scheduler;
  return workers;
}

void tmx_workers_free(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    worker->machine = NULL;
    tmx_worker_free(worker);
  }
  free(workers->command_queue.items);
  free(workers->completion_queue.items);
  free(workers);
}

void tmx_workers_flush(struct tmx_workers *workers) {
  tmx_workers_send_due_commands(workers);
  tmx_workers_answer_deferred_heartbeats(workers);
}

void tmx_workers_machine_changed(struct tmx_workers *workers, struct tmx_machine *machine) {
  struct tmx_worker *worker = machine->worker;
  if (!worker) {
    worker = machine->worker = tmx_worker_find(workers, machine->id);
    if (!worker) return;
    worker->machine = machine;
  }
  worker->commands.are_due = true;
  tmx_worker_enqueue_for_completions(worker);
  tmx_worker_enqueue_for_commands(worker);
}

void tmx_workers_machine_removed(struct tmx_workers *workers, struct tmx_machine *machine) {
  struct tmx_worker *worker =
      machine->worker ? machine->worker : tmx_worker_find(workers, machine->id);
  machine->worker = NULL;
  if (!worker) return;
  worker->machine = NULL;
  tmx_worker_free(worker);
}

void tmx_workers_before_replica_clear(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) worker->machine = NULL;
}

/* Ownership must be updated at every view. If another controller owned a machine between two
 * views that give it to this controller, only the views in between show it. */
void tmx_workers_view_changed(struct tmx_workers *workers) {
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) tmx_worker_update_ownership(worker);
}
