#include "fake_controllers.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake_cloud.h"
#include "fake_loop.h"
#include "fake_store.h"
#include "test.h"

enum { CLIENT_CONNECTIONS = 4 };

/* A port on loopback and the socket that reserves it. */
struct reserved_port {
  int port, socket;
};

bool fake_peers_unreachable;
void (*fake_adjust_settings)(struct tmx_settings *settings);
static struct reserved_port heartbeat_ports[FAKE_CONTROLLERS_MAX];
static struct reserved_port
    listen_ports[FAKE_CONTROLLERS_MAX]; /* for users and workers; port 0: not reserved yet */
static struct tmx_controller *running[FAKE_CONTROLLERS_MAX];

struct tmx_http_client *new_controller_client(struct tmx_controller *controller) {
  char address[32];
  snprintf(address, sizeof address, "127.0.0.1:%d", tmx_http_server_port(controller->server));
  struct tmx_http_client *client = tmx_http_client_new(test_loop, address, CLIENT_CONNECTIONS);
  assert_non_null(client);
  return client;
}

/* Controllers must know the ports of their peers before they start. The socket stays bound without
 * listening, so that no outgoing connection is given the port. SO_REUSEADDR lets a listener bind
 * the same port. */
static struct reserved_port reserve_port(void) {
  struct sockaddr_in address = {.sin_family = AF_INET};
  socklen_t size = sizeof address;
  int one = 1;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size), 0);
  return (struct reserved_port){.port = ntohs(address.sin_port), .socket = fd};
}

int fake_listen_port(int index) {
  if (!listen_ports[index].port) listen_ports[index] = reserve_port();
  return listen_ports[index].port;
}

void fake_settings(struct tmx_settings *settings, int index, int count) {
  memset(settings, 0, sizeof *settings);
  tmx_operator_settings_set_defaults(&settings->operators);
  snprintf(settings->node_name, sizeof settings->node_name, "hand-%d", index);
  strcpy(settings->zone, "a");
  strcpy(settings->listen, "127.0.0.1:0");
  snprintf(settings->peer_listen, sizeof settings->peer_listen, "127.0.0.1:%d",
           heartbeat_ports[index].port);
  snprintf(settings->store_address, sizeof settings->store_address, "127.0.0.1:%d",
           tmx_http_server_port(fake_store.endpoints[index].server));
  snprintf(settings->cloud_address, sizeof settings->cloud_address, "127.0.0.1:%d",
           tmx_http_server_port(fake_cloud.server));
  for (int i = 0; i < count; i++) {
    if (i == index) continue;
    struct tmx_peer_settings *peer = &settings->peers[settings->n_peers++];
    snprintf(peer->name, sizeof peer->name, "hand-%d", i);
    snprintf(peer->addr, sizeof peer->addr, "127.0.0.1:%d",
             fake_peers_unreachable ? 1 : heartbeat_ports[i].port);
  }
  strcpy(settings->zones[0], "a");
  settings->n_zones = 1;
  strcpy(settings->teams[0].name, "t");
  settings->teams[0].cpus_max = 8;
  settings->n_teams = 1;
  settings->report_s = 3;
  settings->lease_s = 20;
  settings->cancel_s = 40;
  settings->state_rps = 1000;
  settings->write_rps = 1000;
  settings->value_kb = 16;
  settings->txn_ops = 32;
  settings->cloud_rps = 100;
  settings->list_lag_s = 8;
  settings->ram_mb = 128;
  settings->sockets = 500;
}

struct tmx_controller *start_controller(int index, int count) {
  static struct tmx_settings settings; /* static because the controller keeps a pointer to it */
  char error[256];
  fake_settings(&settings, index, count);
  if (fake_adjust_settings) fake_adjust_settings(&settings);
  struct tmx_controller *controller = tmx_controller_new(test_loop, &settings, error, sizeof error);
  if (!controller) fail_msg("%s", error);
  assert_null(running[index]);
  return running[index] = controller;
}

void stop_controller(struct tmx_controller *controller) {
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++)
    if (running[i] == controller) running[i] = NULL;
  tmx_controller_free(controller);
}

bool fake_controller_is_ready(void *argument) {
  struct tmx_controller *controller = argument;
  return controller->catalog.n_types > 0 && tmx_store_is_member(controller->store) &&
         tmx_authority_may_act(&controller->authority);
}

bool fake_any_planner_busy(void) {
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++)
    if (running[i] && tmx_scheduler_is_planning(running[i]->scheduler)) return true;
  return false;
}

void fake_controllers_open(void) {
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++) heartbeat_ports[i] = reserve_port();
}

void fake_controllers_close(void) {
  fake_peers_unreachable = false;
  fake_adjust_settings = NULL;
  for (int i = 0; i < FAKE_CONTROLLERS_MAX; i++) close(heartbeat_ports[i].socket);
}
