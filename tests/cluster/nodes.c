#include "cluster/nodes.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cluster/link.h"
#include "base/log.h"
#include "base/clock.h"

enum { TO_STATE, TO_PEERS, TO_USERS, TO_WORKERS, DESTINATIONS };
static const char *const destinations[] = {"state", "peers", "users", "workers"};
static const double delay_s =
    0.3; /* delay of a link, s; longer than a round of the planner, shorter than a lease */

struct link_failure {
  double ends_at; /* steady clock, s; 0: no failure */
};
struct node cluster_nodes[FAKE_CONTROLLERS_MAX];
static int n_nodes;
static const char *operator_path;
static char settings_path[FAKE_CONTROLLERS_MAX][64];
static struct link *links[FAKE_CONTROLLERS_MAX][DESTINATIONS + FAKE_CONTROLLERS_MAX];
static struct link_failure failures[FAKE_CONTROLLERS_MAX][DESTINATIONS];

/* The links of a controller to its peers start at index DESTINATIONS of its row in `links`. */
static struct link *peer_link(int from, int to) { return links[from][DESTINATIONS + to]; }

static json_t *address(int port) { return json_sprintf("127.0.0.1:%d", port); }

static json_t *cluster_json(const struct tmx_settings *settings) {
  json_t *teams = json_array(), *objectives = json_array();
  for (size_t i = 0; i < settings->n_teams; i++)
    json_array_append_new(
        teams, json_pack("{ss sf sf}", "name", settings->teams[i].name, "cpus",
                         settings->teams[i].cpus, "cpus_max", settings->teams[i].cpus_max));
  for (size_t i = 0; i < settings->n_objectives; i++)
    json_array_append_new(objectives, json_pack("{ss ss sf}", "kind", settings->objectives[i].kind,
                                                "class", settings->objectives[i].class_name,
                                                "within_s", settings->objectives[i].within_s));
  return json_pack("{s[s] so so s{sf sf sf} s{sf sf sf si} s{sf sf} s{sf sf si} sf}", "zones",
                   settings->zones[0], "teams", teams, "objectives", objectives, "workers",
                   "report_s", settings->report_s, "lease_s", settings->lease_s, "cancel_s",
                   settings->cancel_s, "state", "rps", settings->state_rps, "write_rps",
                   settings->write_rps, "value_kb", settings->value_kb, "txn_ops",
                   settings->txn_ops, "cloud", "rps", settings->cloud_rps, "list_lag_s",
                   settings->list_lag_s, "quota", "core_share", settings->core_share, "ram_mb",
                   settings->ram_mb, "sockets", settings->sockets, "clock_off_ms", 0.0);
}

static void write_settings(int index, const struct tmx_settings *settings) {
  json_t *peers = json_array();
  for (int i = 0; i < n_nodes; i++)
    if (i != index)
      json_array_append_new(
          peers, json_pack("{so ss so}", "host_name", json_sprintf("hand-%d", i), "location",
                           settings->zone, "address", address(link_port(peer_link(index, i)))));
  json_t *root = json_pack("{ss ss so ss so s{so ss} so}", "host_name", settings->node_name,
                           "location", settings->zone, "listen", address(cluster_nodes[index].port),
                           "peer_listen", settings->peer_listen, "peers", peers, "services",
                           "state", address(link_port(links[index][TO_STATE])), "cloud",
                           settings->cloud_address, "cluster", cluster_json(settings));
  int fd = mkstemp(strcpy(settings_path[index], "/tmp/tmx-cluster-XXXXXX"));
  FILE *file = fd >= 0 ? fdopen(fd, "w") : NULL;
  if (!file || json_dumpf(root, file, 0)) abort();
  fclose(file);
  json_decref(root);
}

static int port_of(const char *addr) { return atoi(strchr(addr, ':') + 1); }

void nodes_open(int count, const char *operator_config,
                void (*adjust)(struct tmx_settings *settings), int connections) {
  static struct tmx_settings settings[FAKE_CONTROLLERS_MAX];
  char addr[32];
  n_nodes = count;
  operator_path = operator_config;
  for (int k = 0; k < count; k++) {
    fake_settings(&settings[k], k, count);
    adjust(&settings[k]);
    cluster_nodes[k].port = fake_listen_port(k);
  }
  for (int k = 0; k < count; k++) {
    links[k][TO_STATE] = link_new(test_loop, port_of(settings[k].store_address));
    links[k][TO_USERS] = link_new(test_loop, cluster_nodes[k].port);
    links[k][TO_WORKERS] = link_new(test_loop, cluster_nodes[k].port);
    for (int i = 0; i < count; i++)
      if (i != k)
        links[k][DESTINATIONS + i] = link_new(test_loop, port_of(settings[i].peer_listen));
    write_settings(k, &settings[k]);
    snprintf(addr, sizeof addr, "127.0.0.1:%d", link_port(links[k][TO_USERS]));
    cluster_nodes[k].users = tmx_http_client_new(test_loop, addr, 256);
    snprintf(addr, sizeof addr, "127.0.0.1:%d", link_port(links[k][TO_WORKERS]));
    cluster_nodes[k].reports = tmx_http_client_new(test_loop, addr, connections);
    node_start(k);
  }
}

void node_start(int index) {
  fflush(NULL);
  cluster_nodes[index].cpu_s = 0;
  cluster_nodes[index].resumes_at = 0;
  cluster_nodes[index].paused = false;
  cluster_nodes[index].pid = fork();
  if (cluster_nodes[index].pid) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (operator_path)
    execl(TMX_PROGRAM, TMX_PROGRAM, "--operator-config", operator_path, "--config",
          settings_path[index], (char *)NULL);
  else
    execl(TMX_PROGRAM, TMX_PROGRAM, "--config", settings_path[index], (char *)NULL);
  _exit(127);
}

static void end(int index) {
  if (!cluster_nodes[index].pid) return;
  kill(cluster_nodes[index].pid, SIGKILL);
  waitpid(cluster_nodes[index].pid, NULL, 0);
  cluster_nodes[index].pid = 0;
}

void nodes_close(void) {
  for (int k = 0; k < n_nodes; k++) {
    end(k);
    remove(settings_path[k]);
  }
}

static void set_links(int index, int destination, enum link_mode mode, double delay) {
  if (destination != TO_PEERS) {
    link_set(links[index][destination], mode, delay);
    return;
  }
  for (int i = 0; i < n_nodes; i++) {
    if (i == index) continue;
    link_set(peer_link(index, i), mode, delay);
    link_set(peer_link(i, index), mode, delay);
  }
}

bool nodes_inject_failure(const char *text) {
  char kind[16] = "", destination_name[16] = "";
  int index;
  double duration_s, now = tmx_clock_steady();
  bool process = sscanf(text, "%15s %d %lf", kind, &index, &duration_s) == 3;
  if (!process &&
      sscanf(text, "%15s %15s %d %lf", kind, destination_name, &index, &duration_s) != 4)
    return false;
  if (index < 0 || index >= n_nodes) return false;
  if (process) {
    bool pause = !strcmp(kind, "pause");
    if (!pause && strcmp(kind, "kill")) return false;
    if (!cluster_nodes[index].pid) return true;
    cluster_nodes[index].resumes_at = now + duration_s;
    cluster_nodes[index].paused = pause;
    if (pause)
      kill(cluster_nodes[index].pid, SIGSTOP);
    else
      end(index);
    return true;
  }
  int destination = 0;
  while (destination < DESTINATIONS && strcmp(destination_name, destinations[destination]))
    destination++;
  bool refuse = !strcmp(kind, "refuse"), cut = !strcmp(kind, "cut"), slow = !strcmp(kind, "delay");
  if (destination == DESTINATIONS || !(refuse || cut || slow)) return false;
  set_links(index, destination,
            refuse ? LINK_REFUSED
            : cut  ? LINK_CUT
                   : LINK_OPEN,
            slow ? delay_s : 0);
  failures[index][destination].ends_at = now + duration_s;
  return true;
}

void nodes_end_failures(void) {
  double now = tmx_clock_steady();
  for (int k = 0; k < n_nodes; k++) {
    for (int destination = 0; destination < DESTINATIONS; destination++) {
      if (!failures[k][destination].ends_at || now < failures[k][destination].ends_at) continue;
      failures[k][destination].ends_at = 0;
      set_links(k, destination, LINK_OPEN, 0);
    }
    if (!cluster_nodes[k].resumes_at || now < cluster_nodes[k].resumes_at) continue;
    if (!cluster_nodes[k].pid) {
      node_start(k);
      continue;
    }
    kill(cluster_nodes[k].pid, SIGCONT);
    cluster_nodes[k].resumes_at = 0;
    cluster_nodes[k].paused = false;
  }
}

double node_resources_used(int index, double *memory_mb, double *peak_memory_mb) {
  char path[64], line[512];
  unsigned long user = 0, sys = 0;
  snprintf(path, sizeof path, "/proc/%d/stat", cluster_nodes[index].pid);
  FILE *file = fopen(path, "r");
  if (file && fgets(line, sizeof line, file))
    sscanf(strrchr(line, ')') + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
           &sys);
  if (file) fclose(file);
  snprintf(path, sizeof path, "/proc/%d/status", cluster_nodes[index].pid);
  file = fopen(path, "r");
  while (file && fgets(line, sizeof line, file)) {
    if (!strncmp(line, "VmRSS:", 6)) *memory_mb = atof(line + 6) / 1024;
    if (!strncmp(line, "VmHWM:", 6)) *peak_memory_mb = atof(line + 6) / 1024;
  }
  if (file) fclose(file);
  return (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
}
