/* The loop, users and controllers of the scripted tests. */
#include "fake_internal.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "tmx/wire.h"

struct ev_loop *test_loop;
bool fake_peers_unreachable;
void (*fake_adjust_settings)(struct tmx_settings *settings);
static int ports[FAKE_NODES][2];     /* of heartbeats: port, and the socket that reserves it */
static int listeners[FAKE_NODES][2]; /* of users and workers */

/* ------------------------------------------------------------ running the loop */

static void on_wake(struct ev_loop *l, ev_timer *w, int ev) {
  (void)w;
  (void)ev;
  ev_break(l, EVBREAK_ONE);
}

bool run_loop_until(bool (*done)(void *), void *arg) {
  double until = ev_time() + 10;
  while (ev_time() < until) {
    if (done && done(arg)) return true;
    ev_timer t;
    ev_timer_init(&t, on_wake, 0.005, 0);
    ev_timer_start(test_loop, &t);
    ev_run(test_loop, EVRUN_ONCE);
    ev_timer_stop(test_loop, &t);
  }
  return false;
}
static bool past(void *arg) { return ev_time() > *(double *)arg; }
void run_loop_for(double s) {
  double until = ev_time() + s;
  run_loop_until(past, &until);
}

/* ------------------------------------------------------------ users */
bool fake_is_done(void *waiting) { return ((struct fake_waiting *)waiting)->done; }

static void on_answer(void *arg, int status, const uint8_t *body, size_t len) {
  struct fake_waiting *x = arg;
  cbor_item_t *map = tmx_cbor_parse(body, len);
  x->done = true;
  x->status = status;
  tmx_cbor_get_text(map, W_STATE, x->state, sizeof x->state);
  tmx_cbor_free(map);
}

struct fake_answer send_request(struct tmx_controller *controller, const char *method,
                                const char *path, const struct tmx_buffer *body) {
  struct fake_waiting x = {0};
  struct fake_answer answer = {0};
  struct tmx_http_client *k = client_of(controller);
  assert_true(tmx_http_client_call(k, method, path, body, 5, on_answer, &x));
  answer.done = run_loop_until(fake_is_done, &x);
  answer.status = x.status;
  snprintf(answer.state, sizeof answer.state, "%s", x.state);
  tmx_http_client_free(k);
  return answer;
}

void encode_submission(struct tmx_buffer *buffer, const char *id, const char *kind, uint32_t tasks,
                       double cpus, const char *team) {
  encode_submission_awaiting(buffer, id, kind, tasks, cpus, team, NULL);
}

void encode_submission_awaiting(struct tmx_buffer *buffer, const char *id, const char *kind,
                                uint32_t tasks, double cpus, const char *team,
                                const struct tmx_buffer *awaits) {
  struct fake_job job = {
      .id = id, .kind = kind, .team = team, .tasks = tasks, .cpus = cpus, .awaits = awaits};
  encode_submission_of(buffer, &job);
}

void encode_submission_of(struct tmx_buffer *buffer, const struct fake_job *job) {
  tmx_cbor_put_map(buffer, 17 + (job->awaits != NULL) + (job->types != NULL));
  if (job->types) {
    tmx_cbor_put_text(buffer, W_TYPES);
    tmx_buffer_append(buffer, job->types->data, job->types->length);
  }
  if (job->awaits) {
    tmx_cbor_put_text(buffer, W_AWAITS);
    tmx_buffer_append(buffer, job->awaits->data, job->awaits->length);
  }
  tmx_cbor_put_text_field(buffer, W_ID, job->id);
  tmx_cbor_put_text_field(buffer, W_CLASS, job->class ? job->class : "c");
  tmx_cbor_put_text_field(buffer, W_TEAM, job->team);
  tmx_cbor_put_text_field(buffer, W_KIND, job->kind ? job->kind : WV_ARRAY);
  tmx_cbor_put_text_field(buffer, W_PRIORITY, job->priority ? job->priority : "normal");
  tmx_cbor_put_u64_field(buffer, W_TASKS, job->tasks);
  tmx_cbor_put_number_field(buffer, W_CPUS, job->cpus);
  tmx_cbor_put_number_field(buffer, W_GPUS, 0);
  tmx_cbor_put_number_field(buffer, W_MEM, 1);
  tmx_cbor_put_bool_field(buffer, W_ONE_ZONE, false);
  tmx_cbor_put_bool_field(buffer, W_SPREAD, false);
  tmx_cbor_put_bool_field(buffer, W_SPOT, false);
  tmx_cbor_put_text_field(buffer, W_IMAGE, "img");
  tmx_cbor_put_number_field(buffer, W_IMAGE_GB, 0.1);
  tmx_cbor_put_number_field(buffer, W_ESTIMATE, job->estimate_s > 0 ? job->estimate_s : 10);
  tmx_cbor_put_number_field(buffer, W_CHECKPOINT, 0);
  tmx_cbor_put_number_field(buffer, W_SAVE, 0);
}

int submit_job(struct tmx_controller *controller, const struct fake_job *job) {
  struct tmx_buffer buffer = {0};
  encode_submission_of(&buffer, job);
  struct fake_answer answer = send_request(controller, "POST", WP_JOBS, &buffer);
  tmx_buffer_free(&buffer);
  return answer.status;
}

int submit_simple_job(struct tmx_controller *controller, const char *id, const char *kind,
                      uint32_t tasks, double cpus, const char *team) {
  struct fake_job job = {.id = id, .kind = kind, .team = team, .tasks = tasks, .cpus = cpus};
  return submit_job(controller, &job);
}
struct fake_answer poll_job(struct tmx_controller *controller, const char *id) {
  char path[128];
  snprintf(path, sizeof path, WP_JOBS "/%s", id);
  return send_request(controller, "GET", path, NULL);
}
struct fake_answer cancel_job(struct tmx_controller *controller, const char *id) {
  char path[128];
  snprintf(path, sizeof path, WP_JOBS "/%s" WP_CANCEL, id);
  return send_request(controller, "POST", path, NULL);
}

/* ------------------------------------------------------------ controllers */

struct tmx_http_client *client_of(struct tmx_controller *controller) {
  char addr[32];
  snprintf(addr, sizeof addr, "127.0.0.1:%d", tmx_http_server_port(controller->server));
  struct tmx_http_client *k = tmx_http_client_new(test_loop, addr, 4);
  assert_non_null(k);
  return k;
}

/* Peers must know one another's port beforehand. The socket stays bound, without listening, so
 * that no outgoing connection gets the port; a listener may still share it. */
static int reserve_port(int *fd) {
  struct sockaddr_in at = {.sin_family = AF_INET};
  socklen_t n = sizeof at;
  int one = 1;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  *fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  assert_int_equal(bind(*fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal(getsockname(*fd, (struct sockaddr *)&at, &n), 0);
  return ntohs(at.sin_port);
}

int fake_listen_port(int k) {
  if (!listeners[k][0]) listeners[k][0] = reserve_port(&listeners[k][1]);
  return listeners[k][0];
}

void fake_settings(struct tmx_settings *settings, int k, int of) {
  memset(settings, 0, sizeof *settings);
  tmx_operator_defaults(&settings->operators);
  snprintf(settings->node_name, sizeof settings->node_name, "hand-%d", k);
  strcpy(settings->zone, "a");
  strcpy(settings->listen, "127.0.0.1:0");
  snprintf(settings->peer_listen, sizeof settings->peer_listen, "127.0.0.1:%d", ports[k][0]);
  snprintf(settings->state, sizeof settings->state, "127.0.0.1:%d",
           tmx_http_server_port(fake_store.endpoints[k].server));
  snprintf(settings->cloud, sizeof settings->cloud, "127.0.0.1:%d",
           tmx_http_server_port(fake_cloud.server));
  for (int i = 0; i < of; i++) {
    if (i == k) continue;
    struct tmx_peer_settings *p = &settings->peers[settings->n_peers++];
    snprintf(p->name, sizeof p->name, "hand-%d", i);
    snprintf(p->addr, sizeof p->addr, "127.0.0.1:%d", fake_peers_unreachable ? 1 : ports[i][0]);
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

static struct tmx_controller *running[FAKE_NODES];

struct tmx_controller *start_controller(int k, int of) {
  static struct tmx_settings s;
  char err[256];
  fake_settings(&s, k, of);
  if (fake_adjust_settings) fake_adjust_settings(&s);
  struct tmx_controller *controller = tmx_controller_new(test_loop, &s, err, sizeof err);
  if (!controller) fail_msg("%s", err);
  assert_null(running[k]);
  return running[k] = controller;
}

void stop_controller(struct tmx_controller *controller) {
  for (int k = 0; k < FAKE_NODES; k++)
    if (running[k] == controller) running[k] = NULL;
  tmx_controller_free(controller);
}

bool fake_controller_is_ready(void *controller) {
  struct tmx_controller *c = controller;
  return c->catalog.n_types > 0 && tmx_store_is_member(c->store) &&
         tmx_authority_may_act(&c->authority);
}

bool fake_any_planner_busy(void) {
  for (int k = 0; k < FAKE_NODES; k++)
    if (running[k] && tmx_scheduler_is_planning(running[k]->scheduler)) return true;
  return false;
}

void fake_start(void) {
  test_loop = ev_default_loop(EVFLAG_AUTO);
  memset(&fake_cloud, 0, sizeof fake_cloud);
  fake_state_open();
  for (int i = 0; i < FAKE_NODES; i++) ports[i][0] = reserve_port(&ports[i][1]);
  fake_cloud.server =
      tmx_http_server_new(test_loop, "127.0.0.1:0", 100, 60, fake_cloud_request, &fake_cloud);
}

void fake_stop(void) {
  fake_peers_unreachable = false;
  fake_adjust_settings = NULL;
  for (int i = 0; i < FAKE_NODES; i++) close(ports[i][1]);
  fake_state_close();
  tmx_http_server_free(fake_cloud.server);
}
