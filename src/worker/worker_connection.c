#include "worker/worker_connection.h"

#include <stdio.h>
#include <string.h>

struct tmx_http_client *tmx_worker_connect(struct tmx_worker *worker, const char *address) {
  struct tmx_worker_connection *connection = &worker->connection;
  if (connection->client && strcmp(connection->address, address)) {
    tmx_worker_disconnect(worker);
    worker->commands.in_flight = worker->probing.in_flight = false;
  }
  if (!connection->client) {
    snprintf(connection->address, sizeof connection->address, "%s", address);
    connection->client = tmx_http_client_new(worker->workers->loop, address, 2);
    if (connection->client) worker->workers->n_connections++;
  }
  return connection->client;
}

void tmx_worker_disconnect(struct tmx_worker *worker) {
  if (!worker->connection.client) return;
  tmx_http_client_free(worker->connection.client);
  worker->connection.client = NULL;
  worker->workers->n_connections--;
}

void tmx_workers_close_idle_connections(struct tmx_workers *workers) {
  int max = tmx_worker_sockets_max(workers->settings);
  if (workers->n_connections <= max) return;
  struct tmx_worker *worker, *next;
  HASH_ITER(hh, workers->all, worker, next) {
    if (workers->n_connections * 10 <= max * 8) return;
    if (!worker->commands.in_flight && !worker->probing.in_flight) tmx_worker_disconnect(worker);
  }
}
